//! Routes requests to the owners of training runs, and starts owners for the runs that this entry
//! may own.

use {
    crate::{
        run::{
            owner::{OwnerParts, RunOwner},
            ports::{OwnerLease, RunObserver, SampleRunner, WeightPublisher, lease_name},
        },
        source::ConfigSource,
        step::StepService,
    },
    catkindeck::{
        Clock, ErrorKind, ServiceError, SortedMap,
        config::RunRecord,
        id::ObjectName,
        link::PeerLink,
        message::{PeerFrame, PeerRequest, StepAnswer, StepRequest},
        platform::StoreClient,
    },
    catkindeck_policy::choose_candidates,
    catkindeck_store::{LeaseHolder, LeaseSettings},
    slog::Logger,
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
};

/// The timeout of a forwarded request, which allows for a few store writes and the transfer of a
/// batch.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(20);

/// The entries that are currently in use, including this one.
pub trait EntryDirectory: Send + Sync {
    /// Returns the names and peer addresses, sorted by name.
    fn entries(&self) -> Vec<(ObjectName, SocketAddr)>;
}

#[derive(Debug, Clone)]
pub struct DirectorySettings {
    pub host: ObjectName,
    /// The name under which this process instance holds leases.
    pub holder: String,
    pub lease_ttl_ms: u64,
    /// How long before its expiry a lease is no longer used, in milliseconds.
    pub lease_margin_ms: u64,
    /// The longest duration of a store write under the lease, in milliseconds.
    pub order_ms: u64,
    /// The number of samples of one run that are generated concurrently.
    pub workers: usize,
}

/// The dependencies of a [`RunDirectory`].
#[derive(Clone)]
pub struct DirectoryParts {
    pub source: Arc<dyn ConfigSource>,
    pub entries: Arc<dyn EntryDirectory>,
    /// The connection to other entries.
    pub link: Arc<dyn PeerLink>,
    /// The platform's key-value service.
    pub store: Arc<dyn StoreClient>,
    pub runner: Arc<dyn SampleRunner>,
    pub publisher: Arc<dyn WeightPublisher>,
    pub observer: Arc<dyn RunObserver>,
    pub clock: Arc<dyn Clock>,
    pub logger: Logger,
}

/// Owns the runs for which this entry is a candidate and holds the lease, and forwards requests for
/// other runs to their owners.
pub struct RunDirectory {
    settings: DirectorySettings,
    parts: DirectoryParts,
    owned: Mutex<SortedMap<ObjectName, OwnedRun>>,
}

struct OwnedRun {
    run: RunRecord,
    lease: Arc<LeaseHolder>,
    owner: Arc<RunOwner>,
}

impl RunDirectory {
    /// Creates a directory without owners. [`Self::reconcile`] must be called about once a second.
    pub fn new(settings: DirectorySettings, parts: DirectoryParts) -> Self {
        Self {
            settings,
            parts,
            owned: Mutex::new(SortedMap::new()),
        }
    }

    /// Starts an owner for each run for which this entry has become a candidate, and stops the
    /// owners of runs for which it no longer is one.
    ///
    /// # Errors
    ///
    /// Returns an error if a thread cannot be started; the next call retries.
    pub fn reconcile(&self) -> io::Result<()> {
        let snapshot = self.parts.source.current();
        let hosts = self.hosts();
        let mut wanted = SortedMap::new();
        for run in &snapshot.runs {
            let candidates = choose_candidates(&lease_name(&run.name), &hosts);
            let rank = candidates
                .iter()
                .position(|host| host == &self.settings.host);
            if let Some(rank) = rank {
                wanted.insert(run.name.clone(), (run.clone(), rank));
            }
        }

        let mut stopped = Vec::new();
        {
            let mut owned = self.lock();
            owned.retain(|name, existing| {
                let kept = wanted
                    .get(name)
                    .is_some_and(|(run, _)| *run == existing.run);
                if !kept {
                    stopped.push((Arc::clone(&existing.owner), Arc::clone(&existing.lease)));
                }
                kept
            });
            for (name, (run, rank)) in wanted.iter() {
                let rank = u32::try_from(*rank).unwrap_or(u32::MAX);
                match owned.get(name) {
                    Some(existing) => existing.lease.set_rank(rank),
                    None => {
                        owned.insert(name.clone(), self.start_run(run, rank)?);
                    }
                }
            }
        }
        stop_runs(stopped);
        Ok(())
    }

    /// Stops all owners and releases their leases.
    pub fn drain(&self) {
        let mut stopped = Vec::new();
        self.lock().retain(|_, existing| {
            stopped.push((Arc::clone(&existing.owner), Arc::clone(&existing.lease)));
            false
        });
        stop_runs(stopped);
    }

