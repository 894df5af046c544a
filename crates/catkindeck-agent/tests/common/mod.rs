//! Runs an agent on the loopback interface with a fake upstream and an entry that calls it.

// Each test file uses only some of these helpers.
#![allow(dead_code)]

pub mod engine;

use {
    catkindeck::{
        ServiceError, ServiceKernel,
        config::{
            ConfigRevision, ConfigSnapshot, CustomerRecord, RouteRecord, ServiceKind,
            ServiceRecord, UpstreamRecord, ZoneRecord, ZoneState,
        },
        id::{BodyDigest, IncarnationId, ObjectName, RequestId},
        link::{FrameStream, PeerHandler, PeerIdentity, PeerRole},
        log::discard_logger,
        message::{
            CallBody, CompletionBody, ExecuteRequest, ExecutionRecord, LoadReport, PeerFrame,
            PeerRequest, WorkBody, WorkClass,
        },
        settings::SettingsText,
        token::VersionLabels,
    },
    catkindeck_agent::{AgentProcess, AgentSettings},
    catkindeck_wire::{DevelopmentAuthority, PeerEndpoint, RevisionHook, WireLimits, WireSettings},
    std::{
        fs,
        net::SocketAddr,
        path::PathBuf,
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, Ordering},
        },
        thread,
        time::Duration,
    },
    tempfile::TempDir,
};

/// A timeout that is only reached when a test fails.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(60);

pub fn name(text: &str) -> ObjectName {
    ObjectName::try_from(text).unwrap()
}

/// Creates processes for a test, with their certificate authority and files.
pub struct TestSetup {
    authority: DevelopmentAuthority,
    directory: TempDir,
}

impl TestSetup {
    pub fn new() -> Self {
        let directory = TempDir::new().unwrap();
        let authority = DevelopmentAuthority::create().unwrap();
        let path = directory.path().join("authority.pem");
        fs::write(path, authority.certificate_pem()).unwrap();
        Self {
            authority,
            directory,
        }
    }

    fn issue(&self, role: PeerRole, host: &str) -> [PathBuf; 3] {
        let issued = self.authority.issue(role, &name(host)).unwrap();
        let path = |suffix: &str| {
            self.directory
                .path()
                .join(format!("{role:?}-{host}.{suffix}"))
        };
        fs::write(path("pem"), issued.certificate_pem).unwrap();
        fs::write(path("key"), issued.key_pem).unwrap();
        [
            self.directory.path().join("authority.pem"),
            path("pem"),
            path("key"),
        ]
    }

    /// Returns the text of a settings file for an agent in zone `vault-a`.
    pub fn agent_settings(
        &self,
        host: &str,
        kind: &str,
        upstream: SocketAddr,
        extra: &str,
    ) -> String {
        let [authority, certificate, key] = self.issue(PeerRole::Agent, host);
        format!(
            r#"
            [process]
            host = "{host}"
            zone = "vault-a"
            peer_listen = "127.0.0.1:0"
            health_listen = "127.0.0.1:0"
            [process.tls]
            authority = "{}"
            certificate = "{}"
            key = "{}"
            [upstream]
            name = "{host}"
            service = "drafting"
            kind = "{kind}"
            base_url = "http://{upstream}"
            first_start = true
            {extra}
            "#,
            authority.display(),
            certificate.display(),
            key.display(),
        )
    }

    pub fn start_agent(
        &self,
        host: &str,
        kind: &str,
        upstream: SocketAddr,
        extra: &str,
    ) -> AgentProcess {
        self.start_agent_with(&self.agent_settings(host, kind, upstream, extra))
    }

    /// Starts an agent from the text of a settings file.
    pub fn start_agent_with(&self, text: &str) -> AgentProcess {
        self.start_agent_in(&ServiceKernel::new(), text)
    }

    /// Starts an agent that uses the services of `kernel`.
    pub fn start_agent_in(&self, kernel: &ServiceKernel, text: &str) -> AgentProcess {
        let text = SettingsText::new("agent.toml", text);
        let settings = AgentSettings::try_from((&text, text.parse().unwrap())).unwrap();
        AgentProcess::start(settings, kernel, discard_logger()).unwrap()
    }

    pub fn start_peer(&self, role: PeerRole, host: &str) -> TestPeer {
        let [authority, certificate, key] = self.issue(role, host);
        let settings = WireSettings {
            listen: "127.0.0.1:0".parse().unwrap(),
            tls: catkindeck::process::RawTls {
                authority,
                certificate,
                key,
            },
            limits: WireLimits::default(),
        };
        let advertised = Arc::new(AdvertisedRevision::default());
        let endpoint =
            PeerEndpoint::start(&settings, advertised.clone(), discard_logger()).unwrap();
        TestPeer {
            endpoint,
            advertised,
        }
    }
}

