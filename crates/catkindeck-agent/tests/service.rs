//! Tests an agent with a plain service, whose calls are not idempotent.

mod common;

use {
    catkindeck::{
        ErrorKind, ExecutionOutcome, ServiceError,
        config::ConfigSnapshot,
        id::{BodyDigest, RequestId},
        link::PeerRole,
        message::{
            ExecuteRequest, ExecutionRecord, ExecutionState, PeerFrame, PeerRequest,
            REPLAY_BODY_LIMIT, WorkBody,
        },
    },
    catkindeck_agent::AgentProcess,
    catkindeck_fakes::{control::ControlTarget, service::FakeService},
    common::{TestPeer, TestSetup, call, configuration, name, wait_until},
    std::{net::TcpListener, thread},
};

struct ServiceSetup {
    base: TestSetup,
    service: FakeService,
    agent: AgentProcess,
    entry: TestPeer,
}

fn start() -> ServiceSetup {
    let service = FakeService::default();
    let address = service.spawn("127.0.0.1:0".parse().unwrap()).unwrap();
    let base = TestSetup::new();
    let agent = base.start_agent("vault-a-1", "plain", address, "");
    let entry = base.start_peer(PeerRole::Entry, "entry-1");
    entry.configure(&agent, 1, |_| {});
    ServiceSetup {
        base,
        service,
        agent,
        entry,
    }
}

fn keyed_request(key: &str, path: &str) -> ExecuteRequest {
    let mut request = call(path, b"carton 7");
    request.idempotency_key = Some(key.to_owned());
    request
}

fn with_new_id(request: &ExecuteRequest) -> ExecuteRequest {
    ExecuteRequest {
        request: RequestId::random(),
        ..request.clone()
    }
}

fn find(
    setup: &ServiceSetup,
    key: &str,
    forbid_start: bool,
) -> Result<Option<ExecutionRecord>, ServiceError> {
    let request = PeerRequest::FindExecution {
        customer: Some(name("court")),
        route: name("drafts"),
        idempotency_key: key.to_owned(),
        forbid_start,
    };
    match setup.entry.query(&setup.agent, request) {
        PeerFrame::Execution(record) => Ok(record.map(|record| *record)),
        PeerFrame::Failed(error) => Err(error),
        frame => panic!("unexpected {frame:?}"),
    }
}

/// Guards against forwarding headers that are not on the allowlist (G5), and against losing the
/// status, headers or body of a response.
#[test]
fn a_call_passes_only_listed_headers() {
    let setup = start();
    setup
        .service
        .update_settings(|settings| settings.status = 201);
    let mut request = call("/orders/7?rack=3", b"carton 7");
    let WorkBody::Call(body) = &mut request.body else {
        unreachable!()
    };
    for (header, value) in [
        ("Authorization", "Bearer secret-key"),
        ("AUTHORIZATION", "Bearer secret-key"),
        ("x-api-key", "secret-key"),
        ("X-Api-Key", "secret-key"),
        ("cookie", "secret-key"),
        ("connection", "x-api-key"),
        ("host", "elsewhere"),
        ("Accept-Language", "ml"),
    ] {
        body.headers.push((header.to_owned(), value.to_owned()));
    }
    let response = setup.entry.execute(&setup.agent, &request);
    let (status, headers) = response.head.as_ref().unwrap();
    assert_eq!(*status, 201);
    let content_type = ("content-type".to_owned(), "application/json".to_owned());
    assert_eq!(*headers, [content_type]);
    let body: serde_json::Value = serde_json::from_slice(&response.bytes).unwrap();
    assert_eq!(body["echo"], "carton 7");
    assert_eq!(body["path"], "/orders/7");
    assert_eq!(body["query"], "rack=3");
    assert_eq!(body["request"], request.request.to_string());
    assert_eq!(response.finished.unwrap().status, 201);

    let calls = setup.service.state()["calls"].to_string();
    assert!(!calls.contains("secret-key"), "{calls}");
    assert!(calls.contains("Accept-Language") || calls.contains("accept-language"));
    assert!(!calls.contains("elsewhere"));
}

