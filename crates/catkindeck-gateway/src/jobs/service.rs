//! The jobs that this process owns, and a cache of the owners of other jobs.

use {
    super::{owned::OwnedJob, places::PlaceExchange},
    crate::{
        core::GatewayCore,
        keys::{JobState, MemberRecord},
        session::MemberSession,
    },
    catkindeck::{ErrorKind, Moment, ServiceError, SortedMap},
    catkindeck_policy::direct::{CarryTrends, RateWindow, StepSchedule},
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
    },
};

/// How long the owner of another process's job is cached, in milliseconds. An outdated entry costs one extra
/// call, because a previous owner answers that it is not the owner.
const OWNER_CACHE_TTL_MS: u64 = 60_000;

/// How long a complete job whose retention time is over stays in memory after it was read, in milliseconds. Callers that
/// read a job do so about twice a second.
const UNREAD_RETENTION_MS: u64 = 10_000;

/// The jobs of this process.
pub struct JobService {
    pub(super) core: Rc<GatewayCore>,
    pub(super) session: Rc<MemberSession>,
    owned: RefCell<SortedMap<String, Rc<OwnedJob>>>,
    archived: RefCell<SortedMap<String, Rc<OwnedJob>>>,
    /// The jobs that tasks of this process are taking over.
    taking_over: RefCell<SortedMap<String, ()>>,
    /// Whether jobs of a previous run of this process may still have to be reclaimed.
    reclaiming: Cell<bool>,
    cached_owners: RefCell<SortedMap<String, (MemberRecord, Moment)>>,
    /// The paces of the trainers whose jobs this process owns.
    pub(super) schedule: RefCell<StepSchedule>,
    pub(super) places: PlaceExchange,
    /// The recent searches for jobs of callers without a valid key.
    pub(super) searches: RefCell<RateWindow>,
    /// What the steps of these trainers told about groups that come again.
    pub(super) carry: RefCell<CarryTrends>,
}

impl JobService {
    pub fn new(core: Rc<GatewayCore>, session: Rc<MemberSession>) -> Rc<Self> {
        Rc::new(Self {
            core,
            session,
            owned: RefCell::new(SortedMap::new()),
            archived: RefCell::new(SortedMap::new()),
            taking_over: RefCell::new(SortedMap::new()),
            reclaiming: Cell::new(true),
            cached_owners: RefCell::new(SortedMap::new()),
            schedule: RefCell::new(StepSchedule::default()),
            places: PlaceExchange::default(),
            searches: RefCell::new(RateWindow::default()),
            carry: RefCell::new(CarryTrends::default()),
        })
    }

    /// Returns a job that this process owns.
    pub fn owned(&self, job: &str) -> Option<Rc<OwnedJob>> {
        let owned = self.owned.borrow();
        let found = owned.get(&job.to_owned())?;
        (!found.is_lost.get()).then(|| Rc::clone(found))
    }

    /// Returns whether this process has a job or knows which one owns it.
    pub(super) fn is_known(&self, job: &str) -> bool {
        self.owned(job).is_some()
            || self.archived.borrow().contains_key(&job.to_owned())
            || self.cached_owner(job).is_some()
    }

    /// Returns whether this process runs a job or is about to.
    pub fn is_responsible(&self, job: &str) -> bool {
        let is_taking_over = self.taking_over.borrow().get(&job.to_owned()).is_some();
        is_taking_over || self.reclaiming.get() || self.owned(job).is_some()
    }

    /// Records that all jobs of a previous run that could be reclaimed were reclaimed.
    pub fn finish_reclaim(&self) {
        self.reclaiming.set(false);
    }

    /// Returns all jobs that this process owns.
    pub fn all(&self) -> Vec<Rc<OwnedJob>> {
        let owned = self.owned.borrow();
        let present = owned.values().filter(|job| !job.is_lost.get());
        present.cloned().collect()
    }

    /// Returns whether the locally known results of a job are all that are listed.
    ///
    /// While this process holds the lease under which its ownership was confirmed, no other process can have
    /// taken over the job and listed more results. A job that is complete or cancelled does not change.
    pub(super) fn has_current_results(&self, job: &OwnedJob) -> bool {
        let lease = self.session.lease();
        let is_final = job.record.borrow().state != JobState::Running;
        is_final || (lease.is_some() && job.confirmed_lease.get() == lease)
    }

    /// Reserves the takeover of a job for one task of this process. Returns `None` if another task has it or the
    /// process already owns the job.
    ///
    /// Two tasks may find the same job without an owner. If a job ran twice in one process, neither run could
    /// list results, because each would occupy the positions of the other.
    pub(super) fn begin_takeover(self: &Rc<Self>, job: &str) -> Option<TakeoverGuard> {
        let job = job.to_owned();
        let mut taking_over = self.taking_over.borrow_mut();
        if taking_over.get(&job).is_some() || self.owned(&job).is_some() {
            return None;
        }
        taking_over.insert(job.clone(), ());
        Some(TakeoverGuard {
            service: Rc::clone(self),
            job,
        })
    }