/// The configuration revision that a test peer advertises.
#[derive(Default)]
pub struct AdvertisedRevision(AtomicU64);

impl RevisionHook for AdvertisedRevision {
    fn current(&self) -> ConfigRevision {
        ConfigRevision(self.0.load(Ordering::SeqCst))
    }

    fn on_higher_revision(&self, _: ConfigRevision, _: &PeerIdentity, _: SocketAddr) {}
}

/// An entry, agent or operator that calls agents.
pub struct TestPeer {
    pub endpoint: PeerEndpoint,
    advertised: Arc<AdvertisedRevision>,
}

impl TestPeer {
    pub fn advertise_revision(&self, revision: u64) {
        self.advertised.0.store(revision, Ordering::SeqCst);
    }

    /// Serves a configuration to agents and returns a counter of the fetches.
    pub fn serve_configuration(&self, config: ConfigSnapshot) -> Arc<Mutex<u32>> {
        self.serve_shared_configuration(Arc::new(Mutex::new(config)))
    }

    /// Serves a configuration that the test may change, and returns a counter of the fetches.
    pub fn serve_shared_configuration(
        &self,
        config: Arc<Mutex<ConfigSnapshot>>,
    ) -> Arc<Mutex<u32>> {
        let fetches = Arc::new(Mutex::new(0));
        self.endpoint.serve(Arc::new(ConfigurationHandler {
            config,
            fetches: fetches.clone(),
        }));
        fetches
    }

    pub fn open(&self, agent: &AgentProcess, request: PeerRequest) -> Box<dyn FrameStream> {
        let address = agent.peer_address().unwrap();
        self.endpoint
            .link()
            .call(address, request, TEST_TIMEOUT)
            .unwrap()
    }

    /// Sends a request and returns the only frame of its response.
    pub fn query(&self, agent: &AgentProcess, request: PeerRequest) -> PeerFrame {
        let mut stream = self.open(agent, request);
        let frame = stream.receive(TEST_TIMEOUT).unwrap().unwrap();
        assert_eq!(stream.receive(TEST_TIMEOUT).unwrap(), None);
        frame
    }

    pub fn execute(&self, agent: &AgentProcess, request: &ExecuteRequest) -> TestResponse {
        let request = PeerRequest::Execute(Box::new(request.clone()));
        TestResponse::read(self.open(agent, request))
    }

    pub fn load(&self, agent: &AgentProcess) -> LoadReport {
        match self.query(agent, PeerRequest::ReadLoad) {
            PeerFrame::Load(load) => *load,
            frame => panic!("unexpected {frame:?}"),
        }
    }

    /// Pushes the default configuration with modifications.
    pub fn configure(
        &self,
        agent: &AgentProcess,
        revision: u64,
        modify: impl FnOnce(&mut ConfigSnapshot),
    ) {
        let mut config = configuration(revision, &[("vault-a-1", agent.peer_address().unwrap())]);
        modify(&mut config);
        config.sort();
        let pushed = self.query(agent, PeerRequest::PushConfiguration(Box::new(config)));
        assert_eq!(pushed, PeerFrame::Revision(ConfigRevision(revision)));
    }
}

struct ConfigurationHandler {
    config: Arc<Mutex<ConfigSnapshot>>,
    fetches: Arc<Mutex<u32>>,
}

impl PeerHandler for ConfigurationHandler {
    fn handle(
        &self,
        _: &PeerIdentity,
        request: PeerRequest,
        reply: Arc<dyn catkindeck::link::FrameSink>,
    ) {
        if request == PeerRequest::ReadRevision {
            let revision = self.config.lock().unwrap().revision;
            reply.send(PeerFrame::Revision(revision)).unwrap();
            return;
        }
        assert_eq!(request, PeerRequest::FetchConfiguration);
        *self.fetches.lock().unwrap() += 1;
        let config = Box::new(self.config.lock().unwrap().clone());
        reply.send(PeerFrame::Configuration(config)).unwrap();
    }
}

/// The frames of a response to an execution request, by kind.
#[derive(Debug, Default)]
pub struct TestResponse {
    pub started: Option<IncarnationId>,
    pub head: Option<(u16, Vec<(String, String)>)>,
    pub bytes: Vec<u8>,
    pub labels: VersionLabels,
    pub finished: Option<Box<ExecutionRecord>>,
    pub refused: Option<ServiceError>,
    pub load: Option<Box<LoadReport>>,
}

