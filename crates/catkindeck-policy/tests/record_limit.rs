//! Guards the work of an agent against a table that fills with records nobody asks for.

use {
    catkindeck::{
        Moment,
        id::{BodyDigest, BootId, IncarnationId, ObjectName, RequestId},
        message::{CallBody, ExecuteRequest, WorkBody, WorkClass},
        token::VersionLabels,
    },
    catkindeck_policy::{
        BeginDecision, ExecutionResult, ExecutionSettings, ExecutionTable, TableOrigin,
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

/// Runs requests one after the other in one millisecond; returns how many were taken.
fn run(idempotent: bool) -> usize {
    let settings = ExecutionSettings {
        record_limit: 10,
        ..ExecutionSettings::default()
    };
    let mut table = ExecutionTable::new(
        settings,
        IncarnationId([1; 16]),
        Moment(0),
        TableOrigin::First,
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

/// Guards against `overloaded` after a table's worth of look-ups: with 200,000 records kept for ten
/// minutes, a service took at most 333 requests a second.
#[test]
fn repeatable_requests_leave_no_record() {
    assert_eq!(run(true), 100);
}

/// Guards against dropping a record that proves something: other work is refused when they are full.
#[test]
fn records_that_prove_something_stay() {
    assert_eq!(run(false), 10);
}
