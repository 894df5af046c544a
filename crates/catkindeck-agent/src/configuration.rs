//! The agent's copy of the configuration, which is updated to the highest revision that a peer
//! advertises.

use {
    crate::events,
    arc_swap::ArcSwap,
    catkindeck::{
        ErrorKind, ServiceError,
        config::{ConfigRevision, ConfigSnapshot},
        link::{PeerIdentity, PeerLink},
        log_event,
        message::{PeerFrame, PeerRequest},
    },
    catkindeck_wire::RevisionHook,
    slog::Logger,
    std::{
        net::SocketAddr,
        sync::{
            Arc, Mutex, OnceLock, PoisonError,
            atomic::{AtomicU64, AtomicUsize, Ordering},
        },
        time::Duration,
    },
};

/// The maximum number of remembered peers that advertised a higher revision.
const ADVERTISER_LIMIT: usize = 8;

/// A callback for each configuration that is applied.
pub type ConfigListener = Box<dyn Fn(&ConfigSnapshot) + Send + Sync>;

/// Caches the configuration, and fetches higher revisions from the peers that advertise them
/// (`docs/design.md`, decision 9).
pub struct ConfigCache {
    current: ArcSwap<ConfigSnapshot>,
    highest_seen: AtomicU64,
    /// The peers that advertised a higher revision, ordered by the time of the last advertisement.
    advertisers: Mutex<Vec<SocketAddr>>,
    seeds: Vec<SocketAddr>,
    /// The number of polls so far, from which the next entry to poll is chosen in rotation.
    position: AtomicUsize,
    /// The entries in the host list that are queried.
    host_list_entries: Mutex<Vec<SocketAddr>>,
    /// Held while a configuration is applied, so that the listener receives revisions in ascending
    /// order.
    applying: Mutex<()>,
    /// Held during a fetch, so that concurrent calls fetch a revision only once.
    fetching: Mutex<()>,
    link: OnceLock<Arc<dyn PeerLink>>,
    listener: OnceLock<ConfigListener>,
    timeout: Duration,
    logger: Logger,
}

impl ConfigCache {
    /// Creates a cache without a configuration. The peers in `seeds` are queried for the first one.
    pub fn new(seeds: Vec<SocketAddr>, timeout: Duration, logger: Logger) -> Self {
        Self {
            current: ArcSwap::default(),
            highest_seen: AtomicU64::new(0),
            advertisers: Mutex::default(),
            seeds,
            position: AtomicUsize::new(0),
            host_list_entries: Mutex::default(),
            applying: Mutex::new(()),
            fetching: Mutex::new(()),
            link: OnceLock::new(),
            listener: OnceLock::new(),
            timeout,
            logger,
        }
    }

    /// Sets the listener for applied configurations; later calls have no effect.
    pub fn set_listener(&self, listener: ConfigListener) {
        // The agent sets the only listener when it is created.
        let _ = self.listener.set(listener);
    }

    /// Sets the link used to fetch configurations; later calls have no effect.
    pub fn connect(&self, link: Arc<dyn PeerLink>) {
        // A second call would pass a link of the same endpoint.
        let _ = self.link.set(link);
    }

    /// Sets the entries of the host list that are queried after the seeds.
    pub fn set_host_list_entries(&self, entries: Vec<SocketAddr>) {
        *lock(&self.host_list_entries) = entries;
    }

    /// Returns the current configuration, which has revision zero if none was received yet.
    pub fn current(&self) -> Arc<ConfigSnapshot> {
        self.current.load_full()
    }

    /// Checks that requests may be handled with the current configuration.
    ///
    /// # Errors
    ///
    /// Returns `stale_configuration` with `not_run` if there is no configuration, or if a peer
    /// advertised a higher revision that has not been fetched yet.
    pub fn check_current(&self) -> Result<(), ServiceError> {
        let revision = self.current.load().revision.0;
        let seen = self.highest_seen.load(Ordering::Acquire);
        if revision > 0 && revision >= seen {
            return Ok(());
        }
        Err(ServiceError::not_run(
            ErrorKind::StaleConfiguration,
            format!(
                "the agent has configuration revision {revision}, but a peer has advertised revision \
                 {seen}"
            ),
        ))
    }

