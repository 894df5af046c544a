//! Tests of the load that is read from agents for plans, and of the notification of agents.

use {
    catkindeck::{
        ErrorKind, ServiceError,
        config::{
            ConfigRevision, ConfigSnapshot, ServiceKind, ServiceRecord, UpstreamRecord, ZoneRecord,
            ZoneState,
        },
        id::{BootId, IncarnationId, ObjectName},
        link::{FrameStream, PeerLink},
        message::{LoadReport, OrderKind, PeerFrame, PeerRequest, UpstreamOrder},
    },
    catkindeck_control::{
        intent::{AgentLoadSource, IntentAnnouncer, LoadSource, OrderAnnouncer},
        source::ConfigSource,
    },
    std::{
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicU32, Ordering},
        },
        time::Duration,
    },
};

fn name(text: &str) -> ObjectName {
    ObjectName::try_from(text).unwrap()
}

/// Fake agents whose behavior depends on their port: those from 1500 on are cold, from 2000 on also
/// closed, and from 3000 on they do not respond.
#[derive(Default)]
struct FakePeerLink {
    calls: AtomicU32,
    orders: Mutex<Vec<(u16, UpstreamOrder)>>,
}

struct OneFrame(Option<PeerFrame>);

impl FrameStream for OneFrame {
    fn receive(&mut self, _timeout: Duration) -> Result<Option<PeerFrame>, ServiceError> {
        Ok(self.0.take())
    }
}

impl PeerLink for FakePeerLink {
    fn call(
        &self,
        address: SocketAddr,
        request: PeerRequest,
        _timeout: Duration,
    ) -> Result<Box<dyn FrameStream>, ServiceError> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let port = address.port();
        if let PeerRequest::Order(order) = request {
            self.orders.lock().unwrap().push((port, order));
            return Ok(Box::new(OneFrame(Some(PeerFrame::Done))));
        }
        if port >= 3000 {
            return Err(ServiceError::not_run(ErrorKind::PeerUnavailable, "gone"));
        }
        let report = LoadReport {
            incarnation: IncarnationId::default(),
            boot: BootId::default(),
            limit: if port >= 1500 { 1 } else { 7 },
            in_flight: 2,
            queued: 1,
            credits: 0,
            closed: port >= 2000,
            version: None,
            revision: ConfigRevision(1),
            prefixes: Vec::new(),
        };
        Ok(Box::new(OneFrame(Some(PeerFrame::Load(Box::new(report))))))
    }
}

struct FixedSource(Arc<ConfigSnapshot>);

impl ConfigSource for FixedSource {
    fn current(&self) -> Arc<ConfigSnapshot> {
        Arc::clone(&self.0)
    }

    fn is_fresh(&self) -> bool {
        true
    }

    fn observe_revision(&self, _revision: ConfigRevision) {}
}

/// Returns the running and warm upstreams and the demand by service and zone, and the number of
/// calls.
fn load(ports: &[(&str, &str, u16)]) -> (Vec<(String, u32, u32, u32)>, u32) {
    let link = Arc::new(FakePeerLink::default());
    let source = Arc::new(FixedSource(Arc::new(snapshot(ports))));
    let view = AgentLoadSource::new(link.clone(), source).load();
    let records = view.records.into_iter().map(|record| {
        let label = format!("{}@{}", record.service, record.zone);
        (label, record.running, record.warm, record.demand)
    });
    (records.collect(), link.calls.load(Ordering::Relaxed))
}

/// Creates a configuration with the zones `in` and `out`, and upstreams with the given service,
/// zone and port.
fn snapshot(ports: &[(&str, &str, u16)]) -> ConfigSnapshot {
    let service = |service| ServiceRecord {
        name: name(service),
        kind: ServiceKind::Engine,
        warm_limit: 8,
        cold_limit: 1,
        cold_start_ms: 0,
        checks_fence: false,
        direct: catkindeck::direct::DirectOptions::default(),
    };
    let zone = |zone, state| ZoneRecord {
        name: name(zone),
        region: name("tvm"),
        state,
    };
    let upstreams = ports
        .iter()
        .enumerate()
        .map(|(index, (service, zone, port))| UpstreamRecord {
            name: name(&format!("u-{index:04}")),
            service: name(service),
            zone: name(zone),
            agent: SocketAddr::from(([127, 0, 0, 1], *port)),
            added_ms: 0,
            removed_ms: None,
        });
    ConfigSnapshot {
        services: vec![service("desk"), service("draft")],
        zones: vec![zone("in", ZoneState::In), zone("out", ZoneState::Out)],
        upstreams: upstreams.collect(),
        ..ConfigSnapshot::default()
    }
}

/// Guards against counting draining or unresponsive upstreams as running, or cold ones as warm.
#[test]
fn only_upstreams_that_take_work_count_as_running() {
    let (records, _) = load(&[
        ("draft", "in", 1000),
        ("draft", "in", 1500),
        ("draft", "in", 2000),
        ("draft", "in", 3000),
        // In a zone that is out of service, all agents are closed but their upstreams run.
        ("draft", "out", 2000),
        ("draft", "out", 3000),
        // No agent of this service responds, so its load is unknown.
        ("desk", "in", 3000),
    ]);
    let expected = [
        ("draft@in".to_owned(), 2, 1, 9),
        ("draft@out".to_owned(), 1, 0, 3),
    ];
    assert_eq!(records, expected);
}

/// Guards against a number of calls per plan that grows with the number of upstreams.
#[test]
fn large_zones_are_sampled_and_scaled() {
    let ports: Vec<(&str, &str, u16)> = (0..640).map(|_| ("draft", "in", 1000)).collect();
    let (records, calls) = load(&ports);
    assert_eq!(records, [("draft@in".to_owned(), 640, 640, 1920)]);
    assert_eq!(calls, 32);
}

/// Guards against agents that are not notified when their zone goes out of service, and against
/// late announcements that override newer ones.
#[test]
fn agents_of_changed_zones_are_notified_with_the_revision_as_token() {
    let before = snapshot(&[
        ("draft", "in", 1000),
        ("draft", "in", 1001),
        ("draft", "out", 1002),
    ]);
    let mut after = before.clone();
    after.revision = ConfigRevision(7);
    after.zones[0].state = ZoneState::Out;
    let link = Arc::new(FakePeerLink::default());
    OrderAnnouncer::new(link.clone()).announce(&before, &after);
    let mut orders = link.orders.lock().unwrap().clone();
    orders.sort_by_key(|(port, _)| *port);
    let notified: Vec<(u16, u64)> = orders
        .iter()
        .map(|(port, order)| (*port, order.fence))
        .collect();
    assert_eq!(notified, [(1000, 7), (1001, 7)]);
    assert!(
        orders
            .iter()
            .all(|(_, order)| order.kind == OrderKind::SetZone(ZoneState::Out))
    );
}
