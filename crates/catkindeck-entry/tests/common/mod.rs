//! An in-memory entry with a configuration, a clock, and agents with scripted responses and faults.

#![allow(dead_code, reason = "each test file uses a part")]

use {
    arc_swap::ArcSwap,
    catkindeck::{
        Clock, ErrorKind, Moment, ServiceError, SortedMap,
        config::{
            ConfigRevision, ConfigSnapshot, CustomerRecord, KeyRecord, RouteRecord, RunRecord,
            ServiceKind, ServiceRecord, UpstreamRecord, ZoneRecord, ZoneState,
        },
        id::{BodyDigest, BootId, IncarnationId, KeyDigest, ObjectName, RequestId},
        link::{FrameStream, PeerLink},
        log::discard_logger,
        message::{
            CallBody, CompletionBody, ExecuteRequest, ExecutionRecord, ExecutionState, LoadReport,
            PeerFrame, PeerRequest, WorkBody, WorkClass,
        },
        token::{VersionLabels, WeightVersion},
    },
    catkindeck_control::source::ConfigSource,
    catkindeck_entry::{
        credentials::CallerIdentity,
        forward::{
            DeliveredResponse, ForwardError, ForwardLimits, ForwardParts, ForwardWork,
            RequestForwarder, ResponseSink, StaticPeers,
        },
        http::CallerDisconnected,
        metrics::EntryMetrics,
    },
    crossbeam::channel::Receiver,
    prometheus::Registry,
    std::{
        collections::VecDeque,
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        thread,
        time::Duration,
    },
};

pub const ARCHIVE_KEY: &str = "ck-archive-1";
pub const COURT_KEY: &str = "ck-court-1";

pub fn name(text: &str) -> ObjectName {
    ObjectName::try_from(text).expect("a valid name")
}

/// Returns the address of agent or entry `number`.
pub fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 20_000 + number))
}

pub fn upstream(service: &str, number: u16) -> UpstreamRecord {
    UpstreamRecord {
        name: name(&format!("{service}-{number}")),
        service: name(service),
        zone: name("vault-a"),
        agent: address(number),
        added_ms: 0,
        removed_ms: None,
    }
}

/// Returns a configuration with two engines `draft-1` and `draft-2`, two plain upstreams `desk-3`
/// and `desk-4`, and routes to them.
pub fn snapshot() -> ConfigSnapshot {
    let customer = |text: &str| CustomerRecord {
        name: name(text),
        weight: 1,
        retry_percent: 100,
        priority: None,
    };
    let key = |text: &str, owner: &str| KeyRecord {
        digest: KeyDigest::of(text),
        customer: name(owner),
        label: name("label"),
    };
    let service = |text: &str, kind| ServiceRecord {
        name: name(text),
        kind,
        warm_limit: 8,
        cold_limit: 1,
        cold_start_ms: 1000,
        checks_fence: false,
        direct: catkindeck::direct::DirectOptions::default(),
    };
    let route = |text: &str, service: &str, open, idempotent| RouteRecord {
        name: name(text),
        service: name(service),
        open,
        idempotent,
        timeout_ms: 20_000,
        terms: catkindeck::direct::RouteOptions::default(),
    };
    let mut snapshot = ConfigSnapshot {
        revision: ConfigRevision(1),
        customers: vec![customer("archive"), customer("court")],
        keys: vec![key(ARCHIVE_KEY, "archive"), key(COURT_KEY, "court")],
        services: vec![
            service("draft", ServiceKind::Engine),
            service("desk", ServiceKind::Plain),
        ],
        routes: vec![
            route("draft", "draft", false, true),
            route("desk", "desk", false, false),
            route("shelf", "desk", false, true),
            route("hours", "desk", true, true),
        ],
        zones: vec![ZoneRecord {
            name: name("vault-a"),
            region: name("tvm"),
            state: ZoneState::In,
        }],
        upstreams: vec![
            upstream("draft", 1),
            upstream("draft", 2),
            upstream("desk", 3),
            upstream("desk", 4),
        ],
        runs: vec![RunRecord {
            name: name("slips"),
            customer: name("archive"),
            service: name("draft"),
            staleness_bound: 1,
            step_deadline_ms: 600_000,
        }],
        limits: catkindeck::direct::CallerLimits::default(),
    };
    snapshot.sort();
    snapshot
}

/// A configuration source that tests can replace.
pub struct TestSource {
    current: ArcSwap<ConfigSnapshot>,
    fresh: AtomicBool,
    pub observed_revision: AtomicU64,
}

impl TestSource {
    pub fn new(snapshot: ConfigSnapshot) -> Arc<Self> {
        Arc::new(Self {
            current: ArcSwap::from_pointee(snapshot),
            fresh: AtomicBool::new(true),
            observed_revision: AtomicU64::new(0),
        })
    }

