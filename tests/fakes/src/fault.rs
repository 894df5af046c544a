//! Faults that a test orders through the control address, and counters of calls.

use {
    crate::http,
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeMap,
        io,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        thread,
        time::{Duration, Instant},
    },
};

/// The faults of one stand-in; a `POST /control/faults` replaces all of them.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultPlan {
    /// The delay before each answer, in milliseconds.
    pub latency_ms: u64,
    /// Whether every call fails without effect.
    pub outage: bool,
    /// The number of next changing calls whose answer is lost after the effect.
    pub lose_answers: u32,
    /// The number of next calls that are lost before they take effect.
    pub lose_calls: u32,
    /// Whether fencing numbers are ignored.
    pub ignore_fence: bool,
    /// The calls a second above which calls are refused with 429; zero is no limit.
    pub rate_per_s: u32,
}

/// A call as a mode sees it.
#[derive(Debug, Clone)]
pub struct FakeRequest {
    /// The HTTP method.
    pub method: String,
    /// The parts of the path.
    pub path: Vec<String>,
    /// The query without the question mark.
    pub query: String,
    /// The body.
    pub body: Vec<u8>,
}

impl FakeRequest {
    /// Returns the number under `name` in the query.
    pub fn query_number(&self, name: &str) -> Option<u64> {
        self.query.split('&').find_map(|pair| {
            let (key, value) = pair.split_once('=')?;
            if key == name {
                value.parse().ok()
            } else {
                None
            }
        })
    }

    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// Returns the answer 400 if the body has another form.
    pub fn json<T: for<'a> Deserialize<'a>>(&self) -> Result<T, FakeResponse> {
        serde_json::from_slice(&self.body)
            .map_err(|error| FakeResponse::text(400, &format!("bad body: {error}")))
    }

    /// Returns the parts of the path from `index` on, joined.
    pub fn rest(&self, index: usize) -> String {
        self.path.get(index..).unwrap_or(&[]).join("/")
    }
}

/// The answer of a mode.
#[derive(Debug, Clone)]
pub struct FakeResponse {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
    /// Whether the call changed something.
    pub changed: bool,
}

impl FakeResponse {
    /// Makes a JSON answer.
    pub fn json(status: u16, value: &impl Serialize) -> Self {
        Self {
            status,
            body: serde_json::to_vec(value).unwrap_or_default(),
            changed: false,
        }
    }

    /// Makes a JSON answer that holds a message.
    pub fn text(status: u16, message: &str) -> Self {
        Self::json(status, &serde_json::json!({"message": message}))
    }

    /// Marks the call as one that changed something, whose answer can be lost after the effect.
    pub fn with_change(mut self) -> Self {
        self.changed = true;
        self
    }
}

/// One kind of stand-in.
pub trait FakeHandler: Send + Sync {
    /// Answers a call.
    fn handle(&self, call: &FakeRequest, faults: &FaultPlan) -> FakeResponse;

    /// Answers a call on the control address that is not for faults or counters.
    fn control(&self, call: &FakeRequest) -> FakeResponse {
        FakeResponse::text(404, &format!("no control {}", call.rest(1)))
    }
}

/// A running stand-in.
#[derive(Clone)]
pub struct FakeServer {
    shared: Arc<FakeShared>,
}

struct FakeShared {
    mode: Box<dyn FakeHandler>,
    faults: Mutex<FaultPlan>,
    counters: Mutex<BTreeMap<String, u64>>,
    rate: Mutex<(Instant, u32)>,
}

impl FakeServer {
    /// Makes a stand-in without faults.
    pub fn new(mode: Box<dyn FakeHandler>) -> Self {
        let shared = FakeShared {
            mode,
            faults: Mutex::default(),
            counters: Mutex::default(),
            rate: Mutex::new((Instant::now(), 0)),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Serves calls and the control address from threads of its own; port zero takes a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound.
    pub fn spawn(&self, listen: SocketAddr, control: Option<SocketAddr>) -> io::Result<SocketAddr> {
        if let Some(control) = control {
            let shared = Arc::clone(&self.shared);
            http::spawn(control, Arc::new(move |call| Some(shared.control(call))))?;
        }
        let shared = Arc::clone(&self.shared);
        http::spawn(listen, Arc::new(move |call| shared.handle(call)))
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: FaultPlan) {
        *lock(&self.shared.faults) = faults;
    }

    /// Returns the number of calls by kind, which is the method and the first parts of the path.
    pub fn counters(&self) -> BTreeMap<String, u64> {
        lock(&self.shared.counters).clone()
    }

    /// Makes a call on the control address, for tests in one process.
    pub fn control(&self, call: &FakeRequest) -> FakeResponse {
        self.shared.control(call)
    }
}

impl FakeShared {
    fn handle(&self, call: &FakeRequest) -> Option<FakeResponse> {
        let kind = format!("{} {}", call.method, call.path.get(1).map_or("", |s| s));
        *lock(&self.counters).entry(kind).or_default() += 1;
        let faults = {
            let mut faults = lock(&self.faults);
            let present = faults.clone();
            faults.lose_calls = faults.lose_calls.saturating_sub(1);
            present
        };
        thread::sleep(Duration::from_millis(faults.latency_ms));
        if faults.outage || faults.lose_calls > 0 {
            return None;
        }
        if !self.take_rate(faults.rate_per_s) {
            let body = serde_json::json!({"retry_after_ms": 200});
            return Some(FakeResponse::json(429, &body));
        }
        let reply = self.mode.handle(call, &faults);
        if reply.changed {
            let mut faults = lock(&self.faults);
            if faults.lose_answers > 0 {
                faults.lose_answers -= 1;
                return None;
            }
        }
        Some(reply)
    }

    fn take_rate(&self, rate_per_s: u32) -> bool {
        if rate_per_s == 0 {
            return true;
        }
        let mut rate = lock(&self.rate);
        if rate.0.elapsed() >= Duration::from_secs(1) {
            *rate = (Instant::now(), 0);
        }
        rate.1 += 1;
        rate.1 <= rate_per_s
    }

    fn control(&self, call: &FakeRequest) -> FakeResponse {
        match (call.method.as_str(), call.rest(1).as_str()) {
            ("POST", "faults") => match call.json::<FaultPlan>() {
                Ok(faults) => {
                    *lock(&self.faults) = faults.clone();
                    FakeResponse::json(200, &faults)
                }
                Err(reply) => reply,
            },
            ("GET", "faults") => FakeResponse::json(200, &*lock(&self.faults)),
            ("GET", "counters") => FakeResponse::json(200, &*lock(&self.counters)),
            _ => self.mode.control(call),
        }
    }
}

/// Locks a mutex, also after a panic of another holder.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Finds a free loopback port.
///
/// # Errors
///
/// Returns an error if no port is free.
pub fn free_address() -> io::Result<SocketAddr> {
    std::net::TcpListener::bind(("127.0.0.1", 0))?.local_addr()
}
