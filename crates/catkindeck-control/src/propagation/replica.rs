//! Keeps this node's configuration current, from the store or from peers.

use {
    super::{freshness::FreshnessTracker, head::LoadedConfig},
    crate::{events, members::MemberList},
    catkindeck::{
        Clock, ErrorKind, Moment, ServiceError, id::ObjectName, link::PeerLink, log_event,
        platform::StoreClient,
    },
    catkindeck_store::{LeaseHolder, LeaseSettings},
    crossbeam::channel::{Receiver, Sender, bounded},
    slog::Logger,
    std::{
        net::SocketAddr,
        sync::{
            Arc, Mutex, MutexGuard, OnceLock, PoisonError,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::Duration,
    },
};

/// How long a reader's watch waits; the evidence of a reader is at most this old.
pub const WATCH_WAIT: Duration = Duration::from_secs(2);

/// How often a node that does not watch the store asks a peer, in milliseconds.
///
/// With a reader's evidence of at most 2 s the sum stays well below the freshness bound of 10 s, so
/// that one lost exchange does no harm.
pub const FOLLOW_PERIOD_MS: u64 = 3000;

/// How often a node that asks for its zone reads the host list, in milliseconds.
pub const REFRESH_PERIOD_MS: u64 = 5000;

/// How often another node reads the host list while it has recent evidence, in milliseconds.
///
/// The list of the target size has over 6,000 hosts, so a read costs hundreds of kilobytes. The
/// other nodes only need the few peers of their zone.
pub const IDLE_REFRESH_PERIOD_MS: u64 = 300_000;

/// The children of one node in the tree by which a zone's nodes fetch parts.
pub const TREE_FANOUT: usize = 4;

/// The time to live of a reader lease, in milliseconds.
pub const READER_TTL_MS: u64 = 10_000;

/// Who this node is.
#[derive(Debug, Clone)]
pub struct ReplicaSettings {
    /// The host's name.
    pub host: ObjectName,
    /// The availability zone.
    pub zone: ObjectName,
    /// The name of this run of the process, by which its leases are held.
    pub holder: String,
}

/// What a [`ConfigReplica`] needs from the process around it.
#[derive(Clone)]
pub struct ReplicaParts {
    /// The key-value service.
    pub store: Arc<dyn StoreClient>,
    /// The members.
    pub members: Arc<MemberList>,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// The logger.
    pub logger: Logger,
}

/// Holds the configuration that this node uses and follows changes.
///
/// Two nodes of each zone hold a reader lease and watch the store; the others ask them. Every node
/// hands the parts that it has on to peers, so a node starts without the store if a peer is there.
pub struct ConfigReplica {
    pub(super) settings: ReplicaSettings,
    pub(super) parts: ReplicaParts,
    pub(super) link: OnceLock<Arc<dyn PeerLink>>,
    pub(super) state: Mutex<ReplicaState>,
    pub(super) reader: OnceLock<LeaseHolder>,
    pub(super) wake_sender: Sender<()>,
    pub(super) wake_receiver: Receiver<()>,
    /// Wakes the thread that tells the zone of a change.
    pub(super) notify_sender: Sender<()>,
    pub(super) notify_receiver: Receiver<()>,
    pub(super) stopped: AtomicBool,
}

pub(super) struct ReplicaState {
    pub(super) tracker: FreshnessTracker,
    pub(super) loaded: Arc<LoadedConfig>,
    /// Peers that told that they watch the store.
    pub(super) readers: Vec<SocketAddr>,
    pub(super) poll_count: usize,
    pub(super) next_poll: Moment,
    pub(super) next_fallback: Moment,
    pub(super) last_refresh: Option<Moment>,
}

impl ConfigReplica {
    /// Makes a holder that knows nothing; [`Self::start`] lets it follow.
    pub fn new(settings: ReplicaSettings, parts: ReplicaParts) -> Arc<Self> {
        let (wake_sender, wake_receiver) = bounded(1);
        let (notify_sender, notify_receiver) = bounded(1);
        let state = ReplicaState {
            tracker: FreshnessTracker::new(settings.zone.clone(), parts.clock.now()),
            loaded: Arc::default(),
            readers: Vec::new(),
            poll_count: 0,
            next_poll: Moment::default(),
            next_fallback: Moment::default(),
            last_refresh: None,
        };
        Arc::new(Self {
            settings,
            parts,
            link: OnceLock::new(),
            state: Mutex::new(state),
            reader: OnceLock::new(),
            wake_sender,
            wake_receiver,
            notify_sender,
            notify_receiver,
            stopped: AtomicBool::new(false),
        })
    }

    /// Starts the threads that follow the configuration.
    ///
    /// # Errors
    ///
    /// Returns `internal` if a thread cannot be started or the holder was started before.
    pub fn start(self: &Arc<Self>, link: Arc<dyn PeerLink>) -> Result<(), ServiceError> {
        let failed = |detail: String| ServiceError::not_run(ErrorKind::Internal, detail);
        self.link
            .set(link)
            .map_err(|_| failed("the configuration holder was started before".to_owned()))?;
        let now = self.parts.clock.now();
        self.refresh_members(now);
        let lease = LeaseSettings {
            name: format!("reader/{}/{}", self.settings.zone, self.rank() % 2),
            holder: self.settings.holder.clone(),
            ttl_ms: READER_TTL_MS,
            margin_ms: READER_TTL_MS / 10,
            order_ms: 0,
        };
        let reader = LeaseHolder::start(
            lease,
            Arc::clone(&self.parts.store),
            Arc::clone(&self.parts.clock),
            self.parts.logger.clone(),
        )
        .map_err(|error| failed(error.to_string()))?;
        // The link was set once, so this is the first start.
        let _ = self.reader.set(reader);
        for (name, body) in [
            ("config-watch", Self::run_watch as fn(&Self)),
            ("config-follow", Self::run_follow as fn(&Self)),
            ("config-notify", Self::run_notify as fn(&Self)),
        ] {
            let holder = Arc::clone(self);
            thread::Builder::new()
                .name(name.to_owned())
                .spawn(move || body(&holder))
                .map_err(|error| failed(error.to_string()))?;
        }
        Ok(())
    }

    /// Stops following and gives the reader lease back.
    pub fn drain(&self) {
        self.stopped.store(true, Ordering::Relaxed);
        if let Some(reader) = self.reader.get() {
            reader.drain();
        }
    }

    /// Takes a whole configuration if it is newer than the one in use; returns whether it is used.
    pub fn adopt(&self, loaded: LoadedConfig) -> bool {
        let mut state = self.state();
        let revision = loaded.head.revision;
        if !state
            .tracker
            .on_fetched(revision, loaded.snapshot.zones.len())
        {
            return false;
        }
        state.loaded = Arc::new(loaded);
        log_event!(self.parts.logger, events::CONFIG_USED; "revision" => revision.0);
        true
    }

    pub(super) fn state(&self) -> MutexGuard<'_, ReplicaState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }

    pub(super) fn is_reader(&self) -> bool {
        self.reader
            .get()
            .is_some_and(|reader| reader.check().is_ok())
    }

    pub(super) fn rank(&self) -> usize {
        let peers = self.parts.members.entries_of(&self.settings.zone);
        let rank = peers
            .iter()
            .position(|(host, _)| *host == self.settings.host);
        rank.unwrap_or(peers.len())
    }
}
