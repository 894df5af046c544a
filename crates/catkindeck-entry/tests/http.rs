//! Tests of the HTTP API over real connections (`docs/design.md`, G4, G5, G11 and G15).

mod common;

use {
    catkindeck::{
        ErrorKind, ServiceError,
        log::discard_logger,
        message::{
            ExecuteRequest, PeerRequest, SampleId, SampleRecord, StepAction, StepAnswer,
            StepRequest, WorkBody,
        },
        token::VersionLabels,
    },
    catkindeck_control::step::StepService,
    catkindeck_entry::{
        api::{ApiLimits, EntryService},
        http::{HttpServer, ServerLimits},
    },
    catkindeck_health::DrainGate,
    common::*,
    serde_json::{Value, json},
    std::{
        io::{BufRead, BufReader, Read, Write},
        net::TcpStream,
        sync::{Arc, Mutex},
        thread,
        time::Duration,
    },
};

/// The HTTP server of an entry on a free port, with in-memory agents.
struct TestEntry {
    fixture: Fixture,
    server: HttpServer,
    gate: Arc<DrainGate>,
    steps: Arc<RecordedSteps>,
}

/// A step service that records its requests.
#[derive(Default)]
struct RecordedSteps {
    requests: Mutex<Vec<StepRequest>>,
}

impl StepService for RecordedSteps {
    fn handle(&self, request: StepRequest) -> StepAnswer {
        let action = request.action.clone();
        self.requests.lock().expect("no panic").push(request);
        match action {
            StepAction::Open(_) | StepAction::Announce(_) => StepAnswer::Accepted,
            StepAction::Fetch { cursor: 0, step } => StepAnswer::Batch {
                samples: vec![SampleRecord {
                    id: sample(step),
                    text: "slip".to_owned(),
                    labels: VersionLabels::default(),
                }],
                last: false,
            },
            StepAction::Fetch { cursor: 1, .. } => StepAnswer::Pending {
                accepted: 3,
                total: 4,
            },
            StepAction::Fetch { step, .. } => StepAnswer::Lost {
                samples: vec![sample(step)],
            },
        }
    }

    fn handle_forwarded(&self, request: StepRequest) -> StepAnswer {
        self.handle(request)
    }
}

fn sample(step: u64) -> SampleId {
    SampleId {
        run: name("slips"),
        step,
        group: 0,
        index: 0,
        generation: 0,
    }
}

fn limits() -> ServerLimits {
    ServerLimits {
        connections: 64,
        requests: 32,
        body_bytes: 64 << 10,
        header_bytes: 16 << 10,
        header_timeout: Duration::from_millis(300),
        body_timeout: Duration::from_millis(300),
    }
}

impl TestEntry {
    fn start() -> Self {
        let fixture = Fixture::new();
        for number in 1..=4 {
            fixture.link.set(
                number,
                agent(1, move |request: &ExecuteRequest, _| {
                    vec![
                        started(request, 1),
                        head(request, 201),
                        chunk(request, 0, "Carton ", 6),
                        chunk(request, 1, "twelve", 7),
                        finished(request, 2, 1),
                    ]
                }),
            );
        }
        let gate = DrainGate::new();
        let steps = Arc::new(RecordedSteps::default());
        let service = EntryService::new(
            fixture.forwarder.clone(),
            Some(steps.clone()),
            ApiLimits::default(),
        );
        let server = HttpServer::start(
            "127.0.0.1:0".parse().expect("an address"),
            limits(),
            Arc::new(service),
            gate.clone(),
            discard_logger(),
        )
        .expect("the server starts");
        Self {
            fixture,
            server,
            gate,
            steps,
        }
    }

    fn open(&self) -> TcpStream {
        let stream = TcpStream::connect(self.server.address()).expect("a connection");
        stream
            .set_read_timeout(Some(Duration::from_secs(10)))
            .expect("a time-out");
        stream
    }

    /// Sends a request on a new connection and returns the complete response.
    fn send(&self, request: &str) -> Response {
        let mut stream = self.open();
        stream.write_all(request.as_bytes()).expect("sent");
        Response::read(&mut stream)
    }

