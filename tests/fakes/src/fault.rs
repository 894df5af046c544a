//! Fault injection through the control address, and request counters.

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

/// The faults of one fake; `POST /control/faults` replaces all of them.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultPlan {
    /// The delay before each response, in milliseconds.
    pub latency_ms: u64,
    /// Whether every request fails without taking effect.
    pub outage: bool,
    /// The number of subsequent mutating requests that take effect but get no response.
    #[serde(rename = "lose_answers")]
    pub lose_responses: u32,
    /// The number of subsequent requests that are dropped before they take effect.
    #[serde(rename = "lose_calls")]
    pub lose_requests: u32,
    /// Whether fencing tokens are ignored.
    pub ignore_fence: bool,
    /// The rate limit in requests per second, above which requests get status 429; 0 means no
    /// limit.
    pub rate_per_s: u32,
}

/// A request to a fake.
#[derive(Debug, Clone)]
pub struct FakeRequest {
    pub method: String,
    /// The segments of the path.
    pub path: Vec<String>,
    /// The query without the question mark.
    pub query: String,
    pub body: Vec<u8>,
}

impl FakeRequest {
    /// Returns the query parameter `name` if it is a number.
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
    /// Returns a response with status 400 if the body does not deserialize to `T`.
    pub fn json<T: for<'a> Deserialize<'a>>(&self) -> Result<T, FakeResponse> {
        serde_json::from_slice(&self.body)
            .map_err(|error| FakeResponse::text(400, &format!("invalid body: {error}")))
    }

    /// Returns the path segments from `index` on, joined by slashes.
    pub fn path_from(&self, index: usize) -> String {
        self.path.get(index..).unwrap_or(&[]).join("/")
    }
}

/// The response of a fake.
#[derive(Debug, Clone)]
pub struct FakeResponse {
    pub status: u16,
    pub body: Vec<u8>,
    /// Whether the request changed the fake's state.
    pub changed: bool,
}

impl FakeResponse {
    /// Creates a JSON response.
    pub fn json(status: u16, value: &impl Serialize) -> Self {
        Self {
            status,
            body: serde_json::to_vec(value).unwrap_or_default(),
            changed: false,
        }
    }

    /// Creates a JSON response with a `message` field.
    pub fn text(status: u16, message: &str) -> Self {
        Self::json(status, &serde_json::json!({"message": message}))
    }

    /// Marks the request as one that changed the fake's state, so that
    /// [`FaultPlan::lose_responses`] applies to the response.
    pub fn mark_changed(mut self) -> Self {
        self.changed = true;
        self
    }
}

/// The behavior of one kind of fake.
pub trait FakeHandler: Send + Sync {
    /// Handles a request.
    fn handle(&self, request: &FakeRequest, faults: &FaultPlan) -> FakeResponse;

    /// Handles a request on the control address other than those for faults and counters.
    fn control(&self, request: &FakeRequest) -> FakeResponse {
        FakeResponse::text(
            404,
            &format!("unknown control path {}", request.path_from(1)),
        )
    }
}

/// A handler with fault injection and request counters.
#[derive(Clone)]
pub struct FakeServer {
    shared: Arc<FakeShared>,
}

struct FakeShared {
    handler: Box<dyn FakeHandler>,
    faults: Mutex<FaultPlan>,
    counters: Mutex<BTreeMap<String, u64>>,
    rate_window: Mutex<(Instant, u32)>,
}

impl FakeServer {
    /// Creates a server without faults; it serves nothing until [`Self::spawn`].
    pub fn new(handler: Box<dyn FakeHandler>) -> Self {
        let shared = FakeShared {
            handler,
            faults: Mutex::default(),
            counters: Mutex::default(),
            rate_window: Mutex::new((Instant::now(), 0)),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Serves both addresses on background threads and returns the bound `listen` address; port 0
    /// selects a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound.
    pub fn spawn(&self, listen: SocketAddr, control: Option<SocketAddr>) -> io::Result<SocketAddr> {
        if let Some(control) = control {
            let shared = Arc::clone(&self.shared);
            http::spawn(
                control,
                Arc::new(move |request| Some(shared.control(request))),
            )?;
        }
        let shared = Arc::clone(&self.shared);
        http::spawn(listen, Arc::new(move |request| shared.handle(request)))
    }

    pub fn set_faults(&self, faults: FaultPlan) {
        *lock(&self.shared.faults) = faults;
    }

    /// Returns the number of requests by method and second path segment, as in `GET kv`.
    pub fn counters(&self) -> BTreeMap<String, u64> {
        lock(&self.shared.counters).clone()
    }

    /// Handles a control request without a network connection, for tests in the same process.
    pub fn control(&self, request: &FakeRequest) -> FakeResponse {
        self.shared.control(request)
    }
}

impl FakeShared {
    fn handle(&self, request: &FakeRequest) -> Option<FakeResponse> {
        let kind = format!(
            "{} {}",
            request.method,
            request.path.get(1).map_or("", |s| s)
        );
        *lock(&self.counters).entry(kind).or_default() += 1;
        let faults = {
            let mut faults = lock(&self.faults);
            let active = faults.clone();
            faults.lose_requests = faults.lose_requests.saturating_sub(1);
            active
        };
        thread::sleep(Duration::from_millis(faults.latency_ms));
        if faults.outage || faults.lose_requests > 0 {
            return None;
        }
        if !self.within_rate_limit(faults.rate_per_s) {
            let body = serde_json::json!({"retry_after_ms": 200});
            return Some(FakeResponse::json(429, &body));
        }
        let response = self.handler.handle(request, &faults);
        if response.changed {
            let mut faults = lock(&self.faults);
            if faults.lose_responses > 0 {
                faults.lose_responses -= 1;
                return None;
            }
        }
        Some(response)
    }

    fn within_rate_limit(&self, rate_per_s: u32) -> bool {
        if rate_per_s == 0 {
            return true;
        }
        let mut rate_window = lock(&self.rate_window);
        if rate_window.0.elapsed() >= Duration::from_secs(1) {
            *rate_window = (Instant::now(), 0);
        }
        rate_window.1 += 1;
        rate_window.1 <= rate_per_s
    }

    fn control(&self, request: &FakeRequest) -> FakeResponse {
        match (request.method.as_str(), request.path_from(1).as_str()) {
            ("POST", "faults") => match request.json::<FaultPlan>() {
                Ok(faults) => {
                    *lock(&self.faults) = faults.clone();
                    FakeResponse::json(200, &faults)
                }
                Err(response) => response,
            },
            ("GET", "faults") => FakeResponse::json(200, &*lock(&self.faults)),
            ("GET", "counters") => FakeResponse::json(200, &*lock(&self.counters)),
            _ => self.handler.control(request),
        }
    }
}

/// Locks a mutex and ignores poisoning.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns a loopback address with a free port.
///
/// # Errors
///
/// Returns an error if no port can be bound.
pub fn free_address() -> io::Result<SocketAddr> {
    std::net::TcpListener::bind(("127.0.0.1", 0))?.local_addr()
}