    pub fn replace(&self, change: impl FnOnce(&mut ConfigSnapshot)) {
        let mut snapshot = (*self.current()).clone();
        snapshot.revision.0 += 1;
        change(&mut snapshot);
        snapshot.sort();
        self.current.store(Arc::new(snapshot));
    }

    pub fn set_fresh(&self, fresh: bool) {
        self.fresh.store(fresh, Ordering::SeqCst);
    }
}

impl ConfigSource for TestSource {
    fn current(&self) -> Arc<ConfigSnapshot> {
        self.current.load_full()
    }

    fn is_fresh(&self) -> bool {
        self.fresh.load(Ordering::SeqCst)
    }

    fn observe_revision(&self, revision: ConfigRevision) {
        self.observed_revision
            .fetch_max(revision.0, Ordering::SeqCst);
    }
}

/// A clock that only tests advance.
#[derive(Default)]
pub struct TestClock(pub AtomicU64);

impl Clock for TestClock {
    fn now(&self) -> Moment {
        Moment(self.0.load(Ordering::SeqCst))
    }
}

/// The response of an agent to a call.
pub enum AgentResponse {
    /// The call fails with this error.
    Unreachable(ServiceError),
    /// The agent responds in these steps.
    Stream(Vec<ResponseStep>),
}

/// One step of a response.
pub enum ResponseStep {
    /// Sends a frame.
    Frame(PeerFrame),
    /// Waits until the test sends a message, or forever if it drops the sender.
    Wait(Receiver<()>),
    /// Runs a function of the test.
    Run(Box<dyn FnOnce() + Send>),
    /// Breaks the connection.
    Disconnect,
}

pub type AgentBehaviour = Box<dyn Fn(&PeerRequest, usize) -> AgentResponse + Send + Sync>;

/// A link to in-memory agents and entries that records every call.
#[derive(Default)]
pub struct MemoryLink {
    peers: Mutex<SortedMap<SocketAddr, Arc<AgentBehaviour>>>,
    calls: Mutex<Vec<(SocketAddr, PeerRequest)>>,
}

impl MemoryLink {
    pub fn new() -> Arc<Self> {
        Arc::new(Self::default())
    }

    /// Sets the behaviour at an address; it is passed the number of earlier `Execute` calls there.
    pub fn set(
        &self,
        number: u16,
        behaviour: impl Fn(&PeerRequest, usize) -> AgentResponse + Send + Sync + 'static,
    ) {
        let mut peers = self.peers.lock().expect("no panic");
        peers.insert(address(number), Arc::new(Box::new(behaviour)));
    }

    pub fn calls(&self) -> Vec<(SocketAddr, PeerRequest)> {
        self.calls.lock().expect("no panic").clone()
    }

    /// Returns the executed requests, with the addresses of their agents.
    pub fn executed(&self) -> Vec<(SocketAddr, ExecuteRequest)> {
        let calls = self.calls().into_iter();
        calls
            .filter_map(|(address, request)| match request {
                PeerRequest::Execute(request) => Some((address, *request)),
                _ => None,
            })
            .collect()
    }

    /// Waits until a recorded call satisfies `predicate`; panics after 10 seconds.
    pub fn wait_for(&self, predicate: impl Fn(&SocketAddr, &PeerRequest) -> bool) {
        for _ in 0..2000 {
            if self
                .calls()
                .iter()
                .any(|(address, request)| predicate(address, request))
            {
                return;
            }
            thread::sleep(Duration::from_millis(5));
        }
        panic!("no call satisfied the predicate within 10 s");
    }
}

impl PeerLink for MemoryLink {
    fn call(
        &self,
        address: SocketAddr,
        request: PeerRequest,
        _timeout: Duration,
    ) -> Result<Box<dyn FrameStream>, ServiceError> {
        let behaviour = self.peers.lock().expect("no panic").get(&address).cloned();
        let mut calls = self.calls.lock().expect("no panic");
        let earlier_count = calls
            .iter()
            .filter(|(other, call)| *other == address && matches!(call, PeerRequest::Execute(_)))
            .count();
        calls.push((address, request.clone()));
        drop(calls);
        let behaviour = behaviour.ok_or_else(unreachable_error)?;
        match behaviour(&request, earlier_count) {
            AgentResponse::Unreachable(error) => Err(error),
            AgentResponse::Stream(steps) => Ok(Box::new(MemoryStream {
                steps: steps.into(),
            })),
        }
    }
}

struct MemoryStream {
    steps: VecDeque<ResponseStep>,
}

