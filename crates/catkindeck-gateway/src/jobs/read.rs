//! Reads of jobs' results and of items' request bodies.

use {
    super::{
        backup::IndexedProgress,
        owned::OwnedJob,
        service::{JobService, not_found_error},
    },
    crate::{
        events::INTENT_FAULT,
        keys::{self, JobKeyKind, JobRecord, JobState, MemberRecord},
        peer::{PeerCall, PeerResponse, PeerResults},
        port::{BufferedResponse, JobRead, StoreItem},
    },
    bytes::Bytes,
    catkindeck::{ErrorKind, ServiceError, id::ObjectName, log_event},
    catkindeck_policy::direct::JobResult,
    std::{rc::Rc, time::Duration},
    tokio::time::{Instant, timeout_at},
};

/// The longest time that a read is held open, whatever wait time the caller requests.
const MAX_WAIT: Duration = Duration::from_millis(1_000);

/// The largest size of the results in one response, in bytes. Callers accept at most one megabyte.
const RESPONSE_BYTES: usize = 900 << 10;

/// An upper bound of the encoded size of a result without its text, in bytes.
const RESULT_OVERHEAD: usize = 512;

impl JobService {
    /// Returns results from a position onward, and waits until there is at least one or the job is over.
    ///
    /// # Errors
    ///
    /// Returns `not_found` if there is no such job, and `store_unavailable` if this could not be determined.
    pub async fn results(
        &self,
        read: &JobRead,
        customer: Option<&ObjectName>,
    ) -> Result<BufferedResponse, ServiceError> {
        keys::check_job_id(&read.job)?;
        let wait = Duration::from_millis(read.wait_ms)
            .min(MAX_WAIT)
            .min(self.core.drain_left());
        let page = match self.owned(&read.job) {
            Some(job) if self.has_current_results(&job) => {
                job.used_at.set(self.core.now());
                let page = self.local_results(&job, customer, read.after, wait).await?;
                match self.is_current_page(&job, &page) {
                    true => page,
                    false => self.stored_results(read, customer).await?,
                }
            }
            Some(_) => self.stored_results(read, customer).await?,
            None => self.remote_results(read, customer, wait).await?,
        };
        let results: Vec<Rc<JobResult>> = page.results;
        let callers = &self.core.ports.callers;
        Ok(callers.encode_results(page.total, page.next, &results))
    }

    /// Returns the request body of an item that is not listed yet.
    ///
    /// # Errors
    ///
    /// As [`Self::results`].
    pub async fn item_body(
        &self,
        job: &str,
        item: &str,
        customer: Option<&ObjectName>,
    ) -> Result<Bytes, ServiceError> {
        keys::check_job_id(job)?;
        if let Some(owned) = self.owned(job) {
            return self.local_item_body(&owned, item, customer);
        }
        let call = PeerCall::ItemBody {
            job: job.to_owned(),
            item: item.to_owned(),
            customer: customer.cloned(),
        };
        if let Some(PeerResponse::Body(body)) = self.call_owner(job, &call, Duration::ZERO).await? {
            return Ok(body.into());
        }
        let stored = self.load_stored(job, customer).await?;
        self.local_item_body(&stored, item, customer)
    }

    /// Answers a read that another process relays for its caller.
    pub async fn results_for_peer(
        &self,
        job: &str,
        after: u32,
        wait: Duration,
        customer: Option<&ObjectName>,
    ) -> Result<PeerResponse, ServiceError> {
        let owned = self
            .owned(job)
            .filter(|owned| self.has_current_results(owned));
        let Some(owned) = owned else {
            return Ok(PeerResponse::NotOwner);
        };
        owned.used_at.set(self.core.now());
        let wait = wait.min(self.core.drain_left());
        let page = self.local_results(&owned, customer, after, wait).await?;
        if !self.is_current_page(&owned, &page) {
            return Ok(PeerResponse::NotOwner);
        }
        Ok(PeerResponse::Results(PeerResults {
            total: page.total,
            next: page.next,
            results: page
                .results
                .iter()
                .map(|result| (**result).clone())
                .collect(),
        }))
    }

