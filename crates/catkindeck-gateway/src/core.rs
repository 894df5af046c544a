//! State shared by all parts of a gateway.

use {
    crate::{
        capacity::HostRegistry,
        crashing::CrashWatch,
        drain::DrainProgress,
        events::CLOCK_JUMPED,
        fault_log::FaultLog,
        feed::StoreFeed,
        intent::IntentView,
        jobs::backup::CopyStore,
        key_mark::CustomerMark,
        keys::{self, MemberRecord},
        limits::LimitExchange,
        metrics::GatewayMetrics,
        notices::NoticeExchange,
        plain_room::RoomRegistry,
        port::{CallerCodec, CloudApi, IntentDecoder, MetadataStore, StoreItem, UpstreamCodec},
        relay::RelayedStore,
        settings::NodeSettings,
        stream_origins::StreamOrigins,
    },
    catkindeck::{
        Clock, Moment,
        id::{IncarnationId, ObjectName},
        log_event,
        time::{BootClock, unix_ms},
    },
    catkindeck_net::{HeldBytes, HttpClient},
    catkindeck_policy::direct::{
        ClockChange, DemandBoard, FreshnessGate, LeavingNotice, LoadTimeEstimate, PeerReachability,
        ShedStage, UpstreamTable, UsageLedger, UsageWindows, WallClockFilter,
    },
    slog::Logger,
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
    },
    tokio::sync::Notify,
};

/// The share of the revocation bound for which a proof of freshness is valid, in percent.
///
/// A proof is valid from the moment when its read was sent. Once the bound has passed after a revocation, every
/// valid proof was therefore sent after that revocation, so the whole bound could be used. The rest absorbs
/// clock rounding.
const FRESHNESS_PERCENT: u64 = 90;

/// The platform adapters that a gateway uses.
#[derive(Clone)]
pub struct GatewayPorts {
    pub store: Rc<dyn MetadataStore>,
    pub callers: Rc<dyn CallerCodec>,
    pub upstreams: Rc<dyn UpstreamCodec>,
    /// Decodes what operators, trainers and upstreams write to the store.
    pub intents: Rc<dyn IntentDecoder>,
    /// The platform's cloud API; `None` if the platform does not offer it.
    pub cloud_api: Option<Rc<dyn CloudApi>>,
}

/// The HTTP clients of a gateway.
pub struct GatewayClients {
    /// For requests to upstreams.
    pub upstreams: HttpClient,
    /// For orders to upstreams and for their reports.
    pub orders: HttpClient,
    /// For calls to other gateway processes.
    pub peers: HttpClient,
}

/// The state that the parts of a gateway share on its single thread.
///
/// No `RefCell` borrow is held across an await point.
pub struct GatewayCore {
    /// The current settings, replaced as a whole on reload.
    pub settings: RefCell<Rc<NodeSettings>>,
    /// Identifies this run of the process.
    pub incarnation: IncarnationId,
    pub ports: GatewayPorts,
    pub upstream_client: HttpClient,
    /// The client for orders to upstreams and for their reports. These carry no identifier, so they do not share
    /// connections with requests, of which a second response may arrive late.
    pub order_client: HttpClient,
    /// The client for calls to other gateway processes.
    pub peer_client: HttpClient,
    /// What this process knows of whether the deployment has had customers.
    pub customer_mark: CustomerMark,
    /// The desired state that operators and trainers have set.
    pub intent: RefCell<IntentView>,
    /// Tracks whether the configuration is recent enough to authenticate callers.
    pub freshness: RefCell<FreshnessGate>,
    pub roster: RefCell<UpstreamTable>,
    /// The requests that this process counted.
    pub usage: RefCell<UsageWindows>,
    /// The requests that all processes counted, as last reported to this process.
    pub ledger: RefCell<UsageLedger>,
    /// Notified after a request was counted.
    pub usage_counted: Notify,
    pub metrics: GatewayMetrics,
    /// Notified when an upstream or a slot may have become available.
    pub capacity: Notify,
    /// Notified when operators or trainers changed the desired state.
    pub intent_changed: Notify,
    /// The store with fallback through peers; also makes store calls on behalf of peers.
    pub relay: Rc<RelayedStore>,
    /// The results of this process's latest store reads, which peers can fetch.
    pub feed: StoreFeed,
    /// Tracks which peers this process cannot connect to.
    pub reach: RefCell<PeerReachability>,
    /// Copies of the partial texts of other processes' running jobs.
    pub copies: CopyStore,
    /// The registered gateway processes, as last read.
    pub members: RefCell<Vec<MemberRecord>>,
    /// The current leader, as last read.
    pub leader: RefCell<Option<MemberRecord>>,
    /// The course of the process's shutdown.
    pub drain: DrainProgress,
    /// The bytes of responses that are not passed on to their callers yet.
    pub buffered_bytes: Cell<u64>,
    /// The bytes of responses that callers have not taken yet.
    pub held: HeldBytes,
    /// How long engines take to load weights, learned from their responses to this process.
    pub load_time: Cell<LoadTimeEstimate>,
    /// Limits of upstreams that all processes keep together.
    pub limits: LimitExchange,
    /// Upstreams that leave, which all processes are told.
    pub leaving: NoticeExchange<LeavingNotice>,
    /// Requests that crash upstreams, of which all processes are told.
    pub crashes: CrashWatch,
    /// The demand for models, as owners reported it to this process.
    pub demand: RefCell<DemandBoard>,
    /// The software versions that began recent streams.
    pub origins: StreamOrigins,
    /// The use of plain services that callers and scorer calls share.
    pub rooms: RoomRegistry,
    /// What this host and others can carry and carry now.
    pub hosts: HostRegistry,
    /// The entries of lists that cannot be decoded.
    pub faults: FaultLog,
    pub logger: Logger,
    clock: BootClock,
    wall_clock: RefCell<WallClockFilter>,
}

