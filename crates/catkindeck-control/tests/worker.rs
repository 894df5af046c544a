//! Tests of a zone's control work and of weight rollout, with fake platform services and agents
//! that record their orders.

use {
    catkindeck::{
        ErrorKind, ServiceError,
        config::{
            ConfigRevision, ConfigSnapshot, RunRecord, ServiceKind, ServiceRecord, UpstreamRecord,
            ZoneRecord, ZoneState,
        },
        id::{BootId, IncarnationId, ObjectName},
        link::{FrameStream, PeerLink},
        log::discard_logger,
        message::{LoadReport, OrderKind, PeerFrame, PeerRequest, UsageLine},
        platform::{HostList, HostRecord, HostState},
        time::SystemClock,
        token::WeightVersion,
    },
    catkindeck_control::{
        intent::LoadSource,
        load::LoadStore,
        members::MemberList,
        rollout::WeightRollout,
        run::ports::WeightPublisher,
        source::ConfigSource,
        usage::UsageObserver,
        worker::{WorkerParts, WorkerSettings, ZoneWorker},
    },
    catkindeck_fakes::{
        fault::{FakeHandler, FakeRequest, FakeServer},
        store::FakeStore,
        usage::FakeUsage,
        zones::FakeZones,
    },
    catkindeck_store::{ClientSettings, HttpStore, HttpUsage, HttpZones},
    std::{
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, Ordering},
        },
        thread,
        time::Duration,
    },
};

/// Fake agents that record their orders and report a fixed load.
#[derive(Default)]
struct Agents {
    orders: Mutex<Vec<(SocketAddr, u64, OrderKind)>>,
    refuse_first: Mutex<bool>,
}

struct OneFrame(Option<PeerFrame>);

impl FrameStream for OneFrame {
    fn receive(&mut self, _timeout: Duration) -> Result<Option<PeerFrame>, ServiceError> {
        Ok(self.0.take())
    }
}

impl PeerLink for Agents {
    fn call(
        &self,
        address: SocketAddr,
        request: PeerRequest,
        _timeout: Duration,
    ) -> Result<Box<dyn FrameStream>, ServiceError> {
        let frame = match request {
            PeerRequest::ReadLoad => PeerFrame::Load(Box::new(busy_load())),
            PeerRequest::CollectUsage { sealed_through } => {
                let line = UsageLine {
                    window: 1,
                    customer: Some(name("customer")),
                    service: name("drafting"),
                    requests: 2,
                    tokens: 30,
                };
                let lines = if sealed_through.is_none() {
                    vec![line]
                } else {
                    Vec::new()
                };
                PeerFrame::Usage(lines)
            }
            PeerRequest::Order(order) => {
                if std::mem::take(&mut *self.refuse_first.lock().unwrap()) {
                    let detail = "injected by the test";
                    return Err(ServiceError::unknown(ErrorKind::PeerUnavailable, detail));
                }
                let mut orders = self.orders.lock().unwrap();
                orders.push((address, order.fence, order.kind));
                PeerFrame::Done
            }
            _ => PeerFrame::Done,
        };
        Ok(Box::new(OneFrame(Some(frame))))
    }
}

struct DrainingHosts;

impl HostList for DrainingHosts {
    fn hosts(&self) -> Result<Vec<HostRecord>, ServiceError> {
        Ok(vec![HostRecord {
            host: name("u1"),
            zone: name("vault-a"),
            address: address(1),
            role: "agent".to_owned(),
            state: HostState::Leaving,
        }])
    }
}

struct TestSource(Mutex<Arc<ConfigSnapshot>>);

impl TestSource {
    fn set_zone(&self, state: ZoneState) {
        let mut current = self.0.lock().unwrap();
        let mut next = (**current).clone();
        next.zones[0].state = state;
        *current = Arc::new(next);
    }
}

impl ConfigSource for TestSource {
    fn current(&self) -> Arc<ConfigSnapshot> {
        Arc::clone(&self.0.lock().unwrap())
    }

    fn is_fresh(&self) -> bool {
        true
    }

    fn observe_revision(&self, _revision: ConfigRevision) {}
}

fn busy_load() -> LoadReport {
    LoadReport {
        incarnation: IncarnationId::default(),
        boot: BootId::default(),
        limit: 4,
        in_flight: 4,
        queued: 4,
        credits: 0,
        closed: false,
        version: None,
        revision: ConfigRevision(1),
        prefixes: Vec::new(),
    }
}

fn source() -> Arc<TestSource> {
    let mut snapshot = ConfigSnapshot {
        revision: ConfigRevision(1),
        ..ConfigSnapshot::default()
    };
    snapshot.zones.push(ZoneRecord {
        name: name("vault-a"),
        region: name("tvm"),
        state: ZoneState::In,
    });
    snapshot.services.push(ServiceRecord {
        name: name("drafting"),
        kind: ServiceKind::Engine,
        warm_limit: 4,
        cold_limit: 1,
        cold_start_ms: 1000,
        checks_fence: true,
        direct: catkindeck::direct::DirectOptions::default(),
    });
    for port in 0..2 {
        snapshot.upstreams.push(UpstreamRecord {
            name: name(&format!("u{port}")),
            service: name("drafting"),
            zone: name("vault-a"),
            agent: address(port),
            added_ms: 0,
            removed_ms: None,
        });
    }
    Arc::new(TestSource(Mutex::new(Arc::new(snapshot))))
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 100 + port))
}

fn name(text: &str) -> ObjectName {
    ObjectName::try_from(text).expect("a valid name")
}

