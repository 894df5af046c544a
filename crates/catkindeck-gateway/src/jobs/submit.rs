//! The acceptance of a job.

use {
    super::{owned::OwnedJob, service::JobService},
    crate::{
        events::{JOB_ACCEPTED, JOB_LOST, JOB_REFUSED},
        front::AdmittedRequest,
        keys::{self, JobState, MemberRecord, OpenRecord},
        peer::{JobHandOver, PeerAnswer, PeerCall},
        port::{CommitOutcome, PlainAnswer, StoreCondition, StoreItem, StoreWrite, Transaction},
    },
    bytes::Bytes,
    catkindeck::{ErrorKind, ServiceError, error::ExecutionOutcome, log_event},
    catkindeck_policy::direct::{JobSpec, rank},
    http::{Response, StatusCode},
    std::{rc::Rc, time::Duration},
    tokio::time::{Instant, sleep},
};

/// The writes of one transaction, less the one that says who runs the job.
const PART_LIMIT: usize = 30;

/// The pause before a write whose outcome is unknown is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// The longest time that an acceptance is tried; the caller then tries another process.
const ACCEPT_LIMIT: Duration = Duration::from_millis(3_500);

impl JobService {
    /// Accepts a job once, however often and wherever it is submitted.
    ///
    /// The answer is given after the store has confirmed the whole job. A refusal is only given while
    /// no write was sent whose outcome is unknown: such a write may take effect seconds later.
    ///
    /// # Errors
    ///
    /// Returns the reason with what is known about the job.
    pub async fn submit(
        self: &Rc<Self>,
        request: &AdmittedRequest,
        body: &[u8],
    ) -> Result<PlainAnswer, ServiceError> {
        let outcome = self.accept(request, body).await;
        match outcome {
            Ok(()) => {
                let mut answer = Response::new(Bytes::new());
                *answer.status_mut() = StatusCode::ACCEPTED;
                Ok(answer)
            }
            Err(error) => {
                self.core.metrics.jobs.with_label_values(&["refused"]).inc();
                log_event!(self.core.logger, JOB_REFUSED;
                    "job" => &request.head.id, "kind" => error.kind.answer().name,
                    "execution" => format!("{:?}", error.execution), "detail" => &error.detail);
                Err(error)
            }
        }
    }

    async fn accept(
        self: &Rc<Self>,
        request: &AdmittedRequest,
        body: &[u8],
    ) -> Result<(), ServiceError> {
        let customer = request.customer.as_ref();
        let route = &request.matched.route;
        keys::check_job_id(&request.head.id)?;
        if let Some(known) = self.owned(&request.head.id) {
            return super::service::check_customer(known.spec.customer.as_ref(), customer);
        }
        if self.core.leaving.get() {
            let detail = "this process is leaving";
            return Err(ServiceError::not_run(ErrorKind::ShuttingDown, detail));
        }
        let callers = &self.core.ports.callers;
        let spec = callers.decode_job(&request.head, &route.name, customer, body)?;
        let spec = Rc::new(spec);
        let runner = self.choose_runner(&spec);
        let record = OpenRecord {
            job: spec.id.clone(),
            owner: runner.clone(),
            state: JobState::Running,
            customer: customer.cloned(),
            submitted_ms: spec.submitted_ms,
        };
        let transaction = self.acceptance(&spec, &record)?;
        let until = request.expires.min(request.arrived + ACCEPT_LIMIT);
        match self.write_acceptance(&transaction, until).await? {
            Acceptance::Own(revision) if runner.incarnation == self.core.incarnation => {
                self.own(spec, record, revision);
                Ok(())
            }
            Acceptance::Own(revision) => {
                let service = Rc::clone(self);
                tokio::task::spawn_local(async move {
                    service.place_job(spec, record, revision).await;
                });
                Ok(())
            }
            Acceptance::Known(item) => self.meet_known(spec, &record, &item),
        }
    }

    /// Chooses the process that runs a job.
    ///
    /// The jobs of a route run at one process without callers of this availability zone, if there is
    /// one: it keeps its connections to the engines from step to step, and has the texts of items
    /// that come again.
    fn choose_runner(&self, spec: &JobSpec) -> MemberRecord {
        let own = self.self_record();
        let members = self.core.members.borrow();
        let able = members
            .iter()
            .filter(|member| member.zone == own.zone && !member.serves_callers);
        let chosen = able.max_by_key(|member| {
            rank(&[
                spec.route.as_str().as_bytes(),
                member.host.as_str().as_bytes(),
            ])
        });
        chosen.cloned().unwrap_or(own)
    }

