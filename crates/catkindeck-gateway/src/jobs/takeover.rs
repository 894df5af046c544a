//! Takeover and hand-over of jobs.

use {
    super::{
        backup::{IndexedProgress, keep_newest},
        cancel::record_transaction,
        owned::OwnedJob,
        service::JobService,
    },
    crate::{
        events::{JOB_HANDED_OVER, JOB_TAKEN_OVER, JOBS_UNCONFIRMED},
        keys::{self, JOB_RECORD_PREFIX, JobRecord, JobState, MEMBER_PREFIX, MemberRecord},
        peer::{JobHandOver, PeerCall, PeerResponse},
        port::{CommitOutcome, LeaseId, StoreCondition, StoreItem},
    },
    catkindeck::{ErrorKind, ServiceError, SortedMap, log_event},
    catkindeck_policy::direct::{ItemKey, ItemProgress, JobResult},
    std::{rc::Rc, time::Duration},
    tokio::time::sleep,
};

/// How often a process checks that it still owns its running jobs. Runs of a cancelled job must stop within
/// three seconds.
const OWNERSHIP_INTERVAL: Duration = Duration::from_millis(1_500);

/// The pause before a failed check of ownership is retried.
const VERIFY_PAUSE: Duration = Duration::from_millis(200);

/// The time for the new owner of a job to load it.
pub(super) const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The number of concurrent takeovers. While one waits for the store or for peers, another is decoded. With
/// more, a host with a tenth of a core completes none of them before all are nearly complete.
pub const TAKEOVER_CONCURRENCY: usize = 2;

impl JobService {
    /// Takes over a job whose owner is lost.
    ///
    /// `registration` is the state of the owner's registration that showed its loss. If the owner has registered
    /// again since then, it keeps the job.
    ///
    /// # Errors
    ///
    /// Returns `conflict` if the job or the registration was changed in the meantime, or the error of the store.
    pub async fn take_over(
        self: &Rc<Self>,
        item: &StoreItem,
        registration: Option<StoreCondition>,
    ) -> Result<(), ServiceError> {
        let found: JobRecord = keys::decode_item(item)?;
        let Some(_guard) = self.begin_takeover(&found.job) else {
            return Ok(());
        };
        let former = found.owner.clone();
        let record = JobRecord {
            owner: self.own_record(),
            ..found
        };
        let mut transaction = record_transaction(&record, item.revision)?;
        transaction.conditions.extend(registration);
        match self.core.ports.store.commit(&transaction).await? {
            CommitOutcome::Committed(revision) => {
                let (job, stored) = self.load(record, revision).await?;
                let copies = self.fetch_copy(&job).await;
                self.resume_job(job, &former, copies, stored);
                Ok(())
            }
            _ => Err(ServiceError::not_run(
                ErrorKind::Conflict,
                "another process changed the job's record first",
            )),
        }
    }

    /// Starts to run a job that was handed over to this process.
    ///
    /// # Errors
    ///
    /// Returns `wrong_incarnation` if the job was handed to a previous run of this process, `shutting_down` if
    /// this process takes on no work, or the error of the store if the job cannot be loaded.
    pub async fn accept_hand_over(
        self: &Rc<Self>,
        hand_over: JobHandOver,
    ) -> Result<(), ServiceError> {
        let Some(_guard) = self.begin_takeover(&hand_over.record.job) else {
            return Ok(());
        };
        let JobHandOver {
            record,
            revision,
            former,
            spec,
            progress,
        } = hand_over;
        if record.owner.incarnation != self.core.incarnation {
            let detail = "the job was handed over to a different run of this process";
            return Err(ServiceError::not_run(ErrorKind::WrongIncarnation, detail));
        }
        if !self.core.accepts_work() {
            let detail = "this process is shutting down or its host is being drained";
            return Err(ServiceError::not_run(ErrorKind::ShuttingDown, detail));
        }
        let (job, stored) = match spec {
            Some(spec) => {
                let job = OwnedJob::new(&self.core, Rc::new(spec), record, revision, Vec::new());
                (job, IndexedProgress::new())
            }
            None => self.load(record, revision).await?,
        };
        self.resume_job(job, &former, progress, stored);
        Ok(())
    }

