//! Writes of finished results to the store.

use {
    super::{owned::OwnedJob, service::JobService},
    crate::{
        events::{
            ITEM_GIVEN_UP, JOB_CANCELLED, JOB_COMPLETED, JOB_LOST, RESULTS_LISTED, RESULTS_UNSTORED,
        },
        keys::{self, JobRecord, JobState},
        port::{CommitOutcome, StoreCondition, StoreItem, StoreWrite, Transaction},
    },
    catkindeck::{ExecutionOutcome, ServiceError, log_event},
    catkindeck_policy::direct::{ResultCommit, ResultState},
    std::{rc::Rc, time::Duration},
    tokio::time::sleep,
};

/// The pause before a write of results is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// The outcome of a write of results.
enum WriteOutcome {
    Stored,
    /// The job record was changed since this process read it; holds the record as now stored, if it exists.
    Changed(Option<StoreItem>),
    /// Different results are stored at the next position, so this process does not know all listed results.
    Superseded,
}

impl JobService {
    /// Starts to store the results that are due, unless a write is already in progress.
    pub(super) fn commit(self: &Rc<Self>, job: &Rc<OwnedJob>) {
        if job.is_lost.get() {
            return;
        }
        let max_part_bytes = self.max_part_bytes();
        let commit = job
            .job
            .borrow_mut()
            .next_commit(self.core.now(), max_part_bytes);
        let Some(commit) = commit else { return };
        let service = Rc::clone(self);
        let job = Rc::clone(job);
        // Aborting the runs of a job must not abort a write, so this task is not registered with them.
        tokio::task::spawn_local(async move { service.store_results(&job, commit).await });
    }

    async fn store_results(self: &Rc<Self>, job: &Rc<OwnedJob>, mut commit: ResultCommit) {
        let mut in_doubt = false;
        loop {
            if job.record.borrow().state == JobState::Cancelled {
                job.job.borrow_mut().abandon_commit();
                if in_doubt {
                    // The write may have taken effect before the cancellation, so only the store knows which
                    // results are listed.
                    self.remove(&job.spec.id);
                }
                return;
            }
            let outcome = match self.results_transaction(job, &commit) {
                Ok(transaction) => self.write_results(job, &transaction).await,
                Err(error) => Err(error),
            };
            match outcome {
                Ok(WriteOutcome::Stored) => {
                    self.record_stored(job, &commit);
                    self.commit(job);
                    return;
                }
                Ok(WriteOutcome::Changed(item)) => {
                    job.job.borrow_mut().abandon_commit();
                    self.apply_record_change(job, item);
                    // If this process still owns the job, the scheduler writes the due results again.
                    self.core.capacity.notify_one();
                    return;
                }
                Ok(WriteOutcome::Superseded) => {
                    log_event!(self.core.logger, JOB_LOST;
                        "job" => &job.spec.id, "first" => commit.first,
                        "detail" => "different results are stored at the next position");
                    // The leader detects that this process no longer runs the job, and has it loaded from the
                    // store.
                    self.remove(&job.spec.id);
                    return;
                }
                Err(error) => {
                    log_event!(self.core.logger, RESULTS_UNSTORED;
                        "job" => &job.spec.id, "first" => commit.first,
                        "count" => commit.items.len(), "detail" => error.detail);
                    in_doubt |= error.execution != ExecutionOutcome::NotRun;
                    sleep(RETRY_PAUSE).await;
                }
            }
            if job.is_lost.get() {
                return;
            }
            // A write whose outcome is unknown is repeated unchanged, so that it can be recognised by its value.
            if !in_doubt {
                match self.rebuild_commit(job) {
                    Some(larger) => commit = larger,
                    None => return,
                }
            }
        }
    }

    /// Rebuilds a commit that did not take effect, including results that were finished in the meantime.
    fn rebuild_commit(&self, job: &OwnedJob) -> Option<ResultCommit> {
        let max_part_bytes = self.max_part_bytes();
        let mut state = job.job.borrow_mut();
        state.abandon_commit();
        state.next_commit(self.core.now(), max_part_bytes)
    }

    fn results_transaction(
        &self,
        job: &OwnedJob,
        commit: &ResultCommit,
    ) -> Result<Transaction, ServiceError> {
        let job_record_key = keys::job_record_key(&job.spec.id);
        let result_key = keys::result_key(&job.spec.id, commit.first);
        let mut writes = vec![StoreWrite {
            key: result_key.clone(),
            value: keys::encode(&commit.results)?,
            lease: None,
        }];
        if commit.is_last {
            let record = JobRecord {
                state: JobState::Complete,
                ..job.record.borrow().clone()
            };
            writes.push(StoreWrite {
                key: job_record_key.clone(),
                value: keys::encode(&record)?,
                lease: None,
            });
        }
        Ok(Transaction {
            conditions: vec![
                StoreCondition {
                    key: job_record_key,
                    revision: job.revision.get(),
                },
                StoreCondition {
                    key: result_key,
                    revision: 0,
                },
            ],
            writes,
            removals: Vec::new(),
        })
    }