impl FrameStream for MemoryStream {
    fn receive(&mut self, timeout: Duration) -> Result<Option<PeerFrame>, ServiceError> {
        loop {
            match self.steps.pop_front() {
                None => return Ok(None),
                Some(ResponseStep::Frame(frame)) => return Ok(Some(frame)),
                Some(ResponseStep::Run(action)) => action(),
                Some(ResponseStep::Disconnect) => {
                    let detail = "the connection was lost";
                    return Err(ServiceError::unknown(ErrorKind::PeerUnavailable, detail));
                }
                Some(ResponseStep::Wait(release)) => {
                    if release
                        .recv_timeout(timeout.min(Duration::from_millis(5)))
                        .is_err()
                    {
                        self.steps.push_front(ResponseStep::Wait(release));
                        let detail = "no frame arrived in time";
                        return Err(ServiceError::unknown(ErrorKind::DeadlineExceeded, detail));
                    }
                }
            }
        }
    }
}

pub fn unreachable_error() -> ServiceError {
    ServiceError::not_run(
        ErrorKind::PeerUnavailable,
        "nothing listens at this address",
    )
}

pub fn incarnation(number: u8) -> IncarnationId {
    IncarnationId([number; 16])
}

pub fn load(number: u8) -> LoadReport {
    LoadReport {
        incarnation: incarnation(number),
        boot: BootId(format!("boot-{number}")),
        limit: 8,
        in_flight: 0,
        queued: 0,
        credits: 8,
        closed: false,
        version: Some(WeightVersion(1)),
        revision: ConfigRevision(1),
        prefixes: Vec::new(),
    }
}

pub fn started(request: &ExecuteRequest, number: u8) -> ResponseStep {
    ResponseStep::Frame(PeerFrame::Started {
        request: request.request,
        incarnation: incarnation(number),
    })
}

pub fn head(request: &ExecuteRequest, status: u16) -> ResponseStep {
    ResponseStep::Frame(PeerFrame::Head {
        request: request.request,
        status,
        headers: vec![
            ("content-type".to_owned(), "text/plain".to_owned()),
            ("set-cookie".to_owned(), "upstream=1".to_owned()),
        ],
    })
}

/// Returns a chunk with one token.
pub fn chunk(request: &ExecuteRequest, sequence: u32, text: &str, version: u64) -> ResponseStep {
    ResponseStep::Frame(PeerFrame::Chunk {
        request: request.request,
        sequence,
        bytes: text.as_bytes().to_vec(),
        tokens: 1,
        version: Some(WeightVersion(version)),
    })
}

pub fn record(request: &ExecuteRequest, state: ExecutionState, answer: &str) -> ExecutionRecord {
    ExecutionRecord {
        request: request.request,
        customer: request.customer.clone(),
        route: request.route.clone(),
        idempotency_key: request.idempotency_key.clone(),
        digest: request.digest,
        state,
        boot: BootId("boot".to_owned()),
        labels: VersionLabels::default(),
        status: 200,
        headers: Vec::new(),
        answer: answer.as_bytes().to_vec(),
        answer_kept: !answer.is_empty(),
    }
}

pub fn finished(request: &ExecuteRequest, chunks: u32, number: u8) -> ResponseStep {
    ResponseStep::Frame(PeerFrame::Finished {
        request: request.request,
        chunks,
        record: Box::new(record(request, ExecutionState::Finished, "")),
        load: Box::new(load(number)),
    })
}

pub fn refused(request: &ExecuteRequest, error: ServiceError, number: u8) -> ResponseStep {
    ResponseStep::Frame(PeerFrame::Refused {
        request: request.request,
        error,
        crashed: false,
        load: Box::new(load(number)),
    })
}

/// Returns the refusal of a request whose upstream crashed while running it.
pub fn crashed(request: &ExecuteRequest, number: u8) -> ResponseStep {
    ResponseStep::Frame(PeerFrame::Refused {
        request: request.request,
        error: ServiceError::unknown(ErrorKind::UpstreamFailed, "the upstream crashed"),
        crashed: true,
        load: Box::new(load(number)),
    })
}

/// Returns the default response to a request other than `Execute`.
pub fn default_response(request: &PeerRequest, number: u8) -> AgentResponse {
    let frame = match request {
        PeerRequest::ReadLoad => PeerFrame::Load(Box::new(load(number))),
        PeerRequest::Revoke { request, .. } => PeerFrame::Revoked { request: *request },
        PeerRequest::FindExecution { .. } => PeerFrame::Execution(None),
        _ => PeerFrame::Done,
    };
    AgentResponse::Stream(vec![ResponseStep::Frame(frame)])
}

