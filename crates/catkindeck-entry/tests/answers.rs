//! Tests that a caller gets the complete response to its own request, or an error
//! (`docs/design.md`, G11).

mod common;

use {
    catkindeck::{
        ErrorKind, ExecutionOutcome,
        id::RequestId,
        message::{ExecuteRequest, ExecutionState, PeerFrame},
        token::{VersionRange, WeightVersion},
    },
    common::*,
    std::{sync::Arc, thread},
};

/// Forwards a call on a route that is not idempotent and expects that the response is rejected.
fn expect_rejected(
    execute: impl Fn(&ExecuteRequest) -> Vec<ResponseStep> + Send + Sync + Clone + 'static,
) -> String {
    let fixture = Fixture::new();
    for number in [3, 4] {
        let execute = execute.clone();
        fixture.link.set(
            number,
            agent(3, move |request: &ExecuteRequest, _| execute(request)),
        );
    }
    let (text, result) = fixture.forward(&call("desk", 1));
    assert!(
        result.is_err(),
        "the response was accepted as complete: {text}"
    );
    text
}

/// Guards against delivering another caller's response when an agent confuses two requests.
#[test]
fn frame_of_another_request_is_rejected() {
    let text = expect_rejected(|request| {
        let other = ExecuteRequest {
            request: RequestId::random(),
            ..request.clone()
        };
        vec![
            started(request, 3),
            chunk(&other, 0, "another's", 1),
            finished(request, 1, 3),
        ]
    });
    assert_eq!(text, "");
}

/// Guards against accepting an end frame with another customer's record.
#[test]
fn record_of_another_customer_is_rejected() {
    expect_rejected(|request| {
        let mut record = record(request, ExecutionState::Finished, "");
        record.customer = Some(name("court"));
        vec![
            started(request, 3),
            chunk(request, 0, "text", 1),
            ResponseStep::Frame(PeerFrame::Finished {
                request: request.request,
                chunks: 1,
                record: Box::new(record),
                load: Box::new(load(3)),
            }),
        ]
    });
}

/// Guards against a response with a missing chunk that appears complete.
#[test]
fn missing_chunk_is_rejected() {
    let text = expect_rejected(|request| {
        vec![
            started(request, 3),
            chunk(request, 0, "first", 1),
            chunk(request, 2, "third", 1),
            finished(request, 2, 3),
        ]
    });
    assert_eq!(text, "first");
}

/// Guards against delivering the same text twice.
#[test]
fn repeated_chunk_is_rejected() {
    let text = expect_rejected(|request| {
        vec![
            started(request, 3),
            chunk(request, 0, "first", 1),
            chunk(request, 0, "first", 1),
            finished(request, 2, 3),
        ]
    });
    assert_eq!(text, "first");
}

/// Guards against a response whose last chunks were lost.
#[test]
fn end_that_counts_more_chunks_is_rejected() {
    expect_rejected(|request| {
        vec![
            started(request, 3),
            chunk(request, 0, "first", 1),
            finished(request, 2, 3),
        ]
    });
}

/// Guards against mistaking the end of the stream for the end of the response.
#[test]
fn stream_without_end_frame_is_rejected() {
    expect_rejected(|request| vec![started(request, 3), chunk(request, 0, "first", 1)]);
}

