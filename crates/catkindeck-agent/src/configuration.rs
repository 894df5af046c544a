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
pub struct ConfigKeeper {
    current: ArcSwap<ConfigSnapshot>,
    highest_seen: AtomicU64,
    /// Peers that showed a higher revision, newest last.
    shown_by: Mutex<Vec<SocketAddr>>,
    seeds: Vec<SocketAddr>,
    /// Entries of the host list.
    listed: Mutex<Vec<SocketAddr>>,
    next_poll: AtomicUsize,
    /// Held while a configuration is applied, so that listeners see revisions in order.
    applying: Mutex<()>,
    /// Held while a configuration is fetched, so that concurrent calls fetch it once.
    fetching: Mutex<()>,
    link: OnceLock<Arc<dyn PeerLink>>,
    listener: OnceLock<ConfigListener>,
    timeout: Duration,
    logger: Logger,
}

impl ConfigKeeper {
    /// Makes a keeper that knows no configuration; `seeds` are asked for the first one.
    pub fn new(seeds: Vec<SocketAddr>, timeout: Duration, logger: Logger) -> Self {
        Self {
            current: ArcSwap::default(),
            highest_seen: AtomicU64::new(0),
            shown_by: Mutex::default(),
            seeds,
            listed: Mutex::default(),
            next_poll: AtomicUsize::new(0),
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

    /// Asks one peer in turn for its revision and fetches the configuration if it is higher.
    ///
    /// Requests carry the revision, but an agent whose zone is out gets none.
    pub fn poll_revision(&self) {
        let mut peers = self.seeds.clone();
        peers.extend(lock(&self.listed).iter());
        let Some(turn) = self
            .next_poll
            .fetch_add(1, Ordering::Relaxed)
            .checked_rem(peers.len())
        else {
            return;
        };
        let address = peers[turn];
        // A peer that cannot be reached is passed over; the next one is asked in the next turn.
        if let Ok(PeerFrame::Revision(revision)) = self.ask(address, PeerRequest::ReadRevision)
            && revision > self.current.load().revision
        {
            self.fetch_higher(revision, address);
        }
    }

    fn ask(&self, address: SocketAddr, request: PeerRequest) -> Result<PeerFrame, ServiceError> {
        let unavailable =
            |detail: &str| ServiceError::not_run(ErrorKind::PeerUnavailable, detail.to_owned());
        let link = self
            .link
            .get()
            .ok_or_else(|| unavailable("the transport has not started"))?;
        let mut stream = link.call(address, request, self.timeout)?;
        stream
            .receive(self.timeout)?
            .ok_or_else(|| unavailable("the peer sent no answer"))
    }

    /// Fetches a revision that a peer showed, once for all calls that see it.
    fn fetch_higher(&self, revision: ConfigRevision, address: SocketAddr) {
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

    fn fetch(&self, address: SocketAddr) -> Result<(), ServiceError> {
        match self.ask(address, PeerRequest::FetchConfiguration)? {
            PeerFrame::Configuration(config) => {
                self.accept(*config);
                Ok(())
            }
            PeerFrame::Failed(error) => Err(error),
            _ => Err(ServiceError::not_run(
                ErrorKind::PeerUnavailable,
                "the peer sent no configuration",
            )),
        }
    }
}

impl RevisionHook for ConfigKeeper {
    fn current(&self) -> ConfigRevision {
        self.current.load().revision
    }

    fn higher_seen(&self, revision: ConfigRevision, _peer: &PeerIdentity, address: SocketAddr) {
        self.fetch_higher(revision, address);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
