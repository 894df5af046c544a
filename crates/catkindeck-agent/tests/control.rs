//! Orders, zones and hosts that leave.

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
        TestAnswer, TestSite, completion, configuration,
        engine::{order, running, start},
        name, wait_until,
    },
    std::thread,
};

/// Guards against orders of former lease holders, also at engines that ignore fencing numbers (G7),
/// and against an order that is carried out twice.
#[test]
fn orders_pass_the_fence_once() {
    use catkindeck::message::OrderKind::{Activate, ChangeRole, Stage};
    let site = start(EngineSettings::default());
    let ask = |order| site.entry.ask(&site.agent, order);
    let stage = order("weights", 1, 7, Stage(WeightVersion(2)));
    assert_eq!(ask(stage.clone()), PeerFrame::Done);
    assert_eq!(ask(stage), PeerFrame::Done);
    let old = order("weights", 2, 6, Activate(WeightVersion(2)));
    let PeerFrame::Failed(error) = ask(old) else {
        panic!("an outdated order was carried out");
    };
    assert_eq!(error.kind, ErrorKind::Fenced);
    assert_eq!(error.execution, ExecutionOutcome::NotRun);
    let role = order("roles", 3, 1, ChangeRole("prefill".to_owned()));
    assert_eq!(ask(role), PeerFrame::Done);
    let state = site.engine.state();
    assert_eq!(state["orders"].as_array().unwrap().len(), 2);
    assert_eq!(state["version"], 1);
    assert_eq!(state["role"], "prefill");
}

/// Guards against new work in a zone that is out (G10), against cutting work in flight, and against
/// a zone order that waits behind a slow swap.
#[test]
fn a_zone_that_is_out_takes_no_new_work() {
    use catkindeck::{
        config::ZoneState,
        message::OrderKind::{SetZone, Stage},
    };
    let site = start(EngineSettings {
        frozen: true,
        ..EngineSettings::default()
    });
    site.entry
        .configure(&site.agent, 2, |config| config.services[0].warm_limit = 1);
    let mut streams = Vec::new();
    for prompt in ["runs", "waits"] {
        let request = PeerRequest::Execute(Box::new(completion(prompt, 1)));
        streams.push(site.entry.open(&site.agent, request));
        wait_until("the first runs", || running(&site.engine) == 1);
    }
    wait_until("the second waits", || {
        site.entry.load(&site.agent).queued == 1
    });
    site.engine.set(|settings| settings.order_ms = 3000);
    let slow = order("weights", 1, 1, Stage(WeightVersion(2)));
    let slow_stream = site.entry.open(&site.agent, slow);

    let out = order("zone", 2, 4, SetZone(ZoneState::Out));
    assert_eq!(site.entry.ask(&site.agent, out), PeerFrame::Done);
    assert_eq!(site.engine.state()["orders"], serde_json::json!([]));
    let waited = TestAnswer::read(streams.pop().unwrap());
    assert_eq!(waited.error().kind, ErrorKind::UpstreamLeaving);
    assert_eq!(waited.error().execution, ExecutionOutcome::NotRun);
    let answer = site.entry.execute(&site.agent, &completion("late", 1));
    assert_eq!(answer.error().kind, ErrorKind::UpstreamLeaving);
    assert!(answer.load.unwrap().closed);
    // The configuration that the announcement is ahead of may still be the old one.
    site.entry
        .configure(&site.agent, 3, |config| config.services[0].warm_limit = 1);
    assert!(site.entry.load(&site.agent).closed);

    site.engine.set(|settings| settings.frozen = false);
    assert!(TestAnswer::read(streams.pop().unwrap()).finished.is_some());
    let stale = order("zone", 3, 3, SetZone(ZoneState::In));
    assert!(matches!(
        site.entry.ask(&site.agent, stale),
        PeerFrame::Failed(_)
    ));
    let back = order("zone", 4, 5, SetZone(ZoneState::In));
    assert_eq!(site.entry.ask(&site.agent, back), PeerFrame::Done);
    let answer = site.entry.execute(&site.agent, &completion("again", 1));
    assert!(answer.finished.is_some());
    drop(slow_stream);

    // The configuration alone takes the zone out too, and so does the removal of the upstream.
    site.entry.configure(&site.agent, 4, |config| {
        config.zones[0].state = ZoneState::Out
    });
    assert!(site.entry.load(&site.agent).closed);
    site.entry.configure(&site.agent, 5, |_| {});
    assert!(!site.entry.load(&site.agent).closed);
    site.entry
        .configure(&site.agent, 6, |config| config.upstreams.clear());
    assert!(site.entry.load(&site.agent).closed);
}

/// Guards against new work at an upstream that is leaving (G14).
#[test]
fn a_leaving_upstream_takes_no_new_work() {
    let site = start(EngineSettings::default());
    let leave = order("zone", 1, 1, catkindeck::message::OrderKind::Leave);
    assert_eq!(site.entry.ask(&site.agent, leave), PeerFrame::Done);
    let answer = site.entry.execute(&site.agent, &completion("late", 1));
    assert_eq!(answer.error().kind, ErrorKind::UpstreamLeaving);
    assert_eq!(answer.error().execution, ExecutionOutcome::NotRun);
}

/// A host list that a test changes.
#[derive(Default)]
struct TestHosts(std::sync::Mutex<Vec<HostRecord>>);

impl HostList for TestHosts {
    fn hosts(&self) -> Result<Vec<HostRecord>, catkindeck::ServiceError> {
        Ok(self.0.lock().unwrap().clone())
    }
}

/// Guards against new work at an upstream that the host list calls leaving (G14), and against an
/// agent that does not find an entry to learn the configuration from.
#[test]
fn the_host_list_tells_of_leaving_and_of_entries() {
    let engine = FakeEngine::new();
    let address = engine.spawn("127.0.0.1:0".parse().unwrap()).unwrap();
    let site = TestSite::new();
    let entry = site.start_peer(PeerRole::Entry, "entry-1");
    entry.serve_configuration(configuration(4, &[("vault-a-1", address)]));
    let hosts = std::sync::Arc::new(TestHosts::default());
    let kernel = catkindeck::ServiceKernel::new();
    kernel
        .register::<dyn HostList>(catkindeck_agent::process::HOST_LIST, hosts.clone())
        .unwrap();
    let extra = "[timeouts]\nhosts_interval_ms = 10";
    let text = site.agent_settings("vault-a-1", "engine", address, extra);
    let agent = site.start_agent_in(&kernel, &text);
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
    let answer = entry.execute(&agent, &completion("late", 1));
    assert_eq!(answer.error().kind, ErrorKind::UpstreamLeaving);
    // A list that lost the host for a moment changes nothing.
    hosts.0.lock().unwrap().remove(0);
    thread::sleep(std::time::Duration::from_millis(50));
    assert!(entry.load(&agent).closed);
    list(HostState::Live);
    wait_until("the upstream is open", || !entry.load(&agent).closed);
}