    /// Passes an accepted job to the process that the store names as its owner, or takes it back.
    async fn place_job(self: Rc<Self>, spec: Rc<JobSpec>, record: OpenRecord, revision: u64) {
        let call = PeerCall::Adopt(Box::new(JobHandOver {
            record: record.clone(),
            revision,
            former: self.self_record(),
            spec: Some((*spec).clone()),
            progress: Vec::new(),
        }));
        let runner = record.owner.clone();
        let answer = self.core.call_peer(runner.peer, &call, Duration::ZERO);
        if let Ok(PeerAnswer::Done) = answer.await {
            log_event!(self.core.logger, JOB_ACCEPTED;
                "job" => &spec.id, "route" => %spec.route, "items" => spec.items.len(),
                "least_version" => spec.least_version.0, "revision" => revision,
                "runner" => %runner.host);
            self.locate(record);
            return;
        }
        // The runner's writes fail from here on, whether or not it has the job.
        let record = OpenRecord {
            owner: self.self_record(),
            ..record
        };
        match self.write_record(&record, revision).await {
            Ok(CommitOutcome::Committed(revision)) => self.own(spec, record, revision),
            // The runner, or whoever finds it missing, has the job.
            outcome => log_event!(self.core.logger, JOB_LOST;
                "job" => &spec.id, "owner" => %runner.host, "outcome" => format!("{outcome:?}")),
        }
    }

    /// Handles a job that the store has already.
    fn meet_known(
        self: &Rc<Self>,
        spec: Rc<JobSpec>,
        own: &OpenRecord,
        item: &StoreItem,
    ) -> Result<(), ServiceError> {
        let found: OpenRecord = keys::decode_item(item)?;
        super::service::check_customer(found.customer.as_ref(), own.customer.as_ref())?;
        let is_own = found.owner.incarnation == own.owner.incarnation;
        if is_own && self.owned(&spec.id).is_none() && found.submitted_ms == own.submitted_ms {
            // An earlier write of this very call took effect although its answer was lost.
            self.own(spec, found, item.revision);
        }
        Ok(())
    }

    fn own(self: &Rc<Self>, spec: Rc<JobSpec>, record: OpenRecord, revision: u64) {
        self.core
            .metrics
            .jobs
            .with_label_values(&["accepted"])
            .inc();
        log_event!(self.core.logger, JOB_ACCEPTED;
            "job" => &spec.id, "route" => %spec.route, "items" => spec.items.len(),
            "least_version" => spec.least_version.0, "revision" => revision);
        let job = OwnedJob::new(&self.core, spec, record, revision, Vec::new());
        self.reuse_texts(&job);
        self.insert(job);
    }

    fn acceptance(&self, spec: &JobSpec, record: &OpenRecord) -> Result<Transaction, ServiceError> {
        let encoded = keys::encode(spec)?;
        let part_bytes = self.part_bytes();
        let parts = encoded.chunks(part_bytes);
        if parts.len() > PART_LIMIT {
            let limit = PART_LIMIT * part_bytes;
            let detail = format!("a job has at most {limit} bytes");
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
        let open_key = keys::open_key(&spec.id);
        writes.push(StoreWrite {
            key: open_key.clone(),
            value: keys::encode(record)?,
            lease: None,
        });
        Ok(Transaction {
            conditions: vec![StoreCondition {
                key: open_key,
                revision: 0,
            }],
            writes,
            removals: Vec::new(),
        })
    }

    async fn write_acceptance(
        &self,
        transaction: &Transaction,
        until: Instant,
    ) -> Result<Acceptance, ServiceError> {
        let mut in_doubt = false;
        loop {
            let error = match self.core.ports.store.commit(transaction).await {
                Ok(CommitOutcome::Committed(revision)) => return Ok(Acceptance::Own(revision)),
                Ok(CommitOutcome::Conflict(items)) => {
                    let key = &transaction.conditions[0].key;
                    match items.into_iter().find(|item| item.key == *key) {
                        Some(item) => return Ok(Acceptance::Known(item)),
                        None => unexpected("the store names no reason for a conflict"),
                    }
                }
                Ok(CommitOutcome::LeaseGone) => unexpected("the store misses a lease"),
                Err(error) => error,
            };
            in_doubt |= error.execution != ExecutionOutcome::NotRun;
            // Without doubt another process may have a better way to the store, so it is refused at
            // once; a doubt can only be resolved here.
            if !in_doubt {
                return Err(ServiceError::not_run(
                    ErrorKind::StoreUnavailable,
                    error.detail,
                ));
            }
            if Instant::now() + RETRY_PAUSE >= until {
                return Err(ServiceError::unknown(
                    ErrorKind::OutcomeUnknown,
                    error.detail,
                ));
            }
            sleep(RETRY_PAUSE).await;
        }
    }

    /// Returns the bytes of one part of a submission or of one value with results.
    pub(super) fn part_bytes(&self) -> usize {
        // Values travel as base64 within a body whose size the store bounds too.
        self.core.settings().value_bytes / 2
    }
}

enum Acceptance {
    Own(u64),
    Known(StoreItem),
}

fn unexpected(detail: &str) -> ServiceError {
    ServiceError::unknown(ErrorKind::StoreUnavailable, detail)
}