    fn post(&self, path: &str, headers: &str, body: &str) -> Response {
        let length = body.len();
        self.send(&format!(
            "POST {path} HTTP/1.1\r\nhost: entry\r\n{headers}connection: close\r\n\
             content-length: {length}\r\n\r\n{body}"
        ))
    }

    fn get(&self, path: &str, headers: &str) -> Response {
        self.send(&format!(
            "GET {path} HTTP/1.1\r\nhost: entry\r\n{headers}connection: close\r\n\r\n"
        ))
    }
}

/// A response as received.
#[derive(Debug)]
struct Response {
    status: u16,
    head: String,
    body: String,
    is_complete: bool,
}

impl Response {
    fn read(stream: &mut TcpStream) -> Self {
        let mut bytes = Vec::new();
        // Bytes received before a connection reset are kept.
        let _ = stream.read_to_end(&mut bytes);
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
        let status = head
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok());
        let chunked = head.contains("transfer-encoding: chunked");
        Self {
            status: status.unwrap_or(0),
            is_complete: !chunked || body.ends_with("0\r\n\r\n"),
            head: head.to_owned(),
            body: body.to_owned(),
        }
    }

    fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_else(|_| panic!("not JSON: {self:?}"))
    }

    /// Returns the kind and execution of an error, after checking its format and request id.
    fn error(&self) -> (String, String) {
        let value = self.json();
        let error = &value["error"];
        let text = |field: &str| error[field].as_str().unwrap_or("absent").to_owned();
        let id = text("request_id");
        assert!(
            self.head.contains(&format!("x-request-id: {id}")),
            "{self:?}"
        );
        assert!(!text("message").is_empty());
        (text("kind"), text("execution"))
    }
}

fn key() -> String {
    format!("authorization: Bearer {ARCHIVE_KEY}\r\n")
}

fn completion_body(stream: bool) -> String {
    json!({"model": "draft", "prompt": "Describe", "max_tokens": 8, "stream": stream}).to_string()
}

fn not_run(kind: &str) -> (String, String) {
    (kind.to_owned(), "not_run".to_owned())
}

/// Guards against a complete response without labels, usage or request id.
#[test]
fn completion_has_labels_and_usage() {
    let entry = TestEntry::start();
    let response = entry.post("/v1/completions", &key(), &completion_body(false));
    assert_eq!(response.status, 200, "{response:?}");
    let value = response.json();
    assert_eq!(value["choices"][0]["text"], "Carton twelve");
    assert_eq!(value["usage"]["completion_tokens"], 2);
    assert_eq!(
        value["catkindeck"]["versions"],
        json!([{"start": 0, "end": 1, "version": 6}, {"start": 1, "end": 2, "version": 7}])
    );
    assert_eq!(value["catkindeck"]["upstream_boot"], "boot");
    assert_eq!(value["id"], value["catkindeck"]["request_id"]);
}

/// Guards against a server that buffers a stream until its end: the agent continues only after the
/// caller has read the first token.
#[test]
fn stream_is_sent_token_by_token() {
    let entry = TestEntry::start();
    let (release, hold) = crossbeam::channel::bounded(1);
    for number in [1, 2] {
        let hold = hold.clone();
        entry.fixture.link.set(
            number,
            agent(1, move |request, _| {
                vec![
                    started(request, 1),
                    chunk(request, 0, "first", 1),
                    ResponseStep::Wait(hold.clone()),
                    chunk(request, 1, "second", 1),
                    finished(request, 2, 1),
                ]
            }),
        );
    }
    let mut stream = entry.open();
    let body = completion_body(true);
    let request = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: e\r\n{}content-length: {}\r\n\r\n{body}",
        key(),
        body.len()
    );
    stream.write_all(request.as_bytes()).expect("sent");
    let mut lines = BufReader::new(stream).lines();
    let mut next = |wanted: &str| loop {
        let line = lines.next().expect("the stream continues").expect("a line");
        if line.starts_with("data: ") && line.contains(wanted) {
            return line;
        }
    };
    next("\"first\"");
    release.send(()).expect("the agent waits");
    next("\"second\"");
    let last = next("completion_tokens");
    assert!(last.contains("\"finish_reason\":\"stop\""), "{last}");
    next("[DONE]");
}

