//! The configuration in use, kept at the highest revision that any peer showed.

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

/// The number of peers that are remembered because they showed a higher revision.
const SHOWN_LIMIT: usize = 8;

/// Takes a configuration that came into use.
pub type ConfigListener = Box<dyn Fn(&ConfigSnapshot) + Send + Sync>;

/// Keeps the configuration and fetches higher revisions from the peers that show them
/// (`docs/design.md`, decision 9).
pub struct ConfigCache {
    current: ArcSwap<ConfigSnapshot>,
    highest_seen: AtomicU64,
    /// Peers that showed a higher revision, newest last.
    shown_by: Mutex<Vec<SocketAddr>>,
    seeds: Vec<SocketAddr>,
    /// The position of the entry that is asked next.
    turn: AtomicUsize,
    /// Entries of the host list.
    listed: Mutex<Vec<SocketAddr>>,
    /// Held while a configuration is applied, so that listeners see revisions in order.
    applying: Mutex<()>,
    /// Held while a configuration is fetched, so that concurrent calls fetch it once.
    fetching: Mutex<()>,
    link: OnceLock<Arc<dyn PeerLink>>,
    listener: OnceLock<ConfigListener>,
    timeout: Duration,
    logger: Logger,
}

impl ConfigCache {
    /// Makes a cache that knows no configuration; `seeds` are asked for the first one.
    pub fn new(seeds: Vec<SocketAddr>, timeout: Duration, logger: Logger) -> Self {
        Self {
            current: ArcSwap::default(),
            highest_seen: AtomicU64::new(0),
            shown_by: Mutex::default(),
            seeds,
            turn: AtomicUsize::new(0),
            listed: Mutex::default(),
            applying: Mutex::new(()),
            fetching: Mutex::new(()),
            link: OnceLock::new(),
            listener: OnceLock::new(),
            timeout,
            logger,
        }
    }

    /// Sets what is told of each configuration; only the first call has effect.
    pub fn set_listener(&self, listener: ConfigListener) {
        // A second listener cannot occur: the agent sets its own when it is made.
        let _ = self.listener.set(listener);
    }

    /// Sets the way to fetch; only the first call has effect.
    pub fn connect(&self, link: Arc<dyn PeerLink>) {
        // A second link would be of the same endpoint.
        let _ = self.link.set(link);
    }

    /// Sets the entries of the host list, which are asked after the seeds.
    pub fn set_listed(&self, entries: Vec<SocketAddr>) {
        *lock(&self.listed) = entries;
    }

    /// Returns the configuration in use; revision zero means that none is known.
    pub fn current(&self) -> Arc<ConfigSnapshot> {
        self.current.load_full()
    }

    /// Checks that work may be done under the configuration in use.
    ///
    /// # Errors
    ///
    /// Returns `stale_configuration` with `not_run` if none is known, or if a peer showed a higher
    /// revision that could not be fetched yet.
    pub fn check_current(&self) -> Result<(), ServiceError> {
        let revision = self.current.load().revision.0;
        let seen = self.highest_seen.load(Ordering::Acquire);
        if revision > 0 && revision >= seen {
            return Ok(());
        }
        Err(ServiceError::not_run(
            ErrorKind::StaleConfiguration,
            format!("the agent uses configuration {revision} and knows of {seen}"),
        ))
    }

    /// Takes a configuration into use if it is newer, and returns the revision in use.
    pub fn accept(&self, config: ConfigSnapshot) -> ConfigRevision {
        let _turn = lock(&self.applying);
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

    /// Asks peers for a configuration if none is known or a higher one was shown.
    ///
    /// The highest answer counts, because a single peer may be behind.
    pub fn catch_up(&self) {
        if self.check_current().is_ok() {
            return;
        }
        let mut peers = lock(&self.shown_by).clone();
        peers.extend(&self.seeds);
        peers.extend(lock(&self.listed).iter());
        for address in peers {
            if let Err(error) = self.fetch(address) {
                log_event!(
                    self.logger, events::CONFIGURATION_NOT_FETCHED;
                    "peer" => address.to_string(), "reason" => error.to_string(),
                );
            }
        }
    }

    /// Asks one entry, in turn, whether there is a higher revision, and fetches it.
    ///
    /// An agent that gets no requests sees no revisions in messages. It must learn all the same that
    /// its zone went out, because an entry with an older view may still send work.
    pub fn follow(&self) {
        let mut entries = self.seeds.clone();
        entries.extend(lock(&self.listed).iter());
        if entries.is_empty() {
            return;
        }
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        let address = entries[turn % entries.len()];
        match self.ask(address, PeerRequest::ReadRevision) {
            Ok(PeerFrame::Revision(revision)) if revision > self.current.load().revision => {
                self.note_higher(revision, address);
            }
            // An entry that cannot be reached is skipped; the next turn asks another.
            Ok(_) | Err(_) => {}
        }
    }

    fn fetch(&self, address: SocketAddr) -> Result<(), ServiceError> {
        match self.ask(address, PeerRequest::FetchConfiguration)? {
            PeerFrame::Configuration(config) => {
                self.accept(*config);
                Ok(())
            }
            _ => Err(unavailable("the peer sent no configuration")),
        }
    }

    fn ask(&self, address: SocketAddr, request: PeerRequest) -> Result<PeerFrame, ServiceError> {
        let link = self
            .link
            .get()
            .ok_or_else(|| unavailable("the transport has not started"))?;
        let mut stream = link.call(address, request, self.timeout)?;
        match stream.receive(self.timeout)? {
            Some(PeerFrame::Failed(error)) => Err(error),
            Some(frame) => Ok(frame),
            None => Err(unavailable("the peer ended its answer without a frame")),
        }
    }

    /// Notes that `address` has a higher revision, and fetches it from there.
    fn note_higher(&self, revision: ConfigRevision, address: SocketAddr) {
        self.highest_seen.fetch_max(revision.0, Ordering::AcqRel);
        {
            let mut shown_by = lock(&self.shown_by);
            shown_by.retain(|known| *known != address);
            shown_by.push(address);
            if shown_by.len() > SHOWN_LIMIT {
                shown_by.remove(0);
            }
        }
        let _turn = lock(&self.fetching);
        // Another call may have fetched it meanwhile.
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
        self.note_higher(revision, address);
    }
}

fn unavailable(detail: &str) -> ServiceError {
    ServiceError::not_run(ErrorKind::PeerUnavailable, detail)
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
