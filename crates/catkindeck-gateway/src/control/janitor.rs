//! Finds jobs whose owner is gone and removes jobs that need not be readable any more.

use {
    super::lead::ControlWork,
    crate::{
        events::CONTROL_FAILED,
        keys::{self, JobState, MEMBER_PREFIX, MemberRecord, OPEN_PREFIX, OpenRecord},
        peer::{PeerAnswer, PeerCall},
        port::{StoreCondition, StoreItem, Transaction},
    },
    catkindeck::{ServiceError, log_event, time::unix_ms},
    std::{rc::Rc, time::Duration},
    tokio::time::{Instant, sleep},
};

/// How often the processes of the system are read.
const LOOK_INTERVAL: Duration = Duration::from_millis(1_000);

/// The longest time between two reads of all jobs.
const JOBS_INTERVAL: Duration = Duration::from_millis(2_500);

/// The time after its submission within which a job reaches its owner, in milliseconds.
const PLACING_MS: u64 = 1_500;

/// How long a process must be missing before its jobs are taken over. Leases that ended while the
/// store was away come back within this time.
const MISSING_LIMIT: Duration = Duration::from_millis(900);

/// The keys that one transaction removes.
const REMOVAL_LIMIT: usize = 30;

/// The care for jobs, for as long as this process does the control work.
pub struct JobJanitor {
    work: Rc<ControlWork>,
}

impl JobJanitor {
    /// Makes the janitor.
    pub fn new(work: Rc<ControlWork>) -> Rc<Self> {
        Rc::new(Self { work })
    }

    /// Cares for jobs until the task is ended.
    pub async fn run(self: Rc<Self>) {
        let mut missing_since: Option<Instant> = Some(Instant::now());
        let mut jobs_read: Option<Instant> = None;
        loop {
            if let Err(error) = self.look(&mut missing_since, &mut jobs_read).await {
                log_event!(self.work.core.logger, CONTROL_FAILED;
                    "work" => "jobs", "detail" => error.detail);
                // After an outage every process may have to register again.
                missing_since = Some(Instant::now() + LOOK_INTERVAL);
            }
            sleep(LOOK_INTERVAL).await;
        }
    }

    async fn look(
        &self,
        missing_since: &mut Option<Instant>,
        jobs_read: &mut Option<Instant>,
    ) -> Result<(), ServiceError> {
        let core = &self.work.core;
        let listing = core.ports.store.list(MEMBER_PREFIX).await?;
        let members: Vec<MemberRecord> = listing
            .items
            .iter()
            .filter_map(|item| keys::decode_item(item).ok())
            .collect();
        let registrations: Vec<StoreCondition> = listing
            .items
            .into_iter()
            .map(|item| StoreCondition {
                key: item.key,
                revision: item.revision,
            })
            .collect();
        let former = self.work.core.members.replace(members.clone());
        let left = former.iter().any(|member| !contains(&members, member));
        if left && missing_since.is_none() {
            *missing_since = Some(Instant::now());
        }
        let missing = missing_since.is_some_and(|since| since.elapsed() >= MISSING_LIMIT);
        let old = jobs_read.is_none_or(|read| read.elapsed() >= JOBS_INTERVAL);
        if !missing && !old {
            return Ok(());
        }
        let listing = core.ports.store.list(OPEN_PREFIX).await?;
        *jobs_read = Some(Instant::now());
        for item in &listing.items {
            self.care(item, &members, &registrations).await?;
        }
        if missing {
            *missing_since = None;
        }
        self.work.jobs.forget_old(unix_ms());
        Ok(())
    }

    async fn care(
        &self,
        item: &StoreItem,
        members: &[MemberRecord],
        registrations: &[StoreCondition],
    ) -> Result<(), ServiceError> {
        let record: OpenRecord = keys::decode_item(item)?;
        let core = &self.work.core;
        let retention_ms = core.settings().bounds.job_retention_ms;
        if record.state != JobState::Running
            && record.submitted_ms.saturating_add(retention_ms) < unix_ms()
        {
            return self.remove(item, &record).await;
        }
        if record.state != JobState::Running {
            return Ok(());
        }
        if record.owner.incarnation == core.incarnation || contains(members, &record.owner) {
            return self.check_owner(item, record).await;
        }
        let key = keys::member_key(&record.owner.host);
        let known = registrations.iter().find(|known| known.key == key);
        let registration = known
            .cloned()
            .unwrap_or(StoreCondition { key, revision: 0 });
        let taken = self.work.jobs.take_over(item, Some(registration)).await;
        if let Err(error) = taken {
            log_event!(core.logger, CONTROL_FAILED;
                "work" => "take over", "job" => &record.job, "detail" => error.detail);
        }
        Ok(())
    }

    /// Takes over a job whose owner lives and does not know of it, because the process that accepted
    /// the job ended before it told the owner.
    async fn check_owner(&self, item: &StoreItem, record: OpenRecord) -> Result<(), ServiceError> {
        let core = &self.work.core;
        let is_new = record.submitted_ms.saturating_add(PLACING_MS) > unix_ms();
        if is_new || self.work.jobs.owned(&record.job).is_some() {
            return Ok(());
        }
        if record.owner.incarnation != core.incarnation {
            let call = PeerCall::Knows {
                job: record.job.clone(),
            };
            let answer = core
                .call_peer(record.owner.peer, &call, Duration::ZERO)
                .await;
            if !matches!(answer, Ok(PeerAnswer::NotOwner)) {
                return Ok(());
            }
        }
        self.work.jobs.take_over(item, None).await
    }

    /// Removes a job with everything that is stored of it.
    async fn remove(&self, item: &StoreItem, record: &OpenRecord) -> Result<(), ServiceError> {
        let store = &self.work.core.ports.store;
        let listing = store.list(&keys::job_prefix(&record.job)).await?;
        let mut names: Vec<String> = listing.items.into_iter().map(|item| item.key).collect();
        while names.len() > REMOVAL_LIMIT {
            let transaction = Transaction {
                removals: names.split_off(names.len() - REMOVAL_LIMIT),
                ..Transaction::default()
            };
            store.commit(&transaction).await?;
        }
        // The key that says who runs the job goes last, so that an interrupted removal goes on.
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