/// Guards against serving only bodies that fit into the first read.
#[test]
fn body_in_pieces_is_served() {
    let entry = TestEntry::start();
    let prompt = "carton ".repeat(7000);
    let body = json!({"model": "draft", "prompt": prompt, "max_tokens": 8}).to_string();
    let mut stream = entry.open();
    let request = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: e\r\nconnection: close\r\n{}content-length: {}\r\n\r\n",
        key(),
        body.len()
    );
    stream.write_all(request.as_bytes()).expect("sent");
    for piece in body.as_bytes().chunks(16 << 10) {
        stream.write_all(piece).expect("sent");
    }
    assert_eq!(Response::read(&mut stream).status, 200);
    let (_, executed) = entry.fixture.link.executed().remove(0);
    let WorkBody::Completion(body) = executed.body else {
        panic!("a completion");
    };
    assert_eq!(body.prompt, prompt);
}

/// Guards against an interrupted stream that appears complete to its caller (G11).
#[test]
fn failed_stream_ends_with_an_error_and_without_done() {
    let entry = TestEntry::start();
    for number in [1, 2] {
        entry.fixture.link.set(
            number,
            agent(1, |request, _| match request.attempt {
                1 => vec![
                    started(request, 1),
                    chunk(request, 0, "half", 1),
                    ResponseStep::Disconnect,
                ],
                _ => vec![ResponseStep::Disconnect],
            }),
        );
    }
    let response = entry.post("/v1/completions", &key(), &completion_body(true));
    assert_eq!(response.status, 200);
    assert!(
        response.body.contains("half") && response.body.contains("\"error\""),
        "{response:?}"
    );
    assert!(
        response.body.contains("\"execution\":\"unknown\""),
        "{response:?}"
    );
    assert!(!response.body.contains("[DONE]"), "{response:?}");
}

/// Guards against an interrupted plain response that appears complete to its caller (G11).
#[test]
fn failed_plain_response_closes_the_connection() {
    let entry = TestEntry::start();
    for number in [3, 4] {
        entry.fixture.link.set(
            number,
            agent(1, |request, _| {
                vec![
                    started(request, 1),
                    head(request, 200),
                    chunk(request, 0, "half", 1),
                    ResponseStep::Disconnect,
                ]
            }),
        );
    }
    let response = entry.post("/r/desk/dispatch", &key(), "carton 12");
    assert_eq!(response.status, 200);
    assert!(response.body.contains("half"));
    assert!(!response.is_complete, "{response:?}");
}

/// Guards against lost status codes, forwarded headers that are not allow-listed, and a wrong path
/// below the route.
#[test]
fn plain_call_forwards_allowed_headers_and_path() {
    let entry = TestEntry::start();
    let response = entry.post(
        "/r/desk/rack%207/out?shelf=4&api_key=x",
        &key(),
        "carton 12",
    );
    assert_eq!(response.status, 201);
    assert!(response.head.contains("content-type: text/plain"));
    assert!(!response.head.contains("set-cookie"), "{response:?}");
    assert!(response.is_complete && response.body.contains("twelve"));
    let (_, executed) = entry.fixture.link.executed().remove(0);
    let WorkBody::Call(call) = executed.body else {
        panic!("a call");
    };
    assert_eq!(
        (call.method.as_str(), call.path.as_str()),
        ("POST", "/rack%207/out?shelf=4")
    );
    assert_eq!(call.bytes, b"carton 12");
    for path in ["/r/desk/../hours", "/r/desk/%2e%2e/x", "/r/desk/a%5c..%5cb"] {
        assert_eq!(
            entry.post(path, &key(), "").error(),
            not_run("bad_request"),
            "{path}"
        );
    }
}

