//! A deployment of daemons and fakes on loopback.

use {
    crate::{
        http::{self, HttpResponse, wait_for},
        platform::{self, CommandOutput, TestPlatform},
        process::ChildProcess,
        spec::{DeploymentSpec, OPERATOR_KEY, service_name},
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

/// The addresses of one upstream and its agent.
#[derive(Debug, Clone, Copy)]
struct UpstreamAddresses {
    upstream: SocketAddr,
    control: SocketAddr,
    agent: SocketAddr,
    health: SocketAddr,
}

#[derive(Debug, Clone, Copy)]
struct EntryAddresses {
    callers: SocketAddr,
    admin: SocketAddr,
    peer: SocketAddr,
    health: SocketAddr,
}

/// The processes of a deployment, which are killed when it is dropped.
pub struct TestDeployment {
    pub spec: DeploymentSpec,
    /// The entries, in the order of the specification.
    pub entries: Vec<ChildProcess>,
    /// The agents, in the order of the specification's upstreams.
    pub agents: Vec<ChildProcess>,
    /// The fake upstreams, in the order of the specification.
    pub upstreams: Vec<ChildProcess>,
    /// The platform, if the specification has one.
    pub platform: Option<TestPlatform>,
    snapshot: ConfigSnapshot,
    entry_addresses: Vec<EntryAddresses>,
    upstream_addresses: Vec<UpstreamAddresses>,
    directory: TempDir,
}

impl TestDeployment {
    /// Starts all processes and waits until the entries and the agents are ready.
    ///
    /// # Panics
    ///
    /// Panics if a process cannot be started or does not become ready.
    pub fn start(spec: DeploymentSpec) -> Self {
        let directory = tempfile::tempdir().expect("the temporary directory is created");
        let upstream_addresses: Vec<UpstreamAddresses> = spec
            .upstreams
            .iter()
            .map(|_| allocate_upstream_addresses())
            .collect();
        let entry_addresses: Vec<EntryAddresses> = spec
            .entries
            .iter()
            .map(|_| allocate_entry_addresses())
            .collect();
        let agents: Vec<SocketAddr> = upstream_addresses
            .iter()
            .map(|addresses| addresses.agent)
            .collect();
        let snapshot = spec.snapshot(&agents);
        issue_certificates(directory.path(), &spec);
        let mut deployment = Self {
            spec,
            entries: Vec::new(),
            agents: Vec::new(),
            upstreams: Vec::new(),
            platform: None,
            snapshot,
            entry_addresses,
            upstream_addresses,
            directory,
        };
        if deployment.spec.platform {
            let addresses = std::array::from_fn(|_| free_tcp_address());
            let control_addresses = std::array::from_fn(|_| free_tcp_address());
            let platform =
                TestPlatform::start(addresses, control_addresses, deployment.directory.path());
            platform.set_hosts(&deployment.host_list());
            deployment.platform = Some(platform);
        }
        deployment.write_configuration();
        for index in 0..deployment.spec.upstreams.len() {
            let upstream = deployment.start_upstream(index);
            deployment.upstreams.push(upstream);
            deployment.write_agent_settings(index, true);
            let agent = deployment.start_agent(index);
            deployment.agents.push(agent);
        }
        for index in 0..deployment.spec.entries.len() {
            deployment.write_entry_settings(index);
            let entry = deployment.start_entry(index);
            deployment.entries.push(entry);
        }
        if deployment.spec.platform {
            deployment.apply_configuration();
        }
        deployment.wait_until_ready();
        deployment
    }

    /// Runs the `catkindeck` command with the admin addresses of all entries.
    pub fn command(&self, arguments: &[&str]) -> CommandOutput {
        let admin: Vec<String> = self
            .entry_addresses
            .iter()
            .map(|addresses| addresses.admin.to_string())
            .collect();
        platform::run_command(self.directory.path(), &admin.join(","), arguments)
    }

    /// Returns the platform.
    ///
    /// # Panics
    ///
    /// Panics if the specification has none.
    pub fn platform(&self) -> &TestPlatform {
        self.platform
            .as_ref()
            .expect("the specification has a platform")
    }

    /// Returns the host list in which all hosts are live.
    pub fn host_list(&self) -> Vec<Value> {
        let entries = self.spec.entries.iter().zip(&self.entry_addresses).map(|((host, zone), addresses)| {
            json!({"host": host, "zone": zone, "address": addresses.peer, "role": "entry", "state": "live"})
        });
        let agents = self.spec.upstreams.iter().zip(&self.upstream_addresses).map(|(u, addresses)| {
            json!({"host": u.name, "zone": u.zone, "address": addresses.agent, "role": "agent", "state": "live"})
        });
        entries.chain(agents).collect()
    }

    /// Applies the configuration with the `catkindeck` command.
    fn apply_configuration(&self) {
        self.write_configuration();
        let started = Instant::now();
        loop {
            let result = self.command(&["apply", "--yes", "declarations.toml"]);
            if result.exit_code == Some(0) {
                return;
            }
            // Entries reject admin requests for a short time after their start.
            let transient = result.exit_code == Some(8) && started.elapsed() < http::WAIT_TIMEOUT;
            assert!(transient, "{result:?}\n{}", self.all_logs());
            thread::sleep(Duration::from_millis(100));
        }
    }

    /// Returns whether an entry reports to the platform's load balancer that it is ready.
    pub fn is_ready(&self, entry: usize) -> bool {
        let url = format!("http://{}/readyz", self.entry_addresses[entry].health);
        http::try_send("GET", &url, &[], b"").is_ok_and(|response| response.status == 200)
    }

    /// Waits until all entries and agents are ready.
    ///
    /// # Panics
    ///
    /// Panics if one of them does not become ready in time.
    pub fn wait_until_ready(&self) {
        let entries = self.entries.iter().zip(
            self.entry_addresses
                .iter()
                .map(|addresses| addresses.health),
        );
        let agents = self.agents.iter().zip(
            self.upstream_addresses
                .iter()
                .map(|addresses| addresses.health),
        );
        for (process, health) in entries.chain(agents) {
            wait_until_ready_at(process, health);
        }
    }

    /// Returns the URL of an entry for callers.
    pub fn caller_url(&self, entry: usize) -> String {
        format!("http://{}", self.entry_addresses[entry].callers)
    }

    /// Returns the URL of an entry for operators.
    pub fn admin_url(&self, entry: usize) -> String {
        format!("http://{}", self.entry_addresses[entry].admin)
    }

    pub fn entry_health(&self, entry: usize) -> SocketAddr {
        self.entry_addresses[entry].health
    }

    /// Returns the health address of the agent of an upstream.
    pub fn agent_health(&self, upstream: usize) -> SocketAddr {
        self.upstream_addresses[upstream].health
    }

    /// Returns the URL of an upstream, for requests that bypass the entry and the agent.
    pub fn upstream_url(&self, upstream: usize) -> String {
        format!("http://{}", self.upstream_addresses[upstream].upstream)
    }

    /// Returns the index of the upstream with this name.
    ///
    /// # Panics
    ///
    /// Panics if there is none.
    pub fn upstream_index(&self, name: &str) -> usize {
        let position = self
            .spec
            .upstreams
            .iter()
            .position(|upstream| upstream.name == name);
        position.expect("the specification has an upstream with this name")
    }

    /// Returns the state of a fake upstream.
    pub fn upstream_state(&self, upstream: usize) -> Value {
        let url = format!(
            "http://{}/control/state",
            self.upstream_addresses[upstream].control
        );
        http::send("GET", &url, &[], b"").json()
    }

    /// Sends a control request to a fake upstream; `path` is the path below `/control/`.
    pub fn control_upstream(&self, upstream: usize, path: &str, body: &Value) -> HttpResponse {
        let url = format!(
            "http://{}/control/{path}",
            self.upstream_addresses[upstream].control
        );
        http::send("POST", &url, &[], body.to_string().as_bytes())
    }

    /// Changes the configuration and applies it; the entries adopt it asynchronously.
    pub fn change_configuration(&mut self, change: impl FnOnce(&mut ConfigSnapshot)) {
        change(&mut self.snapshot);
        self.snapshot.revision.0 += 1;
        self.snapshot.sort();
        if self.spec.platform {
            self.apply_configuration();
        } else {
            self.write_configuration();
        }
    }

    /// Restarts the agent of an upstream after it was killed.
    pub fn restart_agent(&mut self, index: usize) {
        self.write_agent_settings(index, false);
        self.agents[index] = self.start_agent(index);
    }

    /// Restarts an entry after it was killed.
    pub fn restart_entry(&mut self, index: usize) {
        self.entries[index] = self.start_entry(index);
    }

    /// Restarts a fake upstream after it was killed.
    pub fn restart_upstream(&mut self, index: usize) {
        self.upstreams[index] = self.start_upstream(index);
    }

    /// Returns the logs of all entries and agents.
    pub fn all_logs(&self) -> String {
        self.entries
            .iter()
            .chain(&self.agents)
            .map(ChildProcess::log_text)
            .collect()
    }

    /// Returns the directory with settings, certificates and logs.
    pub fn directory(&self) -> &Path {
        self.directory.path()
    }

    fn start_upstream(&self, index: usize) -> ChildProcess {
        let spec = &self.spec.upstreams[index];
        let addresses = self.upstream_addresses[index];
        let mode = match spec.kind {
            ServiceKind::Engine => "engine",
            ServiceKind::Plain => "service",
        };
        let (listen, control) = (
            addresses.upstream.to_string(),
            addresses.control.to_string(),
        );
        let arguments = [mode, "--listen", &listen, "--control", &control];
        let name = format!("upstream-{}", spec.name);
        let process =
            ChildProcess::start(&name, "catkindeck-fakes", &arguments, self.directory.path());
        wait_for("the fake upstream", || {
            let url = format!("http://{control}/control/state");
            http::try_send("GET", &url, &[], b"").ok()
        });
        process
    }

    fn start_agent(&self, index: usize) -> ChildProcess {
        let name = &self.spec.upstreams[index].name;
        self.start_daemon(&format!("agent-{name}"), "catkindeck-agent")
    }

    fn start_entry(&self, index: usize) -> ChildProcess {
        let name = &self.spec.entries[index].0;
        self.start_daemon(name, "catkindeck-entry")
    }

    fn start_daemon(&self, name: &str, binary: &str) -> ChildProcess {
        let settings = self.path(&format!("{name}.toml"));
        let arguments = ["--settings".as_ref(), settings.as_os_str()];
        ChildProcess::start(name, binary, &arguments, self.directory.path())
    }

    fn write_configuration(&self) {
        let text = serde_json::to_string_pretty(&self.snapshot).expect("a snapshot is encoded");
        // Entries may read the file at any time, so it is replaced atomically.
        let temporary = self.path("configuration.tmp");
        fs::write(&temporary, text).expect("the configuration is written");
        fs::rename(temporary, self.path("configuration.json"))
            .expect("the configuration is replaced");
        let declared = platform::format_declarations(&self.snapshot);
        fs::write(self.path("declarations.toml"), declared).expect("declarations are written");
    }

    fn write_agent_settings(&self, index: usize, first_start: bool) {
        let spec = &self.spec.upstreams[index];
        let addresses = self.upstream_addresses[index];
        let kind = match spec.kind {
            ServiceKind::Engine => "engine",
            ServiceKind::Plain => "plain",
        };
        let peers: Vec<String> = self
            .entry_addresses
            .iter()
            .map(|addresses| format!("\"{}\"", addresses.peer))
            .collect();
        let process = self.process_settings(
            "agent",
            &spec.name,
            &spec.zone,
            addresses.agent,
            addresses.health,
        );
        let text = format!(
            "[upstream]\nname = \"{}\"\nservice = \"{}\"\nkind = \"{kind}\"\n\
             base_url = \"http://{}\"\nfirst_start = {first_start}\n\n\
             [peers]\naddresses = [{}]\n\n\
             [timeouts]\ndrain_collect_ms = {}\n\n{process}",
            spec.name,
            service_name(spec.kind),
            addresses.upstream,
            peers.join(", "),
            self.spec.drain_collect_ms,
        );
        fs::write(self.path(&format!("agent-{}.toml", spec.name)), text)
            .expect("the settings are written");
    }

    fn write_entry_settings(&self, index: usize) {
        let (name, zone) = &self.spec.entries[index];
        let addresses = self.entry_addresses[index];
        let peers: String = self
            .spec
            .entries
            .iter()
            .zip(&self.entry_addresses)
            .filter(|((other, _), _)| other != name)
            .map(|((other, _), addresses)| {
                format!(
                    "[[peers]]\npeer_host = \"{other}\"\npeer_address = \"{}\"\n\n",
                    addresses.peer
                )
            })
            .collect();
        let process = self.process_settings("entry", name, zone, addresses.peer, addresses.health);
        let config_source = match &self.platform {
            Some(_) => format!("admin_listen = \"{}\"\n", addresses.admin),
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
            "caller_listen = \"{}\"\n{config_source}operator_digests = [\"{}\"]\n\n{peers}\
             [timeouts]\nshutdown_notice_ms = 3000\n\n{platform}{process}",
            addresses.callers,
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

/// Waits until a daemon reports that it is ready.
///
/// # Panics
///
/// Panics with the daemon's log if it does not become ready in time.
fn wait_until_ready_at(process: &ChildProcess, health: SocketAddr) {
    let url = format!("http://{health}/readyz");
    let started = Instant::now();
    loop {
        let response = http::try_send("GET", &url, &[], b"");
        if response
            .as_ref()
            .is_ok_and(|response| response.status == 200)
        {
            return;
        }
        if started.elapsed() > http::WAIT_TIMEOUT {
            let body =
                response.map(|response| String::from_utf8_lossy(&response.body).into_owned());
            let (name, log) = (process.name(), process.log_text());
            panic!("{name} did not become ready in time: {body:?}\n{log}");
        }
        thread::sleep(Duration::from_millis(20));
    }
}

fn issue_certificates(directory: &Path, spec: &DeploymentSpec) {
    let authority = DevelopmentAuthority::create().expect("the authority is created");
    fs::write(directory.join("authority.pem"), authority.certificate_pem())
        .expect("the authority is written");
    let entries = spec
        .entries
        .iter()
        .map(|(name, _)| (PeerRole::Entry, "entry", name));
    let agents = spec
        .upstreams
        .iter()
        .map(|u| (PeerRole::Agent, "agent", &u.name));
    for (role, prefix, host) in entries.chain(agents) {
        let issued = authority
            .issue(role, &crate::spec::name(host))
            .expect("the certificate is issued");
        let path = |end: &str| directory.join(format!("{prefix}-{host}.{end}"));
        fs::write(path("pem"), &issued.certificate_pem).expect("the certificate is written");
        fs::write(path("key"), &issued.key_pem).expect("the key is written");
    }
}

fn allocate_upstream_addresses() -> UpstreamAddresses {
    UpstreamAddresses {
        upstream: free_tcp_address(),
        control: free_tcp_address(),
        agent: free_udp_address(),
        health: free_tcp_address(),
    }
}

fn allocate_entry_addresses() -> EntryAddresses {
    EntryAddresses {
        callers: free_tcp_address(),
        admin: free_tcp_address(),
        peer: free_udp_address(),
        health: free_tcp_address(),
    }
}

/// The ports of test deployments, below the operating system's ephemeral range.
///
/// In the ephemeral range, an outgoing connection could take a port between its selection here and
/// its use by a process.
const PORT_RANGE: std::ops::Range<u16> = 12_000..32_000;

/// Returns a loopback address with a free port that no other deployment of this process uses.
fn free_address(is_free: impl Fn(SocketAddr) -> bool) -> SocketAddr {
    static NEXT_PORT_OFFSET: AtomicU32 = AtomicU32::new(0);
    let count = u32::from(PORT_RANGE.end - PORT_RANGE.start);
    // Test processes that run concurrently start at different ports.
    let first = std::process::id().wrapping_mul(977);
    loop {
        let offset = first.wrapping_add(NEXT_PORT_OFFSET.fetch_add(1, Ordering::Relaxed)) % count;
        let port = PORT_RANGE.start + u16::try_from(offset).expect("the range has fewer ports");
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if is_free(address) {
            return address;
        }
    }
}

fn free_tcp_address() -> SocketAddr {
    free_address(|address| TcpListener::bind(address).is_ok())
}

fn free_udp_address() -> SocketAddr {
    free_address(|address| UdpSocket::bind(address).is_ok())
}