impl TestResponse {
    pub fn read(mut stream: Box<dyn FrameStream>) -> Self {
        let mut response = Self::default();
        let mut chunks = 0;
        while let Some(frame) = stream.receive(TEST_TIMEOUT).unwrap() {
            assert!(
                response.load.is_none(),
                "unexpected frame after the end: {frame:?}"
            );
            match frame {
                PeerFrame::Started { incarnation, .. } => {
                    assert_eq!(response.started, None);
                    assert!(response.head.is_none() && chunks == 0);
                    response.started = Some(incarnation);
                }
                PeerFrame::Head {
                    status, headers, ..
                } => response.head = Some((status, headers)),
                PeerFrame::Chunk {
                    sequence,
                    bytes,
                    tokens,
                    version,
                    ..
                } => {
                    assert_eq!(sequence, chunks);
                    chunks += 1;
                    response.bytes.extend(bytes);
                    response.labels.push(tokens, version);
                }
                PeerFrame::Finished {
                    chunks: counted,
                    record,
                    load,
                    ..
                } => {
                    assert_eq!(counted, chunks);
                    response.finished = Some(record);
                    response.load = Some(load);
                }
                PeerFrame::Refused { error, load, .. } => {
                    response.refused = Some(error);
                    response.load = Some(load);
                }
                PeerFrame::Failed(error) => response.refused = Some(error),
                frame => panic!("unexpected {frame:?}"),
            }
        }
        response
    }

    pub fn text(&self) -> String {
        String::from_utf8(self.bytes.clone()).unwrap()
    }

    pub fn error(&self) -> &ServiceError {
        self.refused.as_ref().expect("the request was not rejected")
    }
}

/// Creates a configuration in which every upstream runs `drafting` in `vault-a`.
pub fn configuration(revision: u64, upstreams: &[(&str, SocketAddr)]) -> ConfigSnapshot {
    let mut config = ConfigSnapshot {
        revision: ConfigRevision(revision),
        customers: vec![CustomerRecord {
            name: name("court"),
            weight: 1,
            retry_percent: 10,
            priority: None,
        }],
        services: vec![ServiceRecord {
            name: name("drafting"),
            kind: ServiceKind::Engine,
            warm_limit: 8,
            cold_limit: 8,
            cold_start_ms: 0,
            checks_fence: false,
            direct: catkindeck::direct::DirectOptions::default(),
        }],
        routes: vec![RouteRecord {
            name: name("drafts"),
            service: name("drafting"),
            open: false,
            idempotent: true,
            timeout_ms: 60_000,
            terms: catkindeck::direct::RouteOptions::default(),
        }],
        zones: vec![ZoneRecord {
            name: name("vault-a"),
            region: name("tvm"),
            state: ZoneState::In,
        }],
        ..ConfigSnapshot::default()
    };
    for (upstream, agent) in upstreams {
        config.upstreams.push(UpstreamRecord {
            name: name(upstream),
            service: name("drafting"),
            zone: name("vault-a"),
            agent: *agent,
            added_ms: 1,
            removed_ms: None,
        });
    }
    config.sort();
    config
}

/// Creates an idempotent completion request.
pub fn completion(prompt: &str, max_tokens: u32) -> ExecuteRequest {
    let body = WorkBody::Completion(CompletionBody {
        prompt: prompt.to_owned(),
        max_tokens,
        resume_text: String::new(),
        resume_tokens: 0,
    });
    work(prompt, true, body)
}

/// Creates a call request that is not idempotent.
pub fn call(path: &str, bytes: &[u8]) -> ExecuteRequest {
    let body = WorkBody::Call(CallBody {
        method: "POST".to_owned(),
        path: path.to_owned(),
        headers: vec![("content-type".to_owned(), "text/plain".to_owned())],
        bytes: bytes.to_vec(),
    });
    work(path, false, body)
}

fn work(content: &str, idempotent: bool, body: WorkBody) -> ExecuteRequest {
    let mut digest = [0; 32];
    for (index, byte) in content.bytes().enumerate() {
        digest[index % 32] ^= byte.rotate_left((index / 32) as u32);
    }
    ExecuteRequest {
        request: RequestId::random(),
        incarnation: None,
        customer: Some(name("court")),
        route: name("drafts"),
        service: name("drafting"),
        class: WorkClass::Interactive,
        priority: 0,
        attempt: 1,
        deadline_ms: 60_000,
        idempotent,
        idempotency_key: None,
        digest: BodyDigest(digest),
        sample: None,
        body,
    }
}

/// Polls until a condition holds, and fails after about 60 s.
pub fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    let mut polls_left = 12_000;
    while !condition() {
        assert!(polls_left > 0, "condition not met in time: {description}");
        polls_left -= 1;
        thread::sleep(Duration::from_millis(5));
    }
}