fn serve(mode: impl FakeHandler + 'static) -> (FakeServer, ClientSettings) {
    let server = FakeServer::new(Box::new(mode));
    let any = "127.0.0.1:0".parse().expect("a valid address");
    let address = server.spawn(any, None).expect("a loopback port is free");
    (server, ClientSettings::new(address))
}

fn control(server: &FakeServer, path: &str) -> String {
    let call = FakeRequest {
        method: "GET".to_owned(),
        path: vec!["control".to_owned(), path.to_owned()],
        query: String::new(),
        body: Vec::new(),
    };
    String::from_utf8(server.control(&call).body).expect("the response is text")
}

/// Counts the windows that a worker reported.
#[derive(Default)]
struct WindowCounter {
    reported: AtomicU64,
}

impl UsageObserver for WindowCounter {
    /// Late reports are counted too, because whether a report is on time depends on the speed of
    /// the machine.
    fn on_window_reported(&self, _zone: &ObjectName, _on_time: bool) {
        self.reported.fetch_add(1, Ordering::SeqCst);
    }
}

/// Waits until `done` returns true, and fails after about 60 s.
fn wait_for(what: &str, done: impl Fn() -> bool) {
    for _ in 0..3000 {
        if done() {
            return;
        }
        thread::sleep(Duration::from_millis(20));
    }
    panic!("{what} did not happen");
}

/// Guards against a zone whose load, draining hosts, state or usage is not handled.
#[test]
fn worker_orders_upstreams_notifies_agents_and_reports_usage() {
    let (_store_server, store_settings) = serve(FakeStore::default());
    let (zones_server, zones_settings) = serve(FakeZones::default());
    let (usage_server, usage_settings) = serve(FakeUsage::default());
    let clock = Arc::new(SystemClock::new());
    let store = Arc::new(HttpStore::new(
        store_settings,
        clock.clone(),
        discard_logger(),
    ));
    let agents = Arc::new(Agents::default());
    let source = source();
    let members = Arc::new(MemberList::new(Arc::new(DrainingHosts)));
    members.refresh().expect("the host list can be read");
    let windows = Arc::new(WindowCounter::default());
    let parts = WorkerParts {
        store: store.clone(),
        orders: Arc::new(HttpZones::new(
            zones_settings,
            clock.clone(),
            discard_logger(),
        )),
        observer: windows.clone(),
        sink: Arc::new(HttpUsage::new(
            usage_settings,
            clock.clone(),
            discard_logger(),
        )),
        members,
        source: source.clone(),
        link: agents.clone(),
        clock,
        logger: discard_logger(),
    };
    let settings = WorkerSettings {
        zone: name("vault-a"),
        holder: "n0-1".to_owned(),
        max_upstreams: 20,
    };
    let load_store = Arc::new(LoadStore::new(store));
    let worker = ZoneWorker::start(settings, parts, Arc::clone(&load_store)).expect("starts");

    wait_for("an order for upstreams", || {
        control(&zones_server, "orders").contains("drafting")
    });
    wait_for("a usage report", || {
        control(&usage_server, "reports").contains("customer")
    });
    wait_for("the count of the report", || {
        windows.reported.load(Ordering::SeqCst) > 0
    });
    let view = load_store.load();
    assert_eq!((view.records[0].running, view.records[0].demand), (2, 16));
    let notified = |kind: &OrderKind| -> Vec<SocketAddr> {
        let orders = agents.orders.lock().unwrap();
        let notified = orders
            .iter()
            .filter(|(_, fence, other)| *fence == 1 && other == kind);
        notified.map(|(address, ..)| *address).collect()
    };
    wait_for("the zone's state", || {
        notified(&OrderKind::SetZone(ZoneState::In)).len() == 2
    });
    assert_eq!(notified(&OrderKind::Leave), [address(1)], "notified once");

    // The zone goes out of service and back into service. Each agent is notified of each change
    // once.
    for state in [ZoneState::Out, ZoneState::In] {
        let before = notified(&OrderKind::SetZone(state)).len();
        source.set_zone(state);
        wait_for("the zone's new state", || {
            notified(&OrderKind::SetZone(state)).len() == before + 2
        });
    }
    assert_eq!(agents.orders.lock().unwrap().len(), 7);
    worker.drain();
}

/// Guards against activating a version before all agents have staged it, and against skipping an
/// agent because a call to it failed.
#[test]
fn weights_are_staged_before_any_is_activated() {
    let agents = Arc::new(Agents::default());
    *agents.refuse_first.lock().unwrap() = true;
    let rollout = WeightRollout::new(agents.clone(), source(), discard_logger());
    let run = RunRecord {
        name: name("run"),
        customer: name("customer"),
        service: name("drafting"),
        staleness_bound: 1,
        step_deadline_ms: 1000,
    };
    let version = WeightVersion(3);
    rollout.publish(&run, version, 7);
    rollout.publish(&run, version, 7);
    wait_for("activation", || agents.orders.lock().unwrap().len() == 4);
    let orders = agents.orders.lock().unwrap().clone();
    assert!(orders.iter().all(|(_, fence, _)| *fence == 7));
    let kinds: Vec<OrderKind> = orders.iter().map(|(_, _, kind)| kind.clone()).collect();
    let (stage, activate) = (OrderKind::Stage(version), OrderKind::Activate(version));
    assert_eq!(kinds, [stage.clone(), stage, activate.clone(), activate]);
    // A version that is published under an older fencing token is not rolled out.
    rollout.publish(&run, WeightVersion(9), 6);
    thread::sleep(Duration::from_millis(50));
    assert_eq!(agents.orders.lock().unwrap().len(), 4);
}