    /// Resumes a job. Of each text the more advanced version is used: the copy at a peer or the stored one.
    fn resume_job(
        self: &Rc<Self>,
        job: Rc<OwnedJob>,
        former: &MemberRecord,
        copies: IndexedProgress,
        stored: IndexedProgress,
    ) {
        let now = self.core.now();
        let mut texts = SortedMap::new();
        keep_newest(&mut texts, copies);
        let from_store = keep_newest(&mut texts, stored);
        let mut copied = 0;
        for (index, progress) in texts.iter() {
            if (*index as usize) < job.spec.items.len() {
                let key = ItemKey(*index);
                let is_taken = job.job.borrow_mut().adopt(now, key, progress.clone());
                copied += usize::from(is_taken);
            }
        }
        self.reuse_texts(&job);
        self.core
            .metrics
            .jobs
            .with_label_values(&["taken_over"])
            .inc();
        log_event!(self.core.logger, JOB_TAKEN_OVER;
            "job" => &job.spec.id, "from" => %former.host, "revision" => job.revision.get(),
            "listed" => job.results.borrow().len(), "items" => job.spec.items.len(),
            "copied" => copied, "from_store" => from_store);
        self.insert(job);
    }

    /// Verifies after each new registration that this process still owns its jobs.
    pub async fn verify_after_registration(self: Rc<Self>) {
        loop {
            self.session.changed.notified().await;
            while let Some(lease) = self.session.lease() {
                match self.verify_ownership(lease).await {
                    Ok(()) => break,
                    Err(error) => {
                        log_event!(self.core.logger, JOBS_UNCONFIRMED; "detail" => error.detail);
                        sleep(VERIFY_PAUSE).await;
                    }
                }
            }
        }
    }

    /// Checks periodically whether jobs were cancelled or taken over while nobody could notify this process.
    pub async fn poll_ownership(self: Rc<Self>) {
        loop {
            sleep(OWNERSHIP_INTERVAL).await;
            let Some(lease) = self.session.lease() else {
                continue;
            };
            if self.running().is_empty() {
                continue;
            }
            if let Err(error) = self.verify_ownership(lease).await {
                log_event!(self.core.logger, JOBS_UNCONFIRMED; "detail" => error.detail);
            }
        }
    }

    async fn verify_ownership(&self, lease: LeaseId) -> Result<(), ServiceError> {
        let jobs = self.all();
        if jobs.is_empty() {
            return Ok(());
        }
        let listing = self.core.ports.store.list(JOB_RECORD_PREFIX).await?;
        for job in jobs {
            let key = keys::job_record_key(&job.spec.id);
            let item = listing.items.iter().find(|item| item.key == key);
            match item {
                Some(item) if item.revision == job.revision.get() => {
                    job.confirmed_lease.set(Some(lease));
                }
                // A write of this process may have changed the revision after the read was sent.
                Some(item) if item.revision < job.revision.get() => {}
                item => self.apply_record_change(&job, item.cloned()),
            }
        }
        Ok(())
    }

    /// Hands over the running jobs to other processes.
    ///
    /// The jobs of a trainer go to the same process, which can reuse the texts that they have in common.
    ///
    /// # Errors
    ///
    /// Returns `conflict` if some jobs could not be handed over.
    pub async fn hand_over(self: &Rc<Self>) -> Result<(), ServiceError> {
        match self.core.ports.store.list(MEMBER_PREFIX).await {
            Ok(listing) => self.core.set_members(&listing.items),
            // The last known list is good enough, unless a process has left since.
            Err(error) => log_event!(self.core.logger, JOBS_UNCONFIRMED; "detail" => error.detail),
        }
        for job in self.running() {
            if let Some(successor) = self.choose_successor(&job) {
                self.hand_over_one(&job, &successor).await;
            }
        }
        match self.running().len() {
            0 => Ok(()),
            left => Err(ServiceError::not_run(
                ErrorKind::Conflict,
                format!("{left} jobs could not be handed over"),
            )),
        }
    }

