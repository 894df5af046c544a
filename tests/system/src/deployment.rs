//! A whole deployment on loopback.

use {
    crate::{
        http::{self, HttpAnswer, wait_for},
        platform::{self, CommandResult, TestPlatform},
        process::ChildProcess,
        shape::{DeploymentShape, OPERATOR_KEY, service_name},
    },
    catkindeck::{
        config::{ConfigSnapshot, ServiceKind},
        id::KeyDigest,
        link::PeerRole,
    },
    catkindeck_wire::certificate::DevelopmentAuthority,
    serde_json::{Value, json},
    std::{
        fs,
        net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
        path::{Path, PathBuf},
        sync::atomic::{AtomicU32, Ordering},
        thread,
        time::{Duration, Instant},
    },
    tempfile::TempDir,
};

/// The addresses of one upstream.
#[derive(Debug, Clone, Copy)]
struct UpstreamPorts {
    upstream: SocketAddr,
    control: SocketAddr,
    agent: SocketAddr,
    health: SocketAddr,
}

/// The addresses of one entry.
#[derive(Debug, Clone, Copy)]
struct EntryPorts {
    callers: SocketAddr,
    admin: SocketAddr,
    peer: SocketAddr,
    health: SocketAddr,
}

/// The processes of a deployment; all end with it.
pub struct TestDeployment {
    /// The shape.
    pub shape: DeploymentShape,
    /// The entries, in the shape's order.
    pub entries: Vec<ChildProcess>,
    /// The agents, in the shape's order.
    pub agents: Vec<ChildProcess>,
    /// The stand-ins for upstreams, in the shape's order.
    pub upstreams: Vec<ChildProcess>,
    /// The platform, if the shape has one.
    pub platform: Option<TestPlatform>,
    snapshot: ConfigSnapshot,
    entry_ports: Vec<EntryPorts>,
    upstream_ports: Vec<UpstreamPorts>,
    directory: TempDir,
}

impl TestDeployment {
    /// Starts all processes and waits until the entries are ready.
    ///
    /// # Panics
    ///
    /// Panics if a process cannot be started or an entry does not become ready.
    pub fn start(shape: DeploymentShape) -> Self {
        let directory = tempfile::tempdir().expect("a temporary directory is made");
        let upstream_ports: Vec<UpstreamPorts> =
            shape.upstreams.iter().map(|_| upstream_ports()).collect();
        let entry_ports: Vec<EntryPorts> = shape.entries.iter().map(|_| entry_ports()).collect();
        let agents: Vec<SocketAddr> = upstream_ports.iter().map(|ports| ports.agent).collect();
        let snapshot = shape.snapshot(&agents);
        issue_certificates(directory.path(), &shape);
        let mut deployment = Self {
            shape,
            entries: Vec::new(),
            agents: Vec::new(),
            upstreams: Vec::new(),
            platform: None,
            snapshot,
            entry_ports,
            upstream_ports,
            directory,
        };
        if deployment.shape.platform {
            let addresses = std::array::from_fn(|_| free_tcp());
            let controls = std::array::from_fn(|_| free_tcp());
            let platform = TestPlatform::start(addresses, controls, deployment.directory.path());
            platform.set_hosts(&deployment.host_list());
            deployment.platform = Some(platform);
        }
        deployment.write_snapshot();
        for index in 0..deployment.shape.upstreams.len() {
            let upstream = deployment.start_upstream(index);
            deployment.upstreams.push(upstream);
            deployment.write_agent_settings(index, true);
            let agent = deployment.start_agent(index);
            deployment.agents.push(agent);
        }
        for index in 0..deployment.shape.entries.len() {
            deployment.write_entry_settings(index);
            let entry = deployment.start_entry(index);
            deployment.entries.push(entry);
        }
        if deployment.shape.platform {
            deployment.declare();
        }
        deployment.wait_ready();
        deployment
    }

    /// Runs the operators' command toward the first entry that runs.
    pub fn command(&self, arguments: &[&str]) -> CommandResult {
        let admin: Vec<String> = self
            .entry_ports
            .iter()
            .map(|ports| ports.admin.to_string())
            .collect();
        platform::run_command(self.directory.path(), &admin.join(","), arguments)
    }

    /// Returns the platform.
    ///
    /// # Panics
    ///
    /// Panics if the shape has none.
    pub fn platform(&self) -> &TestPlatform {
        self.platform.as_ref().expect("the shape has a platform")
    }