/// Returns an agent that runs `execute` for each `Execute` and the default response otherwise.
pub fn agent(
    number: u8,
    execute: impl Fn(&ExecuteRequest, usize) -> Vec<ResponseStep> + Send + Sync + 'static,
) -> impl Fn(&PeerRequest, usize) -> AgentResponse + Send + Sync + 'static {
    move |request, earlier| match request {
        PeerRequest::Execute(request) => AgentResponse::Stream(execute(request, earlier)),
        other => default_response(other, number),
    }
}

/// Returns an agent that completes each request with `text`.
pub fn succeeding_agent(
    number: u8,
    text: &'static str,
) -> impl Fn(&PeerRequest, usize) -> AgentResponse + Send + Sync + 'static {
    agent(number, move |request, _| {
        vec![
            started(request, number),
            chunk(request, 0, text, 1),
            finished(request, 1, number),
        ]
    })
}

/// Records what reaches the caller.
#[derive(Default)]
pub struct RecordedSink {
    pub status: Option<u16>,
    pub text: String,
    pub disconnected: Arc<AtomicBool>,
}

impl ResponseSink for RecordedSink {
    fn head(&mut self, status: u16, _headers: Vec<(String, String)>) {
        self.status = Some(status);
    }

    fn bytes(&mut self, bytes: &[u8]) -> Result<(), CallerDisconnected> {
        self.text.push_str(&String::from_utf8_lossy(bytes));
        Ok(())
    }

    fn is_disconnected(&self) -> bool {
        self.disconnected.load(Ordering::SeqCst)
    }
}

/// A forwarder with its in-memory dependencies.
pub struct Fixture {
    pub link: Arc<MemoryLink>,
    pub source: Arc<TestSource>,
    pub clock: Arc<TestClock>,
    pub forwarder: Arc<RequestForwarder>,
}

impl Fixture {
    pub fn new() -> Self {
        Self::with_snapshot(snapshot())
    }

    pub fn with_snapshot(snapshot: ConfigSnapshot) -> Self {
        let link = MemoryLink::new();
        let source = TestSource::new(snapshot);
        let clock = Arc::new(TestClock::default());
        let metrics = EntryMetrics::register(&Registry::new()).expect("fresh metrics");
        let forwarder = RequestForwarder::new(ForwardParts {
            entry: name("entry-1"),
            link: link.clone(),
            source: source.clone(),
            peers: Arc::new(StaticPeers(vec![(name("entry-2"), address(100))])),
            clock: clock.clone(),
            metrics: Arc::new(metrics),
            limits: ForwardLimits::default(),
            seed: 7,
            logger: discard_logger(),
        });
        Self {
            link,
            source,
            clock,
            forwarder,
        }
    }

    /// Forwards `work` and returns the text that the caller received, and the result.
    pub fn forward(&self, work: &ForwardWork) -> (String, Result<DeliveredResponse, ForwardError>) {
        let mut sink = RecordedSink::default();
        let result = self.forwarder.forward(work, &mut sink);
        (sink.text, result)
    }

    /// Forwards `work` and returns its error; panics if it succeeds.
    pub fn forward_expecting_error(&self, work: &ForwardWork) -> ServiceError {
        match self.forward(work).1 {
            Err(ForwardError::Failed(error)) => error,
            other => panic!("expected an error, got {other:?}"),
        }
    }
}

fn work(route: &str, digest: u8, body: WorkBody) -> ForwardWork {
    let snapshot = snapshot();
    let route = snapshot.route(&name(route)).expect("a known route").clone();
    let identity = (!route.open).then(|| CallerIdentity {
        customer: name("archive"),
        digest: Some(KeyDigest::of(ARCHIVE_KEY)),
    });
    ForwardWork {
        request: RequestId::random(),
        identity,
        route,
        class: WorkClass::Interactive,
        priority: 0,
        deadline: Moment(20_000),
        idempotency_key: None,
        digest: BodyDigest([digest; 32]),
        prefix: None,
        sample: None,
        body,
    }
}

/// Returns a completion on the idempotent route `draft`.
pub fn completion(digest: u8) -> ForwardWork {
    let body = CompletionBody {
        prompt: "Describe carton 12".to_owned(),
        max_tokens: 8,
        resume_text: String::new(),
        resume_tokens: 0,
    };
    work("draft", digest, WorkBody::Completion(body))
}

/// Returns a call on `route`; `desk` is not idempotent, `shelf` is.
pub fn call(route: &str, digest: u8) -> ForwardWork {
    let body = CallBody {
        method: "POST".to_owned(),
        path: "/dispatch".to_owned(),
        headers: Vec::new(),
        bytes: b"carton 12".to_vec(),
    };
    work(route, digest, WorkBody::Call(body))
}
