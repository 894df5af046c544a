//! Takes over jobs whose owner is lost, and removes expired jobs.

use {
    super::election::LeaderElection,
    crate::{
        events::MAINTENANCE_FAILED,
        jobs::takeover::{TAKEOVER_CONCURRENCY, oldest_first},
        keys::{self, JOB_RECORD_PREFIX, JobRecord, JobState, MEMBER_PREFIX, MemberRecord},
        peer::{PeerCall, PeerResponse},
        port::{StoreCondition, StoreItem, Transaction},
    },
    catkindeck::{ErrorKind, ServiceError, id::IncarnationId, log_event},
    catkindeck_policy::direct::EndedJobs,
    futures_util::stream::{self, StreamExt},
    std::{cell::RefCell, rc::Rc, time::Duration},
    tokio::time::{Instant, sleep, sleep_until},
};

/// The longest time between two scans of all jobs.
const SCAN_INTERVAL: Duration = Duration::from_millis(2_500);

/// The pause after a failed scan.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// The age up to which a new job may still be on its way to its owner, in milliseconds.
const HAND_OVER_GRACE_MS: u64 = 1_500;

/// How long after a store outage no process is considered lost. Processes whose leases ended during the outage
/// register again within this time.
const RECOVERY_GRACE: Duration = Duration::from_millis(1_200);

/// The number of keys that one transaction removes.
const REMOVAL_LIMIT: usize = 30;

/// Asks owners about their jobs during one scan.
///
/// An owner that does not answer for one job is not asked for the others. Each call to a lost owner takes its whole
/// timeout, and while a scan lasts the end of the owner's lease is not noticed.
#[derive(Debug, Default)]
pub struct OwnerProbe {
    unresponsive: RefCell<Vec<IncarnationId>>,
}

impl OwnerProbe {
    /// Returns whether an owner claims a job, according to its response to a call. No answer counts as yes, because
    /// a process that is only silent for a while keeps its jobs until its lease ends.
    pub async fn is_claimed(
        &self,
        owner: IncarnationId,
        call: impl Future<Output = Result<PeerResponse, ServiceError>>,
    ) -> bool {
        if self.unresponsive.borrow().contains(&owner) {
            return true;
        }
        match call.await {
            Ok(response) => !matches!(response, PeerResponse::NotOwner),
            Err(_) => {
                self.unresponsive.borrow_mut().push(owner);
                true
            }
        }
    }
}

/// Monitors the jobs of all processes while this process is the leader.
pub struct JobSupervisor {
    election: Rc<LeaderElection>,
    ended: RefCell<EndedJobs>,
}

impl JobSupervisor {
    pub fn new(election: Rc<LeaderElection>) -> Rc<Self> {
        Rc::new(Self {
            election,
            ended: RefCell::default(),
        })
    }