    /// Applies a configuration if it is newer, and returns the current revision.
    pub fn accept(&self, config: ConfigSnapshot) -> ConfigRevision {
        let _guard = lock(&self.applying);
        if config.revision <= self.current.load().revision {
            return self.current.load().revision;
        }
        let revision = config.revision;
        let config = Arc::new(config);
        self.current.store(config.clone());
        self.highest_seen.fetch_max(revision.0, Ordering::AcqRel);
        if let Some(listener) = self.listener.get() {
            listener(&config);
        }
        revision
    }

    /// Fetches the configuration if there is none yet or a higher revision is known.
    ///
    /// All known peers are queried and the highest revision is applied, because a single peer may
    /// be outdated.
    pub fn fetch_missing(&self) {
        if self.check_current().is_ok() {
            return;
        }
        let mut peers = lock(&self.advertisers).clone();
        peers.extend(&self.seeds);
        peers.extend(lock(&self.host_list_entries).iter());
        for address in peers {
            if let Err(error) = self.fetch(address) {
                log_event!(
                    self.logger, events::CONFIGURATION_NOT_FETCHED;
                    "peer" => address.to_string(), "reason" => error.to_string(),
                );
            }
        }
    }

    /// Queries the next entry for its revision, and fetches the configuration if it is newer.
    ///
    /// An agent that gets no requests sees no advertised revisions. It must still learn when its
    /// zone goes out of service, because an entry with an older configuration may send requests to
    /// it.
    pub fn poll_next_entry(&self) {
        let mut entries = self.seeds.clone();
        entries.extend(lock(&self.host_list_entries).iter());
        if entries.is_empty() {
            return;
        }
        let position = self.position.fetch_add(1, Ordering::Relaxed);
        let address = entries[position % entries.len()];
        match self.query(address, PeerRequest::ReadRevision) {
            Ok(PeerFrame::Revision(revision)) if revision > self.current.load().revision => {
                self.record_higher(revision, address);
            }
            // An unreachable entry is skipped; the next call queries another one.
            Ok(_) | Err(_) => {}
        }
    }

    fn fetch(&self, address: SocketAddr) -> Result<(), ServiceError> {
        match self.query(address, PeerRequest::FetchConfiguration)? {
            PeerFrame::Configuration(config) => {
                self.accept(*config);
                Ok(())
            }
            _ => Err(peer_unavailable_error("the peer sent no configuration")),
        }
    }

    fn query(&self, address: SocketAddr, request: PeerRequest) -> Result<PeerFrame, ServiceError> {
        let link = self
            .link
            .get()
            .ok_or_else(|| peer_unavailable_error("the transport has not started"))?;
        let mut stream = link.call(address, request, self.timeout)?;
        match stream.receive(self.timeout)? {
            Some(PeerFrame::Failed(error)) => Err(error),
            Some(frame) => Ok(frame),
            None => Err(peer_unavailable_error(
                "the peer closed the stream without a response",
            )),
        }
    }

    /// Records that the peer at `address` has a higher revision, and fetches it from that peer.
    fn record_higher(&self, revision: ConfigRevision, address: SocketAddr) {
        self.highest_seen.fetch_max(revision.0, Ordering::AcqRel);
        {
            let mut advertisers = lock(&self.advertisers);
            advertisers.retain(|known| *known != address);
            advertisers.push(address);
            if advertisers.len() > ADVERTISER_LIMIT {
                advertisers.remove(0);
            }
        }
        let _guard = lock(&self.fetching);
        // A concurrent call may have fetched it already.
        if self.current.load().revision >= revision {
            return;
        }
        if let Err(error) = self.fetch(address) {
            log_event!(
                self.logger, events::CONFIGURATION_NOT_FETCHED;
                "peer" => address.to_string(), "reason" => error.to_string(),
            );
        }
    }
}

impl RevisionHook for ConfigCache {
    fn current(&self) -> ConfigRevision {
        self.current.load().revision
    }

    fn on_higher_revision(
        &self,
        revision: ConfigRevision,
        _peer: &PeerIdentity,
        address: SocketAddr,
    ) {
        self.record_higher(revision, address);
    }
}

fn peer_unavailable_error(detail: &str) -> ServiceError {
    ServiceError::not_run(ErrorKind::PeerUnavailable, detail)
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