    /// Returns the host list with all hosts live.
    pub fn host_list(&self) -> Vec<Value> {
        let entries = self.shape.entries.iter().zip(&self.entry_ports).map(|((host, zone), ports)| {
            json!({"host": host, "zone": zone, "address": ports.peer, "role": "entry", "state": "live"})
        });
        let agents = self.shape.upstreams.iter().zip(&self.upstream_ports).map(|(u, ports)| {
            json!({"host": u.name, "zone": u.zone, "address": ports.agent, "role": "agent", "state": "live"})
        });
        entries.chain(agents).collect()
    }

    /// Applies the configuration through the operators' command.
    fn declare(&self) {
        self.write_snapshot();
        let started = Instant::now();
        loop {
            let result = self.command(&["apply", "--yes", "declarations.toml"]);
            if result.code == Some(0) {
                return;
            }
            // Entries that have just started do not take operators' calls yet.
            let passing = result.code == Some(8) && started.elapsed() < http::PATIENCE;
            assert!(passing, "{result:?}\n{}", self.all_logs());
            thread::sleep(Duration::from_millis(100));
        }
    }

    /// Tells whether an entry says that it is ready, as the platform's balancer asks.
    pub fn is_ready(&self, entry: usize) -> bool {
        let url = format!("http://{}/readyz", self.entry_ports[entry].health);
        http::try_call("GET", &url, &[], b"").is_ok_and(|answer| answer.status == 200)
    }

    /// Waits until every entry and every agent is ready.
    ///
    /// # Panics
    ///
    /// Panics if one does not become ready.
    pub fn wait_ready(&self) {
        let entries = self
            .entries
            .iter()
            .zip(self.entry_ports.iter().map(|ports| ports.health));
        let agents = self
            .agents
            .iter()
            .zip(self.upstream_ports.iter().map(|ports| ports.health));
        for (process, health) in entries.chain(agents) {
            wait_ready_at(process, health);
        }
    }

    /// Returns the URL of an entry for callers.
    pub fn caller_url(&self, entry: usize) -> String {
        format!("http://{}", self.entry_ports[entry].callers)
    }

    /// Returns the URL of an entry for operators.
    pub fn admin_url(&self, entry: usize) -> String {
        format!("http://{}", self.entry_ports[entry].admin)
    }

    /// Returns the health address of an entry.
    pub fn entry_health(&self, entry: usize) -> SocketAddr {
        self.entry_ports[entry].health
    }

    /// Returns the health address of an agent.
    pub fn agent_health(&self, upstream: usize) -> SocketAddr {
        self.upstream_ports[upstream].health
    }

    /// Returns the URL of an upstream itself, for comparison.
    pub fn upstream_url(&self, upstream: usize) -> String {
        format!("http://{}", self.upstream_ports[upstream].upstream)
    }

    /// Returns the position of an upstream by name.
    ///
    /// # Panics
    ///
    /// Panics if there is none.
    pub fn upstream_index(&self, name: &str) -> usize {
        let position = self
            .shape
            .upstreams
            .iter()
            .position(|upstream| upstream.name == name);
        position.expect("the test names an upstream of its shape")
    }

    /// Reads a stand-in's state.
    pub fn upstream_state(&self, upstream: usize) -> Value {
        let url = format!(
            "http://{}/control/state",
            self.upstream_ports[upstream].control
        );
        http::call("GET", &url, &[], b"").json()
    }

    /// Orders a fault of a stand-in: `what` is the path below `/control/`.
    pub fn upstream_control(&self, upstream: usize, what: &str, body: &Value) -> HttpAnswer {
        let url = format!(
            "http://{}/control/{what}",
            self.upstream_ports[upstream].control
        );
        http::call("POST", &url, &[], body.to_string().as_bytes())
    }

    /// Changes the configuration, which the entries take up.
    pub fn change(&mut self, change: impl FnOnce(&mut ConfigSnapshot)) {
        change(&mut self.snapshot);
        self.snapshot.revision.0 += 1;
        self.snapshot.sort();
        if self.shape.platform {
            self.declare();
        } else {
            self.write_snapshot();
        }
    }

    /// Starts the agent of an upstream again after it was killed.
    pub fn restart_agent(&mut self, index: usize) {
        self.write_agent_settings(index, false);
        self.agents[index] = self.start_agent(index);
    }

