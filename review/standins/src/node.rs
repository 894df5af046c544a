//! The system's own processes, started with the command of the deploy file.

use {
    crate::{Record, store::Store},
    std::{
        fs::{self, File},
        net::{SocketAddr, TcpListener},
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
        sync::{Arc, Mutex},
    },
};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// The number of networks and of ports that are tried until free ones are found.
const TRIES: u32 = 200;

fn is_free(ip: &str, port: u16) -> bool {
    TcpListener::bind((ip, port)).is_ok()
}

/// The processes that were started and not waited for.
static STARTED: Mutex<Vec<i32>> = Mutex::new(Vec::new());

/// Ends all processes that still run, if the case takes too long.
pub fn end_all() {
    for pid in STARTED.lock().unwrap().iter() {
        // A process in the list was not waited for, so its id is still its own.
        unsafe { kill(*pid, SIGKILL) };
    }
}

pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    pub readiness: SocketAddr,
    child: Mutex<Child>,
    pub pid: i32,
}

/// What all nodes of a case share.
pub struct Deployment {
    pub store: Arc<Store>,
    pub record: Arc<Record>,
    pub folder: PathBuf,
    /// The second and third number of the machines' loopback addresses.
    net: (u8, u8),
    /// The first of the ports of each machine.
    base: u16,
    cloud: SocketAddr,
    /// For how long after its submission a batch submission can be read at least, in seconds.
    pub status_s: u32,
}

impl Deployment {
    pub fn new(store: &Arc<Store>, record: &Arc<Record>, folder: &Path) -> Self {
        let pid = std::process::id();
        let mut net = ((pid % 200 + 20) as u8, (pid / 200 % 250) as u8);
        // The command of the deploy file has a fixed port for metrics, so the machines' addresses must be free.
        for _ in 0..TRIES {
            if is_free(&format!("127.{}.{}.11", net.0, net.1), 9_464) {
                break;
            }
            net.1 = net.1.wrapping_add(1);
        }
        // The ports are the same on all machines; the machines differ by their loopback address.
        let ip = format!("127.{}.{}.11", net.0, net.1);
        let bases = (0..TRIES).map(|number| 20_000 + (pid % 200 * 40 + number * 40) as u16);
        let is_base_free = |base: &u16| (*base..*base + 20).all(|port| is_free(&ip, port));
        let base = bases.into_iter().find(is_base_free).unwrap_or(20_000);
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let cloud = listener.local_addr().unwrap();
        crate::http::serve(
            listener,
            Arc::new(|_, stream| crate::http::respond(stream, 200, &[], b"{}")),
        );
        Self {
            store: Arc::clone(store),
            record: Arc::clone(record),
            folder: folder.to_owned(),
            net,
            base,
            cloud,
            status_s: 120,
        }
    }

