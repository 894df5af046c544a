//! Tests an agent with a model engine as its upstream.

mod common;

use {
    catkindeck::{
        ErrorKind, ExecutionOutcome,
        config::ConfigRevision,
        id::IncarnationId,
        link::PeerRole,
        message::{ExecutionState, PeerFrame, PeerRequest, SampleId, WorkBody},
        token::WeightVersion,
    },
    catkindeck_fakes::{EngineSettings, control::ControlTarget},
    common::{
        TestResponse, completion,
        engine::{EngineSetup, order, running, start, text},
        name, wait_until,
    },
    std::thread,
};

/// Guards against tokens that are lost, repeated or labelled with the wrong version.
#[test]
fn completion_is_complete_with_version_labels() {
    let setup = start(EngineSettings::default());
    let request = completion("find carton 7", 300);
    let response = setup.entry.execute(&setup.agent, &request);
    assert_eq!(response.text(), text("find carton 7", 300));
    assert_eq!(response.started, Some(setup.agent.core().incarnation()));
    let record = response.finished.as_ref().unwrap();
    assert_eq!(record.state, ExecutionState::Finished);
    assert_eq!(record.labels, response.labels);
    assert_eq!(record.labels.token_count(), 300);
    assert_eq!(record.labels.oldest(), Some(WeightVersion(1)));
    assert_eq!(record.boot.0, setup.engine.state()["boot"]);
    let load = response.load.unwrap();
    assert_eq!(load.in_flight, 0);
    assert_eq!(load.version, Some(WeightVersion(1)));
    assert_eq!(load.revision, ConfigRevision(1));
}

/// Guards against version labels that are taken from the order instead of the engine's response
/// (G1).
#[test]
fn labels_follow_the_engine_and_not_the_order() {
    let setup = start(EngineSettings {
        token_ms: 5,
        ..EngineSettings::default()
    });
    let request = completion("find carton 7", 200);
    let stream = setup
        .entry
        .open(&setup.agent, PeerRequest::Execute(Box::new(request)));
    wait_until("the request runs", || running(&setup.engine) == 1);
    setup
        .engine
        .update_settings(|settings| settings.fail_swaps = 1);
    let order = |number, fence, kind| order("weights", number, fence, kind);
    use catkindeck::message::OrderKind::{Activate, Stage};
    let staged = order(1, 1, Stage(WeightVersion(2)));
    assert_eq!(setup.entry.query(&setup.agent, staged), PeerFrame::Done);
    let activate = order(2, 1, Activate(WeightVersion(2)));
    let PeerFrame::Failed(error) = setup.entry.query(&setup.agent, activate.clone()) else {
        panic!("the failed swap was reported as done");
    };
    assert_eq!(error.kind, ErrorKind::UpstreamFailed);
    thread::sleep(std::time::Duration::from_millis(50));
    assert_eq!(setup.entry.query(&setup.agent, activate), PeerFrame::Done);
    let response = TestResponse::read(stream);
    let ranges = &response.finished.as_ref().unwrap().labels.ranges;
    let versions: Vec<_> = ranges.iter().map(|range| range.version).collect();
    assert_eq!(versions, [Some(WeightVersion(1)), Some(WeightVersion(2))]);
    assert_eq!(response.text(), text("find carton 7", 200));
}

/// Guards against assigning a version to tokens without one, and against storing samples with such
/// tokens.
#[test]
fn unknown_versions_stay_unknown() {
    let setup = start(EngineSettings {
        omit_versions: true,
        ..EngineSettings::default()
    });
    let mut request = completion("draft", 4);
    request.sample = Some(sample_id(0));
    let response = setup.entry.execute(&setup.agent, &request);
    assert_eq!(response.labels.oldest(), None);
    assert_eq!(collect(&setup).len(), 0);
}

/// Guards against resumed streams that repeat or skip tokens.
#[test]
fn a_resumed_completion_continues() {
    let setup = start(EngineSettings::default());
    let mut request = completion("draft", 20);
    let WorkBody::Completion(body) = &mut request.body else {
        unreachable!()
    };
    body.resume_text = text("draft", 8);
    body.resume_tokens = 8;
    let response = setup.entry.execute(&setup.agent, &request);
    assert_eq!(text("draft", 8) + &response.text(), text("draft", 20));
    assert_eq!(response.labels.token_count(), 12);
}