    async fn write_results(
        &self,
        job: &OwnedJob,
        transaction: &Transaction,
    ) -> Result<WriteOutcome, ServiceError> {
        let outcome = self.core.ports.store.commit(transaction).await?;
        let items = match outcome {
            CommitOutcome::Committed(revision) => {
                if transaction.writes.len() > 1 {
                    job.revision.set(revision);
                    job.record.borrow_mut().state = JobState::Complete;
                }
                return Ok(WriteOutcome::Stored);
            }
            CommitOutcome::Conflict(items) => items,
            CommitOutcome::LeaseGone => Vec::new(),
        };
        let [record_condition, result_condition] = &transaction.conditions[..] else {
            return Ok(WriteOutcome::Changed(None));
        };
        let found = |key: &str| items.iter().find(|item| item.key == key);
        let stored = found(&result_condition.key);
        let current = found(&record_condition.key);
        let record = current.and_then(|item| keys::decode_item::<JobRecord>(item).ok());
        let own = record.filter(|record| record.owner.incarnation == self.core.incarnation);
        // If exactly these results are stored, an earlier attempt succeeded and its response was lost. Results
        // of another owner may be stored instead if this process was disconnected for long.
        let is_same = stored.is_some_and(|stored| stored.value == transaction.writes[0].value);
        match (own, current) {
            (Some(record), Some(current)) if is_same => {
                self.adopt_job_record(job, record, current.revision);
                Ok(WriteOutcome::Stored)
            }
            (Some(_), Some(_)) if stored.is_some() => Ok(WriteOutcome::Superseded),
            (_, current) => Ok(WriteOutcome::Changed(current.cloned())),
        }
    }

    fn record_stored(&self, job: &OwnedJob, commit: &ResultCommit) {
        job.job.borrow_mut().confirm_commit(commit);
        let given_up = commit.results.iter();
        for result_condition in
            given_up.filter(|result_condition| result_condition.state == ResultState::Aborted)
        {
            log_event!(self.core.logger, ITEM_GIVEN_UP;
                "job" => &job.spec.id, "item" => &result_condition.id,
                "attempts_allowed" => job.job.borrow().limits().attempts,
                "bytes" => result_condition.text.len());
        }
        let results = commit.results.iter().cloned().map(Rc::new);
        job.results.borrow_mut().extend(results);
        job.listed.notify_waiters();
        log_event!(self.core.logger, RESULTS_LISTED;
            "job" => &job.spec.id, "first" => commit.first, "count" => commit.results.len());
        if commit.is_last {
            self.core.metrics.jobs.with_label_values(&["whole"]).inc();
            log_event!(self.core.logger, JOB_COMPLETED;
                "job" => &job.spec.id, "items" => job.spec.items.len());
        }
    }

    /// Adopts the record of an own job as another process changed it. If that process cancelled the job, its runs stop
    /// and no more start.
    fn adopt_job_record(&self, job: &OwnedJob, record: JobRecord, revision: u64) {
        let was_cancelled = job.record.borrow().state == JobState::Cancelled;
        if record.state == JobState::Cancelled && !was_cancelled {
            log_event!(self.core.logger, JOB_CANCELLED;
                "job" => &job.spec.id, "by" => "another process", "revision" => revision);
            self.learn_step_end(job);
            job.job.borrow_mut().end();
            job.stop();
        }
        job.revision.set(revision);
        *job.record.borrow_mut() = record;
    }

    /// Handles a conflicting job record: the job was cancelled, or another process owns it.
    pub(super) fn apply_record_change(&self, job: &OwnedJob, item: Option<StoreItem>) {
        let record = item
            .as_ref()
            .and_then(|item| keys::decode_item::<JobRecord>(item).ok());
        let own = self.own_record();
        match (item, record) {
            (Some(item), Some(record)) if record.owner.incarnation == own.incarnation => {
                self.adopt_job_record(job, record, item.revision);
            }
            (_, record) => {
                let owner = record.map(|record| record.owner.host.to_string());
                log_event!(self.core.logger, JOB_LOST;
                    "job" => &job.spec.id, "owner" => owner);
                self.remove(&job.spec.id);
            }
        }
    }
}
