//! A job that this process owns.

use {
    crate::{
        core::GatewayCore,
        keys::{JobRecord, JobState},
        port::LeaseId,
    },
    catkindeck::{Moment, SortedMap, config::RouteRecord, id::ObjectName},
    catkindeck_policy::direct::{ItemKey, JobLimits, JobResult, JobSpec, RolloutJob},
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
    },
    tokio::{sync::Notify, task::AbortHandle},
};

/// The number of attempts for items whose route no longer exists. Such items are given up in any case.
const DEFAULT_ATTEMPTS: u32 = 3;

/// The time after which items are given up if their route does not set one, in milliseconds.
const DEFAULT_ITEM_TTL_MS: u64 = 600_000;

/// A job that this process owns, and the tasks that run its items.
pub struct OwnedJob {
    pub spec: Rc<JobSpec>,
    /// The state of the items.
    pub job: RefCell<RolloutJob>,
    /// The store's revision of the job's record.
    pub revision: Cell<u64>,
    pub record: RefCell<JobRecord>,
    /// The listed results in the order of their positions.
    pub results: RefCell<Vec<Rc<JobResult>>>,
    /// The lease that this process held when the store last confirmed its ownership.
    pub confirmed_lease: Cell<Option<LeaseId>>,
    /// When a caller last read the job here, or when it came here.
    pub used_at: Cell<Moment>,
    /// Whether another process now owns the job.
    pub is_lost: Cell<bool>,
    /// Notified when results were listed.
    pub listed: Notify,
    tasks: RefCell<SortedMap<ItemKey, AbortHandle>>,
}

impl OwnedJob {
    /// Creates a job with the results that are already listed.
    pub fn new(
        core: &GatewayCore,
        spec: Rc<JobSpec>,
        record: JobRecord,
        revision: u64,
        results: Vec<JobResult>,
    ) -> Rc<Self> {
        let mut job = RolloutJob::new(Rc::clone(&spec), limits_of(core, &spec));
        job.restore(&results);
        if record.state == JobState::Cancelled {
            job.end();
        }
        Rc::new(Self {
            spec,
            job: RefCell::new(job),
            revision: Cell::new(revision),
            // Under this lease the store recorded this process as the owner.
            confirmed_lease: Cell::new(record.owner.lease),
            record: RefCell::new(record),
            results: RefCell::new(results.into_iter().map(Rc::new).collect()),
            used_at: Cell::new(core.now()),
            is_lost: Cell::new(false),
            listed: Notify::new(),
            tasks: RefCell::new(SortedMap::new()),
        })
    }

    pub fn belongs_to(&self, customer: Option<&ObjectName>) -> bool {
        self.spec.customer.as_ref() == customer
    }

    /// Returns the index of an item in the submission.
    pub fn position_of(&self, id: &str) -> Option<usize> {
        self.spec.items.iter().position(|item| item.id == id)
    }

    pub fn total(&self) -> u32 {
        u32::try_from(self.spec.items.len()).unwrap_or(u32::MAX)
    }

    /// Registers the task that runs or scores an item, and replaces an earlier one.
    pub fn set_task(&self, key: ItemKey, task: AbortHandle) {
        self.tasks.borrow_mut().insert(key, task);
    }

    /// Aborts all runs and scorer calls, which closes their connections.
    /// Returns how many there were.
    pub fn stop(&self) -> usize {
        self.stop_except(&[])
    }

    /// Aborts all runs and scorer calls except those of the given items, and returns how many there were.
    pub fn stop_except(&self, kept: &[ItemKey]) -> usize {
        let mut stopped = 0;
        self.tasks.borrow_mut().retain(|key, task| {
            let is_kept = kept.contains(key);
            if !is_kept {
                stopped += usize::from(!task.is_finished());
                task.abort();
            }
            is_kept
        });
        stopped
    }

    /// Aborts the run or scorer call of an item, and returns whether there was one.
    pub fn stop_run(&self, key: ItemKey) -> bool {
        let task = self.tasks.borrow_mut().remove(&key);
        let running = task.filter(|task| !task.is_finished());
        if let Some(task) = &running {
            task.abort();
        }
        running.is_some()
    }

    /// Returns whether any run or scorer call is in progress.
    pub fn has_runs(&self) -> bool {
        self.tasks.borrow().values().any(|task| !task.is_finished())
    }

    /// Returns the limits of the job's route, which may have changed since the submission.
    pub fn limits(&self, core: &GatewayCore) -> JobLimits {
        limits_of(core, &self.spec)
    }
}

impl Drop for OwnedJob {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Returns the route of a job, if it still exists.
pub fn route_of(core: &GatewayCore, spec: &JobSpec) -> Option<Rc<RouteRecord>> {
    core.intent
        .borrow()
        .routes()
        .find_by_name(&spec.route)
        .cloned()
}

fn limits_of(core: &GatewayCore, spec: &JobSpec) -> JobLimits {
    let route = route_of(core, spec);
    let terms = route.as_ref().and_then(|route| route.terms.job.as_ref());
    JobLimits {
        attempts: route
            .as_ref()
            .map_or(DEFAULT_ATTEMPTS, |route| route.terms.max_attempts),
        item_ttl_ms: terms.map_or(DEFAULT_ITEM_TTL_MS, |terms| terms.item_ttl_ms),
        single_version: terms.is_some_and(|terms| terms.single_version),
    }
}
