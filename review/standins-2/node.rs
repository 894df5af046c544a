//! Processes under test, started as the deploy file says.

use crate::{record::Record, store::Store};
use std::{
    fs::{self, File, OpenOptions},
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU16, Ordering},
    },
    time::Duration,
};

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

/// The ids of the processes that run.
static CHILDREN: Mutex<Vec<i32>> = Mutex::new(Vec::new());

pub struct Node {
    pub name: String,
    /// Where clients connect; unused for a process that serves none.
    pub front: SocketAddr,
    readiness: SocketAddr,
    settings: PathBuf,
    metrics_port: u16,
    /// What `memory_mb` allows.
    pub memory_limit_kb: u64,
    child: Child,
}

impl Node {
    /// Starts a process of the role `entry`, or of the role `standby`.
    pub fn start(
        (name, zone): (&str, &str),
        is_entry: bool,
        store: &Arc<Store>,
        duties: SocketAddr,
        (folder, record): (&str, &Arc<Record>),
    ) -> Self {
        let platform = store.endpoint(record);
        let [front, readiness, peer, metrics] = [(); 4].map(|()| free_address());
        let (class, serves, memory, share) = match is_entry {
            true => ("edge", "edge", 260, 0.19),
            false => ("storage", "storage", 280, 0.5),
        };
        let listen = match is_entry {
            true => format!("front = \"{front}\"\nreadiness = \"{readiness}\"\n"),
            false => String::new(),
        };
        let port = peer.port();
        let text = format!(
            "node_name = \"{name}\"\nrole = \"{class}\"\nmachine_class = \"{class}\"\nserves = [\"{serves}\"]\n\
             ip = \"127.0.0.1\"\nzone = \"{zone}\"\nregion = \"one\"\ninternal_ports = [{port},{port}]\n\
             seeds = []\nfirst_start = true\nheartbeat_ms = 1200\n[listen]\n{listen}\
             [limits]\ncpu_share = {share}\nmemory_mb = {memory}\nmax_fds = 4100\nlink_mbps = 1000.0\n\
             [bounds]\ncontact_ms = 3000\nack_ms = 4000\ndrain_ms = 2000\ngrace_s = 8\nconfig_apply_ms = 2000\n\
             revoke_strict = true\nrevoke_ms = 5000\nfencing_enforced = true\nlease_ms = 3000\n\
             report_window_s = 5\nusage_tolerance = 0.05\nusage_late_s = 10\ncold_overshoot = 1.5\ncold_slack = 5\n\
             finish_s = 10\nstatus_s = 120\ncancel_ms = 3000\nsettle_ms = 1000\n\
             [platform]\naddress = \"{platform}\"\nform = \"kv\"\nvalue_bytes = 1048576\nttl_min_ms = 1000\n\
             [cloud_api]\naddress = \"{duties}\"\nduties = [\"usage_report\",\"autoscale\"]\n"
        );
        let settings = PathBuf::from(format!("{folder}/{name}.toml"));
        let log = PathBuf::from(format!("{folder}/{name}.log"));
        fs::write(&settings, text).expect("the settings are written");
        let output = File::create(&log).expect("the log is created");
        let child = spawn(&settings, metrics.port(), output);
        Self {
            name: name.into(),
            front,
            readiness,
            settings,
            metrics_port: metrics.port(),
            memory_limit_kb: memory * 1024,
            child,
        }
    }

    /// Returns the memory that the process uses, or zero if it doesn't run.
    pub fn memory_kb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let number = line.and_then(|line| line.split_whitespace().nth(1));
        number.and_then(|number| number.parse().ok()).unwrap_or(0)
    }

    /// Ends the process at once.
    pub fn end(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let id = self.child.id() as i32;
        CHILDREN.lock().unwrap().retain(|other| *other != id);
    }

    /// Starts the process again, with the same settings.
    pub fn restart(&mut self) {
        let log = self.settings.with_extension("log");
        let output = OpenOptions::new().append(true).open(log).expect("the log is there");
        self.child = spawn(&self.settings, self.metrics_port, output);
    }

    pub fn is_ready(&self) -> bool {
        let limit = Duration::from_secs(1);
        let answer = crate::http::call(self.readiness, "GET", "/catkindeck/readiness", &[], &[], limit);
        answer.is_some_and(|answer| answer.status == 200)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.end();
    }
}

fn spawn(settings: &Path, metrics_port: u16, output: File) -> Child {
    let program = std::env::var("NODE_PROGRAM").unwrap_or("target/release/catkindeck-node".into());
    let child = Command::new(program)
        .args(["--metrics-port", &metrics_port.to_string()])
        .env("CATKINDECK_SETTINGS", settings)
        .stdin(Stdio::null())
        .stdout(output.try_clone().expect("the handle is duplicated"))
        .stderr(output)
        .spawn()
        .expect("the program starts");
    CHILDREN.lock().unwrap().push(child.id() as i32);
    child
}

/// Returns an address with a free port below those that the system gives to outgoing connections.
fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let start = std::process::id() % 450 * 40;
    loop {
        let offset = (start + u32::from(NEXT.fetch_add(1, Ordering::SeqCst))) % 18_000;
        let address = SocketAddr::from(([127, 0, 0, 1], 12_000 + offset as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// Ends the processes that were started, if the case has to end early.
pub fn end_all() {
    for child in CHILDREN.lock().unwrap().iter() {
        // The processes are children that have not been waited for, so the ids are their own.
        unsafe {
            kill(*child, 9);
        }
    }
}
