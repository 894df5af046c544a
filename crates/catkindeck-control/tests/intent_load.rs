//! Tests of the load that plans read from agents.

use {
    catkindeck::{
        ErrorKind, ServiceError,
        config::{
            ConfigRevision, ConfigSnapshot, ServiceKind, ServiceRecord, UpstreamRecord, ZoneRecord,
            ZoneState,
        },
        id::{BootId, IncarnationId, ObjectName},
        link::{FrameStream, PeerLink},
        message::{LoadReport, PeerFrame, PeerRequest},
    },
    catkindeck_control::{
        intent::{AgentLoadSource, LoadSource},
        source::ConfigSource,
    },
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU32, Ordering},
        },
        time::Duration,
    },
};

fn name(text: &str) -> ObjectName {
    ObjectName::try_from(text).unwrap()
}

/// Agents by port: from 3000 on none answers, from 2000 on they are closed, from 1500 on cold.
#[derive(Default)]
struct PortLink {
    calls: AtomicU32,
}

struct OneFrame(Option<PeerFrame>);

impl FrameStream for OneFrame {
    fn receive(&mut self, _timeout: Duration) -> Result<Option<PeerFrame>, ServiceError> {
        Ok(self.0.take())
    }
}

impl PeerLink for PortLink {
    fn call(
        &self,
        address: SocketAddr,
        _request: PeerRequest,
        _timeout: Duration,
    ) -> Result<Box<dyn FrameStream>, ServiceError> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let port = address.port();
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

    fn note_revision(&self, _revision: ConfigRevision) {}
}

/// Returns running, warm and demand by service and zone, and the number of calls.
fn load(ports: &[(&str, &str, u16)]) -> (Vec<(String, u32, u32, u32)>, u32) {
    let service = |service| ServiceRecord {
        name: name(service),
        kind: ServiceKind::Engine,
        warm_limit: 8,
        cold_limit: 1,
        cold_start_ms: 0,
        checks_fence: false,
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
    let snapshot = ConfigSnapshot {
        services: vec![service("desk"), service("draft")],
        zones: vec![zone("in", ZoneState::In), zone("out", ZoneState::Out)],
        upstreams: upstreams.collect(),
        ..ConfigSnapshot::default()
    };
    let link = Arc::new(PortLink::default());
    let source = AgentLoadSource::new(link.clone(), Arc::new(FixedSource(Arc::new(snapshot))));
    let view = source.load();
    let records = view.records.into_iter().map(|record| {
        let place = format!("{}@{}", record.service, record.zone);
        (place, record.running, record.warm, record.demand)
    });
    (records.collect(), link.calls.load(Ordering::Relaxed))
}

/// Guards against plans that count leaving or silent upstreams as running, or cold ones as warm.
#[test]
fn only_upstreams_that_take_work_count_as_running() {
    let (records, _) = load(&[
        ("draft", "in", 1000),
        ("draft", "in", 1500),
        ("draft", "in", 2000),
        ("draft", "in", 3000),
        // In a zone that is out, every agent is closed, but its upstreams run.
        ("draft", "out", 2000),
        ("draft", "out", 3000),
        // No agent of this service answers, so its load is not known.
        ("desk", "in", 3000),
    ]);
    let expected = [
        ("draft@in".to_owned(), 2, 1, 9),
        ("draft@out".to_owned(), 1, 0, 3),
    ];
    assert_eq!(records, expected);
}

/// Guards against a plan whose number of calls grows with the fleet.
#[test]
fn large_zones_are_sampled_and_scaled() {
    let ports: Vec<(&str, &str, u16)> = (0..640).map(|_| ("draft", "in", 1000)).collect();
    let (records, calls) = load(&ports);
    assert_eq!(records, [("draft@in".to_owned(), 640, 640, 1920)]);
    assert_eq!(calls, 32);
}