    /// Starts an entry or a standby.
    pub fn start(&self, name: &str, number: u8, zone: &str, is_entry: bool) -> Node {
        let ip = format!("127.{}.{}.{}", self.net.0, self.net.1, number);
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let store = self.store.serve_node(listener, name);
        let (role, class, serves, cpu, memory, fds, link) = match is_entry {
            true => ("entry", "edge", "edge", 0.19, 260, 4_100, 1_000),
            false => ("standby", "storage", "storage", 0.5, 280, 8_200, 600),
        };
        let (front, readiness, internal) = (self.base, self.base + 1, self.base + 2);
        let listen = match is_entry {
            true => format!("front = \"{ip}:{front}\"\nreadiness = \"{ip}:{readiness}\"\n"),
            false => String::new(),
        };
        let text = format!(
            "node_name = \"{name}\"\nrole = \"{role}\"\nmachine_class = \"{class}\"\nserves = [\"{serves}\"]\n\
             ip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"tvm\"\ninternal_ports = [{internal},{last}]\nseeds = []\n\
             first_start = true\nfault_counted = {counted}\ndiscovery = \"platform\"\nentry = \"vip\"\n\
             heartbeat_ms = 1200\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"samples\",\"stream\",\"engine\",\
             \"batch\",\"tenants\",\"leader\",\"places\",\"platform\"]\n\
             [zones]\nvault-a = \"tvm\"\nvault-b = \"tvm\"\nvault-c = \"tvm\"\n[listen]\n{listen}\
             [limits]\ncpu_share = {cpu}\ncpu_cores = 1\nmemory_mb = {memory}\nmax_fds = {fds}\nlink_mbps = {link}.0\n\
             [fault_tolerance]\nmachines = 1\nzones = 1\nregions = 0\n\
             [bounds]\nseed_lag_s = 3\naddr_reuse_s = 2\ncontact_ms = 3000\nack_ms = 4000\ncatch_up_s = 4.4\n\
             drain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\nconfig_apply_ms = 2000\nrevert_slack_ms = 250\n\
             max_stretch_ms = 5000\nrevoke_strict = true\nrevoke_ms = 5000\nfencing_enforced = true\n\
             lease_ms = 3000\nthaw_slack_ms = 300\nreport_window_s = 5\nusage_tolerance = 0.05\n\
             usage_late_s = 10\ncold_overshoot = 1.5\ncold_slack = 5\nevacuate_ms = 5000\nrecovery_s = 12\n\
             pass_ms = 120\nretry_after_s = 0\nfinish_s = 10\nstatus_s = {status_s}\ncancel_ms = 3000\n\
             settle_ms = 1000\nquota_overshoot = 0.1\n\
             [platform]\naddress = \"{store}\"\nform = \"kv\"\nwrites_per_s = 400\nreads_per_s = 2000\n\
             history_s = 20\nvalue_bytes = 1048576\nttl_min_ms = 1000\n\
             [cloud_api]\naddress = \"{cloud}\"\nrate_per_s = 50.0\nduties = [\"usage_report\",\"autoscale\"]\n\
             duty_per_s = 50.0\n",
            last = internal + 15,
            counted = !is_entry,
            cloud = self.cloud,
            status_s = self.status_s,
        );
        let settings = self.folder.join(format!("{name}.toml"));
        fs::write(&settings, text).unwrap();
        let log = File::create(self.folder.join(format!("{name}.log"))).unwrap();
        let program = Path::new(crate::PROGRAM)
            .canonicalize()
            .unwrap_or_else(|_| {
                eprintln!("{} is missing; build it first", crate::PROGRAM);
                std::process::exit(2)
            });
        let child = Command::new(program)
            .args(["--metrics-port", "9464"])
            .env("CATKINDECK_SETTINGS", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap();
        let pid = child.id() as i32;
        STARTED.lock().unwrap().push(pid);
        self.record
            .line(&format!("started {name}, pid {pid}, address {ip}"));
        Node {
            name: name.to_owned(),
            front: format!("{ip}:{front}").parse().unwrap(),
            readiness: format!("{ip}:{readiness}").parse().unwrap(),
            child: Mutex::new(child),
            pid,
        }
    }
}

impl Node {
    pub fn signal(&self, signal: i32) {
        if STARTED.lock().unwrap().contains(&self.pid) {
            unsafe { kill(self.pid, signal) };
        }
    }

    pub fn is_ready(&self) -> bool {
        let response = crate::http::call(
            self.readiness,
            "GET",
            "/catkindeck/readiness",
            &[("Host", "x")],
            b"",
        );
        response.is_ok_and(|response| response.status == 200)
    }

    pub fn has_ended(&self) -> bool {
        let mut started = STARTED.lock().unwrap();
        let has_ended = matches!(self.child.lock().unwrap().try_wait(), Ok(Some(_)));
        if has_ended {
            started.retain(|pid| *pid != self.pid);
        }
        has_ended
    }

    pub fn end(&self) {
        while !self.has_ended() {
            self.signal(SIGKILL);
            std::thread::sleep(std::time::Duration::from_millis(5));
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.end();
    }
}
