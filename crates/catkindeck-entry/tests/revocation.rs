//! Revoked keys and departed callers (G6).

mod common;

use {
    catkindeck::{
        ErrorKind,
        id::KeyDigest,
        message::{ExecuteRequest, PeerRequest},
    },
    catkindeck_entry::forward::{ForwardEnd, ForwardWork},
    common::*,
    std::sync::{Arc, atomic::Ordering},
};

/// Sends one token, runs `action`, and then nothing more.
fn stalls_after(bench: &Bench, action: impl Fn() + Send + Sync + Clone + 'static) {
    for number in 1..=4 {
        let action = action.clone();
        bench.link.set(
            number,
            agent(1, move |request: &ExecuteRequest, _| {
                let (_, never) = crossbeam::channel::bounded(0);
                let action = action.clone();
                vec![
                    started(request, 1),
                    chunk(request, 0, "first ", 1),
                    Step::Run(Box::new(action)),
                    Step::Hold(never),
                ]
            }),
        );
    }
}

fn cancelled(bench: &Bench, work: &ForwardWork) -> bool {
    let calls = bench.link.calls();
    calls.iter().any(
        |(_, call)| matches!(call, PeerRequest::Cancel { request } if *request == work.request),
    )
}

/// Guards against a stream that goes on after its key was revoked, while nothing arrives on it.
#[test]
fn open_stream_ends_when_its_key_is_revoked() {
    let bench = Bench::new();
    let source = bench.source.clone();
    stalls_after(&bench, move || {
        source.replace(|snapshot| {
            let revoked = KeyDigest::of(ARCHIVE_KEY);
            snapshot.keys.retain(|key| key.digest != revoked);
        });
    });
    let work = completion(1);
    let (text, end) = bench.forward(&work);
    assert_eq!(text, "first ");
    let Err(ForwardEnd::Failed(error)) = end else {
        panic!("the stream goes on: {end:?}");
    };
    assert_eq!(error.kind, ErrorKind::KeyRevoked);
    assert!(cancelled(&bench, &work));
}

/// Guards against a key that is revoked between its check and the first attempt.
#[test]
fn key_revoked_before_the_attempt_is_noticed() {
    let bench = Bench::new();
    for number in [1, 2] {
        bench.link.set(number, healthy(1, "text"));
    }
    let work = completion(1);
    bench.source.replace(|snapshot| snapshot.keys.clear());
    assert_eq!(bench.fail(&work).kind, ErrorKind::KeyRevoked);
}

/// Guards against streams of other keys that end with every change of the configuration.
#[test]
fn other_changes_leave_streams_alone() {
    let bench = Bench::new();
    let source = bench.source.clone();
    for number in [1, 2] {
        let source = source.clone();
        bench.link.set(
            number,
            agent(1, move |request, _| {
                let source = source.clone();
                vec![
                    started(request, 1),
                    Step::Run(Box::new(move || {
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
    bench.forward(&completion(1)).1.expect("a whole answer");
}

fn leave_during(work: &ForwardWork) -> (Bench, bool) {
    let bench = Bench::new();
    let mut sink = RecordedSink::default();
    let gone = Arc::clone(&sink.gone);
    stalls_after(&bench, move || gone.store(true, Ordering::SeqCst));
    let end = bench.forwarder.forward(work, &mut sink);
    assert_eq!(end, Err(ForwardEnd::CallerGone));
    let cancelled = cancelled(&bench, work);
    (bench, cancelled)
}

/// Guards against engines that go on generating for callers that left.
#[test]
fn departed_caller_cancels_idempotent_work() {
    assert!(leave_during(&completion(1)).1);
}

/// Guards against cancelling work halfway that must not run twice; the agent ends it and keeps its
/// record.
#[test]
fn departed_caller_does_not_cancel_other_work() {
    let (bench, cancelled) = leave_during(&call("desk", 1));
    assert!(!cancelled);
    assert_eq!(bench.link.executed().len(), 1);
}