/// Guards against a caller's key in any message to an agent, and hence to an upstream (G5).
#[test]
fn no_message_to_an_agent_holds_a_key() {
    let entry = TestEntry::start();
    let key_headers = format!(
        "AUTHORIZATION: Bearer {ARCHIVE_KEY}\r\nX-Api-Key: {ARCHIVE_KEY}\r\nx-api-key: \
         {ARCHIVE_KEY}\r\ncookie: k={ARCHIVE_KEY}\r\nuser-agent: tool {ARCHIVE_KEY}\r\n"
    );
    let encoded = ARCHIVE_KEY.replace('-', "%2D");
    for query in [
        format!("?KEY={ARCHIVE_KEY}"),
        format!("?a=1&Api%5fKey={ARCHIVE_KEY}"),
        format!("?note={encoded}&access_token={ARCHIVE_KEY}"),
    ] {
        let response = entry.post(
            &format!("/r/desk/dispatch{query}"),
            &key_headers,
            "carton 12",
        );
        assert_eq!(response.status, 201, "{response:?}");
    }
    let response = entry.post(&format!("/r/desk/{encoded}"), &key_headers, "");
    assert_eq!(response.error(), not_run("bad_request"));
    entry.post("/v1/completions", &key_headers, &completion_body(false));
    let calls = entry.fixture.link.calls();
    assert!(calls.len() > 4);
    for (_, call) in calls {
        let sent = format!("{call:?}");
        assert!(
            !sent.contains(ARCHIVE_KEY) && !sent.contains(&encoded),
            "{sent}"
        );
    }
}

/// Guards against requests that run without a customer's key (G4), and against revealing the names
/// of routes to callers without a key.
#[test]
fn keys_are_required_except_on_open_routes() {
    let entry = TestEntry::start();
    let refused = not_run("unauthenticated");
    for path in [
        "/r/desk/x",
        "/r/absent/x",
        "/v1/completions",
        "/v1/runs/slips/weights",
    ] {
        let body = completion_body(false);
        let response = entry.post(path, "", &body);
        assert_eq!(
            (response.status, response.error()),
            (401, refused.clone()),
            "{path}"
        );
        let response = entry.post(path, "x-api-key: wrong\r\n", &body);
        assert_eq!(response.error(), refused, "{path}");
    }
    assert!(entry.fixture.link.executed().is_empty());

    let response = entry.get("/r/hours/today", "x-api-key: wrong\r\n");
    assert_eq!(response.status, 201);
    let executed = entry.fixture.link.executed();
    assert_eq!(executed[0].1.customer, None);

    entry.get("/r/shelf/4", &format!("x-api-key: {COURT_KEY}\r\n"));
    let executed = entry.fixture.link.executed();
    assert_eq!(executed[1].1.customer, Some(name("court")));
}

/// Guards against accepting keys while a revocation may be missing from the configuration (G6).
#[test]
fn stale_configuration_refuses_keyed_traffic() {
    let entry = TestEntry::start();
    entry.fixture.source.set_fresh(false);
    let response = entry.post("/v1/completions", &key(), &completion_body(false));
    assert_eq!(
        (response.status, response.error()),
        (503, not_run("stale_configuration"))
    );
    assert_eq!(entry.get("/r/hours/today", "").status, 201);
    entry.fixture.source.set_fresh(true);
    assert_eq!(
        entry
            .post("/v1/completions", &key(), &completion_body(false))
            .status,
        200
    );
}

/// Guards against invalid requests that get an empty response, or an error of the wrong kind.
#[test]
fn invalid_requests_get_specific_errors() {
    let entry = TestEntry::start();
    let completion = |body: &str| entry.post("/v1/completions", &key(), body);
    for (response, status, kind) in [
        (completion("{"), 400, "bad_request"),
        (completion("{\"model\": \"draft\"}"), 400, "bad_request"),
        (
            completion("{\"model\":\"draft\",\"prompt\":\"a\",\"max_tokens\":0}"),
            400,
            "bad_request",
        ),
        (
            completion("{\"model\":\"draft\",\"prompt\":\"a\",\"max_tokens\":1,\"top_p\":1}"),
            400,
            "bad_request",
        ),
        (
            completion("{\"model\":\"absent\",\"prompt\":\"a\",\"max_tokens\":1}"),
            404,
            "not_found",
        ),
        (entry.get("/v1/completions", &key()), 400, "bad_request"),
        (entry.get("/r/absent/x", &key()), 404, "not_found"),
        (entry.get("/r/draft/x", &key()), 400, "bad_request"),
        (entry.get("/elsewhere", &key()), 404, "not_found"),
        (completion(&"x".repeat(70 << 10)), 413, "too_large"),
        (
            entry.get(
                "/r/shelf/4",
                &format!("{}x-request-deadline-ms: 0\r\n", key()),
            ),
            504,
            "deadline_exceeded",
        ),
        (
            entry.get("/r/shelf/4", &format!("{}idempotency-key: a b\r\n", key())),
            400,
            "bad_request",
        ),
    ] {
        assert_eq!(
            (response.status, response.error()),
            (status, not_run(kind)),
            "{response:?}"
        );
    }
    assert!(entry.fixture.link.executed().is_empty());
    assert_eq!(completion(&completion_body(false)).status, 200);
}

