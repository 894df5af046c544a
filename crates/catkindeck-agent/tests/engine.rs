//! An agent before a model engine.

mod common;

use {
    catkindeck::{
        ErrorKind, ExecutionOutcome,
        config::ConfigRevision,
        id::{BodyDigest, IncarnationId},
        link::PeerRole,
        message::{
            CrashReport, ExecutionState, PeerFrame, PeerRequest, SampleId, WorkBody, prefix_digest,
        },
        platform::{HostList, HostRecord, HostState},
        token::WeightVersion,
    },
    catkindeck_agent::AgentProcess,
    catkindeck_fakes::{
        EngineSettings,
        control::ControlTarget,
        engine::{FakeEngine, token},
    },
    common::{TestAnswer, TestPeer, TestSite, completion, configuration, name, wait_until},
    std::thread,
};

struct EngineSite {
    site: TestSite,
    engine: FakeEngine,
    agent: AgentProcess,
    entry: TestPeer,
}

fn start(settings: EngineSettings) -> EngineSite {
    let site = start_unconfigured(settings, "");
    site.entry.configure(&site.agent, 1, |_| {});
    site
}

fn start_unconfigured(settings: EngineSettings, extra: &str) -> EngineSite {
    let engine = FakeEngine::with_settings(settings);
    let address = engine.spawn("127.0.0.1:0".parse().unwrap()).unwrap();
    let site = TestSite::new();
    let agent = site.start_agent("vault-a-1", "engine", address, extra);
    let entry = site.start_peer(PeerRole::Entry, "entry-1");
    EngineSite {
        site,
        engine,
        agent,
        entry,
    }
}

fn text(prompt: &str, tokens: u32) -> String {
    (0..tokens).map(|index| token(prompt, index)).collect()
}

fn running(engine: &FakeEngine) -> u64 {
    engine.state()["running"].as_u64().unwrap()
}

/// Guards against lost, repeated or wrongly labelled tokens.
#[test]
fn a_completion_arrives_whole_and_labelled() {
    let site = start(EngineSettings::default());
    let request = completion("find carton 7", 300);
    let answer = site.entry.execute(&site.agent, &request);
    assert_eq!(answer.text(), text("find carton 7", 300));
    assert_eq!(answer.started, Some(site.agent.core().incarnation()));
    let record = answer.finished.as_ref().unwrap();
    assert_eq!(record.state, ExecutionState::Finished);
    assert_eq!(record.labels, answer.labels);
    assert_eq!(record.labels.token_count(), 300);
    assert_eq!(record.labels.oldest(), Some(WeightVersion(1)));
    assert_eq!(record.boot.0, site.engine.state()["boot"]);
    let load = answer.load.unwrap();
    assert_eq!(load.in_flight, 0);
    assert_eq!(load.version, Some(WeightVersion(1)));
    assert_eq!(load.revision, ConfigRevision(1));
}

/// Guards against labels taken from the order instead of the engine's reply (G1).
#[test]
fn labels_follow_the_engine_and_not_the_order() {
    let site = start(EngineSettings {
        token_ms: 5,
        ..EngineSettings::default()
    });
    let request = completion("find carton 7", 200);
    let stream = site
        .entry
        .open(&site.agent, PeerRequest::Execute(Box::new(request)));
    wait_until("the request runs", || running(&site.engine) == 1);
    site.engine.set(|settings| settings.fail_swaps = 1);
    let order = |number, fence, kind| orders::order("weights", number, fence, kind);
    use catkindeck::message::OrderKind::{Activate, Stage};
    let staged = order(1, 1, Stage(WeightVersion(2)));
    assert_eq!(site.entry.ask(&site.agent, staged), PeerFrame::Done);
    let activate = order(2, 1, Activate(WeightVersion(2)));
    let PeerFrame::Failed(error) = site.entry.ask(&site.agent, activate.clone()) else {
        panic!("the failed swap was reported as done");
    };
    assert_eq!(error.kind, ErrorKind::UpstreamFailed);
    thread::sleep(std::time::Duration::from_millis(50));
    assert_eq!(site.entry.ask(&site.agent, activate), PeerFrame::Done);
    let answer = TestAnswer::read(stream);
    let ranges = &answer.finished.as_ref().unwrap().labels.ranges;
    let versions: Vec<_> = ranges.iter().map(|range| range.version).collect();
    assert_eq!(versions, [Some(WeightVersion(1)), Some(WeightVersion(2))]);
    assert_eq!(answer.text(), text("find carton 7", 200));
}

