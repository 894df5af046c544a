//! Acceptance of submitted jobs.

use {
    super::{owned::OwnedJob, service::JobService},
    crate::{
        caller_handler::AdmittedRequest,
        events::{JOB_ACCEPTED, JOB_LOST, JOB_REFUSED},
        keys::{self, JobRecord, JobState},
        peer::{JobHandOver, PeerCall, PeerResponse},
        port::{
            BufferedResponse, CommitOutcome, StoreCondition, StoreItem, StoreWrite, Transaction,
        },
    },
    bytes::Bytes,
    catkindeck::{ErrorKind, ServiceError, error::ExecutionOutcome, id::ObjectName, log_event},
    catkindeck_policy::direct::JobSpec,
    http::{Response, StatusCode},
    std::{rc::Rc, time::Duration},
    tokio::time::{Instant, sleep},
};

/// The largest number of parts of a submission. One transaction holds them and the job's record.
const PART_LIMIT: usize = 30;

/// The pause before a write is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// How long an acceptance is retried while no process can reach the store. Outages of a few seconds are common,
/// and a job that is refused twice means a lost rollout step. After a longer outage the step could not be
/// completed in time anyway.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(5_000);

impl JobService {
    /// Accepts a job exactly once, even if it is submitted repeatedly or to several processes.
    ///
    /// The call succeeds only after the store has confirmed the complete job. It is refused only if no write has
    /// an unknown outcome, because such a write may take effect seconds later.
    ///
    /// The job belongs to the customer of the request, which has none on an open route; `caller` is the customer of the
    /// key in any case and decides whether the submission may repeat that of a job that exists.
    ///
    /// # Errors
    ///
    /// Returns the reason, with the execution outcome that is known for the job.
    pub async fn submit(
        self: &Rc<Self>,
        request: &AdmittedRequest,
        caller: Option<&ObjectName>,
    ) -> Result<BufferedResponse, ServiceError> {
        let outcome = self.accept(request, caller).await;
        match outcome {
            Ok(()) => Ok(accepted_response()),
            Err(error) => {
                self.core.metrics.jobs.with_label_values(&["refused"]).inc();
                log_event!(self.core.logger, JOB_REFUSED;
                    "job" => &request.head.id, "kind" => error.kind.response().name,
                    "execution" => format!("{:?}", error.execution), "detail" => &error.detail);
                Err(error)
            }
        }
    }

    /// Answers a submission that is not admitted: its route was closed or removed, perhaps since the job was accepted.
    /// Returns `None` if there is no such job.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller may not use the job, and `store_unavailable` if it is not known whether there is one.
    pub async fn repeat_submission(
        &self,
        job: &str,
        caller: Option<&ObjectName>,
    ) -> Result<Option<BufferedResponse>, ServiceError> {
        keys::check_job_id(job)?;
        let known = self.owned(job).map(|known| known.record.borrow().clone());
        let record = match known {
            Some(record) => record,
            None => {
                let key = keys::job_record_key(job);
                match self.core.ports.store.read(&key).await?.item {
                    Some(item) => keys::decode_item(&item)?,
                    None => return Ok(None),
                }
            }
        };
        self.check_access(job, record.customer.as_ref(), caller)?;
        Ok(Some(accepted_response()))
    }