/// Guards against slow and interrupted requests that stay in flight forever.
#[test]
fn slow_and_interrupted_requests_are_released() {
    let entry = TestEntry::start();
    let mut slow = entry.open();
    let head = format!(
        "POST /r/desk/x HTTP/1.1\r\nhost: e\r\n{}content-length: 9\r\n\r\n",
        key()
    );
    slow.write_all(head.as_bytes()).expect("sent");
    slow.write_all(b"half").expect("sent");
    let response = Response::read(&mut slow);
    assert_eq!(
        (response.status, response.error()),
        (408, not_run("slow_request"))
    );

    let mut silent = entry.open();
    silent.write_all(b"POST /r/desk/x HT").expect("sent");
    let mut bytes = Vec::new();
    let _ = silent.read_to_end(&mut bytes);

    let mut interrupted = entry.open();
    interrupted.write_all(head.as_bytes()).expect("sent");
    drop(interrupted);
    assert!(entry.gate.wait_idle(Duration::from_secs(10)));
    assert!(entry.fixture.link.executed().is_empty());
}

/// Guards against work that continues after its caller closed the connection.
#[test]
fn closed_connection_cancels_the_work() {
    let entry = TestEntry::start();
    for number in [1, 2] {
        entry.fixture.link.set(
            number,
            agent(1, |request, _| {
                let (_, never) = crossbeam::channel::bounded(0);
                vec![started(request, 1), ResponseStep::Wait(never)]
            }),
        );
    }
    let mut stream = entry.open();
    let body = completion_body(true);
    let request = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: e\r\n{}content-length: {}\r\n\r\n{body}",
        key(),
        body.len()
    );
    stream.write_all(request.as_bytes()).expect("sent");
    entry
        .fixture
        .link
        .wait_for(|_, call| matches!(call, PeerRequest::Execute(_)));
    drop(stream);
    entry
        .fixture
        .link
        .wait_for(|_, call| matches!(call, PeerRequest::Cancel { .. }));
    assert!(entry.gate.wait_idle(Duration::from_secs(10)));
}

/// Guards against a shutdown that interrupts requests or accepts new ones (G15).
#[test]
fn drain_ends_requests_and_refuses_new_ones() {
    let entry = TestEntry::start();
    let (release, hold) = crossbeam::channel::bounded(1);
    for number in [1, 2] {
        let hold = hold.clone();
        entry.fixture.link.set(
            number,
            agent(1, move |request, _| {
                vec![
                    started(request, 1),
                    ResponseStep::Wait(hold.clone()),
                    chunk(request, 0, "whole", 1),
                    finished(request, 1, 1),
                ]
            }),
        );
    }
    let mut open = entry.open();
    let body = completion_body(false);
    let request = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: e\r\n{}content-length: {}\r\n\r\n{body}",
        key(),
        body.len()
    );
    open.write_all(request.as_bytes()).expect("sent");
    entry
        .fixture
        .link
        .wait_for(|_, call| matches!(call, PeerRequest::Execute(_)));
    entry.gate.close();
    entry.server.drain();

    let response = entry.get("/r/hours/today", "");
    assert_eq!(
        (response.status, response.error()),
        (503, not_run("shutting_down"))
    );
    assert!(response.head.contains("connection: close"), "{response:?}");
    release.send(()).expect("the agent waits");
    // The connection closes after the response, so reading to its end terminates.
    let response = Response::read(&mut open);
    assert_eq!(response.status, 200);
    assert!(response.body.contains("whole"));
    assert!(entry.gate.wait_idle(Duration::from_secs(10)));
}