    /// Adds a job to those that this process owns, and stops an earlier instance of it.
    pub fn insert(self: &Rc<Self>, job: Rc<OwnedJob>) {
        let id = job.spec.id.clone();
        let inserted = Rc::clone(&job);
        self.cached_owners.borrow_mut().remove(&id);
        let replaced = self.owned.borrow_mut().insert(id, job);
        if let Some(replaced) = replaced {
            replaced.is_lost.set(true);
            replaced.stop();
        }
        self.record_step(&inserted);
        self.places.wake();
        self.record_carry_step(&inserted);
        self.adopt_stored_texts(&inserted);
        self.core.capacity.notify_one();
    }

    /// Removes a job that another process owns or that has expired, and stops its runs.
    pub fn remove(&self, job: &str) {
        let removed = self.owned.borrow_mut().remove(&job.to_owned());
        if let Some(job) = removed {
            job.is_lost.set(true);
            job.stop();
            job.listed.notify_waiters();
        }
    }

    /// Returns a complete or cancelled job that is kept for reads.
    pub(super) fn archived(&self, job: &str) -> Option<Rc<OwnedJob>> {
        let archived = self.archived.borrow().get(&job.to_owned()).cloned()?;
        archived.used_at.set(self.core.now());
        Some(archived)
    }

    /// Keeps a complete or cancelled job for reads.
    pub(super) fn archive(&self, job: Rc<OwnedJob>) {
        let id = job.spec.id.clone();
        self.archived.borrow_mut().insert(id, job);
    }

    /// Drops the jobs from memory whose retention time is over; `unix_ms` is the current time.
    ///
    /// A complete job may be read until its caller ends it, however late. While nobody reads it, the store alone has it.
    pub fn drop_expired(&self, unix_ms: u64) {
        let now = self.core.now();
        let retention_ms = self.core.settings().bounds.job_retention_ms;
        let is_kept = |job: &Rc<OwnedJob>| {
            let is_expired = job.spec.submitted_ms.saturating_add(retention_ms) <= unix_ms;
            match job.record.borrow().state {
                JobState::Running => true,
                JobState::Complete => {
                    !is_expired || now.since(job.used_at.get()) < UNREAD_RETENTION_MS
                }
                JobState::Cancelled => !is_expired,
            }
        };
        self.archived.borrow_mut().retain(|_, job| is_kept(job));
        self.owned.borrow_mut().retain(|_, job| is_kept(job));
        let held = self.archived.borrow().iter().count() + self.owned.borrow().iter().count();
        let held = i64::try_from(held).unwrap_or(i64::MAX);
        self.core.metrics.load.held_jobs.set(held);
        let since_ms = unix_ms.saturating_sub(retention_ms);
        self.schedule.borrow_mut().drop_idle(since_ms);
        self.carry.borrow_mut().drop_idle(now, retention_ms);
    }

    /// Returns the registration of this process, which names it as the owner in job records.
    pub fn own_record(&self) -> MemberRecord {
        self.session.record()
    }

    /// Returns the cached owner of a job.
    pub(super) fn cached_owner(&self, job: &str) -> Option<MemberRecord> {
        let now = self.core.now();
        let owners = self.cached_owners.borrow();
        let (owner, at) = owners.get(&job.to_owned())?;
        (now.since(*at) < OWNER_CACHE_TTL_MS).then(|| owner.clone())
    }

    /// Caches the owner of a job.
    pub(super) fn cache_owner(&self, job: &str, owner: MemberRecord) {
        let now = self.core.now();
        let mut owners = self.cached_owners.borrow_mut();
        owners.retain(|_, (_, at)| now.since(*at) < OWNER_CACHE_TTL_MS);
        owners.insert(job.to_owned(), (owner, now));
    }

    /// Removes the cached owner of a job, after it did not answer or turned out not to be the owner.
    pub(super) fn forget_owner(&self, job: &str) {
        self.cached_owners.borrow_mut().remove(&job.to_owned());
    }
}

/// Reserves the takeover of a job until it is dropped.
pub(super) struct TakeoverGuard {
    service: Rc<JobService>,
    job: String,
}

impl Drop for TakeoverGuard {
    fn drop(&mut self) {
        self.service.taking_over.borrow_mut().remove(&self.job);
    }
}

/// Returns the error for a job that does not exist or belongs to another customer.
pub(super) fn not_found_error() -> ServiceError {
    ServiceError::not_run(ErrorKind::NotFound, "no such job")
}