/// Guards against tokens without a version that are given one, and against such samples being kept.
#[test]
fn unknown_versions_stay_unknown() {
    let site = start(EngineSettings {
        omit_versions: true,
        ..EngineSettings::default()
    });
    let mut request = completion("draft", 4);
    request.sample = Some(sample_id(0));
    let answer = site.entry.execute(&site.agent, &request);
    assert_eq!(answer.labels.oldest(), None);
    assert_eq!(collect(&site).len(), 0);
}

/// Guards against resumed streams that begin again or lose their beginning.
#[test]
fn a_resumed_completion_goes_on() {
    let site = start(EngineSettings::default());
    let mut request = completion("draft", 20);
    let WorkBody::Completion(body) = &mut request.body else {
        unreachable!()
    };
    body.resume_text = text("draft", 8);
    body.resume_tokens = 8;
    let answer = site.entry.execute(&site.agent, &request);
    assert_eq!(text("draft", 8) + &answer.text(), text("draft", 20));
    assert_eq!(answer.labels.token_count(), 12);
}

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

/// Guards against work for a former incarnation, for another service, and from other roles.
#[test]
fn misdirected_work_is_refused_as_not_run() {
    let site = start(EngineSettings::default());
    let mut request = completion("draft", 1);
    request.incarnation = Some(IncarnationId::random());
    let answer = site.entry.execute(&site.agent, &request);
    assert_eq!(answer.error().kind, ErrorKind::WrongIncarnation);
    assert_eq!(answer.error().execution, ExecutionOutcome::NotRun);

    let mut request = completion("draft", 1);
    request.service = name("desk");
    let answer = site.entry.execute(&site.agent, &request);
    assert_eq!(answer.error().kind, ErrorKind::NotFound);

    for (role, host) in [(PeerRole::Operator, "anna"), (PeerRole::Agent, "vault-a-2")] {
        let peer = site.site.start_peer(role, host);
        let answer = peer.execute(&site.agent, &completion("draft", 1));
        assert_eq!(answer.error().kind, ErrorKind::Forbidden);
        assert_eq!(answer.error().execution, ExecutionOutcome::NotRun);
        let release = PeerRequest::ReleaseSamples {
            samples: Vec::new(),
        };
        assert!(matches!(
            peer.ask(&site.agent, release),
            PeerFrame::Failed(_)
        ));
    }
    assert_eq!(site.engine.state()["runs"], serde_json::json!({}));
}

/// Guards against a revoked request that runs all the same (G13), and against a revocation of
/// running work that claims it did not run (G12).
#[test]
fn a_revoked_request_never_starts() {
    let site = start(EngineSettings {
        frozen: true,
        ..EngineSettings::default()
    });
    site.entry
        .configure(&site.agent, 2, |config| config.services[0].warm_limit = 1);
    let incarnation = site.agent.core().incarnation();
    let first = completion("first", 1);
    let first_stream = site
        .entry
        .open(&site.agent, PeerRequest::Execute(Box::new(first.clone())));
    wait_until("the first runs", || running(&site.engine) == 1);
    let second = completion("second", 1);
    let second_stream = site
        .entry
        .open(&site.agent, PeerRequest::Execute(Box::new(second.clone())));
    wait_until("the second waits", || {
        site.entry.load(&site.agent).queued == 1
    });

    let revoke = |request| PeerRequest::Revoke {
        request,
        incarnation,
    };
    let frame = site.entry.ask(&site.agent, revoke(second.request));
    let expected = PeerFrame::Revoked {
        request: second.request,
    };
    assert_eq!(frame, expected);
    let answer = TestAnswer::read(second_stream);
    assert_eq!(answer.error().kind, ErrorKind::Revoked);
    assert_eq!(answer.error().execution, ExecutionOutcome::NotRun);
    let PeerFrame::Execution(Some(record)) = site.entry.ask(&site.agent, revoke(first.request))
    else {
        panic!("a running request was revoked");
    };
    assert_eq!(record.outcome(), ExecutionOutcome::Unknown);

    // A request that comes after its revocation is refused.
    let unseen = completion("unseen", 1);
    let frame = site.entry.ask(&site.agent, revoke(unseen.request));
    assert!(matches!(frame, PeerFrame::Revoked { .. }));
    let answer = site.entry.execute(&site.agent, &unseen);
    assert_eq!(answer.error().kind, ErrorKind::Revoked);

    site.engine.set(|settings| settings.frozen = false);
    assert!(TestAnswer::read(first_stream).finished.is_some());
    assert_eq!(site.engine.runs(&second.request.to_string()), 0);
    assert_eq!(site.engine.runs(&unseen.request.to_string()), 0);

    // An earlier incarnation cannot be answered for.
    let other = PeerRequest::Revoke {
        request: second.request,
        incarnation: IncarnationId::random(),
    };
    let PeerFrame::Failed(error) = site.entry.ask(&site.agent, other) else {
        panic!("a revocation for another incarnation was answered");
    };
    assert_eq!(error.execution, ExecutionOutcome::Unknown);
}