    /// Accepts a job for the customer of an admitted request. Whether the caller may repeat the submission of a job that
    /// exists already depends on that job, not on what its route asks for now.
    async fn accept(
        self: &Rc<Self>,
        request: &AdmittedRequest,
        caller: Option<&ObjectName>,
    ) -> Result<(), ServiceError> {
        let customer = request.customer.as_ref();
        let route = &request.matched.route;
        keys::check_job_id(&request.head.id)?;
        if let Some(known) = self.owned(&request.head.id) {
            return self.check_access(&known.spec.id, known.spec.customer.as_ref(), caller);
        }
        if self.core.is_shutting_down() {
            let detail = "this process is shutting down";
            return Err(ServiceError::not_run(ErrorKind::ShuttingDown, detail));
        }
        let callers = &self.core.ports.callers;
        let spec = callers.decode_job(&request.head, &route.name, customer, &request.body)?;
        let spec = JobSpec {
            submitted_ms: self.core.unix_ms(),
            ..spec
        };
        let spec = Rc::new(spec);
        let owner = self.choose_owner(&spec, &route.service);
        let record = JobRecord {
            job: spec.id.clone(),
            owner: owner.clone(),
            state: JobState::Running,
            customer: customer.cloned(),
            submitted_ms: spec.submitted_ms,
        };
        let transaction = self.submission_transaction(&spec, &record)?;
        let accepted = self
            .write_submission(&transaction, (request.arrived, request.expires))
            .await?;
        let revision = match accepted {
            SubmitOutcome::Created(revision) => revision,
            SubmitOutcome::Existing(item) => {
                let found: JobRecord = keys::decode_item(&item)?;
                self.check_access(&found.job, found.customer.as_ref(), caller)?;
                // An equal record means that an earlier attempt of this call succeeded and its response was
                // lost.
                if found != record {
                    return Ok(());
                }
                item.revision
            }
        };
        if owner.incarnation == self.core.incarnation {
            self.start_local(spec, record, revision);
        } else {
            tokio::task::spawn_local(Rc::clone(self).hand_to_owner(spec, record, revision));
        }
        Ok(())
    }

    /// Hands an accepted job to the owner that its record names, or takes it back if the owner does not answer.
    async fn hand_to_owner(self: Rc<Self>, spec: Rc<JobSpec>, record: JobRecord, revision: u64) {
        let call = PeerCall::HandOver(Box::new(JobHandOver {
            record: record.clone(),
            revision,
            former: self.own_record(),
            spec: Some((*spec).clone()),
            progress: Vec::new(),
        }));
        let owner = record.owner.clone();
        let response = self
            .core
            .call_peer_with_fallback(&owner, &call, Duration::ZERO);
        if let Ok(PeerResponse::Done) = response.await {
            log_event!(self.core.logger, JOB_ACCEPTED;
                "job" => &spec.id, "route" => %spec.route, "items" => spec.items.len(),
                "customer" => spec.customer.as_ref().map(ToString::to_string),
                "least_version" => spec.least_version.0, "revision" => revision,
                "runner" => %owner.host);
            self.cache_owner(&spec.id, record.owner);
            return;
        }
        // The change of the record makes later writes of that owner fail, whether or not it received the job.
        let record = JobRecord {
            owner: self.own_record(),
            ..record
        };
        match self.write_record(&record, revision).await {
            Ok(CommitOutcome::Committed(revision)) => self.start_local(spec, record, revision),
            // The owner received the job, or another process has noticed that it is missing and taken it over.
            outcome => log_event!(self.core.logger, JOB_LOST;
                "job" => &spec.id, "owner" => %owner.host, "outcome" => format!("{outcome:?}")),
        }
    }

    fn start_local(self: &Rc<Self>, spec: Rc<JobSpec>, record: JobRecord, revision: u64) {
        self.core
            .metrics
            .jobs
            .with_label_values(&["accepted"])
            .inc();
        log_event!(self.core.logger, JOB_ACCEPTED;
            "job" => &spec.id, "route" => %spec.route, "items" => spec.items.len(),
                "customer" => spec.customer.as_ref().map(ToString::to_string),
            "least_version" => spec.least_version.0, "revision" => revision);
        let job = OwnedJob::new(&self.core, spec, record, revision, Vec::new());
        self.reuse_texts(&job);
        self.insert(job);
    }

