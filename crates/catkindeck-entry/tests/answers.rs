//! A caller gets the complete answer to its own request, or none (G11).

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

/// Forwards a call on the route that must not be repeated and expects that the answer is rejected.
fn expect_rejected(
    answer: impl Fn(&ExecuteRequest) -> Vec<ResponseStep> + Send + Sync + Clone + 'static,
) -> String {
    let fixture = Fixture::new();
    for number in [3, 4] {
        let answer = answer.clone();
        fixture.link.set(
            number,
            agent(3, move |request: &ExecuteRequest, _| answer(request)),
        );
    }
    let (text, end) = fixture.forward(&call("desk", 1));
    assert!(end.is_err(), "the answer passed as whole: {text}");
    text
}

/// Guards against passing another caller's answer on when the agent crosses two answers.
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

/// Guards against passing on an end that carries another customer's record.
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

/// Guards against an answer with a gap that looks whole.
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

/// Guards against text that is delivered twice.
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

/// Guards against an answer whose last chunks were lost.
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

/// Guards against taking the end of a stream for the end of an answer.
#[test]
fn stream_without_end_frame_is_rejected() {
    expect_rejected(|request| vec![started(request, 3), chunk(request, 0, "first", 1)]);
}

/// Guards against an answer that reaches another caller when answers arrive late and in another
/// order than the requests.
#[test]
fn late_answers_reach_their_own_callers() {
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
        let (text, end) = caller.join().expect("no panic");
        end.expect("a whole answer");
        assert_eq!(text, format!("answer {index}"));
    }
}

/// Guards against a cut completion that starts again from nothing, and against labels that name one
/// version for tokens of two (G1, G11).
#[test]
fn interrupted_completion_resumes_with_labels_per_range() {
    let fixture = Fixture::new();
    let cut_or_rest = |request: &ExecuteRequest| {
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
        fixture
            .link
            .set(number, agent(1, move |request, _| cut_or_rest(request)));
    }
    let (text, end) = fixture.forward(&completion(1));
    let delivered = end.expect("a whole answer");
    assert_eq!(text, "Carton twelve holds deeds");
    let range = |start, end, version| VersionRange {
        start,
        end,
        version: Some(WeightVersion(version)),
    };
    assert_eq!(delivered.labels.ranges, [range(0, 2, 6), range(2, 4, 7)]);
    assert_eq!(delivered.attempts, 2);
}

/// Guards against a plain answer that is continued by another upstream's answer.
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
    let (text, end) = fixture.forward(&call("shelf", 1));
    assert!(end.is_err());
    assert_eq!(text, "half");
    assert_eq!(fixture.link.executed().len(), 1);
}

/// Guards against a `not_run` after the start, which would make the caller run the request twice
/// (G12).
#[test]
fn not_run_after_the_start_becomes_unknown() {
    let fixture = Fixture::new();
    for number in [3, 4] {
        fixture
            .link
            .set(number, move |request: &_, _| match request {
                catkindeck::message::PeerRequest::Execute(request) => AgentResponse::Answer(vec![
                    started(request, 3),
                    refused(
                        request,
                        catkindeck::ServiceError::not_run(ErrorKind::Overloaded, "full"),
                        3,
                    ),
                ]),
                catkindeck::message::PeerRequest::Revoke { .. } => {
                    AgentResponse::Unreachable(unreachable())
                }
                other => default_response(other, 3),
            });
    }
    let error = fixture.fail(&call("desk", 1));
    assert_eq!(error.execution, ExecutionOutcome::Unknown);
    assert_eq!(fixture.link.executed().len(), 1);
}
