//! Tests how an agent fetches and updates its configuration.

mod common;

use {
    catkindeck::{
        ErrorKind, ExecutionOutcome,
        config::ConfigRevision,
        link::PeerRole,
        message::{PeerFrame, PeerRequest},
    },
    catkindeck_agent::AgentProcess,
    catkindeck_fakes::{EngineSettings, engine::FakeEngine},
    common::{
        TestSetup, completion, configuration,
        engine::{start, start_unconfigured},
        wait_until,
    },
};

/// Guards against an agent that runs requests or reports readiness before it has a configuration.
#[test]
fn nothing_runs_before_a_configuration_is_known() {
    let setup = start_unconfigured(EngineSettings::default(), "");
    let response = setup.entry.execute(&setup.agent, &completion("draft", 1));
    assert_eq!(response.error().kind, ErrorKind::StaleConfiguration);
    assert_eq!(response.error().execution, ExecutionOutcome::NotRun);
    assert_eq!(readiness(&setup.agent), 503);
    setup.entry.configure(&setup.agent, 1, |_| {});
    assert_eq!(readiness(&setup.agent), 200);
    let response = setup.entry.execute(&setup.agent, &completion("draft", 1));
    assert!(response.finished.is_some());
}

fn readiness(agent: &AgentProcess) -> u16 {
    let http: ureq::Agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .build()
        .into();
    let url = format!("http://{}/readyz", agent.health_address());
    http.get(url).call().unwrap().status().as_u16()
}

/// Guards against a configuration that goes back to a lower revision, and against serving with an
/// old one after a peer advertised a newer one (G16).
#[test]
fn the_highest_revision_wins_and_is_fetched_before_serving() {
    let setup = start(EngineSettings::default());
    setup.entry.configure(&setup.agent, 5, |_| {});
    let old = configuration(3, &[]);
    let pushed = PeerRequest::PushConfiguration(Box::new(old));
    let response = setup.entry.query(&setup.agent, pushed);
    assert_eq!(response, PeerFrame::Revision(ConfigRevision(5)));

    // The agent rejects requests while an entry advertises a revision but does not serve it.
    let silent = setup.base.start_peer(PeerRole::Entry, "entry-2");
    silent.advertise_revision(8);
    let response = silent.execute(&setup.agent, &completion("draft", 1));
    assert_eq!(response.error().kind, ErrorKind::StaleConfiguration);

    // Another entry serves the revision, which is fetched before the request is handled.
    let newest = setup.base.start_peer(PeerRole::Entry, "entry-3");
    newest.advertise_revision(9);
    let address = setup.agent.peer_address().unwrap();
    let fetches = newest.serve_configuration(configuration(9, &[("vault-a-1", address)]));
    let response = newest.execute(&setup.agent, &completion("draft", 1));
    assert!(response.finished.is_some(), "{response:?}");
    assert_eq!(response.load.unwrap().revision, ConfigRevision(9));
    assert!(*fetches.lock().unwrap() >= 1);
}

/// Guards against agents that never get a configuration because no peer pushes one.
#[test]
fn a_first_configuration_is_fetched_from_the_settings_peers() {
    let engine = FakeEngine::new();
    let address = engine.spawn("127.0.0.1:0".parse().unwrap()).unwrap();
    let setup = TestSetup::new();
    let entry = setup.start_peer(PeerRole::Entry, "entry-1");
    entry.serve_configuration(configuration(4, &[("vault-a-1", address)]));
    let seed = entry.endpoint.local_address().unwrap();
    let extra = format!("[peers]\naddresses = [\"{seed}\"]");
    let agent = setup.start_agent("vault-a-1", "engine", address, &extra);
    wait_until("the configuration is known", || {
        entry.load(&agent).revision == ConfigRevision(4)
    });
    assert!(
        entry
            .execute(&agent, &completion("draft", 1))
            .finished
            .is_some()
    );
}

/// Guards against agents that miss changes because they get no requests, which would advertise the
/// revision.
#[test]
fn a_change_reaches_an_agent_without_traffic() {
    let engine = FakeEngine::new();
    let address = engine.spawn("127.0.0.1:0".parse().unwrap()).unwrap();
    let setup = TestSetup::new();
    let entry = setup.start_peer(PeerRole::Entry, "entry-1");
    let config = configuration(4, &[("vault-a-1", address)]);
    let config = std::sync::Arc::new(std::sync::Mutex::new(config));
    entry.serve_shared_configuration(config.clone());
    let seed = entry.endpoint.local_address().unwrap();
    let extra = format!("[peers]\naddresses = [\"{seed}\"]");
    let agent = setup.start_agent("vault-a-1", "engine", address, &extra);
    wait_until("the configuration is known", || !entry.load(&agent).closed);
    {
        let mut config = config.lock().unwrap();
        config.revision = ConfigRevision(5);
        config.zones[0].state = catkindeck::config::ZoneState::Out;
    }
    // The entry does not advertise a revision in its calls.
    wait_until("the zone is out", || entry.load(&agent).closed);
}