/// Guards against delivering a response to another caller when responses arrive late and in a
/// different order than the requests.
#[test]
fn late_responses_reach_their_own_callers() {
    let fixture = Arc::new(Fixture::new());
    let mut releases = Vec::new();
    let mut holds = Vec::new();
    for _ in 0..8 {
        let (release, hold) = crossbeam::channel::bounded(1);
        releases.push(release);
        holds.push(hold);
    }
    for number in [1, 2] {
        let holds = holds.clone();
        fixture.link.set(
            number,
            agent(1, move |request: &ExecuteRequest, _| {
                let index = request.digest.0[0];
                vec![
                    started(request, 1),
                    ResponseStep::Wait(holds[usize::from(index)].clone()),
                    chunk(request, 0, &format!("answer {index}"), 1),
                    finished(request, 1, 1),
                ]
            }),
        );
    }
    let callers: Vec<_> = (0..8)
        .map(|index| {
            let fixture = fixture.clone();
            thread::spawn(move || fixture.forward(&completion(index)))
        })
        .collect();
    for index in 0..8_u8 {
        fixture.link.wait_for(|_, request| {
            matches!(request, catkindeck::message::PeerRequest::Execute(request)
                if request.digest.0[0] == index)
        });
    }
    for release in releases.iter().rev() {
        release.send(()).expect("the agent waits");
    }
    for (index, caller) in callers.into_iter().enumerate() {
        let (text, result) = caller.join().expect("no panic");
        result.expect("a complete response");
        assert_eq!(text, format!("answer {index}"));
    }
}

/// Guards against an interrupted completion that restarts instead of resuming, and against
/// labelling tokens of two weight versions with one (G1, G11).
#[test]
fn interrupted_completion_resumes_with_labels_per_range() {
    let fixture = Fixture::new();
    let interrupt_or_resume = |request: &ExecuteRequest| {
        let catkindeck::message::WorkBody::Completion(body) = &request.body else {
            panic!("a completion");
        };
        if body.resume_tokens == 0 {
            return vec![
                started(request, 1),
                chunk(request, 0, "Carton ", 6),
                chunk(request, 1, "twelve ", 6),
                ResponseStep::Disconnect,
            ];
        }
        assert_eq!(
            (body.resume_text.as_str(), body.resume_tokens),
            ("Carton twelve ", 2)
        );
        assert_eq!(request.attempt, 2);
        vec![
            started(request, 2),
            chunk(request, 0, "holds ", 7),
            chunk(request, 1, "deeds", 7),
            finished(request, 2, 2),
        ]
    };
    for number in [1, 2] {
        fixture.link.set(
            number,
            agent(1, move |request, _| interrupt_or_resume(request)),
        );
    }
    let (text, result) = fixture.forward(&completion(1));
    let delivered = result.expect("a complete response");
    assert_eq!(text, "Carton twelve holds deeds");
    let range = |start, end, version| VersionRange {
        start,
        end,
        version: Some(WeightVersion(version)),
    };
    assert_eq!(delivered.labels.ranges, [range(0, 2, 6), range(2, 4, 7)]);
    assert_eq!(delivered.attempts, 2);
}

/// Guards against continuing an interrupted plain response with the response of another upstream.
#[test]
fn interrupted_plain_response_is_not_resumed() {
    let fixture = Fixture::new();
    for number in [3, 4] {
        fixture.link.set(
            number,
            agent(3, |request, _| {
                vec![
                    started(request, 3),
                    head(request, 200),
                    chunk(request, 0, "half", 1),
                    ResponseStep::Disconnect,
                ]
            }),
        );
    }
    let (text, result) = fixture.forward(&call("shelf", 1));
    assert!(result.is_err());
    assert_eq!(text, "half");
    assert_eq!(fixture.link.executed().len(), 1);
}

/// Guards against reporting `not_run` after the start, which would make the caller run the request
/// twice (G12).
#[test]
fn refusal_after_start_frame_is_reported_as_unknown() {
    let fixture = Fixture::new();
    for number in [3, 4] {
        fixture
            .link
            .set(number, move |request: &_, _| match request {
                catkindeck::message::PeerRequest::Execute(request) => AgentResponse::Stream(vec![
                    started(request, 3),
                    refused(
                        request,
                        catkindeck::ServiceError::not_run(ErrorKind::Overloaded, "full"),
                        3,
                    ),
                ]),
                catkindeck::message::PeerRequest::Revoke { .. } => {
                    AgentResponse::Unreachable(unreachable_error())
                }
                other => default_response(other, 3),
            });
    }
    let error = fixture.forward_expecting_error(&call("desk", 1));
    assert_eq!(error.execution, ExecutionOutcome::Unknown);
    assert_eq!(fixture.link.executed().len(), 1);
}
