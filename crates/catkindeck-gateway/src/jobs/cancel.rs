//! Cancellation of a job by its caller.

use {
    super::{
        owned::OwnedJob,
        service::{JobService, not_found_error},
    },
    crate::{
        events::JOB_CANCELLED,
        keys::{self, JobRecord, JobState},
        peer::{PeerCall, PeerResponse},
        port::{CommitOutcome, StoreCondition, StoreWrite, Transaction},
    },
    catkindeck::{ErrorKind, ServiceError, id::ObjectName, log_event},
    std::{rc::Rc, time::Duration},
    tokio::time::{Instant, sleep},
};

/// The longest time for which a cancellation is attempted. Callers retry a failed cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(2_500);

/// How long another process may take to cancel a job that it owns.
const OWNER_CANCEL_TIMEOUT: Duration = Duration::from_millis(400);

/// How often the owner of a cancelled job is notified. After that it learns of the cancellation from the store.
const NOTIFY_ATTEMPTS: u32 = 3;

/// The pause between two attempts.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

impl JobService {
    /// Cancels a job. Repeating the call has no effect.
    ///
    /// Running items are aborted at once. The call returns after the cancellation was stored, so that no process
    /// that takes over the job starts it again.
    ///
    /// # Errors
    ///
    /// Returns `not_found` if there is no such job, and `store_unavailable` if the cancellation could not be
    /// stored.
    pub async fn cancel(
        self: &Rc<Self>,
        job: &str,
        customer: Option<&ObjectName>,
    ) -> Result<(), ServiceError> {
        keys::check_job_id(job)?;
        if let Some(owned) = self.owned(job) {
            return self.cancel_local(&owned, customer).await;
        }
        let call = PeerCall::CancelJob {
            job: job.to_owned(),
            customer: customer.cloned(),
        };
        match self.call_owner(job, &call, OWNER_CANCEL_TIMEOUT).await? {
            Some(PeerResponse::Done) => Ok(()),
            _ => self.cancel_stored(job, customer).await,
        }
    }

    /// Cancels a job that this process owns.
    pub(crate) async fn cancel_local(
        self: &Rc<Self>,
        job: &Rc<OwnedJob>,
        customer: Option<&ObjectName>,
    ) -> Result<(), ServiceError> {
        self.check_access(&job.spec.id, job.spec.customer.as_ref(), customer)?;
        if job.record.borrow().state == JobState::Cancelled {
            return Ok(());
        }
        if !job.job.borrow().is_ended() {
            job.job.borrow_mut().end();
            self.stop_ended(job);
            self.core.metrics.jobs.with_label_values(&["ended"]).inc();
            log_event!(self.core.logger, JOB_CANCELLED;
                "job" => &job.spec.id, "by" => "caller",
                "listed" => job.results.borrow().len(), "items" => job.spec.items.len());
        }
        let pace_write = self.record_step_end(job)?;
        let carry_write = self.carry_write(job)?;
        let until = Instant::now() + CANCEL_TIMEOUT;
        loop {
            let record = JobRecord {
                state: JobState::Cancelled,
                ..job.record.borrow().clone()
            };
            let mut transaction = record_transaction(&record, job.revision.get())?;
            transaction.writes.extend(pace_write.clone());
            transaction.writes.extend(carry_write.clone());
            match self.core.ports.store.commit(&transaction).await {
                Ok(CommitOutcome::Committed(revision)) => {
                    job.revision.set(revision);
                    *job.record.borrow_mut() = record;
                    return Ok(());
                }
                Ok(CommitOutcome::Conflict(items)) => {
                    self.apply_record_change(job, items.into_iter().next());
                    if job.is_lost.get() {
                        return self.cancel_stored(&job.spec.id, customer).await;
                    }
                    if job.record.borrow().state == JobState::Cancelled {
                        return Ok(());
                    }
                }
                Ok(CommitOutcome::LeaseGone) => {}
                Err(error) if Instant::now() >= until => return Err(error),
                Err(_) => {}
            }
            if Instant::now() >= until {
                return Err(not_stored_error());
            }
            sleep(RETRY_PAUSE).await;
        }
    }

    /// Cancels a job in the store because its owner does not answer, and notifies the owner that the record
    /// names.
    async fn cancel_stored(
        self: &Rc<Self>,
        job: &str,
        customer: Option<&ObjectName>,
    ) -> Result<(), ServiceError> {
        let until = Instant::now() + CANCEL_TIMEOUT;
        loop {
            let response = self
                .core
                .ports
                .store
                .read(&keys::job_record_key(job))
                .await?;
            let item = response.item.ok_or_else(not_found_error)?;
            let record: JobRecord = keys::decode_item(&item)?;
            self.check_access(job, record.customer.as_ref(), customer)?;
            if record.state == JobState::Cancelled {
                return Ok(());
            }
            let cancelled = JobRecord {
                state: JobState::Cancelled,
                ..record
            };
            let written = self.write_record(&cancelled, item.revision).await;
            if let Ok(CommitOutcome::Committed(_)) = written {
                log_event!(self.core.logger, JOB_CANCELLED;
                    "job" => job, "by" => "caller; the owner did not answer", "owner" => %cancelled.owner.host);
                self.forget_owner(job);
                tokio::task::spawn_local(Rc::clone(self).notify_owner(cancelled));
                return Ok(());
            }
            if Instant::now() >= until {
                return Err(not_stored_error());
            }
            sleep(RETRY_PAUSE).await;
        }
    }

    /// Notifies the owner of a job of its cancellation. The owner may have changed, or may only have been slow.
    async fn notify_owner(self: Rc<Self>, record: JobRecord) {
        let call = PeerCall::CancelJob {
            job: record.job.clone(),
            customer: record.customer.clone(),
        };
        for _ in 0..NOTIFY_ATTEMPTS {
            let response = self
                .core
                .call_peer_with_fallback(&record.owner, &call, Duration::ZERO)
                .await;
            if matches!(response, Ok(PeerResponse::Done | PeerResponse::NotOwner)) {
                return;
            }
            sleep(RETRY_PAUSE).await;
        }
    }

    /// Replaces the record of a job if it still has the given revision.
    pub(super) async fn write_record(
        &self,
        record: &JobRecord,
        revision: u64,
    ) -> Result<CommitOutcome, ServiceError> {
        let transaction = record_transaction(record, revision)?;
        self.core.ports.store.commit(&transaction).await
    }
}

/// Builds the transaction that replaces the record of a job if it still has the given revision.
pub(super) fn record_transaction(
    record: &JobRecord,
    revision: u64,
) -> Result<Transaction, ServiceError> {
    let key = keys::job_record_key(&record.job);
    Ok(Transaction {
        conditions: vec![StoreCondition {
            key: key.clone(),
            revision,
        }],
        writes: vec![StoreWrite {
            key,
            value: keys::encode(record)?,
            lease: None,
        }],
        removals: Vec::new(),
    })
}

fn not_stored_error() -> ServiceError {
    ServiceError::not_run(
        ErrorKind::StoreUnavailable,
        "the cancellation of the job could not be stored",
    )
}