impl GatewayCore {
    pub fn new(
        settings: NodeSettings,
        ports: GatewayPorts,
        clients: GatewayClients,
        metrics: GatewayMetrics,
        logger: Logger,
    ) -> Rc<Self> {
        let bound_ms = settings.bounds.revocation_ms * FRESHNESS_PERCENT / 100;
        let relay = RelayedStore::new(ports.store);
        let ports = GatewayPorts {
            store: Rc::clone(&relay) as Rc<dyn MetadataStore>,
            ..ports
        };
        let core = Rc::new(Self {
            relay: Rc::clone(&relay),
            settings: RefCell::new(Rc::new(settings)),
            incarnation: IncarnationId::random(),
            ports,
            upstream_client: clients.upstreams,
            order_client: clients.orders,
            peer_client: clients.peers,
            customer_mark: CustomerMark::default(),
            intent: RefCell::new(IntentView::default()),
            freshness: RefCell::new(FreshnessGate::new(bound_ms)),
            roster: RefCell::new(UpstreamTable::new()),
            usage: RefCell::new(UsageWindows::new()),
            ledger: RefCell::new(UsageLedger::new()),
            usage_counted: Notify::new(),
            metrics,
            capacity: Notify::new(),
            intent_changed: Notify::new(),
            feed: StoreFeed::default(),
            reach: RefCell::default(),
            copies: CopyStore::default(),
            members: RefCell::new(Vec::new()),
            leader: RefCell::new(None),
            drain: DrainProgress::default(),
            buffered_bytes: Cell::new(0),
            held: HeldBytes::default(),
            load_time: Cell::default(),
            limits: LimitExchange::default(),
            leaving: NoticeExchange::default(),
            crashes: CrashWatch::default(),
            demand: RefCell::default(),
            origins: StreamOrigins::default(),
            rooms: RoomRegistry::default(),
            hosts: HostRegistry::default(),
            faults: FaultLog::default(),
            logger,
            clock: BootClock::new(),
            wall_clock: RefCell::default(),
        });
        // The first reading is the one with which later ones are compared.
        core.unix_ms();
        relay.set_core(&core);
        core
    }

    pub fn now(&self) -> Moment {
        self.clock.now()
    }

    /// Returns the estimated time of day in milliseconds since the Unix epoch. It dates only what processes must
    /// agree on; everything else uses [`Self::now`].
    pub fn unix_ms(&self) -> u64 {
        let now = self.now();
        let (estimate_ms, change) = self.wall_clock.borrow_mut().observe(now, unix_ms());
        if let Some(change) = change {
            let (jump_ms, followed) = match change {
                ClockChange::Jumped(jump_ms) => (jump_ms, false),
                ClockChange::Followed(jump_ms) => (jump_ms, true),
            };
            log_event!(self.logger, CLOCK_JUMPED; "jump_ms" => jump_ms, "followed" => followed);
        }
        estimate_ms
    }

    pub fn settings(&self) -> Rc<NodeSettings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Counts a request for the usage window that contains `sent_ms`, the time at which it was sent to an
    /// upstream, in milliseconds since the Unix epoch.
    pub fn count_usage(&self, customer: Option<&ObjectName>, sent_ms: u64) {
        let Some(customer) = customer else { return };
        let length_ms = self.settings().bounds.usage_window_ms;
        let window = UsageWindows::window_at(sent_ms, length_ms);
        self.usage.borrow_mut().count(window, customer);
        self.usage_counted.notify_one();
    }

    /// Replaces the list of processes by the registrations in `items`. Registrations that cannot be
    /// decoded are logged and left out.
    pub fn set_members(&self, items: &[StoreItem]) {
        let mut faults = Vec::new();
        let registrations = items
            .iter()
            .filter_map(|item| match keys::decode_member(item) {
                Ok(registration) => Some(registration),
                Err(error) => {
                    faults.push(format!("{}: {}", item.key, error.detail));
                    None
                }
            });
        let (members, capacities): (Vec<MemberRecord>, Vec<_>) = registrations.unzip();
        self.log_faults("processes", faults);
        self.hosts.learn(&members, &capacities);
        self.set_listed_members(self.now(), members);
    }

    /// Returns the other processes, rotated by an offset that depends on this process's incarnation, so
    /// that load is spread over the peers.
    pub fn peers(&self) -> Vec<MemberRecord> {
        let mut peers = self.members.borrow().clone();
        let offset = usize::from(self.incarnation.0[0]);
        let start = offset.checked_rem(peers.len()).unwrap_or(0);
        peers.rotate_left(start);
        peers.retain(|peer| peer.incarnation != self.incarnation);
        peers
    }

    /// Returns whether this process may take on new work: it is not shutting down, and its host is not being
    /// drained.
    pub fn accepts_work(&self) -> bool {
        let host = &self.settings().host;
        !self.is_shutting_down() && !self.intent.borrow().is_draining(host)
    }

    /// Returns whether this process is the leader, as last read.
    pub fn is_leader(&self) -> bool {
        let leader = self.leader.borrow();
        let leader = leader.as_ref();
        leader.is_some_and(|leader| leader.incarnation == self.incarnation)
    }

    /// Returns whether the configuration is recent enough to authenticate callers.
    pub fn is_fresh(&self) -> bool {
        self.freshness.borrow().is_fresh(self.now())
    }

    /// Returns whether the load balancer may send new callers to this process.
    pub fn is_ready(&self) -> bool {
        !self.is_shutting_down()
            && self.is_fresh()
            && self.intent.borrow().requires_key().is_some()
            && !self.roster.borrow().is_empty()
            && self.shed_stage() != ShedStage::Unready
    }
}