/// Guards against accepting requests that are meant for an earlier incarnation or another service,
/// or that come from peers with another role.
#[test]
fn misdirected_requests_are_rejected_as_not_run() {
    let setup = start(EngineSettings::default());
    let mut request = completion("draft", 1);
    request.incarnation = Some(IncarnationId::random());
    let response = setup.entry.execute(&setup.agent, &request);
    assert_eq!(response.error().kind, ErrorKind::WrongIncarnation);
    assert_eq!(response.error().execution, ExecutionOutcome::NotRun);

    let mut request = completion("draft", 1);
    request.service = name("desk");
    let response = setup.entry.execute(&setup.agent, &request);
    assert_eq!(response.error().kind, ErrorKind::NotFound);

    for (role, host) in [(PeerRole::Operator, "anna"), (PeerRole::Agent, "vault-a-2")] {
        let peer = setup.base.start_peer(role, host);
        let response = peer.execute(&setup.agent, &completion("draft", 1));
        assert_eq!(response.error().kind, ErrorKind::Forbidden);
        assert_eq!(response.error().execution, ExecutionOutcome::NotRun);
        let release = PeerRequest::ReleaseSamples {
            samples: Vec::new(),
        };
        assert!(matches!(
            peer.query(&setup.agent, release),
            PeerFrame::Failed(_)
        ));
    }
    assert_eq!(setup.engine.state()["runs"], serde_json::json!({}));
}

/// Guards against a revoked request that runs anyway (G13), and against a revocation that reports a
/// running request as not run (G12).
#[test]
fn a_revoked_request_never_starts() {
    let setup = start(EngineSettings {
        frozen: true,
        ..EngineSettings::default()
    });
    setup
        .entry
        .configure(&setup.agent, 2, |config| config.services[0].warm_limit = 1);
    let incarnation = setup.agent.core().incarnation();
    let first = completion("first", 1);
    let first_stream = setup
        .entry
        .open(&setup.agent, PeerRequest::Execute(Box::new(first.clone())));
    wait_until("the first runs", || running(&setup.engine) == 1);
    let second = completion("second", 1);
    let second_stream = setup
        .entry
        .open(&setup.agent, PeerRequest::Execute(Box::new(second.clone())));
    wait_until("the second waits", || {
        setup.entry.load(&setup.agent).queued == 1
    });

    let revoke = |request| PeerRequest::Revoke {
        request,
        incarnation,
    };
    let frame = setup.entry.query(&setup.agent, revoke(second.request));
    let expected = PeerFrame::Revoked {
        request: second.request,
    };
    assert_eq!(frame, expected);
    let response = TestResponse::read(second_stream);
    assert_eq!(response.error().kind, ErrorKind::Revoked);
    assert_eq!(response.error().execution, ExecutionOutcome::NotRun);
    let PeerFrame::Execution(Some(record)) = setup.entry.query(&setup.agent, revoke(first.request))
    else {
        panic!("a running request was revoked");
    };
    assert_eq!(record.outcome(), ExecutionOutcome::Unknown);

    // A request that arrives after its revocation is rejected.
    let unseen = completion("unseen", 1);
    let frame = setup.entry.query(&setup.agent, revoke(unseen.request));
    assert!(matches!(frame, PeerFrame::Revoked { .. }));
    let response = setup.entry.execute(&setup.agent, &unseen);
    assert_eq!(response.error().kind, ErrorKind::Revoked);

    setup
        .engine
        .update_settings(|settings| settings.frozen = false);
    assert!(TestResponse::read(first_stream).finished.is_some());
    assert_eq!(setup.engine.execution_count(&second.request.to_string()), 0);
    assert_eq!(setup.engine.execution_count(&unseen.request.to_string()), 0);

    // The agent does not know what an earlier incarnation did.
    let other = PeerRequest::Revoke {
        request: second.request,
        incarnation: IncarnationId::random(),
    };
    let PeerFrame::Failed(error) = setup.entry.query(&setup.agent, other) else {
        panic!("a revocation for another incarnation was confirmed");
    };
    assert_eq!(error.execution, ExecutionOutcome::Unknown);
}

