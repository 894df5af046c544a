//! Tests orders, zone changes and draining hosts.

mod common;

use {
    catkindeck::{
        ErrorKind, ExecutionOutcome,
        config::ConfigRevision,
        link::PeerRole,
        message::{PeerFrame, PeerRequest},
        platform::{HostList, HostRecord, HostState},
        token::WeightVersion,
    },
    catkindeck_fakes::{EngineSettings, control::ControlTarget, engine::FakeEngine},
    common::{
        TestResponse, TestSetup, completion, configuration,
        engine::{order, running, start},
        name, wait_until,
    },
    std::thread,
};

/// Guards against orders from former lease holders, even if the engine ignores fencing tokens (G7),
/// and against applying an order twice.
#[test]
fn orders_are_fenced_and_applied_once() {
    use catkindeck::message::OrderKind::{Activate, ChangeRole, Stage};
    let setup = start(EngineSettings::default());
    let query = |order| setup.entry.query(&setup.agent, order);
    let stage = order("weights", 1, 7, Stage(WeightVersion(2)));
    assert_eq!(query(stage.clone()), PeerFrame::Done);
    assert_eq!(query(stage), PeerFrame::Done);
    let old = order("weights", 2, 6, Activate(WeightVersion(2)));
    let PeerFrame::Failed(error) = query(old) else {
        panic!("an outdated order was applied");
    };
    assert_eq!(error.kind, ErrorKind::Fenced);
    assert_eq!(error.execution, ExecutionOutcome::NotRun);
    let role = order("roles", 3, 1, ChangeRole("prefill".to_owned()));
    assert_eq!(query(role), PeerFrame::Done);
    let state = setup.engine.state();
    assert_eq!(state["orders"].as_array().unwrap().len(), 2);
    assert_eq!(state["version"], 1);
    assert_eq!(state["role"], "prefill");
}

/// Guards against new requests in a zone that is out of service (G10), against aborting requests in
/// flight, and against a zone order that waits for a slow order to the engine.
#[test]
fn a_zone_that_is_out_takes_no_new_work() {
    use catkindeck::{
        config::ZoneState,
        message::OrderKind::{SetZone, Stage},
    };
    let setup = start(EngineSettings {
        frozen: true,
        ..EngineSettings::default()
    });
    setup
        .entry
        .configure(&setup.agent, 2, |config| config.services[0].warm_limit = 1);
    let mut streams = Vec::new();
    for prompt in ["runs", "waits"] {
        let request = PeerRequest::Execute(Box::new(completion(prompt, 1)));
        streams.push(setup.entry.open(&setup.agent, request));
        wait_until("the first runs", || running(&setup.engine) == 1);
    }
    wait_until("the second waits", || {
        setup.entry.load(&setup.agent).queued == 1
    });
    setup
        .engine
        .update_settings(|settings| settings.order_ms = 3000);
    let slow = order("weights", 1, 1, Stage(WeightVersion(2)));
    let slow_stream = setup.entry.open(&setup.agent, slow);

    let out = order("zone", 2, 4, SetZone(ZoneState::Out));
    assert_eq!(setup.entry.query(&setup.agent, out), PeerFrame::Done);
    assert_eq!(setup.engine.state()["orders"], serde_json::json!([]));
    let waited = TestResponse::read(streams.pop().unwrap());
    assert_eq!(waited.error().kind, ErrorKind::UpstreamLeaving);
    assert_eq!(waited.error().execution, ExecutionOutcome::NotRun);
    let response = setup.entry.execute(&setup.agent, &completion("late", 1));
    assert_eq!(response.error().kind, ErrorKind::UpstreamLeaving);
    assert!(response.load.unwrap().closed);
    // A configuration that does not contain the announced change yet does not override the
    // announcement.
    setup
        .entry
        .configure(&setup.agent, 3, |config| config.services[0].warm_limit = 1);
    assert!(setup.entry.load(&setup.agent).closed);

    setup
        .engine
        .update_settings(|settings| settings.frozen = false);
    assert!(
        TestResponse::read(streams.pop().unwrap())
            .finished
            .is_some()
    );
    let stale = order("zone", 3, 3, SetZone(ZoneState::In));
    assert!(matches!(
        setup.entry.query(&setup.agent, stale),
        PeerFrame::Failed(_)
    ));
    let back = order("zone", 4, 5, SetZone(ZoneState::In));
    assert_eq!(setup.entry.query(&setup.agent, back), PeerFrame::Done);
    let response = setup.entry.execute(&setup.agent, &completion("again", 1));
    assert!(response.finished.is_some());
    drop(slow_stream);

    // The upstream is also closed if the configuration takes the zone out of service without an
    // order, or does not list the upstream any more.
    setup.entry.configure(&setup.agent, 4, |config| {
        config.zones[0].state = ZoneState::Out
    });
    assert!(setup.entry.load(&setup.agent).closed);
    setup.entry.configure(&setup.agent, 5, |_| {});
    assert!(!setup.entry.load(&setup.agent).closed);
    setup
        .entry
        .configure(&setup.agent, 6, |config| config.upstreams.clear());
    assert!(setup.entry.load(&setup.agent).closed);
}

