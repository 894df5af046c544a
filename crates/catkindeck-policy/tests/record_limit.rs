//! Tests which execution records an agent keeps when its table is limited.

use {
    catkindeck::{
        Moment,
        id::{BodyDigest, BootId, IncarnationId, ObjectName, RequestId},
        message::{CallBody, ExecuteRequest, WorkBody, WorkClass},
        token::VersionLabels,
    },
    catkindeck_policy::{
        BeginDecision, ExecutionResult, ExecutionSettings, ExecutionTable, RecordHistory,
    },
};

fn request(serial: u8, idempotent: bool) -> ExecuteRequest {
    let name = |text: &str| ObjectName::try_from(text).unwrap();
    ExecuteRequest {
        request: RequestId([serial; 16]),
        incarnation: None,
        customer: Some(name("desk")),
        route: name("shelf-lookup"),
        service: name("retrieval-desk"),
        class: WorkClass::Interactive,
        priority: 0,
        attempt: 1,
        deadline_ms: 1000,
        idempotent,
        idempotency_key: None,
        digest: BodyDigest([0; 32]),
        sample: None,
        body: WorkBody::Call(CallBody {
            method: "GET".to_owned(),
            path: "/".to_owned(),
            headers: Vec::new(),
            bytes: Vec::new(),
        }),
    }
}

/// Runs requests one after another within one millisecond and returns how many were accepted.
fn run(idempotent: bool) -> usize {
    let settings = ExecutionSettings {
        record_limit: 10,
        ..ExecutionSettings::default()
    };
    let mut table = ExecutionTable::new(
        settings,
        IncarnationId([1; 16]),
        Moment(0),
        RecordHistory::Complete,
    );
    let taken = (0..100).filter(|serial| {
        let request = request(*serial, idempotent);
        let Ok(BeginDecision::Run) = table.begin(Moment(1), &request) else {
            return false;
        };
        table.start(&request.request, &BootId::default()).unwrap();
        let result = ExecutionResult {
            complete: true,
            boot: BootId::default(),
            labels: VersionLabels::default(),
            status: 200,
            answer: Vec::new(),
        };
        table.finish(Moment(1), &request.request, result).is_some()
    });
    taken.count()
}

/// Guards against `overloaded` for requests whose records are not needed: with 200,000 records kept
/// for ten minutes, a service accepted at most 333 requests per second.
#[test]
fn repeatable_requests_leave_no_record() {
    assert_eq!(run(true), 100);
}

/// Guards against dropping a record that is needed as proof; a full table rejects work instead.
#[test]
fn records_needed_as_proof_are_kept() {
    assert_eq!(run(false), 10);
}