/// Guards against paths that change the host of the URL, and against malformed methods.
#[test]
fn a_malformed_call_is_rejected_as_not_run() {
    let setup = start();
    for (method, path, bytes) in [
        ("POST", "@127.0.0.1:1/", b"".as_slice()),
        ("POST", "orders", b""),
        ("POST", "/a b", b""),
        ("PO ST", "/orders", b""),
        ("GET", "/orders", b"body"),
    ] {
        let mut request = call(path, bytes);
        let WorkBody::Call(body) = &mut request.body else {
            unreachable!()
        };
        body.method = method.to_owned();
        let response = setup.entry.execute(&setup.agent, &request);
        assert_eq!(
            response.error().kind,
            ErrorKind::BadRequest,
            "{method} {path}"
        );
        assert_eq!(response.error().execution, ExecutionOutcome::NotRun);
    }
    assert_eq!(setup.service.state()["runs"], serde_json::json!({}));
}

/// Guards against a second run of a keyed request (G13), and against replays with missing headers
/// or bytes.
#[test]
fn a_keyed_request_runs_once_and_is_replayed() {
    let setup = start();
    let first = keyed_request("order-1", "/orders");
    let response = setup.entry.execute(&setup.agent, &first);
    assert!(response.finished.as_ref().unwrap().answer.is_empty());

    let replay = setup.entry.execute(&setup.agent, &with_new_id(&first));
    let record = replay.finished.unwrap();
    assert_eq!(record.request, first.request);
    assert!(record.answer_kept);
    assert_eq!(record.answer, response.bytes);
    assert_eq!(replay.head, response.head);
    assert_eq!(replay.started, None);
    assert_eq!(find(&setup, "order-1", false).unwrap(), Some(*record));

    let mut other = with_new_id(&first);
    other.digest = BodyDigest([9; 32]);
    let refused = setup.entry.execute(&setup.agent, &other);
    assert_eq!(refused.error().kind, ErrorKind::Conflict);
    assert_eq!(setup.service.execution_count(&first.request.to_string()), 1);
    assert_eq!(setup.service.state()["runs"].as_object().unwrap().len(), 1);
}

/// Guards against a replay that is truncated or empty because the response was too large to be
/// stored.
#[test]
fn a_response_too_large_to_store_is_not_replayed() {
    let setup = start();
    setup
        .service
        .update_settings(|settings| settings.padding_bytes = REPLAY_BODY_LIMIT);
    let first = keyed_request("order-1", "/orders");
    let response = setup.entry.execute(&setup.agent, &first);
    assert!(response.finished.is_some());
    assert!(response.bytes.len() > REPLAY_BODY_LIMIT);
    let replay = setup.entry.execute(&setup.agent, &with_new_id(&first));
    assert_eq!(replay.error().kind, ErrorKind::OutcomeUnknown);
    assert_eq!(replay.error().execution, ExecutionOutcome::Finished);
    assert_eq!(setup.service.state()["runs"].as_object().unwrap().len(), 1);
}

/// Guards against starting a request, whether queued or new, after its idempotency key was
/// forbidden because another agent has become its home.
#[test]
fn a_request_with_a_forbidden_key_never_starts() {
    let setup = start();
    assert_eq!(find(&setup, "order-1", false).unwrap(), None);
    let record = find(&setup, "order-1", true).unwrap().unwrap();
    assert_eq!(record.state, ExecutionState::Forbidden);
    let response = setup
        .entry
        .execute(&setup.agent, &keyed_request("order-1", "/orders"));
    assert_eq!(response.error().kind, ErrorKind::Revoked);

    // A queued request with the key is rejected too.
    setup
        .entry
        .configure(&setup.agent, 2, |config| config.services[0].warm_limit = 1);
    setup
        .service
        .update_settings(|settings| settings.latency_ms = 500);
    let busy = PeerRequest::Execute(Box::new(call("/busy", b"")));
    let busy = setup.entry.open(&setup.agent, busy);
    wait_until("the first runs", || setup.service.state()["running"] == 1);
    let queued = keyed_request("order-2", "/orders");
    let stream = PeerRequest::Execute(Box::new(queued.clone()));
    let stream = setup.entry.open(&setup.agent, stream);
    wait_until("the second waits", || {
        setup.entry.load(&setup.agent).queued == 1
    });
    let record = find(&setup, "order-2", true).unwrap().unwrap();
    assert_eq!(record.state, ExecutionState::Forbidden);
    let response = common::TestResponse::read(stream);
    assert_eq!(response.error().kind, ErrorKind::Revoked);
    assert!(common::TestResponse::read(busy).finished.is_some());
    assert_eq!(
        setup.service.execution_count(&queued.request.to_string()),
        0
    );
}