/// Guards against engines that go on for callers who are gone, also while they produce nothing.
#[test]
fn a_reset_stream_cancels_idempotent_work() {
    for frozen in [false, true] {
        let site = start(EngineSettings {
            token_ms: 2,
            frozen,
            ..EngineSettings::default()
        });
        let request = completion("draft", 1_000_000);
        let stream = site
            .entry
            .open(&site.agent, PeerRequest::Execute(Box::new(request)));
        wait_until("the request runs", || running(&site.engine) == 1);
        drop(stream);
        wait_until("the engine is free", || running(&site.engine) == 0);
        wait_until("the agent is free", || {
            site.entry.load(&site.agent).in_flight == 0
        });
    }
}

/// Guards against a cancel order that reaches only queued or only running work.
#[test]
fn a_cancelled_request_ends() {
    let site = start(EngineSettings {
        frozen: true,
        ..EngineSettings::default()
    });
    site.entry
        .configure(&site.agent, 2, |config| config.services[0].warm_limit = 1);
    let requests = [completion("first", 1), completion("second", 1)];
    let mut streams = Vec::new();
    for request in &requests {
        let request = PeerRequest::Execute(Box::new(request.clone()));
        streams.push(site.entry.open(&site.agent, request));
        wait_until("the request is there", || {
            let load = site.entry.load(&site.agent);
            usize::try_from(load.in_flight + load.queued) == Ok(streams.len())
        });
    }
    wait_until("the first runs", || running(&site.engine) == 1);
    for (request, outcome) in [
        (&requests[1], ExecutionOutcome::NotRun),
        (&requests[0], ExecutionOutcome::Unknown),
    ] {
        let cancel = PeerRequest::Cancel {
            request: request.request,
        };
        assert_eq!(site.entry.ask(&site.agent, cancel), PeerFrame::Done);
        let answer = TestAnswer::read(streams.pop().unwrap());
        assert_eq!(answer.error().kind, ErrorKind::Revoked);
        assert_eq!(answer.error().execution, outcome);
    }
}

/// Guards against overloading an engine that has just started (G9), first and after a restart.
#[test]
fn a_cold_engine_never_fails_under_load() {
    let site = start_unconfigured(
        EngineSettings {
            slots: 32,
            cold_ms: 1500,
            cold_slots: 2,
            ..EngineSettings::default()
        },
        "",
    );
    site.entry.configure(&site.agent, 1, |config| {
        config.services[0].warm_limit = 16;
        config.services[0].cold_limit = 2;
        config.services[0].cold_start_ms = 60_000;
    });
    for round in 0..2 {
        thread::scope(|scope| {
            for index in 0..24 {
                let site = &site;
                scope.spawn(move || {
                    let request = completion(&format!("{round} {index}"), 20);
                    let answer = site.entry.execute(&site.agent, &request);
                    assert!(answer.finished.is_some(), "{answer:?}");
                });
            }
        });
        let state = site.engine.state();
        assert_eq!(state["overload_failures"], 0);
        assert!(state["max_running"].as_u64().unwrap() >= 2);
        let boot = site.entry.load(&site.agent).boot;
        site.engine.crash();
        // Without traffic the restart is noticed by the engine's own report.
        wait_until("the restart is noticed", || {
            let load = site.entry.load(&site.agent);
            load.boot != boot && load.limit == 2
        });
    }
}

