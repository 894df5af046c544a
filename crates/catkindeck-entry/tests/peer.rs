//! Tests of an entry's responses to calls from other processes.

mod common;

use {
    catkindeck::{
        ErrorKind, ServiceError,
        config::{ConfigRevision, ConfigSnapshot},
        id::BodyDigest,
        link::{FrameSink, PeerHandler, PeerIdentity, PeerRole},
        message::{CrashReport, PeerFrame, PeerRequest, StepAction, StepAnswer, StepRequest},
        token::WeightVersion,
    },
    catkindeck_control::step::StepService,
    catkindeck_entry::peer::EntryHandler,
    catkindeck_health::DrainGate,
    common::*,
    std::sync::{Arc, Mutex},
};

#[derive(Default)]
struct RecordedFrames(Mutex<Vec<PeerFrame>>);

impl FrameSink for RecordedFrames {
    fn send(&self, frame: PeerFrame) -> Result<(), ServiceError> {
        self.0.lock().expect("no panic").push(frame);
        Ok(())
    }

    fn is_closed(&self) -> bool {
        false
    }
}

/// A step service that accepts only forwarded steps.
struct ForwardedStepsOnly;

impl StepService for ForwardedStepsOnly {
    fn handle(&self, _request: StepRequest) -> StepAnswer {
        StepAnswer::Refused(ServiceError::not_run(
            ErrorKind::Internal,
            "forwarded again",
        ))
    }

    fn handle_forwarded(&self, _request: StepRequest) -> StepAnswer {
        StepAnswer::Accepted
    }
}

/// Calls the handler as a peer with this role, and returns the only frame of the response.
fn call_as(handler: &EntryHandler, role: PeerRole, request: PeerRequest) -> PeerFrame {
    let sink = Arc::new(RecordedFrames::default());
    let identity = PeerIdentity {
        role,
        host: "other".to_owned(),
    };
    handler.handle(&identity, request, sink.clone());
    let mut frames = sink.0.lock().expect("no panic");
    assert_eq!(frames.len(), 1);
    frames.remove(0)
}

fn failure(frame: PeerFrame) -> ErrorKind {
    match frame {
        PeerFrame::Failed(error) => error.kind,
        other => panic!("expected a failure, got {other:?}"),
    }
}

fn step() -> PeerRequest {
    PeerRequest::ForwardStep(StepRequest {
        run: name("slips"),
        customer: name("archive"),
        action: StepAction::Announce(WeightVersion(8)),
    })
}

/// Guards against processes that act in a role not named in their certificate.
#[test]
fn calls_are_restricted_by_peer_role() {
    let fixture = Fixture::new();
    let gate = DrainGate::new();
    let steps: Arc<dyn StepService> = Arc::new(ForwardedStepsOnly);
    let handler = EntryHandler::new(fixture.forwarder.clone(), None, Some(steps), gate);
    let crash = || CrashReport {
        digest: BodyDigest([66; 32]),
        upstream: name("draft-1"),
    };
    for role in [PeerRole::Agent, PeerRole::Operator] {
        for request in [
            PeerRequest::PushConfiguration(Box::default()),
            PeerRequest::ReportCrashes {
                crashes: vec![crash()],
            },
            step(),
        ] {
            assert_eq!(
                failure(call_as(&handler, role, request)),
                ErrorKind::Forbidden
            );
        }
    }
    assert_eq!(
        call_as(&handler, PeerRole::Entry, step()),
        PeerFrame::StepAnswer(StepAnswer::Accepted)
    );
    assert_eq!(
        failure(call_as(&handler, PeerRole::Entry, PeerRequest::ReadLoad)),
        ErrorKind::Forbidden
    );
}

/// Guards against a starting entry that serves the empty configuration as the real one (G16).
#[test]
fn missing_configuration_is_not_served() {
    let fixture = Fixture::with_snapshot(ConfigSnapshot::default());
    let handler = EntryHandler::new(fixture.forwarder.clone(), None, None, DrainGate::new());
    let fetched = call_as(&handler, PeerRole::Agent, PeerRequest::FetchConfiguration);
    assert_eq!(failure(fetched), ErrorKind::NotFound);

    fixture
        .source
        .replace(|snapshot| snapshot.revision = ConfigRevision(9));
    let fetched = call_as(&handler, PeerRole::Agent, PeerRequest::FetchConfiguration);
    let PeerFrame::Configuration(fetched) = fetched else {
        panic!("a configuration");
    };
    assert_eq!(fetched.revision, ConfigRevision(9));
    let revision = call_as(&handler, PeerRole::Agent, PeerRequest::ReadRevision);
    assert_eq!(revision, PeerFrame::Revision(ConfigRevision(9)));
}

/// Guards against crash reports of peers that are accepted but not recorded.
#[test]
fn reported_crashes_quarantine_the_body() {
    let fixture = Fixture::new();
    let handler = EntryHandler::new(fixture.forwarder.clone(), None, None, DrainGate::new());
    let crashes = ["draft-1", "draft-2"].map(|upstream| CrashReport {
        digest: BodyDigest([66; 32]),
        upstream: name(upstream),
    });
    let report = PeerRequest::ReportCrashes {
        crashes: crashes.to_vec(),
    };
    assert_eq!(call_as(&handler, PeerRole::Entry, report), PeerFrame::Done);
    assert_eq!(
        fixture.forward_expecting_error(&completion(66)).kind,
        ErrorKind::Quarantined
    );
}

/// Guards against a step request that is interrupted by the shutdown or starts during the drain
/// (G15).
#[test]
fn steps_are_refused_while_draining() {
    let fixture = Fixture::new();
    let gate = DrainGate::new();
    let steps: Arc<dyn StepService> = Arc::new(ForwardedStepsOnly);
    let handler = EntryHandler::new(fixture.forwarder.clone(), None, Some(steps), gate.clone());
    gate.close();
    let refused = call_as(&handler, PeerRole::Entry, step());
    assert_eq!(failure(refused), ErrorKind::ShuttingDown);
}
