//! The fakes of the platform, and the `catkindeck` command.

use {
    crate::{
        http::{self, HttpResponse, wait_for},
        process::{ChildProcess, binary_path},
        spec::OPERATOR_KEY,
    },
    catkindeck::config::{ConfigSnapshot, ServiceKind, ZoneState},
    serde_json::{Value, json},
    std::{fmt::Write, io::Write as _, net::SocketAddr, path::Path, process::Command},
    tempfile::NamedTempFile,
};

/// The modes of the platform's fakes, in the order of [`TestPlatform`]'s addresses.
const PLATFORM_FAKES: [&str; 5] = ["store", "hosts", "zones", "usage", "weights"];

/// The running fakes of the platform.
pub struct TestPlatform {
    addresses: [SocketAddr; 5],
    control_addresses: [SocketAddr; 5],
    _processes: Vec<ChildProcess>,
}

/// The exit code and the output of a `catkindeck` command.
#[derive(Debug)]
pub struct CommandOutput {
    /// The exit code, or `None` if a signal ended the command.
    pub exit_code: Option<i32>,
    pub stdout: String,
    pub stderr: String,
}

impl TestPlatform {
    /// Starts the fakes and waits until they serve requests.
    pub fn start(
        addresses: [SocketAddr; 5],
        control_addresses: [SocketAddr; 5],
        directory: &Path,
    ) -> Self {
        let pairs = PLATFORM_FAKES
            .iter()
            .zip(addresses.iter().zip(&control_addresses));
        let processes = pairs
            .map(|(mode, (listen, control))| {
                let (listen, control) = (listen.to_string(), control.to_string());
                let arguments = [mode, "--listen", &listen, "--control", &control];
                let name = format!("platform-{mode}");
                let process = ChildProcess::start(&name, "catkindeck-fakes", &arguments, directory);
                let url = format!("http://{control}/control/counters");
                wait_for("the platform's fake", || {
                    http::try_send("GET", &url, &[], b"").ok()
                });
                process
            })
            .collect();
        Self {
            addresses,
            control_addresses,
            _processes: processes,
        }
    }

    /// Returns the `[platform]` tables of an entry's settings.
    pub fn settings(&self) -> String {
        let pairs = PLATFORM_FAKES.iter().zip(&self.addresses);
        pairs
            .map(|(mode, address)| {
                format!("[platform.{mode}]\naddress = \"{address}\"\ntimeout_ms = 500\n\n")
            })
            .collect()
    }

    /// Replaces the host list.
    pub fn set_hosts(&self, hosts: &[Value]) {
        let response = self.control("hosts", "hosts", &json!({"hosts": hosts}));
        assert_eq!(response.status, 200, "{:?}", response.json());
    }

    /// Replaces the faults of a fake.
    pub fn set_faults(&self, mode: &str, faults: &Value) {
        let response = self.control(mode, "faults", faults);
        assert_eq!(response.status, 200, "{:?}", response.json());
    }

    /// Sends a control request to a fake; `path` is the path below `/control/`.
    pub fn control(&self, mode: &str, path: &str, body: &Value) -> HttpResponse {
        let url = format!("http://{}/control/{path}", self.control_address(mode));
        http::send("POST", &url, &[], body.to_string().as_bytes())
    }

    /// Reads from a fake's control address; `path` is the path below `/control/`.
    pub fn read(&self, mode: &str, path: &str) -> Value {
        let url = format!("http://{}/control/{path}", self.control_address(mode));
        http::send("GET", &url, &[], b"").json()
    }

    fn control_address(&self, mode: &str) -> SocketAddr {
        let position = PLATFORM_FAKES.iter().position(|known| *known == mode);
        self.control_addresses[position.expect("the mode is one of the platform's fakes")]
    }
}

/// Runs the `catkindeck` command against `admin`, the comma-separated admin addresses of entries.
///
/// # Panics
///
/// Panics if the command cannot be started.
pub fn run_command(directory: &Path, admin: &str, arguments: &[&str]) -> CommandOutput {
    let key = directory.join("operator.key");
    // Commands run concurrently, so the key file is replaced atomically: no command may read it
    // while another has truncated it.
    let mut temporary = NamedTempFile::new_in(directory).expect("the temporary file is created");
    temporary
        .write_all(OPERATOR_KEY.as_bytes())
        .expect("the operator's key is written");
    temporary
        .persist(&key)
        .expect("the operator's key file is replaced");
    let output = Command::new(binary_path("catkindeck"))
        .args(["--admin", admin, "--operator-key-file"])
        .arg(&key)
        .args(arguments)
        .current_dir(directory)
        .output()
        .expect("the command starts");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    CommandOutput {
        exit_code: output.status.code(),
        stdout: text(&output.stdout),
        stderr: text(&output.stderr),
    }
}

/// Formats a configuration as a declarations file in TOML.
pub fn format_declarations(snapshot: &ConfigSnapshot) -> String {
    let mut text = String::new();
    let mut add = |line: String| writeln!(text, "{line}").expect("writing to a string succeeds");
    for customer in &snapshot.customers {
        add(format!(
            "[[customers]]\nname = \"{}\"\nweight = {}\nretry_percent = {}",
            customer.name, customer.weight, customer.retry_percent
        ));
    }
    for key in &snapshot.keys {
        add(format!(
            "[[keys]]\nlabel = \"{}\"\ncustomer = \"{}\"\ndigest = \"{}\"",
            key.label, key.customer, key.digest
        ));
    }
    for service in &snapshot.services {
        let kind = match service.kind {
            ServiceKind::Engine => "engine",
            ServiceKind::Plain => "plain",
        };
        add(format!(
            "[[services]]\nname = \"{}\"\nkind = \"{kind}\"\nwarm_limit = {}\ncold_limit = {}\n\
             cold_start_ms = {}",
            service.name, service.warm_limit, service.cold_limit, service.cold_start_ms
        ));
    }
    for route in &snapshot.routes {
        add(format!(
            "[[routes]]\nname = \"{}\"\nservice = \"{}\"\nopen = {}\nidempotent = {}\n\
             timeout_ms = {}",
            route.name, route.service, route.open, route.idempotent, route.timeout_ms
        ));
    }
    for zone in &snapshot.zones {
        let state = match zone.state {
            ZoneState::In => "in",
            ZoneState::Out => "out",
        };
        add(format!(
            "[[zones]]\nname = \"{}\"\nregion = \"{}\"\nstate = \"{state}\"",
            zone.name, zone.region
        ));
    }
    for upstream in &snapshot.upstreams {
        add(format!(
            "[[upstreams]]\nname = \"{}\"\nservice = \"{}\"\nzone = \"{}\"\nagent = \"{}\"",
            upstream.name, upstream.service, upstream.zone, upstream.agent
        ));
    }
    for run in &snapshot.runs {
        add(format!(
            "[[runs]]\nname = \"{}\"\ncustomer = \"{}\"\nservice = \"{}\"\n\
             staleness_bound = {}\nstep_deadline_ms = {}",
            run.name, run.customer, run.service, run.staleness_bound, run.step_deadline_ms
        ));
    }
    text
}