/// Guards against a burst that meets an engine just after it crashed, before its new boot identity
/// came with a reply: under load, and after a pause in which nothing noticed the crash.
#[test]
fn an_engine_that_crashed_is_not_overloaded() {
    for (down_ms, idle) in [(0, false), (300, false), (0, true)] {
        let site = start_unconfigured(
            EngineSettings {
                slots: 32,
                token_ms: 2,
                down_ms,
                ..EngineSettings::default()
            },
            "[timeouts]\nprobe_interval_ms = 60000\n[limits]\nadaptive = false",
        );
        site.entry.configure(&site.agent, 1, |config| {
            config.services[0].warm_limit = 16;
            config.services[0].cold_limit = 2;
            config.services[0].cold_start_ms = 2000;
        });
        wait_until("the limit has grown", || {
            burst_one(&site);
            site.entry.load(&site.agent).limit == 16
        });
        // From its next start the engine bears a little more than the agent's limit allows. Long
        // prompts keep its first reply, which would show the new boot, until the burst is there.
        site.engine.set(|settings| {
            settings.prefill_ms = 10_000;
            settings.cold_ms = 1500;
            settings.cold_slots = 2;
        });
        if idle {
            site.engine.crash();
            thread::sleep(std::time::Duration::from_millis(50));
            burst(&site, "after", 24, || {});
        } else {
            burst(&site, "around", 24, || {
                wait_until("the engine is busy", || running(&site.engine) == 16);
                site.engine.crash();
            });
        }
        let state = site.engine.state();
        assert_eq!(state["overload_failures"], 0, "{down_ms} {idle} {state}");
    }
}

fn burst_one(site: &EngineSite) {
    let request = completion("one more", 1);
    site.entry.execute(&site.agent, &request);
}

/// Runs requests at once, each again until it is answered, while `action` runs.
fn burst(site: &EngineSite, round: &str, count: u32, action: impl FnOnce()) {
    thread::scope(|scope| {
        for index in 0..count {
            scope.spawn(move || {
                wait_until("the request is answered", || {
                    let request = completion(&format!("{round} {index}"), 60);
                    let answer = site.entry.execute(&site.agent, &request);
                    answer.finished.is_some()
                });
            });
        }
        action();
    });
}

/// Guards against a crash that looks like a whole answer, and against bodies that crash one engine
/// after another.
#[test]
fn a_crash_is_reported_and_its_body_quarantined() {
    let site = start(EngineSettings::default());
    let request = completion("crash-the-engine", 5);
    let answer = site.entry.execute(&site.agent, &request);
    assert_eq!(answer.error().kind, ErrorKind::UpstreamFailed);
    assert_eq!(answer.error().execution, ExecutionOutcome::Unknown);
    assert!(answer.finished.is_none());

    let crash = CrashReport {
        digest: request.digest,
        upstream: name("vault-b-1"),
    };
    let report = PeerRequest::ReportCrashes {
        crashes: vec![crash],
    };
    assert_eq!(site.entry.ask(&site.agent, report), PeerFrame::Done);
    let mut again = request.clone();
    again.request = catkindeck::id::RequestId::random();
    let answer = site.entry.execute(&site.agent, &again);
    assert_eq!(answer.error().kind, ErrorKind::Quarantined);
    assert_eq!(answer.error().execution, ExecutionOutcome::NotRun);
    assert_eq!(site.engine.state()["crashes"], 1);

    let other = completion("harmless", 5);
    assert_ne!(other.digest, BodyDigest([0; 32]));
    assert!(site.entry.execute(&site.agent, &other).finished.is_some());
}

