//! Tests the hand-over of records whose responses were not stored.

use {
    catkindeck::{
        ErrorKind, ExecutionOutcome, Moment,
        id::{BodyDigest, BootId, IncarnationId, RequestId},
        message::{CallBody, ExecuteRequest, WorkBody, WorkClass},
        token::VersionLabels,
    },
    catkindeck_policy::{
        BeginDecision, ExecutionResult, ExecutionSettings, ExecutionTable, RecordHistory,
    },
};

fn table(response_limit: usize) -> ExecutionTable {
    let settings = ExecutionSettings {
        response_limit,
        ..ExecutionSettings::default()
    };
    let incarnation = IncarnationId::random();
    ExecutionTable::new(settings, incarnation, Moment(0), RecordHistory::Complete)
}

fn request(id: u8) -> ExecuteRequest {
    ExecuteRequest {
        request: RequestId([id; 16]),
        incarnation: None,
        customer: None,
        route: "desk".try_into().unwrap(),
        service: "desk".try_into().unwrap(),
        class: WorkClass::Interactive,
        priority: 0,
        attempt: 1,
        deadline_ms: 1000,
        idempotent: false,
        idempotency_key: Some("carton-7".to_owned()),
        digest: BodyDigest([1; 32]),
        sample: None,
        body: WorkBody::Call(CallBody {
            method: "POST".to_owned(),
            path: "/orders".to_owned(),
            headers: Vec::new(),
            bytes: Vec::new(),
        }),
    }
}

/// Runs a request with the response `answer` and hands over its record to a second table.
fn hand_over(response_limit: usize, answer: Vec<u8>) -> ExecutionTable {
    let mut first = table(response_limit);
    let run = request(1);
    assert_eq!(first.begin(Moment(0), &run).unwrap(), BeginDecision::Run);
    first.start(&run.request, &BootId::default()).unwrap();
    let result = ExecutionResult {
        complete: true,
        boot: BootId::default(),
        labels: VersionLabels::default(),
        status: 200,
        answer,
    };
    first.finish(Moment(1), &run.request, result).unwrap();
    let mut second = table(response_limit);
    second.adopt(Moment(2), first.hand_over(Moment(2))).unwrap();
    second
}

/// Guards against a response that was dropped for its size and is replayed as an empty one.
#[test]
fn a_dropped_response_is_not_replayed_after_a_hand_over() {
    let mut second = hand_over(4, vec![7; 8]);
    let error = second.begin(Moment(3), &request(2)).unwrap_err();
    assert_eq!(error.kind, ErrorKind::OutcomeUnknown);
    assert_eq!(error.execution, ExecutionOutcome::Finished);
}

/// Guards against an empty response that is treated as dropped.
#[test]
fn an_empty_response_is_replayed_after_a_hand_over() {
    let mut second = hand_over(4, Vec::new());
    let decision = second.begin(Moment(3), &request(2)).unwrap();
    assert!(matches!(decision, BeginDecision::Replay(_)));
}