    /// Starts an entry again after it was killed.
    pub fn restart_entry(&mut self, index: usize) {
        self.entries[index] = self.start_entry(index);
    }

    /// Starts a stand-in again after it was killed.
    pub fn restart_upstream(&mut self, index: usize) {
        self.upstreams[index] = self.start_upstream(index);
    }

    /// Returns the logs of all daemons.
    pub fn all_logs(&self) -> String {
        self.entries
            .iter()
            .chain(&self.agents)
            .map(ChildProcess::log_text)
            .collect()
    }

    /// Returns the directory with settings and logs.
    pub fn directory(&self) -> &Path {
        self.directory.path()
    }

    fn start_upstream(&self, index: usize) -> ChildProcess {
        let shape = &self.shape.upstreams[index];
        let ports = self.upstream_ports[index];
        let mode = match shape.kind {
            ServiceKind::Engine => "engine",
            ServiceKind::Plain => "service",
        };
        let (listen, control) = (ports.upstream.to_string(), ports.control.to_string());
        let arguments = [mode, "--listen", &listen, "--control", &control];
        let name = format!("upstream-{}", shape.name);
        let process =
            ChildProcess::start(&name, "catkindeck-fakes", &arguments, self.directory.path());
        wait_for("the stand-in", || {
            let url = format!("http://{control}/control/state");
            http::try_call("GET", &url, &[], b"").ok()
        });
        process
    }

    fn start_agent(&self, index: usize) -> ChildProcess {
        let name = &self.shape.upstreams[index].name;
        self.start_daemon(&format!("agent-{name}"), "catkindeck-agent")
    }

    fn start_entry(&self, index: usize) -> ChildProcess {
        let name = &self.shape.entries[index].0;
        self.start_daemon(name, "catkindeck-entry")
    }

    fn start_daemon(&self, name: &str, binary: &str) -> ChildProcess {
        let settings = self.path(&format!("{name}.toml"));
        let arguments = ["--settings".as_ref(), settings.as_os_str()];
        ChildProcess::start(name, binary, &arguments, self.directory.path())
    }

    fn write_snapshot(&self) {
        let text = serde_json::to_string_pretty(&self.snapshot).expect("a snapshot is encoded");
        // Entries read the file at any moment, so it is replaced in one step.
        let temporary = self.path("configuration.tmp");
        fs::write(&temporary, text).expect("the configuration is written");
        fs::rename(temporary, self.path("configuration.json")).expect("it is put in place");
        let declared = platform::declarations(&self.snapshot);
        fs::write(self.path("declarations.toml"), declared).expect("declarations are written");
    }

    fn write_agent_settings(&self, index: usize, first_start: bool) {
        let shape = &self.shape.upstreams[index];
        let ports = self.upstream_ports[index];
        let kind = match shape.kind {
            ServiceKind::Engine => "engine",
            ServiceKind::Plain => "plain",
        };
        let peers: Vec<String> = self
            .entry_ports
            .iter()
            .map(|ports| format!("\"{}\"", ports.peer))
            .collect();
        let process =
            self.process_settings("agent", &shape.name, &shape.zone, ports.agent, ports.health);
        let text = format!(
            "[upstream]\nname = \"{}\"\nservice = \"{}\"\nkind = \"{kind}\"\n\
             base_url = \"http://{}\"\nfirst_start = {first_start}\n\n\
             [peers]\naddresses = [{}]\n\n\
             [timeouts]\ndrain_collect_ms = {}\n\n{process}",
            shape.name,
            service_name(shape.kind),
            ports.upstream,
            peers.join(", "),
            self.shape.drain_collect_ms,
        );
        fs::write(self.path(&format!("agent-{}.toml", shape.name)), text)
            .expect("the settings are written");
    }

    fn write_entry_settings(&self, index: usize) {
        let (name, zone) = &self.shape.entries[index];
        let ports = self.entry_ports[index];
        let peers: String = self
            .shape
            .entries
            .iter()
            .zip(&self.entry_ports)
            .filter(|((other, _), _)| other != name)
            .map(|((other, _), ports)| {
                format!(
                    "[[peers]]\npeer_host = \"{other}\"\npeer_address = \"{}\"\n\n",
                    ports.peer
                )
            })
            .collect();
        let process = self.process_settings("entry", name, zone, ports.peer, ports.health);
        let origin = match &self.platform {
            Some(_) => format!("admin_listen = \"{}\"\n", ports.admin),
            None => format!(
                "config_file = \"{}\"\n",
                self.path("configuration.json").display()
            ),
        };
        let platform = self
            .platform
            .as_ref()
            .map(TestPlatform::settings)
            .unwrap_or_default();
        let text = format!(
            "caller_listen = \"{}\"\n{origin}operator_digests = [\"{}\"]\n\n{peers}\
             [timeouts]\nshutdown_notice_ms = 3000\n\n{platform}{process}",
            ports.callers,
            KeyDigest::of(OPERATOR_KEY),
        );
        fs::write(self.path(&format!("{name}.toml")), text).expect("the settings are written");
    }

