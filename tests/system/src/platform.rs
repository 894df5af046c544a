//! The stand-ins for the platform and the operators' command.

use {
    crate::{
        http::{self, HttpAnswer, wait_for},
        process::{ChildProcess, binary_path},
        shape::OPERATOR_KEY,
    },
    catkindeck::config::{ConfigSnapshot, ServiceKind, ZoneState},
    serde_json::{Value, json},
    std::{fmt::Write, io::Write as _, net::SocketAddr, path::Path, process::Command},
    tempfile::NamedTempFile,
};

/// The modes of the stand-ins, in the order of [`TestPlatform`]'s addresses.
const MODES: [&str; 5] = ["store", "hosts", "zones", "usage", "weights"];

/// The platform's interfaces.
pub struct TestPlatform {
    addresses: [SocketAddr; 5],
    controls: [SocketAddr; 5],
    _processes: Vec<ChildProcess>,
}

/// What the operators' command printed and how it ended.
#[derive(Debug)]
pub struct CommandResult {
    /// The exit code.
    pub code: Option<i32>,
    /// Standard output.
    pub output: String,
    /// Standard error.
    pub errors: String,
}

impl TestPlatform {
    /// Starts the stand-ins.
    pub fn start(addresses: [SocketAddr; 5], controls: [SocketAddr; 5], directory: &Path) -> Self {
        let pairs = MODES.iter().zip(addresses.iter().zip(&controls));
        let processes = pairs
            .map(|(mode, (listen, control))| {
                let (listen, control) = (listen.to_string(), control.to_string());
                let arguments = [mode, "--listen", &listen, "--control", &control];
                let name = format!("platform-{mode}");
                let process = ChildProcess::start(&name, "catkindeck-fakes", &arguments, directory);
                let url = format!("http://{control}/control/counters");
                wait_for("the stand-in", || {
                    http::try_call("GET", &url, &[], b"").ok()
                });
                process
            })
            .collect();
        Self {
            addresses,
            controls,
            _processes: processes,
        }
    }

    /// Returns the tables of an entry's settings.
    pub fn settings(&self) -> String {
        let pairs = MODES.iter().zip(&self.addresses);
        pairs
            .map(|(mode, address)| {
                format!("[platform.{mode}]\naddress = \"{address}\"\ntimeout_ms = 500\n\n")
            })
            .collect()
    }

    /// Sets the host list.
    pub fn set_hosts(&self, hosts: &[Value]) {
        let answer = self.control("hosts", "hosts", &json!({"hosts": hosts}));
        assert_eq!(answer.status, 200, "{:?}", answer.json());
    }

    /// Replaces the faults of a stand-in.
    pub fn set_faults(&self, mode: &str, faults: &Value) {
        let answer = self.control(mode, "faults", faults);
        assert_eq!(answer.status, 200, "{:?}", answer.json());
    }

    /// Calls a stand-in's control address.
    pub fn control(&self, mode: &str, what: &str, body: &Value) -> HttpAnswer {
        let url = format!("http://{}/control/{what}", self.control_address(mode));
        http::call("POST", &url, &[], body.to_string().as_bytes())
    }

    /// Reads from a stand-in's control address.
    pub fn read(&self, mode: &str, what: &str) -> Value {
        let url = format!("http://{}/control/{what}", self.control_address(mode));
        http::call("GET", &url, &[], b"").json()
    }

    fn control_address(&self, mode: &str) -> SocketAddr {
        let position = MODES.iter().position(|known| *known == mode);
        self.controls[position.expect("a known mode")]
    }
}

/// Runs the operators' command toward an entry's admin address.
///
/// # Panics
///
/// Panics if the command cannot be started.
pub fn run_command(directory: &Path, admin: &str, arguments: &[&str]) -> CommandResult {
    let key = directory.join("operator.key");
    // Commands run at the same time, so none may find the file while another has emptied it.
    let mut fresh = NamedTempFile::new_in(directory).expect("a file is made");
    fresh
        .write_all(OPERATOR_KEY.as_bytes())
        .expect("the operator's key is written");
    fresh.persist(&key).expect("the operator's key is in place");
    let output = Command::new(binary_path("catkindeck"))
        .args(["--admin", admin, "--operator-key-file"])
        .arg(&key)
        .args(arguments)
        .current_dir(directory)
        .output()
        .expect("the command starts");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    CommandResult {
        code: output.status.code(),
        output: text(&output.stdout),
        errors: text(&output.stderr),
    }
}

/// Writes a configuration as declarations.
pub fn declarations(snapshot: &ConfigSnapshot) -> String {
    let mut text = String::new();
    let mut add = |line: String| writeln!(text, "{line}").expect("a string takes all text");
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