    /// Returns whether a page may be answered after the wait for it. The lease may have ended meanwhile, if the process
    /// or its event loop stood still, and the next owner may have listed results where this page has none.
    fn is_current_page(&self, job: &OwnedJob, page: &ResultsPage) -> bool {
        !page.results.is_empty() || self.has_current_results(job)
    }

    /// Answers a read of an item's request body that another process relays for its caller.
    pub fn item_body_for_peer(
        &self,
        job: &str,
        item: &str,
        customer: Option<&ObjectName>,
    ) -> Result<PeerResponse, ServiceError> {
        match self.owned(job) {
            Some(owned) => Ok(PeerResponse::Body(
                self.local_item_body(&owned, item, customer)?.to_vec(),
            )),
            None => Ok(PeerResponse::NotOwner),
        }
    }

    async fn remote_results(
        &self,
        read: &JobRead,
        customer: Option<&ObjectName>,
        wait: Duration,
    ) -> Result<ResultsPage, ServiceError> {
        if let Some(archived) = self.archived(&read.job) {
            return self
                .local_results(&archived, customer, read.after, wait)
                .await;
        }
        let call = PeerCall::Results {
            job: read.job.clone(),
            after: read.after,
            wait_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
            customer: customer.cloned(),
        };
        let response = self.call_owner(&read.job, &call, wait).await?;
        if let Some(PeerResponse::Results(page)) = response {
            return Ok(ResultsPage {
                total: page.total,
                next: page.next,
                results: page.results.into_iter().map(Rc::new).collect(),
            });
        }
        self.stored_results(read, customer).await
    }

    /// Reads results from the store, which has all listed results even if the owner does not answer.
    async fn stored_results(
        &self,
        read: &JobRead,
        customer: Option<&ObjectName>,
    ) -> Result<ResultsPage, ServiceError> {
        let stored = self.load_stored(&read.job, customer).await?;
        self.local_results(&stored, customer, read.after, Duration::ZERO)
            .await
    }

    /// Calls the owner of a job. Returns `None` if no process that may own it answers.
    ///
    /// Without a cached owner, the process that would get new jobs is tried first, because it owns most jobs.
    /// Then the owner named in the store is called. Where several processes would get new jobs, the store is asked
    /// first, and they are tried only if it does not answer: calls to all of them would cost more, and a lost one
    /// would delay reads of the other owners' jobs.
    ///
    /// # Errors
    ///
    /// Returns `not_found` if there is no such job, and `store_unavailable` if this could not be determined.
    pub(super) async fn call_owner(
        &self,
        job: &str,
        call: &PeerCall,
        wait: Duration,
    ) -> Result<Option<PeerResponse>, ServiceError> {
        let candidates = match self.cached_owner(job) {
            Some(owner) => vec![owner],
            None => self.candidate_owners(),
        };
        let stored = match candidates.len() > 1 && self.shares_ownership() {
            true => match self.stored_owner(job).await {
                Err(error) if error.kind != ErrorKind::NotFound => None,
                found => Some(found?),
            },
            false => None,
        };
        if let Some(owner) = stored {
            return self.call_candidate(job, owner, call, wait).await;
        }
        for owner in candidates {
            if let Some(response) = self.call_candidate(job, owner, call, wait).await? {
                return Ok(Some(response));
            }
        }
        let owner = self.stored_owner(job).await?;
        self.call_candidate(job, owner, call, wait).await
    }

    /// Returns the owner that the store names.
    async fn stored_owner(&self, job: &str) -> Result<MemberRecord, ServiceError> {
        let key = keys::job_record_key(job);
        let response = self.core.ports.store.read(&key).await?;
        let item = response.item.ok_or_else(not_found_error)?;
        let record: JobRecord = keys::decode_item(&item)?;
        Ok(record.owner)
    }

    async fn call_candidate(
        &self,
        job: &str,
        owner: MemberRecord,
        call: &PeerCall,
        wait: Duration,
    ) -> Result<Option<PeerResponse>, ServiceError> {
        if owner.incarnation == self.core.incarnation {
            return Ok(None);
        }
        match self.core.call_peer_with_fallback(&owner, call, wait).await {
            Ok(PeerResponse::NotOwner) | Err(_) => {
                self.forget_owner(job);
                Ok(None)
            }
            Ok(PeerResponse::Refused(error)) => Err(error),
            Ok(response) => {
                self.cache_owner(job, owner);
                Ok(Some(response))
            }
        }
    }