    fn start_run(&self, run: &RunRecord, rank: u32) -> io::Result<OwnedRun> {
        let settings = LeaseSettings {
            name: lease_name(&run.name),
            holder: self.settings.holder.clone(),
            ttl_ms: self.settings.lease_ttl_ms,
            margin_ms: self.settings.lease_margin_ms,
            order_ms: self.settings.order_ms,
        };
        let parts = &self.parts;
        let lease = Arc::new(LeaseHolder::start(
            settings,
            Arc::clone(&parts.store),
            Arc::clone(&parts.clock),
            parts.logger.clone(),
        )?);
        lease.set_rank(rank);
        let parts = OwnerParts {
            store: Arc::clone(&parts.store),
            lease: Arc::clone(&lease) as Arc<dyn OwnerLease>,
            runner: Arc::clone(&parts.runner),
            publisher: Arc::clone(&parts.publisher),
            observer: Arc::clone(&parts.observer),
            clock: Arc::clone(&parts.clock),
            logger: parts.logger.clone(),
        };
        let owner = Arc::new(RunOwner::start(run.clone(), parts, self.settings.workers)?);
        Ok(OwnedRun {
            run: run.clone(),
            lease,
            owner,
        })
    }

    fn local_owner(&self, run: &ObjectName) -> Option<Arc<RunOwner>> {
        self.lock()
            .get(run)
            .map(|existing| Arc::clone(&existing.owner))
    }

    /// Sends the request to the candidates in order until one does not refuse it as `fenced`.
    fn forward(&self, request: &StepRequest) -> StepAnswer {
        let candidates = choose_candidates(&lease_name(&request.run), &self.hosts());
        let entries = self.parts.entries.entries();
        let mut unreachable = None;
        for host in candidates
            .iter()
            .filter(|host| **host != self.settings.host)
        {
            let address = entries
                .iter()
                .find(|(name, _)| name == host)
                .map(|(_, address)| address);
            let Some(address) = address else { continue };
            match self.query_entry(*address, request) {
                Ok(answer) if !is_fenced(&answer) => return answer,
                Ok(_) => {}
                Err(error) => unreachable = Some(error),
            }
        }
        StepAnswer::Refused(unreachable.unwrap_or_else(|| {
            let detail = format!("no entry owns run {} at the moment; retry", request.run);
            ServiceError::not_run(ErrorKind::NoUpstream, detail)
        }))
    }

    fn query_entry(
        &self,
        address: SocketAddr,
        request: &StepRequest,
    ) -> Result<StepAnswer, ServiceError> {
        let message = PeerRequest::ForwardStep(request.clone());
        let mut stream = self.parts.link.call(address, message, FORWARD_TIMEOUT)?;
        match stream.receive(FORWARD_TIMEOUT)? {
            Some(PeerFrame::StepAnswer(answer)) => Ok(answer),
            Some(PeerFrame::Failed(error)) => Err(error),
            Some(_) | None => Err(ServiceError::unknown(
                ErrorKind::PeerUnavailable,
                "expected a step response from the owner, got another frame or the end of the stream",
            )),
        }
    }

    fn hosts(&self) -> Vec<ObjectName> {
        self.parts
            .entries
            .entries()
            .into_iter()
            .map(|(host, _)| host)
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, SortedMap<ObjectName, OwnedRun>> {
        self.owned.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl StepService for RunDirectory {
    fn handle(&self, request: StepRequest) -> StepAnswer {
        let snapshot = self.parts.source.current();
        let Some(run) = snapshot.run(&request.run) else {
            let detail = format!("there is no run {}", request.run);
            return StepAnswer::Refused(ServiceError::not_run(ErrorKind::NotFound, detail));
        };
        if run.customer != request.customer {
            let detail = format!("run {} belongs to another customer", request.run);
            return StepAnswer::Refused(ServiceError::not_run(ErrorKind::Forbidden, detail));
        }
        let answer = self.handle_forwarded(request.clone());
        if is_fenced(&answer) {
            self.forward(&request)
        } else {
            answer
        }
    }

    fn handle_forwarded(&self, request: StepRequest) -> StepAnswer {
        match self.local_owner(&request.run) {
            Some(owner) => owner.handle(&request.action),
            None => StepAnswer::Refused(ServiceError::not_run(
                ErrorKind::Fenced,
                format!("this entry does not own run {}", request.run),
            )),
        }
    }
}

fn is_fenced(answer: &StepAnswer) -> bool {
    matches!(answer, StepAnswer::Refused(error) if error.kind == ErrorKind::Fenced)
}

/// Stops each owner before releasing its lease, so that nothing is written after the release.
fn stop_runs(stopped: Vec<(Arc<RunOwner>, Arc<LeaseHolder>)>) {
    for (owner, lease) in stopped {
        owner.stop();
        lease.drain();
    }
}