/// Guards against refusals that are lost because the connection is closed while the caller is
/// sending.
#[test]
fn refusals_reach_callers_that_still_send() {
    let entry = TestEntry::start();
    let large = "x".repeat(200 << 10);
    let response = entry.post("/v1/completions", &key(), &large);
    assert_eq!(
        (response.status, response.error()),
        (413, not_run("too_large"))
    );
    entry.gate.close();
    entry.server.drain();
    for _ in 0..20 {
        let mut stream = entry.open();
        let head = format!(
            "POST /r/desk/x HTTP/1.1\r\nhost: e\r\n{}content-length: 9\r\n\r\n",
            key()
        );
        stream.write_all(head.as_bytes()).expect("sent");
        // The body is sent after the entry has received the headers.
        thread::sleep(Duration::from_millis(5));
        stream.write_all(b"carton ").expect("sent");
        stream.write_all(b"12").expect("sent");
        let response = Response::read(&mut stream);
        assert_eq!(
            (response.status, response.error()),
            (503, not_run("shutting_down"))
        );
    }
    entry.server.close();
    for _ in 0..1000 {
        match TcpStream::connect(entry.server.address()) {
            Ok(_) => thread::sleep(Duration::from_millis(5)),
            Err(error) => {
                assert_eq!(error.kind(), std::io::ErrorKind::ConnectionRefused);
                return;
            }
        }
    }
    panic!("the listener was not closed");
}

/// Guards against trainers that access the runs of other customers, and against malformed responses
/// to trainers.
#[test]
fn trainers_access_only_their_own_runs() {
    let entry = TestEntry::start();
    let step = json!({
        "step": 4,
        "groups": [{"prompt": "a"}, {"prompt": "b"}],
        "group_size": 2,
        "max_tokens": 16,
    });
    let response = entry.post("/v1/runs/slips/steps", &key(), &step.to_string());
    assert_eq!(
        (response.status, response.json()),
        (200, json!({"status": "accepted"}))
    );
    let response = entry.get("/v1/runs/slips/steps/4/samples?cursor=0", &key());
    assert_eq!(response.json()["samples"][0]["text"], "slip");
    let response = entry.get("/v1/runs/slips/steps/4/samples?cursor=1", &key());
    assert_eq!(
        (response.status, &response.json()["total"]),
        (202, &json!(4))
    );
    let response = entry.get("/v1/runs/slips/steps/4/samples?cursor=2", &key());
    assert_eq!(response.status, 410);
    assert_eq!(response.error().0, "batch_lost");
    assert_eq!(response.json()["samples"][0]["step"], 4);
    let response = entry.post("/v1/runs/slips/weights", &key(), "{\"version\": 8}");
    assert_eq!(response.status, 200);
    assert_eq!(entry.steps.requests.lock().expect("no panic").len(), 5);

    let court = format!("x-api-key: {COURT_KEY}\r\n");
    let response = entry.post("/v1/runs/slips/weights", &court, "{\"version\": 9}");
    assert_eq!(
        (response.status, response.error()),
        (403, not_run("forbidden"))
    );
    for (path, body) in [
        ("/v1/runs/slips/steps", "{\"step\": 4}"),
        ("/v1/runs/slips/weights", "{}"),
    ] {
        assert_eq!(
            entry.post(path, &key(), body).error(),
            not_run("bad_request")
        );
    }
    let response = entry.post("/v1/runs/absent/weights", &key(), "{\"version\": 9}");
    assert_eq!(response.error(), not_run("not_found"));
    assert_eq!(entry.steps.requests.lock().expect("no panic").len(), 5);
}

/// Guards against a panic in one request that terminates the process or a thread.
#[test]
fn panicking_handler_returns_internal_error() {
    let entry = TestEntry::start();
    for number in [1, 2] {
        entry.fixture.link.set(number, |_, _| panic!("a defect"));
    }
    let response = entry.post("/v1/completions", &key(), &completion_body(false));
    assert_eq!(response.status, 500);
    assert_eq!(
        response.error(),
        ("internal".to_owned(), "unknown".to_owned())
    );
    assert!(entry.gate.wait_idle(Duration::from_secs(10)));
    let refusal = ServiceError::not_run(ErrorKind::Internal, "x");
    assert_eq!(refusal.kind.response().status, response.status);
}
