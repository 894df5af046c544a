//! This node's replica of the configuration.

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

/// The maximum time that a reader's watch request waits for a change of the store. It limits the
/// age of a reader's evidence.
pub const WATCH_WAIT: Duration = Duration::from_secs(2);

/// The period in which each node polls peers, in milliseconds.
///
/// Added to the age of a reader's evidence of at most 2 s, it is well below the freshness bound of
/// 10 s, so that one poll may fail without effect.
pub const FOLLOW_PERIOD_MS: u64 = 3000;

/// The period in which a node that polls other zones on behalf of its zone reads the host list, in
/// milliseconds.
pub const REFRESH_PERIOD_MS: u64 = 5000;

/// The period in which any other node reads the host list while it has recent evidence, in
/// milliseconds.
///
/// At the target size the list has over 6,000 hosts, so a read transfers hundreds of kilobytes, and
/// these nodes only need the few peers of their zone.
pub const IDLE_REFRESH_PERIOD_MS: u64 = 300_000;

/// The number of children of each node in the tree along which the nodes of a zone fetch shards.
pub const TREE_FANOUT: usize = 4;

pub const READER_LEASE_TTL_MS: u64 = 10_000;

/// The identity of this node.
#[derive(Debug, Clone)]
pub struct ReplicaSettings {
    pub host: ObjectName,
    pub zone: ObjectName,
    /// The name under which this process instance holds its leases.
    pub holder: String,
}

/// The dependencies of a [`ConfigReplica`].
#[derive(Clone)]
pub struct ReplicaParts {
    /// The key-value service.
    pub store: Arc<dyn StoreClient>,
    pub members: Arc<MemberList>,
    pub clock: Arc<dyn Clock>,
    pub logger: Logger,
}

/// Holds the configuration that this node uses and keeps it current.
///
/// Two nodes of each zone hold a reader lease and watch the store; the others poll them. Every node
/// serves its shards to peers, so that a node that reaches a peer can start while the store is
/// down.
pub struct ConfigReplica {
    pub(super) settings: ReplicaSettings,
    pub(super) parts: ReplicaParts,
    pub(super) link: OnceLock<Arc<dyn PeerLink>>,
    pub(super) state: Mutex<ReplicaState>,
    pub(super) reader: OnceLock<LeaseHolder>,
    pub(super) wake_sender: Sender<()>,
    pub(super) wake_receiver: Receiver<()>,
    /// Wakes the thread that notifies the other nodes of the zone of a change.
    pub(super) notify_sender: Sender<()>,
    pub(super) notify_receiver: Receiver<()>,
    pub(super) stopped: AtomicBool,
}

pub(super) struct ReplicaState {
    pub(super) tracker: FreshnessTracker,
    pub(super) loaded: Arc<LoadedConfig>,
    /// The peers that reported that they watch the store.
    pub(super) readers: Vec<SocketAddr>,
    pub(super) poll_count: usize,
    pub(super) next_poll: Moment,
    pub(super) next_fallback: Moment,
    pub(super) last_refresh: Option<Moment>,
}

impl ConfigReplica {
    /// Creates a replica without a configuration. It gets one after [`Self::start`].
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

    /// Starts the threads that keep the configuration current.
    ///
    /// # Errors
    ///
    /// Returns `internal` if a thread cannot be started or the replica is already started.
    pub fn start(self: &Arc<Self>, link: Arc<dyn PeerLink>) -> Result<(), ServiceError> {
        let failed = |detail: String| ServiceError::not_run(ErrorKind::Internal, detail);
        self.link
            .set(link)
            .map_err(|_| failed("the configuration replica is already started".to_owned()))?;
        let now = self.parts.clock.now();
        self.refresh_members(now);
        let lease = LeaseSettings {
            name: format!("reader/{}/{}", self.settings.zone, self.rank() % 2),
            holder: self.settings.holder.clone(),
            ttl_ms: READER_LEASE_TTL_MS,
            margin_ms: READER_LEASE_TTL_MS / 10,
            order_ms: 0,
        };
        let reader = LeaseHolder::start(
            lease,
            Arc::clone(&self.parts.store),
            Arc::clone(&self.parts.clock),
            self.parts.logger.clone(),
        )
        .map_err(|error| failed(error.to_string()))?;
        // Cannot fail: the link could be set, so this is the first start.
        let _ = self.reader.set(reader);
        for (name, body) in [
            ("config-watch", Self::run_watch as fn(&Self)),
            ("config-follow", Self::run_follow as fn(&Self)),
            ("config-notify", Self::run_notify as fn(&Self)),
        ] {
            let replica = Arc::clone(self);
            thread::Builder::new()
                .name(name.to_owned())
                .spawn(move || body(&replica))
                .map_err(|error| failed(error.to_string()))?;
        }
        Ok(())
    }

    /// Stops the threads and releases the reader lease.
    pub fn drain(&self) {
        self.stopped.store(true, Ordering::Relaxed);
        if let Some(reader) = self.reader.get() {
            reader.drain();
        }
    }

    /// Switches to a configuration if it is newer than the one in use, and returns whether it is.
    pub fn apply_if_newer(&self, loaded: LoadedConfig) -> bool {
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

    pub(super) fn holds_reader_lease(&self) -> bool {
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
