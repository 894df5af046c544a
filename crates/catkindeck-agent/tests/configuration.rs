//! How an agent learns and keeps its configuration.

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
        TestSite, completion, configuration,
        engine::{start, start_unconfigured},
        wait_until,
    },
};

/// Guards against work before the configuration is known, and against an agent that calls itself
/// ready then.
#[test]
fn nothing_runs_before_a_configuration_is_known() {
    let site = start_unconfigured(EngineSettings::default(), "");
    let answer = site.entry.execute(&site.agent, &completion("draft", 1));
    assert_eq!(answer.error().kind, ErrorKind::StaleConfiguration);
    assert_eq!(answer.error().execution, ExecutionOutcome::NotRun);
    assert_eq!(readiness(&site.agent), 503);
    site.entry.configure(&site.agent, 1, |_| {});
    assert_eq!(readiness(&site.agent), 200);
    let answer = site.entry.execute(&site.agent, &completion("draft", 1));
    assert!(answer.finished.is_some());
}

fn readiness(agent: &AgentProcess) -> u16 {
    let http: ureq::Agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .build()
        .into();
    let url = format!("http://{}/readyz", agent.health_address());
    http.get(url).call().unwrap().status().as_u16()
}

/// Guards against a configuration that reverts, and against serving under an old one although a
/// peer showed a newer (G16).
#[test]
fn the_highest_revision_wins_and_is_fetched_before_serving() {
    let site = start(EngineSettings::default());
    site.entry.configure(&site.agent, 5, |_| {});
    let old = configuration(3, &[]);
    let pushed = PeerRequest::PushConfiguration(Box::new(old));
    let answer = site.entry.ask(&site.agent, pushed);
    assert_eq!(answer, PeerFrame::Revision(ConfigRevision(5)));

    // An entry that shows a revision but does not give it away keeps the agent from working.
    let silent = site.site.start_peer(PeerRole::Entry, "entry-2");
    silent.show_revision(8);
    let answer = silent.execute(&site.agent, &completion("draft", 1));
    assert_eq!(answer.error().kind, ErrorKind::StaleConfiguration);

    // From another entry the revision can be fetched, before the request is handled.
    let newest = site.site.start_peer(PeerRole::Entry, "entry-3");
    newest.show_revision(9);
    let address = site.agent.peer_address().unwrap();
    let fetches = newest.serve_configuration(configuration(9, &[("vault-a-1", address)]));
    let answer = newest.execute(&site.agent, &completion("draft", 1));
    assert!(answer.finished.is_some(), "{answer:?}");
    assert_eq!(answer.load.unwrap().revision, ConfigRevision(9));
    assert!(*fetches.lock().unwrap() >= 1);
}

/// Guards against agents that never learn a configuration because nobody pushes one.
#[test]
fn a_first_configuration_is_fetched_from_the_settings_peers() {
    let engine = FakeEngine::new();
    let address = engine.spawn("127.0.0.1:0".parse().unwrap()).unwrap();
    let site = TestSite::new();
    let entry = site.start_peer(PeerRole::Entry, "entry-1");
    entry.serve_configuration(configuration(4, &[("vault-a-1", address)]));
    let seed = entry.endpoint.local_address().unwrap();
    let extra = format!("[peers]\naddresses = [\"{seed}\"]");
    let agent = site.start_agent("vault-a-1", "engine", address, &extra);
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

/// Guards against agents that miss changes because no request carries the revision to them.
#[test]
fn a_change_reaches_an_agent_without_traffic() {
    let engine = FakeEngine::new();
    let address = engine.spawn("127.0.0.1:0".parse().unwrap()).unwrap();
    let site = TestSite::new();
    let entry = site.start_peer(PeerRole::Entry, "entry-1");
    let config = configuration(4, &[("vault-a-1", address)]);
    let config = std::sync::Arc::new(std::sync::Mutex::new(config));
    entry.serve_changing(config.clone());
    let seed = entry.endpoint.local_address().unwrap();
    let extra = format!("[peers]\naddresses = [\"{seed}\"]");
    let agent = site.start_agent("vault-a-1", "engine", address, &extra);
    wait_until("the configuration is known", || !entry.load(&agent).closed);
    {
        let mut config = config.lock().unwrap();
        config.revision = ConfigRevision(5);
        config.zones[0].state = catkindeck::config::ZoneState::Out;
    }
    // The entry itself shows no revision in its calls.
    wait_until("the zone is out", || entry.load(&agent).closed);
}