/// Guards against cache reports that come from another definition of a prefix than the router's.
#[test]
fn cached_prefixes_are_reported() {
    let site = start(EngineSettings {
        cache_prefixes: 1,
        ..EngineSettings::default()
    });
    for prompt in ["first", "second"] {
        site.entry.execute(&site.agent, &completion(prompt, 1));
    }
    wait_until("the cache is reported", || {
        site.entry.load(&site.agent).prefixes == [prefix_digest("second")]
    });
}

fn sample_id(index: u32) -> SampleId {
    SampleId {
        run: name("slips"),
        step: 3,
        group: 0,
        index,
        generation: 0,
    }
}

fn collect(site: &EngineSite) -> Vec<catkindeck::message::SampleRecord> {
    let request = PeerRequest::CollectSamples {
        run: name("slips"),
        step: 3,
    };
    let mut stream = site.entry.open(&site.agent, request);
    let mut samples = Vec::new();
    while let Some(frame) = stream.receive(common::LONG).unwrap() {
        let PeerFrame::Samples(part) = frame else {
            panic!("unexpected {frame:?}");
        };
        samples.extend(part);
    }
    samples
}

/// Guards against samples that are lost when the owner of their step dies.
#[test]
fn finished_samples_are_kept_until_released() {
    let site = start(EngineSettings::default());
    for index in 0..3 {
        let mut request = completion(&format!("draft {index}"), 4);
        request.sample = Some(sample_id(index));
        site.entry.execute(&site.agent, &request);
    }
    let samples = collect(&site);
    assert_eq!(samples, collect(&site));
    let ids: Vec<_> = samples.iter().map(|sample| sample.id.clone()).collect();
    assert_eq!(ids, [sample_id(0), sample_id(1), sample_id(2)]);
    assert_eq!(samples[1].text, text("draft 1", 4));
    assert_eq!(samples[1].labels.oldest(), Some(WeightVersion(1)));

    let release = PeerRequest::ReleaseSamples {
        samples: vec![sample_id(0), sample_id(2)],
    };
    assert_eq!(site.entry.ask(&site.agent, release), PeerFrame::Done);
    let left: Vec<_> = collect(&site).into_iter().map(|sample| sample.id).collect();
    assert_eq!(left, [sample_id(1)]);
}

mod orders {
    use catkindeck::{
        id::RequestId,
        message::{OrderKind, PeerRequest, UpstreamOrder},
    };

    pub fn order(lease: &str, number: u8, fence: u64, kind: OrderKind) -> PeerRequest {
        PeerRequest::Order(UpstreamOrder {
            order: RequestId([number; 16]),
            lease: lease.try_into().unwrap(),
            fence,
            kind,
        })
    }
}

/// Guards against orders of former lease holders, also at engines that ignore fencing numbers (G7),
/// and against an order that is carried out twice.
#[test]
fn orders_pass_the_fence_once() {
    use catkindeck::message::OrderKind::{Activate, ChangeRole, Stage};
    let site = start(EngineSettings::default());
    let ask = |order| site.entry.ask(&site.agent, order);
    let stage = orders::order("weights", 1, 7, Stage(WeightVersion(2)));
    assert_eq!(ask(stage.clone()), PeerFrame::Done);
    assert_eq!(ask(stage), PeerFrame::Done);
    let old = orders::order("weights", 2, 6, Activate(WeightVersion(2)));
    let PeerFrame::Failed(error) = ask(old) else {
        panic!("an outdated order was carried out");
    };
    assert_eq!(error.kind, ErrorKind::Fenced);
    assert_eq!(error.execution, ExecutionOutcome::NotRun);
    let role = orders::order("roles", 3, 1, ChangeRole("prefill".to_owned()));
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
    let slow = orders::order("weights", 1, 1, Stage(WeightVersion(2)));
    let slow_stream = site.entry.open(&site.agent, slow);

    let out = orders::order("zone", 2, 4, SetZone(ZoneState::Out));
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
    let stale = orders::order("zone", 3, 3, SetZone(ZoneState::In));
    assert!(matches!(
        site.entry.ask(&site.agent, stale),
        PeerFrame::Failed(_)
    ));
    let back = orders::order("zone", 4, 5, SetZone(ZoneState::In));
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
    let leave = orders::order("zone", 1, 1, catkindeck::message::OrderKind::Leave);
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