    fn process_settings(
        &self,
        role: &str,
        host: &str,
        zone: &str,
        peer: SocketAddr,
        health: SocketAddr,
    ) -> String {
        let file = |name: &str| self.path(name).display().to_string();
        format!(
            "[process]\nhost = \"{host}\"\nzone = \"{zone}\"\npeer_listen = \"{peer}\"\n\
             health_listen = \"{health}\"\n\n[process.log]\nformat = \"json\"\nlevel = \"debug\"\n\n\
             [process.tls]\nauthority = \"{}\"\ncertificate = \"{}\"\nkey = \"{}\"\n",
            file("authority.pem"),
            file(&format!("{role}-{host}.pem")),
            file(&format!("{role}-{host}.key")),
        )
    }

    fn path(&self, name: &str) -> PathBuf {
        self.directory.path().join(name)
    }
}

/// Waits until a daemon says that it is ready.
///
/// # Panics
///
/// Panics with its log if it does not become ready.
fn wait_ready_at(process: &ChildProcess, health: SocketAddr) {
    let url = format!("http://{health}/readyz");
    let started = Instant::now();
    loop {
        let answer = http::try_call("GET", &url, &[], b"");
        if answer.as_ref().is_ok_and(|answer| answer.status == 200) {
            return;
        }
        if started.elapsed() > http::PATIENCE {
            let body = answer.map(|answer| String::from_utf8_lossy(&answer.body).into_owned());
            let (name, log) = (process.name(), process.log_text());
            panic!("{name} never became ready: {body:?}\n{log}");
        }
        thread::sleep(Duration::from_millis(20));
    }
}

fn issue_certificates(directory: &Path, shape: &DeploymentShape) {
    let authority = DevelopmentAuthority::create().expect("an authority is made");
    fs::write(directory.join("authority.pem"), authority.certificate_pem())
        .expect("the authority is written");
    let entries = shape
        .entries
        .iter()
        .map(|(name, _)| (PeerRole::Entry, "entry", name));
    let agents = shape
        .upstreams
        .iter()
        .map(|u| (PeerRole::Agent, "agent", &u.name));
    for (role, prefix, host) in entries.chain(agents) {
        let issued = authority
            .issue(role, &crate::shape::name(host))
            .expect("it is issued");
        let path = |end: &str| directory.join(format!("{prefix}-{host}.{end}"));
        fs::write(path("pem"), &issued.certificate_pem).expect("the certificate is written");
        fs::write(path("key"), &issued.key_pem).expect("the key is written");
    }
}

fn upstream_ports() -> UpstreamPorts {
    UpstreamPorts {
        upstream: free_tcp(),
        control: free_tcp(),
        agent: free_udp(),
        health: free_tcp(),
    }
}

fn entry_ports() -> EntryPorts {
    EntryPorts {
        callers: free_tcp(),
        admin: free_tcp(),
        peer: free_udp(),
        health: free_tcp(),
    }
}

/// The ports that deployments use, below those that the system gives to outgoing connections; one
/// of these could otherwise take a port between its choice and its use.
const PORTS: std::ops::Range<u16> = 12_000..32_000;

/// Returns a port that is free and that no other deployment of this process has.
fn free_port(is_free: impl Fn(SocketAddr) -> bool) -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let count = u32::from(PORTS.end - PORTS.start);
    // Test processes that run at the same time begin at different ports.
    let first = std::process::id().wrapping_mul(977);
    loop {
        let offset = first.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed)) % count;
        let port = PORTS.start + u16::try_from(offset).expect("the range has fewer ports");
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if is_free(address) {
            return address;
        }
    }
}

fn free_tcp() -> SocketAddr {
    free_port(|address| TcpListener::bind(address).is_ok())
}

fn free_udp() -> SocketAddr {
    free_port(|address| UdpSocket::bind(address).is_ok())
}