    /// Scans jobs until the task is aborted.
    pub async fn run(self: Rc<Self>) {
        let mut grace_until = self.grace_until();
        loop {
            match self.scan(Instant::now() >= grace_until).await {
                Ok(revision) => self.wait_for_change(revision).await,
                Err(error) => {
                    log_event!(self.election.core.logger, MAINTENANCE_FAILED;
                        "work" => "jobs", "detail" => error.detail);
                    grace_until = Instant::now() + RECOVERY_GRACE;
                    sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Returns until when a new leader considers no process lost. Often there is a new leader because all
    /// leases ended during a store outage.
    fn grace_until(&self) -> Instant {
        let now = Instant::now();
        let store_recovered_at = self.election.core.relay.store_recovered_at();
        store_recovered_at.map_or(now, |store_recovered_at| {
            now.max(store_recovered_at + RECOVERY_GRACE)
        })
    }

    /// Waits until a process registers or is removed, or until the next scan is due.
    async fn wait_for_change(&self, revision: u64) {
        let next = Instant::now() + SCAN_INTERVAL;
        let store = &self.election.core.ports.store;
        let watched = store.watch(MEMBER_PREFIX, revision, SCAN_INTERVAL).await;
        if watched.is_err() {
            sleep_until(next).await;
        }
    }

    /// Scans all jobs and returns the store's revision of the list of processes.
    async fn scan(&self, may_take_over: bool) -> Result<u64, ServiceError> {
        let core = &self.election.core;
        // Jobs are read before the processes, so that every owner named in a job has already registered.
        let jobs = match may_take_over {
            true => core.ports.store.list(JOB_RECORD_PREFIX).await?.items,
            false => Vec::new(),
        };
        let listing = core.ports.store.list(MEMBER_PREFIX).await?;
        let revision = listing.revision;
        core.set_members(&listing.items);
        let members = core.members.borrow().clone();
        let registrations: Vec<StoreCondition> = listing
            .items
            .into_iter()
            .map(|item| StoreCondition {
                key: item.key,
                revision: item.revision,
            })
            .collect();
        if may_take_over {
            let is_listed = |job: &str| {
                let key = keys::job_record_key(job);
                // The store lists keys in order.
                jobs.binary_search_by(|item| item.key.cmp(&key)).is_ok()
            };
            self.ended.borrow_mut().retain_listed(is_listed);
        }
        self.check_jobs(&jobs, &members, &registrations).await?;
        self.election.jobs.drop_expired(core.unix_ms());
        Ok(revision)
    }

    /// Checks jobs, the oldest first. A failure does not stop the others, because all jobs of a lost owner wait
    /// for a takeover.
    async fn check_jobs(
        &self,
        jobs: &[StoreItem],
        members: &[MemberRecord],
        registrations: &[StoreCondition],
    ) -> Result<(), ServiceError> {
        let probe = OwnerProbe::default();
        let checks = oldest_first(jobs).into_iter().map(async |item| {
            let outcome = self.check_job(&probe, item, members, registrations).await;
            outcome.map_err(|error| {
                log_event!(self.election.core.logger, MAINTENANCE_FAILED;
                    "work" => "care", "key" => &item.key, "detail" => &error.detail);
                error.kind
            })
        });
        let checks = stream::iter(checks).buffer_unordered(TAKEOVER_CONCURRENCY);
        let outcomes: Vec<Result<(), ErrorKind>> = checks.collect().await;
        if outcomes.contains(&Err(ErrorKind::StoreUnavailable)) {
            let detail = format!(
                "cannot check all of {} jobs: the store is unavailable",
                jobs.len()
            );
            return Err(ServiceError::not_run(ErrorKind::StoreUnavailable, detail));
        }
        Ok(())
    }

    async fn check_job(
        &self,
        probe: &OwnerProbe,
        item: &StoreItem,
        members: &[MemberRecord],
        registrations: &[StoreCondition],
    ) -> Result<(), ServiceError> {
        let record: JobRecord = keys::decode_item(item)?;
        let core = &self.election.core;
        match record.state {
            JobState::Running => {}
            // Its results are kept until its caller ends it.
            JobState::Complete => return Ok(()),
            JobState::Cancelled => {
                let retention_ms = core.settings().bounds.job_retention_ms;
                let is_expired = record.submitted_ms.saturating_add(retention_ms) < core.unix_ms();
                let is_due = self.ended.borrow_mut().observe(core.now(), &record.job);
                return match is_expired && is_due {
                    true => self.remove(item, &record).await,
                    false => Ok(()),
                };
            }
        }
        if record.owner.incarnation == core.incarnation || contains(members, &record.owner) {
            return self.check_owner(probe, item, record).await;
        }
        let host = members
            .iter()
            .find(|member| member.host == record.owner.host);
        if let Some(host) = host
            && self.is_claimed(probe, host, &record.job).await
        {
            // The restarted process on the owner's host reclaims its jobs itself.
            return Ok(());
        }
        let key = keys::member_key(&record.owner.host);
        let known = registrations.iter().find(|known| known.key == key);
        let registration = known
            .cloned()
            .unwrap_or(StoreCondition { key, revision: 0 });
        self.election
            .jobs
            .assign_lost(item, Some(registration))
            .await
    }

    /// Takes over a job whose owner is alive but does not know of it, because the process that accepted the job
    /// ended before it handed the job over.
    async fn check_owner(
        &self,
        probe: &OwnerProbe,
        item: &StoreItem,
        record: JobRecord,
    ) -> Result<(), ServiceError> {
        let now_ms = self.election.core.unix_ms();
        let is_new = record.submitted_ms.saturating_add(HAND_OVER_GRACE_MS) > now_ms;
        if is_new || self.election.jobs.owned(&record.job).is_some() {
            return Ok(());
        }
        if self.is_claimed(probe, &record.owner, &record.job).await {
            return Ok(());
        }
        self.election.jobs.assign_lost(item, None).await
    }

    /// Returns whether a live process runs a job or is about to.
    async fn is_claimed(&self, probe: &OwnerProbe, member: &MemberRecord, job: &str) -> bool {
        let core = &self.election.core;
        if member.incarnation == core.incarnation {
            return self.election.jobs.is_responsible(job);
        }
        let call = PeerCall::IsResponsible {
            job: job.to_owned(),
        };
        let response = core.call_peer(member.peer, &call, Duration::ZERO);
        probe.is_claimed(member.incarnation, response).await
    }

    /// Removes a job with all its data.
    async fn remove(&self, item: &StoreItem, record: &JobRecord) -> Result<(), ServiceError> {
        let store = &self.election.core.ports.store;
        let listing = store.list(&keys::job_prefix(&record.job)).await?;
        let mut names: Vec<String> = listing.items.into_iter().map(|item| item.key).collect();
        while names.len() > REMOVAL_LIMIT {
            let transaction = Transaction {
                removals: names.split_off(names.len() - REMOVAL_LIMIT),
                ..Transaction::default()
            };
            store.commit(&transaction).await?;
        }
        // The job record is removed last, so that an interrupted removal is continued by a later scan.
        names.push(item.key.clone());
        let transaction = Transaction {
            conditions: vec![StoreCondition {
                key: item.key.clone(),
                revision: item.revision,
            }],
            removals: names,
            ..Transaction::default()
        };
        store.commit(&transaction).await?;
        Ok(())
    }
}

fn contains(members: &[MemberRecord], member: &MemberRecord) -> bool {
    let same =
        |other: &MemberRecord| other.host == member.host && other.incarnation == member.incarnation;
    members.iter().any(same)
}