    fn submission_transaction(
        &self,
        spec: &JobSpec,
        record: &JobRecord,
    ) -> Result<Transaction, ServiceError> {
        let encoded = keys::encode(spec)?;
        let max_part_bytes = self.max_part_bytes();
        let parts = encoded.chunks(max_part_bytes);
        if parts.len() > PART_LIMIT {
            let limit = PART_LIMIT * max_part_bytes;
            let detail = format!("the job exceeds the limit of {limit} bytes");
            return Err(ServiceError::not_run(ErrorKind::TooLarge, detail));
        }
        let mut writes: Vec<StoreWrite> = parts
            .enumerate()
            .map(|(index, part)| StoreWrite {
                key: keys::spec_key(&spec.id, index),
                value: part.to_vec(),
                lease: None,
            })
            .collect();
        let job_record_key = keys::job_record_key(&spec.id);
        writes.push(StoreWrite {
            key: job_record_key.clone(),
            value: keys::encode(record)?,
            lease: None,
        });
        Ok(Transaction {
            conditions: vec![StoreCondition {
                key: job_record_key,
                revision: 0,
            }],
            writes,
            removals: Vec::new(),
        })
    }

    async fn write_submission(
        &self,
        transaction: &Transaction,
        (arrived, expires): (Instant, Instant),
    ) -> Result<SubmitOutcome, ServiceError> {
        let mut in_doubt = false;
        loop {
            let error = match self.core.ports.store.commit(transaction).await {
                Ok(CommitOutcome::Committed(revision)) => {
                    return Ok(SubmitOutcome::Created(revision));
                }
                Ok(CommitOutcome::Conflict(items)) => {
                    let key = &transaction.conditions[0].key;
                    match items.into_iter().find(|item| item.key == *key) {
                        Some(item) => return Ok(SubmitOutcome::Existing(item)),
                        None => unexpected_response_error(
                            "the store reported a conflict without the conflicting item",
                        ),
                    }
                }
                Ok(CommitOutcome::LeaseGone) => unexpected_response_error(
                    "the store reported an ended lease, but the transaction uses no lease",
                ),
                Err(error) => error,
            };
            in_doubt |= error.execution != ExecutionOutcome::NotRun;
            // Store calls fall back to peers, so if this process cannot reach the store, none can. If the outcome
            // is unknown, only this call can determine it, because the write may take effect later.
            let until = match in_doubt {
                true => expires,
                false => expires.min(arrived + ACCEPT_TIMEOUT),
            };
            let next_trial = self.time_to_trial().max(RETRY_PAUSE);
            if Instant::now() + next_trial >= until {
                return Err(match in_doubt {
                    true => ServiceError::unknown(ErrorKind::OutcomeUnknown, error.detail),
                    false => ServiceError::not_run(ErrorKind::StoreUnavailable, error.detail),
                });
            }
            sleep(RETRY_PAUSE).await;
        }
    }

    /// Returns the time until this process calls the store again, if no process reaches it.
    fn time_to_trial(&self) -> Duration {
        if !self.core.shares_plain_room() {
            return Duration::ZERO;
        }
        let wait_ms = self.core.relay.trial_wait_ms(self.core.now());
        Duration::from_millis(wait_ms.unwrap_or(0))
    }

    /// Returns the largest size of one part of a submission or of one value with results, in bytes.
    pub(super) fn max_part_bytes(&self) -> usize {
        // Values are sent as base64 in a request body whose size the store limits as well.
        self.core.settings().value_bytes / 2
    }
}

/// The outcome of writing a new job to the store.
enum SubmitOutcome {
    /// The job was created; holds the revision of its record.
    Created(u64),
    /// A job with this identifier exists already; holds its record.
    Existing(StoreItem),
}

fn accepted_response() -> BufferedResponse {
    let mut response = Response::new(Bytes::new());
    *response.status_mut() = StatusCode::ACCEPTED;
    response
}

fn unexpected_response_error(detail: &str) -> ServiceError {
    ServiceError::unknown(ErrorKind::StoreUnavailable, detail)
}
