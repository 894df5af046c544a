//! Keeps this node's configuration current, from the store or from peers.

use {
    super::{
        confirm::ConfirmTally,
        head::HeldConfig,
        ledger::ConfirmRounds,
        loader::{self, HEAD_KEY},
        tracker::SpreadTracker,
    },
    crate::{
        events,
        members::MemberList,
        source::{ConfigSource, SpreadPeer},
    },
    catkindeck::{
        Clock, ErrorKind, Moment, ServiceError,
        config::{ConfigRevision, ConfigSnapshot},
        id::ObjectName,
        link::PeerLink,
        log_event,
        message::{PeerFrame, PeerRequest, SpreadReport},
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

/// The age of evidence from which a node that does not watch the store asks it itself.
const FALLBACK_AGE_MS: u64 = 6000;

/// How often a node that asks for its zone reads the host list, in milliseconds.
pub const REFRESH_PERIOD_MS: u64 = 5000;

/// How often another node reads the host list while it has recent evidence, in milliseconds.
///
/// The list of the target size has over 6,000 hosts, so a read costs hundreds of kilobytes. The
/// other nodes only need the few peers of their zone.
pub const IDLE_REFRESH_PERIOD_MS: u64 = 300_000;

/// The calls that a round of confirmations makes at the same time.
const ROUND_THREADS: usize = 16;

/// The pause of the following thread.
const TICK: Duration = Duration::from_millis(250);

/// The children of one node in the tree by which a zone's nodes fetch parts.
pub const TREE_WIDTH: usize = 4;

/// The time to live of a reader lease, in milliseconds.
pub const READER_TTL_MS: u64 = 10_000;

/// Who this node is.
#[derive(Debug, Clone)]
pub struct HolderSettings {
    /// The host's name.
    pub host: ObjectName,
    /// The availability zone.
    pub zone: ObjectName,
    /// The name of this run of the process, by which its leases are held.
    pub holder: String,
}

/// What a [`ConfigHolder`] needs from the process around it.
#[derive(Clone)]
pub struct HolderParts {
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
pub struct ConfigHolder {
    settings: HolderSettings,
    parts: HolderParts,
    link: OnceLock<Arc<dyn PeerLink>>,
    state: Mutex<HolderState>,
    reader: OnceLock<LeaseHolder>,
    wake: Sender<()>,
    woken: Receiver<()>,
    stopped: AtomicBool,
}

struct HolderState {
    tracker: SpreadTracker,
    held: Arc<HeldConfig>,
    /// Peers that told that they watch the store.
    readers: Vec<SocketAddr>,
    turn: usize,
    next_follow: Moment,
    next_fallback: Moment,
    refreshed: Option<Moment>,
}

impl ConfigHolder {
    /// Makes a holder that knows nothing; [`Self::start`] lets it follow.
    pub fn new(settings: HolderSettings, parts: HolderParts) -> Arc<Self> {
        let (wake, woken) = bounded(1);
        let state = HolderState {
            tracker: SpreadTracker::new(settings.zone.clone(), parts.clock.now()),
            held: Arc::default(),
            readers: Vec::new(),
            turn: 0,
            next_follow: Moment::default(),
            next_fallback: Moment::default(),
            refreshed: None,
        };
        Arc::new(Self {
            settings,
            parts,
            link: OnceLock::new(),
            state: Mutex::new(state),
            reader: OnceLock::new(),
            wake,
            woken,
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
    pub fn adopt(&self, held: HeldConfig) -> bool {
        let mut state = self.state();
        let revision = held.head.revision;
        if !state
            .tracker
            .on_fetched(revision, held.snapshot.zones.len())
        {
            return false;
        }
        state.held = Arc::new(held);
        log_event!(self.parts.logger, events::CONFIG_USED; "revision" => revision.0);
        true
    }

    fn state(&self) -> MutexGuard<'_, HolderState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }

    fn is_reader(&self) -> bool {
        self.reader
            .get()
            .is_some_and(|reader| reader.check().is_ok())
    }

    fn rank(&self) -> usize {
        let peers = self.parts.members.entries_of(&self.settings.zone);
        let rank = peers
            .iter()
            .position(|(host, _)| *host == self.settings.host);
        rank.unwrap_or(peers.len())
    }

    /// Watches the store while this node is a reader.
    fn run_watch(&self) {
        let mut seen = None;
        while !self.is_stopped() {
            if !self.is_reader() {
                seen = None;
                thread::sleep(TICK);
                continue;
            }
            if let Err(error) = self.watch_once(&mut seen) {
                log_event!(self.parts.logger, events::CONFIG_WATCH_FAILED;
                    "detail" => &error.detail);
                thread::sleep(Duration::from_secs(1));
            }
        }
    }

    fn watch_once(&self, seen: &mut Option<(u64, ConfigRevision)>) -> Result<(), ServiceError> {
        let store = self.parts.store.as_ref();
        let asked = self.parts.clock.now();
        let after = seen.map_or(0, |(after, _)| after);
        let wait = if seen.is_some() {
            WATCH_WAIT
        } else {
            Duration::ZERO
        };
        let changed = store.watch(HEAD_KEY, after, wait)?;
        let known = seen.filter(|(after, _)| *after == changed);
        let revision = match known {
            // No change until the answer means that the head was the same when it was asked for.
            Some((_, revision)) => {
                self.state().tracker.on_head(revision, asked);
                revision
            }
            None => self.read_head()?,
        };
        *seen = Some((changed, revision));
        self.load_wanted();
        if known.is_none() {
            self.notify_zone();
        }
        Ok(())
    }

    /// Reads the head from the store and loads what changed.
    fn read_head(&self) -> Result<ConfigRevision, ServiceError> {
        let store = self.parts.store.as_ref();
        let asked = self.parts.clock.now();
        let (_, head) = loader::read_head(store)?;
        let revision = head.revision;
        let held = {
            let mut state = self.state();
            state.tracker.on_head(revision, asked);
            Arc::clone(&state.held)
        };
        if revision > held.head.revision {
            self.adopt(loader::load_from_store(store, &held, head)?);
        }
        Ok(revision)
    }

    /// Tells the zone's nodes of a change; the revision travels with the message.
    fn notify_zone(&self) {
        for (host, address) in self.parts.members.entries_of(&self.settings.zone) {
            if host != self.settings.host {
                // A node that is not reached asks within the follow period.
                let _ = self.ask(address);
            }
        }
    }

    /// Asks peers and fetches what is wanted.
    fn run_follow(&self) {
        while !self.is_stopped() {
            // A wake-up or the tick, whichever comes first.
            let _ = self.woken.recv_timeout(TICK);
            if let Some(reader) = self.reader.get() {
                let rank = u32::try_from(self.rank() / 2).unwrap_or(u32::MAX);
                reader.set_rank(rank);
            }
            let now = self.parts.clock.now();
            self.refresh_members(now);
            let follow = {
                let mut state = self.state();
                let follow = now >= state.next_follow;
                if follow {
                    state.next_follow = now + FOLLOW_PERIOD_MS;
                    state.turn = state.turn.wrapping_add(1);
                }
                follow
            };
            if follow {
                self.follow_once();
            }
            self.load_wanted();
            self.fall_back(now);
        }
    }

    /// Tells whether this node asks the other zones on behalf of its zone.
    ///
    /// The first two of a zone do so without a lease as well, because no lease can be renewed while
    /// the store is down, and that is when the other zones' word is needed.
    fn asks_for_zone(&self) -> bool {
        self.is_reader() || self.rank() < 2
    }

    fn refresh_members(&self, now: Moment) {
        let asks = self.asks_for_zone();
        {
            let mut state = self.state();
            let age = state.tracker.age_ms(now);
            let idle = !asks && age.is_some_and(|age| age <= FALLBACK_AGE_MS);
            let period = match idle {
                true => IDLE_REFRESH_PERIOD_MS,
                false => REFRESH_PERIOD_MS,
            };
            if state.refreshed.is_some_and(|at| now < at + period) {
                return;
            }
            state.refreshed = Some(now);
        }
        if let Err(error) = self.parts.members.refresh() {
            log_event!(self.parts.logger, events::HOSTS_FAILED; "detail" => &error.detail);
        }
    }

    /// Asks a node of its own zone, and one of each other zone if it does so for its zone or has
    /// had no evidence for a while.
    fn follow_once(&self) {
        let (turn, readers) = {
            let state = self.state();
            (state.turn, state.readers.clone())
        };
        let now = self.parts.clock.now();
        let age = self.state().tracker.age_ms(now);
        let asks_zones = self.asks_for_zone() || age.is_none_or(|age| age > FALLBACK_AGE_MS);
        let members = &self.parts.members;
        for zone in members.entry_zones() {
            let own = zone == self.settings.zone;
            let mut peers = members.entries_of(&zone);
            peers.retain(|(host, _)| *host != self.settings.host);
            if peers.is_empty() || (!own && !asks_zones) {
                continue;
            }
            let watching: Vec<SocketAddr> = peers
                .iter()
                .map(|(_, address)| *address)
                .filter(|address| readers.contains(address))
                .collect();
            let address = match watching.is_empty() {
                // Without a known reader, and every third time, all peers take their turn.
                false if turn % 3 != 0 => watching[turn % watching.len()],
                _ => peers[turn % peers.len()].1,
            };
            if self.ask(address).is_err() {
                self.state().readers.retain(|reader| *reader != address);
            }
        }
    }

    fn ask(&self, address: SocketAddr) -> Result<SpreadReport, ServiceError> {
        let link = self.link.get().ok_or_else(not_started)?;
        let asked = self.parts.clock.now();
        let frame = loader::call(link.as_ref(), address, PeerRequest::ReadSpread)?;
        let PeerFrame::Spread(report) = frame else {
            let detail = "the peer is not an entry";
            return Err(ServiceError::unknown(ErrorKind::PeerUnavailable, detail));
        };
        let mut state = self.state();
        state.tracker.on_report(&report, asked);
        state.readers.retain(|reader| *reader != address);
        if report.reader {
            state.readers.push(address);
        }
        Ok(report)
    }

    /// Fetches the wanted revision, first from the parent in the zone's tree.
    fn load_wanted(&self) {
        let (wanted, held, readers) = {
            let state = self.state();
            let held = Arc::clone(&state.held);
            (state.tracker.wanted(), held, state.readers.clone())
        };
        let (Some(wanted), Some(link)) = (wanted, self.link.get()) else {
            return;
        };
        let peers = self.parts.members.entries_of(&self.settings.zone);
        let parent = self.rank().checked_sub(1).map(|rank| rank / TREE_WIDTH);
        let mut sources: Vec<SocketAddr> = Vec::new();
        sources.extend(
            parent
                .and_then(|parent| peers.get(parent))
                .map(|peer| peer.1),
        );
        sources.extend(readers);
        let others = peers.iter().filter(|(host, _)| *host != self.settings.host);
        sources.extend(others.map(|(_, address)| *address).take(TREE_WIDTH));
        for address in sources {
            if let Ok(loaded) = loader::load_from_peer(link.as_ref(), address, &held, wanted) {
                self.adopt(loaded);
                return;
            }
        }
        // The store's own budget bounds this; it matters when no peer has the revision yet.
        if let Err(error) = self.read_head() {
            log_event!(self.parts.logger, events::CONFIG_FETCH_FAILED;
                "revision" => wanted.0, "detail" => &error.detail);
        }
    }

    /// Reads the head from the store itself when peers give no recent evidence.
    fn fall_back(&self, now: Moment) {
        {
            let mut state = self.state();
            let old = state
                .tracker
                .age_ms(now)
                .is_none_or(|age| age > FALLBACK_AGE_MS);
            if !old || now < state.next_fallback {
                return;
            }
            state.next_fallback = now + FOLLOW_PERIOD_MS;
        }
        if let Err(error) = self.read_head() {
            log_event!(self.parts.logger, events::CONFIG_WATCH_FAILED;
                "detail" => &error.detail);
        }
    }
}

impl ConfigSource for ConfigHolder {
    fn current(&self) -> Arc<ConfigSnapshot> {
        Arc::clone(&self.state().held.snapshot)
    }

    fn is_fresh(&self) -> bool {
        let now = self.parts.clock.now();
        self.state().tracker.is_fresh(now)
    }

    fn note_revision(&self, revision: ConfigRevision) {
        let mut state = self.state();
        state.tracker.on_message(revision);
        if state.tracker.wanted().is_some() {
            // A full channel means that the thread is already told.
            let _ = self.wake.try_send(());
        }
    }
}

impl SpreadPeer for ConfigHolder {
    fn answer(&self, request: &PeerRequest) -> Option<PeerFrame> {
        let held = Arc::clone(&self.state().held);
        let frame = match request {
            PeerRequest::ReadRevision => PeerFrame::Revision(held.head.revision),
            PeerRequest::ReadSpread => {
                let reader = self.asks_for_zone();
                let now = self.parts.clock.now();
                PeerFrame::Spread(self.state().tracker.report(reader, now))
            }
            PeerRequest::FetchConfiguration if held.head.revision > ConfigRevision::default() => {
                PeerFrame::Configuration(Box::new((*held.snapshot).clone()))
            }
            PeerRequest::FetchConfiguration => {
                let detail = "this entry has no configuration yet";
                PeerFrame::Failed(ServiceError::not_run(ErrorKind::NotFound, detail))
            }
            PeerRequest::FetchShards { shards } => match held.head.encode() {
                Ok(head) => PeerFrame::Shards {
                    head,
                    shards: held.parts(shards),
                },
                Err(error) => PeerFrame::Failed(error),
            },
            PeerRequest::PushConfiguration(snapshot) => {
                // Only the number is taken: the parts come with their names from a peer.
                self.note_revision(snapshot.revision);
                PeerFrame::Revision(held.head.revision)
            }
            _ => return None,
        };
        Some(frame)
    }
}

impl ConfirmRounds for ConfigHolder {
    fn round(&self, tally: &mut ConfirmTally) -> Result<(), ServiceError> {
        // The list of this node may be seconds old, and a node missing from it would not be asked.
        if tally.is_empty() {
            self.parts.members.refresh()?;
        }
        let entries = self.parts.members.entries()?;
        let nodes = entries
            .iter()
            .map(|(host, zone, _)| (host.clone(), zone.clone()));
        tally.set_nodes(nodes);
        let missing = tally.missing();
        if missing.contains(&self.settings.host) {
            let used = self.state().tracker.used();
            tally.on_used(&self.settings.host, used, self.parts.clock.now());
        }
        let queue = Mutex::new(
            entries
                .into_iter()
                .filter(|(host, _, _)| missing.contains(host) && *host != self.settings.host),
        );
        let tally = Mutex::new(tally);
        // Nodes that cannot be reached take a timeout each, so several are asked at a time.
        thread::scope(|scope| {
            for _ in 0..ROUND_THREADS.min(missing.len()) {
                scope.spawn(|| {
                    while let Some((host, _, address)) = take(&queue) {
                        let report = self.ask(address).ok().filter(|report| report.used);
                        if let Some(report) = report {
                            let now = self.parts.clock.now();
                            let mut tally = tally.lock().unwrap_or_else(PoisonError::into_inner);
                            tally.on_used(&host, report.revision, now);
                        }
                    }
                });
            }
        });
        Ok(())
    }
}

fn take<I: Iterator>(queue: &Mutex<I>) -> Option<I::Item> {
    queue.lock().unwrap_or_else(PoisonError::into_inner).next()
}

fn not_started() -> ServiceError {
    ServiceError::not_run(ErrorKind::PeerUnavailable, "peers cannot be called yet")
}