    /// Loads a job from the store for a caller who may read it. A job that is complete or cancelled is kept in the archive.
    async fn load_stored(
        &self,
        job: &str,
        customer: Option<&ObjectName>,
    ) -> Result<Rc<OwnedJob>, ServiceError> {
        let response = self
            .core
            .ports
            .store
            .read(&keys::job_record_key(job))
            .await?;
        let item = response.item.ok_or_else(not_found_error)?;
        let record: JobRecord = keys::decode_item(&item)?;
        self.check_access(job, record.customer.as_ref(), customer)?;
        let is_final = record.state != JobState::Running;
        let (stored, _) = self.load(record, item.revision).await?;
        if is_final {
            self.archive(Rc::clone(&stored));
        }
        Ok(stored)
    }

    /// Decodes stored partial texts. If they are malformed, the items start from the beginning.
    fn decode_texts(&self, item: &StoreItem) -> IndexedProgress {
        keys::decode_texts(&item.value).unwrap_or_else(|error| {
            log_event!(self.core.logger, INTENT_FAULT;
                "key" => &item.key, "detail" => error.detail);
            IndexedProgress::new()
        })
    }

    /// Loads a job with its listed results from the store, and the partial texts of the other items.
    pub(super) async fn load(
        &self,
        record: JobRecord,
        revision: u64,
    ) -> Result<(Rc<OwnedJob>, IndexedProgress), ServiceError> {
        let prefix = keys::job_prefix(&record.job);
        let listing = self.core.ports.store.list(&prefix).await?;
        let mut spec = Vec::new();
        let mut results: Vec<JobResult> = Vec::new();
        let mut texts = IndexedProgress::new();
        // The keys are sorted by part and by position.
        for item in &listing.items {
            match keys::job_key_kind(&item.key) {
                JobKeyKind::Spec => spec.extend_from_slice(&item.value),
                JobKeyKind::Results => results.extend(keys::decode_item::<Vec<JobResult>>(item)?),
                JobKeyKind::Texts => texts = self.decode_texts(item),
            }
        }
        let spec = Rc::new(keys::decode(&spec)?);
        let job = OwnedJob::new(&self.core, spec, record, revision, results);
        Ok((job, texts))
    }

    async fn local_results(
        &self,
        job: &OwnedJob,
        customer: Option<&ObjectName>,
        after: u32,
        wait: Duration,
    ) -> Result<ResultsPage, ServiceError> {
        self.check_access(&job.spec.id, job.spec.customer.as_ref(), customer)?;
        let until = Instant::now() + wait;
        loop {
            let listed = job.listed.notified();
            let page = results_page(job, after);
            let is_over = page.next >= job.total() || job.job.borrow().is_ended();
            if !page.results.is_empty() || is_over {
                return Ok(page);
            }
            if timeout_at(until, listed).await.is_err() {
                return Ok(page);
            }
            if job.is_lost.get() {
                let detail = "the job moved to another process";
                return Err(ServiceError::not_run(ErrorKind::StoreUnavailable, detail));
            }
        }
    }

    fn local_item_body(
        &self,
        job: &OwnedJob,
        item: &str,
        customer: Option<&ObjectName>,
    ) -> Result<Bytes, ServiceError> {
        self.check_access(&job.spec.id, job.spec.customer.as_ref(), customer)?;
        let found = job.spec.items.iter().find(|known| known.id == item);
        let body = found.map(|item| Bytes::copy_from_slice(&item.body));
        body.ok_or_else(not_found_error)
    }
}

/// A page of listed results, with the position after the last one.
struct ResultsPage {
    total: u32,
    next: u32,
    results: Vec<Rc<JobResult>>,
}

fn results_page(job: &OwnedJob, after: u32) -> ResultsPage {
    let results = job.results.borrow();
    let mut size = 0;
    let mut found = Vec::new();
    for result in results.iter().skip(after as usize) {
        size += result.text.len() + RESULT_OVERHEAD;
        if size > RESPONSE_BYTES && !found.is_empty() {
            break;
        }
        found.push(Rc::clone(result));
    }
    ResultsPage {
        total: job.total(),
        next: after + u32::try_from(found.len()).unwrap_or(0),
        results: found,
    }
}