/// Guards against engines that continue after the caller disconnected, also while they produce no
/// tokens.
#[test]
fn a_reset_stream_cancels_idempotent_work() {
    for frozen in [false, true] {
        let setup = start(EngineSettings {
            token_ms: 2,
            frozen,
            ..EngineSettings::default()
        });
        let request = completion("draft", 1_000_000);
        let stream = setup
            .entry
            .open(&setup.agent, PeerRequest::Execute(Box::new(request)));
        wait_until("the request runs", || running(&setup.engine) == 1);
        drop(stream);
        wait_until("the engine is free", || running(&setup.engine) == 0);
        wait_until("the agent is free", || {
            setup.entry.load(&setup.agent).in_flight == 0
        });
    }
}

/// Guards against cancellation that has no effect on queued or on running requests.
#[test]
fn a_cancelled_request_ends() {
    let setup = start(EngineSettings {
        frozen: true,
        ..EngineSettings::default()
    });
    setup
        .entry
        .configure(&setup.agent, 2, |config| config.services[0].warm_limit = 1);
    let requests = [completion("first", 1), completion("second", 1)];
    let mut streams = Vec::new();
    for request in &requests {
        let request = PeerRequest::Execute(Box::new(request.clone()));
        streams.push(setup.entry.open(&setup.agent, request));
        wait_until("the request is there", || {
            let load = setup.entry.load(&setup.agent);
            usize::try_from(load.in_flight + load.queued) == Ok(streams.len())
        });
    }
    wait_until("the first runs", || running(&setup.engine) == 1);
    for (request, outcome) in [
        (&requests[1], ExecutionOutcome::NotRun),
        (&requests[0], ExecutionOutcome::Unknown),
    ] {
        let cancel = PeerRequest::Cancel {
            request: request.request,
        };
        assert_eq!(setup.entry.query(&setup.agent, cancel), PeerFrame::Done);
        let response = TestResponse::read(streams.pop().unwrap());
        assert_eq!(response.error().kind, ErrorKind::Revoked);
        assert_eq!(response.error().execution, outcome);
    }
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

fn collect(setup: &EngineSetup) -> Vec<catkindeck::message::SampleRecord> {
    let request = PeerRequest::CollectSamples {
        run: name("slips"),
        step: 3,
    };
    let mut stream = setup.entry.open(&setup.agent, request);
    let mut samples = Vec::new();
    while let Some(frame) = stream.receive(common::TEST_TIMEOUT).unwrap() {
        let PeerFrame::Samples(part) = frame else {
            panic!("unexpected {frame:?}");
        };
        samples.extend(part);
    }
    samples
}

/// Guards against samples that are lost when the owner of their step fails.
#[test]
fn finished_samples_are_kept_until_released() {
    let setup = start(EngineSettings::default());
    for index in 0..3 {
        let mut request = completion(&format!("draft {index}"), 4);
        request.sample = Some(sample_id(index));
        setup.entry.execute(&setup.agent, &request);
    }
    let samples = collect(&setup);
    assert_eq!(samples, collect(&setup));
    let ids: Vec<_> = samples.iter().map(|sample| sample.id.clone()).collect();
    assert_eq!(ids, [sample_id(0), sample_id(1), sample_id(2)]);
    assert_eq!(samples[1].text, text("draft 1", 4));
    assert_eq!(samples[1].labels.oldest(), Some(WeightVersion(1)));

    let release = PeerRequest::ReleaseSamples {
        samples: vec![sample_id(0), sample_id(2)],
    };
    assert_eq!(setup.entry.query(&setup.agent, release), PeerFrame::Done);
    let left: Vec<_> = collect(&setup)
        .into_iter()
        .map(|sample| sample.id)
        .collect();
    assert_eq!(left, [sample_id(1)]);
}