    /// Returns the jobs that are neither complete nor cancelled.
    pub(super) fn running(&self) -> Vec<Rc<OwnedJob>> {
        let mut jobs = self.all();
        jobs.retain(|job| job.record.borrow().state == JobState::Running);
        jobs
    }

    /// Hands a job over, and takes it back if the new owner does not confirm that it runs it, unless this process
    /// shuts down. Without that, the leader would have the job taken over only with its next scan. Returns whether the
    /// new owner confirmed.
    pub(super) async fn hand_over_one(
        self: &Rc<Self>,
        job: &Rc<OwnedJob>,
        target: &MemberRecord,
    ) -> bool {
        // Finished results are stored first, while this process still owns the job.
        self.commit(job);
        let former = job.record.borrow().clone();
        let record = JobRecord {
            owner: target.clone(),
            ..former.clone()
        };
        let written = self.write_record(&record, job.revision.get()).await;
        let Ok(CommitOutcome::Committed(revision)) = written else {
            return false;
        };
        let progress: Vec<(u32, ItemProgress)> = {
            let state = job.job.borrow();
            let texts = state.unlisted_texts();
            texts
                .map(|(key, progress)| (key.0, progress.clone()))
                .collect()
        };
        let call = PeerCall::HandOver(Box::new(JobHandOver {
            record: record.clone(),
            revision,
            former: former.owner,
            spec: None,
            progress: progress.clone(),
        }));
        self.remove(&job.spec.id);
        let response = self
            .core
            .call_peer_with_fallback(target, &call, HAND_OVER_TIMEOUT)
            .await;
        let is_confirmed = match response {
            Ok(response) => matches!(response, PeerResponse::Done),
            // The answer may be lost, or late because the new owner loads the job.
            Err(_) => self.runs_job(target, &job.spec.id).await,
        };
        log_event!(self.core.logger, JOB_HANDED_OVER;
            "job" => &job.spec.id, "to" => %target.host, "revision" => revision,
            "answered" => is_confirmed);
        match is_confirmed || self.core.is_shutting_down() {
            true => self.cache_owner(&job.spec.id, record.owner),
            false => self.take_back(job, record, revision, progress).await,
        }
        is_confirmed
    }

    /// Returns whether another process says that it runs a job or is about to.
    async fn runs_job(&self, owner: &MemberRecord, job: &str) -> bool {
        let call = PeerCall::IsResponsible {
            job: job.to_owned(),
        };
        let response = self
            .core
            .call_peer_with_fallback(owner, &call, Duration::ZERO);
        matches!(response.await, Ok(PeerResponse::Done))
    }

    /// Takes a job back whose new owner did not confirm the hand-over. The change of the record makes later writes of
    /// that owner fail, whether or not it received the job.
    async fn take_back(
        self: &Rc<Self>,
        job: &OwnedJob,
        record: JobRecord,
        revision: u64,
        progress: IndexedProgress,
    ) {
        let target = record.owner.clone();
        let record = JobRecord {
            owner: self.own_record(),
            ..record
        };
        // After a conflict the job has another owner; without an answer of the store, the leader finds it.
        if let Ok(CommitOutcome::Committed(revision)) = self.write_record(&record, revision).await {
            let results = job.results.borrow();
            let results = results.iter().map(|result| JobResult::clone(result));
            let spec = Rc::clone(&job.spec);
            let job = OwnedJob::new(&self.core, spec, record, revision, results.collect());
            self.resume_job(job, &target, progress, IndexedProgress::new());
        }
    }
}

/// Sorts job records by submission time, because the oldest jobs are due first. Records that cannot be decoded
/// come last.
pub fn oldest_first(items: &[StoreItem]) -> Vec<&StoreItem> {
    let mut ordered: Vec<(u64, &StoreItem)> = items
        .iter()
        .map(|item| {
            let record = keys::decode_item::<JobRecord>(item);
            (record.map_or(u64::MAX, |record| record.submitted_ms), item)
        })
        .collect();
    ordered.sort_by_key(|(submitted_ms, _)| *submitted_ms);
    ordered.into_iter().map(|(_, item)| item).collect()
}