/// Guards against aborting a request that is not idempotent when its caller disconnects (G13).
#[test]
fn non_idempotent_requests_continue_without_their_caller() {
    let setup = start();
    setup
        .service
        .update_settings(|settings| settings.latency_ms = 300);
    let first = keyed_request("order-1", "/orders");
    let stream = PeerRequest::Execute(Box::new(first.clone()));
    let stream = setup.entry.open(&setup.agent, stream);
    wait_until("the call runs", || setup.service.state()["running"] == 1);
    drop(stream);
    // A cancel request does not abort it either.
    let cancel = PeerRequest::Cancel {
        request: first.request,
    };
    assert_eq!(setup.entry.query(&setup.agent, cancel), PeerFrame::Done);
    let record = find(&setup, "order-1", false).unwrap().unwrap();
    assert_eq!(record.state, ExecutionState::Running);
    let concurrent = setup.entry.execute(&setup.agent, &with_new_id(&first));
    assert_eq!(concurrent.error().kind, ErrorKind::Conflict);
    assert_eq!(concurrent.error().execution, ExecutionOutcome::Unknown);
    wait_until("the record is finished", || {
        find(&setup, "order-1", false).unwrap().unwrap().state == ExecutionState::Finished
    });
    let replay = setup.entry.execute(&setup.agent, &with_new_id(&first));
    assert!(!replay.finished.unwrap().answer.is_empty());
    assert_eq!(setup.service.execution_count(&first.request.to_string()), 1);
}

/// Guards against reporting `not_run` for a request that ran and lost its response (G12), and
/// against running it again.
#[test]
fn a_lost_response_leaves_the_outcome_unknown() {
    for cut_in_body in [false, true] {
        let setup = start();
        setup.service.update_settings(|settings| match cut_in_body {
            true => settings.cut_in_body = 1,
            false => settings.cut_after_run = 1,
        });
        let first = keyed_request("order-1", "/orders");
        let response = setup.entry.execute(&setup.agent, &first);
        assert!(response.finished.is_none());
        assert_eq!(response.error().kind, ErrorKind::UpstreamFailed);
        assert_eq!(response.error().execution, ExecutionOutcome::Unknown);
        let retry = setup.entry.execute(&setup.agent, &with_new_id(&first));
        assert_eq!(retry.error().kind, ErrorKind::OutcomeUnknown);
        assert_eq!(retry.error().execution, ExecutionOutcome::Unknown);
        assert_eq!(setup.service.state()["runs"].as_object().unwrap().len(), 1);
    }
}

/// Guards against reporting `unknown` if the service is unreachable. Nothing was sent, so the
/// request may be retried elsewhere, or here when the service is available again.
#[test]
fn an_unreachable_service_proves_that_nothing_ran() {
    let free = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = free.local_addr().unwrap();
    drop(free);
    let setup = TestSetup::new();
    let agent = setup.start_agent("vault-a-1", "plain", address, "");
    let entry = setup.start_peer(PeerRole::Entry, "entry-1");
    entry.configure(&agent, 1, |_| {});
    let request = keyed_request("order-1", "/orders");
    let response = entry.execute(&agent, &request);
    assert_eq!(response.error().execution, ExecutionOutcome::NotRun);
    wait_until("the upstream is closed", || entry.load(&agent).closed);

    let service = FakeService::default();
    service.spawn(address).unwrap();
    wait_until("the upstream is open", || !entry.load(&agent).closed);
    let response = entry.execute(&agent, &request);
    assert!(response.finished.is_some(), "{response:?}");
    assert_eq!(service.execution_count(&request.request.to_string()), 1);
}

