//! What all parts of a gateway share.

use {
    crate::{
        events::INTENT_FAULT,
        feed::StoreFeed,
        intent::IntentView,
        jobs::backup::CopyStore,
        keys::{self, MemberRecord},
        metrics::GatewayMetrics,
        port::{CallerCodec, DutyPort, IntentDecoder, MetadataStore, StoreItem, UpstreamCodec},
        relay::RelayedStore,
        settings::NodeSettings,
    },
    catkindeck::{
        Clock, Moment,
        id::{IncarnationId, ObjectName},
        log_event,
        time::BootClock,
    },
    catkindeck_net::HttpClient,
    catkindeck_policy::direct::{
        FreshnessGate, PeerReachability, UpstreamTable, UsageLedger, UsageWindows,
    },
    slog::Logger,
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
    },
    tokio::sync::Notify,
};

/// The part of the revocation bound for which a proof of freshness counts, in percent.
///
/// A request that is sent after the bound meets a proof that was sent after the withdrawal, so the
/// whole bound could be used; the rest covers the rounding of clocks.
const FRESHNESS_PERCENT: u64 = 90;

/// The adapters of a platform.
#[derive(Clone)]
pub struct GatewayPorts {
    /// The key-value service.
    pub store: Rc<dyn MetadataStore>,
    /// What callers send.
    pub callers: Rc<dyn CallerCodec>,
    /// What upstreams are sent.
    pub upstreams: Rc<dyn UpstreamCodec>,
    /// What operators and upstreams write to the store.
    pub intents: Rc<dyn IntentDecoder>,
    /// The interfaces for duties, if there are any.
    pub duties: Option<Rc<dyn DutyPort>>,
}

/// The state that the parts of a gateway share on its one thread.
///
/// No borrow of a cell is held across an await.
pub struct GatewayCore {
    /// The settings in force.
    pub settings: RefCell<Rc<NodeSettings>>,
    /// This run of the process.
    pub incarnation: IncarnationId,
    /// The adapters.
    pub ports: GatewayPorts,
    /// The client for upstreams.
    pub upstream_client: HttpClient,
    /// The client for other processes of the system.
    pub peer_client: HttpClient,
    /// What operators want.
    pub intent: RefCell<IntentView>,
    /// Whether callers with keys may be served.
    pub freshness: RefCell<FreshnessGate>,
    /// The upstreams.
    pub roster: RefCell<UpstreamTable>,
    /// The requests that this process counted.
    pub usage: RefCell<UsageWindows>,
    /// The requests of all processes, as far as this one heard.
    pub ledger: RefCell<UsageLedger>,
    /// Signals that a request was counted.
    pub usage_counted: Notify,
    /// The counters and histograms.
    pub metrics: GatewayMetrics,
    /// Signals that upstreams or slots may have become free.
    pub capacity: Notify,
    /// Signals that operators or trainers changed something.
    pub intent_changed: Notify,
    /// The store as this process reaches it, for peers that do not.
    pub relay: Rc<RelayedStore>,
    /// What this process read from the store, for others.
    pub feed: StoreFeed,
    /// The processes that this one does not reach.
    pub reach: RefCell<PeerReachability>,
    /// What this process keeps of the running jobs of others.
    pub copies: CopyStore,
    /// The processes of the system, as last heard.
    pub members: RefCell<Vec<MemberRecord>>,
    /// The process that does the control work, as last heard.
    pub leader: RefCell<Option<MemberRecord>>,
    /// Whether the process is leaving.
    pub is_shutting_down: Cell<bool>,
    /// The log.
    pub logger: Logger,
    clock: BootClock,
}

impl GatewayCore {
    /// Puts the shared state together.
    pub fn new(
        settings: NodeSettings,
        ports: GatewayPorts,
        clients: (HttpClient, HttpClient),
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
            upstream_client: clients.0,
            peer_client: clients.1,
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
            is_shutting_down: Cell::new(false),
            logger,
            clock: BootClock::new(),
        });
        relay.attach(&core);
        core
    }

    /// Returns the present.
    pub fn now(&self) -> Moment {
        self.clock.now()
    }

    /// Returns the settings in force.
    pub fn settings(&self) -> Rc<NodeSettings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Counts a request that an upstream began at `sent_ms`, in milliseconds since the Unix epoch.
    pub fn count_usage(&self, customer: Option<&ObjectName>, sent_ms: u64) {
        let Some(customer) = customer else { return };
        let length_ms = self.settings().bounds.usage_window_ms;
        let window = UsageWindows::window_at(sent_ms, length_ms);
        self.usage.borrow_mut().count(window, customer);
        self.usage_counted.notify_one();
    }

    /// Takes the list of processes as the store holds it.
    pub fn set_members(&self, items: &[StoreItem]) {
        let members = items.iter().filter_map(|item| match keys::decode_item(item) {
            Ok(member) => Some(member),
            Err(error) => {
                log_event!(self.logger, INTENT_FAULT; "key" => &item.key, "detail" => error.detail);
                None
            }
        });
        *self.members.borrow_mut() = members.collect();
    }

    /// Returns the other processes in an order that differs by process, so that one peer is not asked by
    /// all.
    pub fn peers(&self) -> Vec<MemberRecord> {
        let mut peers = self.members.borrow().clone();
        let offset = usize::from(self.incarnation.0[0]);
        let start = offset.checked_rem(peers.len()).unwrap_or(0);
        peers.rotate_left(start);
        peers.retain(|peer| peer.incarnation != self.incarnation);
        peers
    }

    /// Tells whether this host takes work on: the process does not leave, and its host is not emptied.
    pub fn accepts_work(&self) -> bool {
        let host = &self.settings().host;
        !self.is_shutting_down.get() && !self.intent.borrow().is_retiring(host)
    }

    /// Tells whether callers with keys may be served.
    pub fn is_fresh(&self) -> bool {
        self.freshness.borrow().is_fresh(self.now())
    }

    /// Tells whether new callers may be sent here.
    pub fn is_ready(&self) -> bool {
        !self.is_shutting_down.get()
            && self.is_fresh()
            && self.intent.borrow().is_claimed()
            && !self.roster.borrow().is_empty()
    }
}
