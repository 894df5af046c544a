//! Tests of revoked keys and disconnected callers (`docs/design.md`, G6).

mod common;

use {
    catkindeck::{
        ErrorKind,
        id::KeyDigest,
        message::{ExecuteRequest, PeerRequest},
    },
    catkindeck_entry::forward::{ForwardError, ForwardWork},
    common::*,
    std::sync::{Arc, atomic::Ordering},
};

/// Sets agents that send one token, run `action`, and then send nothing more.
fn stall_after_first_chunk(fixture: &Fixture, action: impl Fn() + Send + Sync + Clone + 'static) {
    for number in 1..=4 {
        let action = action.clone();
        fixture.link.set(
            number,
            agent(1, move |request: &ExecuteRequest, _| {
                let (_, never) = crossbeam::channel::bounded(0);
                let action = action.clone();
                vec![
                    started(request, 1),
                    chunk(request, 0, "first ", 1),
                    ResponseStep::Run(Box::new(action)),
                    ResponseStep::Wait(never),
                ]
            }),
        );
    }
}

fn cancelled(fixture: &Fixture, work: &ForwardWork) -> bool {
    let calls = fixture.link.calls();
    calls.iter().any(
        |(_, call)| matches!(call, PeerRequest::Cancel { request } if *request == work.request),
    )
}

/// Guards against an idle stream that stays open after its key was revoked.
#[test]
fn open_stream_ends_when_its_key_is_revoked() {
    let fixture = Fixture::new();
    let source = fixture.source.clone();
    stall_after_first_chunk(&fixture, move || {
        source.replace(|snapshot| {
            let revoked = KeyDigest::of(ARCHIVE_KEY);
            snapshot.keys.retain(|key| key.digest != revoked);
        });
    });
    let work = completion(1);
    let (text, result) = fixture.forward(&work);
    assert_eq!(text, "first ");
    let Err(ForwardError::Failed(error)) = result else {
        panic!("the stream stays open: {result:?}");
    };
    assert_eq!(error.kind, ErrorKind::KeyRevoked);
    assert!(cancelled(&fixture, &work));
}

/// Guards against missing the revocation of a key between authentication and the first attempt.
#[test]
fn key_revoked_before_the_attempt_is_noticed() {
    let fixture = Fixture::new();
    for number in [1, 2] {
        fixture.link.set(number, succeeding_agent(1, "text"));
    }
    let work = completion(1);
    fixture.source.replace(|snapshot| snapshot.keys.clear());
    assert_eq!(
        fixture.forward_expecting_error(&work).kind,
        ErrorKind::KeyRevoked
    );
}

/// Guards against configuration changes that end streams of unaffected keys.
#[test]
fn unrelated_changes_do_not_end_streams() {
    let fixture = Fixture::new();
    let source = fixture.source.clone();
    for number in [1, 2] {
        let source = source.clone();
        fixture.link.set(
            number,
            agent(1, move |request, _| {
                let source = source.clone();
                vec![
                    started(request, 1),
                    ResponseStep::Run(Box::new(move || {
                        source.replace(|snapshot| {
                            let other = KeyDigest::of(COURT_KEY);
                            snapshot.keys.retain(|key| key.digest != other);
                        });
                    })),
                    chunk(request, 0, "text", 1),
                    finished(request, 1, 1),
                ]
            }),
        );
    }
    fixture
        .forward(&completion(1))
        .1
        .expect("a complete response");
}

fn disconnect_during(work: &ForwardWork) -> (Fixture, bool) {
    let fixture = Fixture::new();
    let mut sink = RecordedSink::default();
    let disconnected = Arc::clone(&sink.disconnected);
    stall_after_first_chunk(&fixture, move || disconnected.store(true, Ordering::SeqCst));
    let result = fixture.forwarder.forward(work, &mut sink);
    assert_eq!(result, Err(ForwardError::CallerDisconnected));
    let cancelled = cancelled(&fixture, work);
    (fixture, cancelled)
}

/// Guards against engines that keep generating for disconnected callers.
#[test]
fn disconnected_caller_cancels_idempotent_work() {
    assert!(disconnect_during(&completion(1)).1);
}

/// Guards against cancelling running work that is not idempotent; the agent finishes it and keeps
/// its record.
#[test]
fn disconnected_caller_does_not_cancel_other_work() {
    let (fixture, cancelled) = disconnect_during(&call("desk", 1));
    assert!(!cancelled);
    assert_eq!(fixture.link.executed().len(), 1);
}