/// Guards against a restarted agent that treats a missing record as proof that a request did not
/// run (decision 4).
#[test]
fn a_restarted_agent_does_not_report_lost_records_as_not_run() {
    let setup = start();
    let first = keyed_request("order-1", "/orders");
    assert!(setup.entry.execute(&setup.agent, &first).finished.is_some());
    let address = setup.service.spawn("127.0.0.1:0".parse().unwrap()).unwrap();
    let restarted = TestSetup::new();
    let text = restarted
        .agent_settings("vault-a-1", "plain", address, "")
        .replace("first_start = true", "");
    let agent = restarted.start_agent_with(&text);
    let entry = restarted.start_peer(PeerRole::Entry, "entry-1");
    entry.configure(&agent, 1, |_| {});
    let response = entry.execute(&agent, &with_new_id(&first));
    assert_eq!(response.error().kind, ErrorKind::OutcomeUnknown);
    assert_eq!(response.error().execution, ExecutionOutcome::Unknown);
    // A request without a key has no record that could have been lost.
    assert!(
        entry
            .execute(&agent, &call("/orders", b""))
            .finished
            .is_some()
    );

    // An upstream that the first configuration does not list has no records that could have been
    // lost.
    let text = restarted
        .agent_settings("vault-a-9", "plain", address, "")
        .replace("first_start = true", "");
    let agent = restarted.start_agent_with(&text);
    let listed = |revision: u64, host: &str| -> ConfigSnapshot {
        configuration(revision, &[(host, agent.peer_address().unwrap())])
    };
    for config in [listed(2, "vault-a-1"), listed(3, "vault-a-9")] {
        let push = PeerRequest::PushConfiguration(Box::new(config));
        entry.query(&agent, push);
    }
    let response = entry.execute(&agent, &keyed_request("order-2", "/orders"));
    assert!(response.finished.is_some(), "{response:?}");
}

/// Guards against a drain that aborts requests, accepts new ones, or loses execution records or
/// usage (G15, decision 4).
#[test]
fn drain_completes_requests_and_transfers_records() {
    let setup = start();
    let address = setup.service.spawn("127.0.0.1:0".parse().unwrap()).unwrap();
    let next = setup.base.start_agent("vault-a-2", "plain", address, "");
    let addresses = [
        ("vault-a-1", setup.agent.peer_address().unwrap()),
        ("vault-a-2", next.peer_address().unwrap()),
    ];
    for agent in [&setup.agent, &next] {
        let push = PeerRequest::PushConfiguration(Box::new(configuration(2, &addresses)));
        setup.entry.query(agent, push);
    }
    let first = keyed_request("order-1", "/orders");
    let response = setup.entry.execute(&setup.agent, &first);
    assert!(response.finished.is_some());
    setup
        .service
        .update_settings(|settings| settings.latency_ms = 300);
    let running = keyed_request("order-2", "/orders");
    let stream = PeerRequest::Execute(Box::new(running.clone()));
    let stream = setup.entry.open(&setup.agent, stream);
    wait_until("the call runs", || setup.service.state()["running"] == 1);

    setup.agent.begin_drain();
    let refused = setup.entry.execute(&setup.agent, &call("/late", b""));
    assert_eq!(refused.error().kind, ErrorKind::ShuttingDown);
    assert_eq!(refused.error().execution, ExecutionOutcome::NotRun);
    assert!(common::TestResponse::read(stream).finished.is_some());
    assert!(setup.agent.wait_idle(common::TEST_TIMEOUT));

    // The usage of the current window can be collected once the records are transferred.
    let peer = setup.agent.peer_address().unwrap();
    let entry = setup.base.start_peer(PeerRole::Entry, "entry-9");
    let collector = thread::spawn(move || {
        let mut lines: Vec<catkindeck::message::UsageLine> = Vec::new();
        let mut sealed_through = None;
        loop {
            let request = PeerRequest::CollectUsage { sealed_through };
            let collected = entry
                .endpoint
                .link()
                .call(peer, request, common::TEST_TIMEOUT)
                .and_then(|mut stream| stream.receive(common::TEST_TIMEOUT));
            let Ok(Some(PeerFrame::Usage(new))) = collected else {
                return lines;
            };
            if let Some(last) = new.last() {
                sealed_through = Some(last.window);
                lines.extend(new);
            } else if !lines.is_empty() {
                return lines;
            }
            thread::sleep(std::time::Duration::from_millis(10));
        }
    });
    setup.agent.finish();
    let lines = collector.join().unwrap();
    let requests: u64 = lines.iter().map(|line| line.requests).sum();
    assert_eq!(requests, 2, "{lines:?}");
    assert!(
        lines
            .iter()
            .all(|line| line.customer == Some(name("court")))
    );

    for request in [&first, &running] {
        let replay = setup.entry.execute(&next, &with_new_id(request));
        assert_eq!(replay.finished.unwrap().request, request.request);
        assert_eq!(
            setup.service.execution_count(&request.request.to_string()),
            1
        );
    }
}