/// Guards against new requests at an upstream that is draining (G14).
#[test]
fn a_draining_upstream_takes_no_new_work() {
    let setup = start(EngineSettings::default());
    let leave = order("zone", 1, 1, catkindeck::message::OrderKind::Leave);
    assert_eq!(setup.entry.query(&setup.agent, leave), PeerFrame::Done);
    let response = setup.entry.execute(&setup.agent, &completion("late", 1));
    assert_eq!(response.error().kind, ErrorKind::UpstreamLeaving);
    assert_eq!(response.error().execution, ExecutionOutcome::NotRun);
}

/// A host list whose records the test changes.
#[derive(Default)]
struct TestHosts(std::sync::Mutex<Vec<HostRecord>>);

impl HostList for TestHosts {
    fn hosts(&self) -> Result<Vec<HostRecord>, catkindeck::ServiceError> {
        Ok(self.0.lock().unwrap().clone())
    }
}

/// Guards against new requests at an upstream whose host is draining according to the host list
/// (G14), and against an agent that does not find an entry to fetch the configuration from.
#[test]
fn agent_learns_draining_and_entries_from_the_host_list() {
    let engine = FakeEngine::new();
    let address = engine.spawn("127.0.0.1:0".parse().unwrap()).unwrap();
    let setup = TestSetup::new();
    let entry = setup.start_peer(PeerRole::Entry, "entry-1");
    entry.serve_configuration(configuration(4, &[("vault-a-1", address)]));
    let hosts = std::sync::Arc::new(TestHosts::default());
    let kernel = catkindeck::ServiceKernel::new();
    kernel
        .register::<dyn HostList>(catkindeck_agent::process::HOST_LIST, hosts.clone())
        .unwrap();
    let extra = "[timeouts]\nhosts_interval_ms = 10";
    let text = setup.agent_settings("vault-a-1", "engine", address, extra);
    let agent = setup.start_agent_in(&kernel, &text);
    let record = |host: &str, role: &str, state, address| HostRecord {
        host: name(host),
        zone: name("vault-a"),
        address,
        role: role.to_owned(),
        state,
    };
    let list = |state| {
        let own = agent.peer_address().unwrap();
        let other = entry.endpoint.local_address().unwrap();
        *hosts.0.lock().unwrap() = vec![
            record("vault-a-1", "agent", state, own),
            record("entry-1", "entry", HostState::Live, other),
        ];
    };
    list(HostState::Live);
    wait_until("the configuration is known", || {
        entry.load(&agent).revision == ConfigRevision(4)
    });
    assert!(
        entry
            .execute(&agent, &completion("draft", 1))
            .finished
            .is_some()
    );
    list(HostState::Leaving);
    wait_until("the upstream is closed", || entry.load(&agent).closed);
    let response = entry.execute(&agent, &completion("late", 1));
    assert_eq!(response.error().kind, ErrorKind::UpstreamLeaving);
    // A list that temporarily lacks the host changes nothing.
    hosts.0.lock().unwrap().remove(0);
    thread::sleep(std::time::Duration::from_millis(50));
    assert!(entry.load(&agent).closed);
    list(HostState::Live);
    wait_until("the upstream is open", || !entry.load(&agent).closed);
}
