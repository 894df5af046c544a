//! A fake model engine with batching slots, a prefix cache, weight versions, cold starts, control
//! orders and faults.

use {
    crate::{
        control::{ControlTarget, lock},
        engine_state::{EngineSettings, EngineState, LoadSnapshot},
        stream::{self, RawHttpRequest, ResponseWriter},
    },
    catkindeck::message::prefix_digest,
    serde::Deserialize,
    serde_json::{Value, json},
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
};

/// A model engine in this process; [`EngineSettings`] holds its behavior and faults.
#[derive(Clone)]
pub struct FakeEngine {
    shared: Arc<EngineShared>,
}

struct EngineShared {
    state: Mutex<EngineState>,
    changed: Condvar,
}

/// The body of a completion request.
#[derive(Debug, Deserialize)]
struct CompletionRequest {
    request_id: String,
    prompt: String,
    max_tokens: u32,
    #[serde(default)]
    priority: u8,
    /// The number of tokens that an interrupted attempt has already delivered and that are skipped.
    #[serde(default)]
    resume_tokens: u32,
}

#[derive(Debug, Deserialize)]
struct OrderRequest {
    kind: String,
    #[serde(default)]
    version: u64,
    #[serde(default)]
    role: String,
    fence: u64,
}

enum GenerationOutcome {
    Length,
    Cancelled,
    Crashed,
}

/// The outcome of the prefill or of one decoding step.
enum StepOutcome {
    /// The step completed under this weight version.
    Token(u64),
    Cancelled,
    Crashed,
}

impl FakeEngine {
    /// Creates a warm engine with weight version 1.
    pub fn new() -> Self {
        Self::with_settings(EngineSettings::default())
    }

    pub fn with_settings(settings: EngineSettings) -> Self {
        Self {
            shared: Arc::new(EngineShared {
                state: Mutex::new(EngineState::new(settings)),
                changed: Condvar::new(),
            }),
        }
    }

    /// Serves an address on background threads and returns the bound address; port 0 selects a free
    /// port.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn spawn(&self, address: SocketAddr) -> io::Result<SocketAddr> {
        let engine = self.clone();
        stream::spawn(
            address,
            Arc::new(move |request, response| engine.handle(request, response)),
        )
    }

    pub fn update_settings(&self, change: impl FnOnce(&mut EngineSettings)) {
        change(&mut self.lock().settings);
        self.shared.changed.notify_all();
    }

    /// Returns how many times a request was executed.
    pub fn execution_count(&self, request_id: &str) -> u64 {
        self.lock()
            .execution_counts
            .get(request_id)
            .copied()
            .unwrap_or(0)
    }

    fn lock(&self) -> MutexGuard<'_, EngineState> {
        lock(&self.shared.state)
    }

    fn handle(
        &self,
        request: &RawHttpRequest,
        response: &mut ResponseWriter<'_>,
    ) -> io::Result<()> {
        if self.lock().is_down() {
            return Ok(());
        }
        let boot_header = self.lock().boot_header();
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/v1/completions") => self.handle_completion(request, response),
            ("POST", "/v1/orders") => {
                let (status, body) = self.handle_order(&request.body);
                response.json(status, &[self.lock().boot_header()], &body)
            }
            ("POST", path) if path.starts_with("/v1/cancel/") => {
                let request_id = path.trim_start_matches("/v1/cancel/");
                self.lock().cancelled.insert(request_id.to_owned());
                self.shared.changed.notify_all();
                response.json(200, &[boot_header], &json!({}))
            }
            ("GET", "/v1/load") => response.json(200, &[boot_header], &self.load_report()),
            ("GET", "/v1/events") => {
                let after = request.query_number("after").unwrap_or(0);
                let events = self.lock().published_events(after);
                response.json(200, &[boot_header], &json!({"events": events}))
            }
            _ => response.json(404, &[boot_header], &json!({"error": "unknown path"})),
        }
    }

    fn load_report(&self) -> Value {
        let mut state = self.lock();
        state.record_load();
        let LoadSnapshot {
            running,
            queued,
            version,
            ..
        } = state.published_load();
        json!({
            "boot": state.boot_id, "version": version, "running": running, "queued": queued,
            "slots": state.settings.slots, "role": state.role,
        })
    }

    fn handle_completion(
        &self,
        request: &RawHttpRequest,
        response: &mut ResponseWriter<'_>,
    ) -> io::Result<()> {
        let request: CompletionRequest = match serde_json::from_slice(&request.body) {
            Ok(request) => request,
            Err(error) => {
                let body = json!({"error": error.to_string()});
                return response.json(400, &[self.lock().boot_header()], &body);
            }
        };
        let (epoch, boot_header, ticket) = {
            let mut state = self.lock();
            if state.exceeds_cold_capacity() {
                state.overload_failures += 1;
                let body = json!({"error": "the engine is still starting"});
                return response.json(503, &[state.boot_header()], &body);
            }
            let ticket = state.enqueue(request.priority);
            (state.epoch, state.boot_header(), ticket)
        };
        if !self.acquire_slot(epoch, ticket) {
            return Ok(());
        }
        let generated = self.generate(&request, epoch, boot_header, response);
        // Release the slot before the client sees the end of the response, so that its next request
        // finds the slot free.
        let mut state = self.lock();
        if state.epoch == epoch {
            state.running -= 1;
        }
        state.cancelled.remove(&request.request_id);
        state.completed += u64::from(matches!(generated, Ok(GenerationOutcome::Length)));
        state.abandoned_requests += u64::from(generated.is_err());
        drop(state);
        self.shared.changed.notify_all();
        match generated? {
            GenerationOutcome::Length => {
                response.chunk(b"{\"done\":true,\"reason\":\"length\"}\n")?
            }
            GenerationOutcome::Cancelled => {
                response.chunk(b"{\"done\":true,\"reason\":\"cancelled\"}\n")?;
            }
            GenerationOutcome::Crashed => return Ok(()),
        }
        response.end()
    }

    /// Waits until the request is first in the queue and a slot is free; returns false after a
    /// crash.
    fn acquire_slot(&self, epoch: u64, ticket: u64) -> bool {
        let mut state = self.lock();
        loop {
            if state.epoch != epoch {
                return false;
            }
            if state.take_slot(ticket) {
                drop(state);
                // The next request in the queue may have found that it was not first.
                self.shared.changed.notify_all();
                return true;
            }
            state = self
                .shared
                .changed
                .wait(state)
                .unwrap_or_else(PoisonError::into_inner);
        }
    }

    fn generate(
        &self,
        request: &CompletionRequest,
        epoch: u64,
        boot_header: (&'static str, String),
        response: &mut ResponseWriter<'_>,
    ) -> io::Result<GenerationOutcome> {
        // Prefill, which takes no time for a cached prefix.
        let prefill_ms = {
            let mut state = self.lock();
            *state
                .execution_counts
                .entry(request.request_id.clone())
                .or_default() += 1;
            state.prefill(prefix_digest(&request.prompt), request.prompt.len())
        };
        match self.wait_for_step(request, epoch, prefill_ms) {
            StepOutcome::Token(_) => response.start(200, &[boot_header])?,
            StepOutcome::Cancelled => {
                response.start(200, &[boot_header])?;
                return Ok(GenerationOutcome::Cancelled);
            }
            StepOutcome::Crashed => return Ok(GenerationOutcome::Crashed),
        }

        // Decoding; each token is labelled with the weight version that generated it.
        let token_ms = self.lock().settings.token_ms;
        for index in request.resume_tokens..request.max_tokens {
            let version = match self.wait_for_step(request, epoch, token_ms) {
                StepOutcome::Token(version) => version,
                StepOutcome::Cancelled => return Ok(GenerationOutcome::Cancelled),
                StepOutcome::Crashed => return Ok(GenerationOutcome::Crashed),
            };
            let mut line = json!({"token": token(&request.prompt, index)});
            if !self.lock().settings.omit_versions {
                line["version"] = json!(version);
            }
            response.chunk(format!("{line}\n").as_bytes())?;
            let marker = self.lock().settings.crash_marker.clone();
            if !marker.is_empty() && request.prompt.contains(&marker) {
                self.crash();
                return Ok(GenerationOutcome::Crashed);
            }
        }
        Ok(GenerationOutcome::Length)
    }

    /// Waits for the duration of one step; a crash or a cancellation ends the wait early.
    fn wait_for_step(
        &self,
        request: &CompletionRequest,
        epoch: u64,
        duration_ms: u64,
    ) -> StepOutcome {
        let end = Instant::now() + Duration::from_millis(duration_ms);
        let mut state = self.lock();
        loop {
            if state.epoch != epoch {
                return StepOutcome::Crashed;
            }
            if state.cancelled.contains(&request.request_id) {
                state.cancellations += 1;
                return StepOutcome::Cancelled;
            }
            let remaining = end.saturating_duration_since(Instant::now());
            if remaining.is_zero() && !state.settings.frozen {
                return StepOutcome::Token(state.version);
            }
            let wait = remaining.max(Duration::from_millis(1));
            (state, _) = self
                .shared
                .changed
                .wait_timeout(state, wait)
                .unwrap_or_else(PoisonError::into_inner);
        }
    }

    fn handle_order(&self, body: &[u8]) -> (u16, Value) {
        let order: OrderRequest = match serde_json::from_slice(body) {
            Ok(order) => order,
            Err(error) => return (400, json!({"error": error.to_string()})),
        };
        let duration_ms = {
            let mut state = self.lock();
            // Orders for weights and for roles are fenced by different leases, whose fencing tokens
            // are independent.
            let class = if order.kind == "role" {
                "role"
            } else {
                "weights"
            };
            let highest = state
                .highest_fencing_tokens
                .get(class)
                .copied()
                .unwrap_or(0);
            if state.settings.checks_fence && order.fence < highest {
                state.rejected_orders += 1;
                return (409, json!({"error": "fenced", "highest": highest}));
            }
            state
                .highest_fencing_tokens
                .insert(class, order.fence.max(highest));
            state.settings.order_ms
        };
        std::thread::sleep(Duration::from_millis(duration_ms));
        let mut state = self.lock();
        state.orders.push(json!({
            "kind": order.kind, "version": order.version, "role": order.role, "fence": order.fence,
        }));
        match order.kind.as_str() {
            "load" => {
                state.staged.insert(order.version);
                (200, json!({"staged": state.staged}))
            }
            "swap" if state.settings.fail_swaps > 0 => {
                state.settings.fail_swaps -= 1;
                (
                    500,
                    json!({"error": "the swap failed", "version": state.version}),
                )
            }
            "swap" if !state.staged.contains(&order.version) => {
                (422, json!({"error": "the version is not loaded"}))
            }
            "swap" => {
                state.version = order.version;
                (200, json!({"version": state.version}))
            }
            "role" => {
                state.role = order.role;
                (200, json!({"role": state.role}))
            }
            _ => (400, json!({"error": "unknown kind"})),
        }
    }
}

impl Default for FakeEngine {
    fn default() -> Self {
        Self::new()
    }
}

impl ControlTarget for FakeEngine {
    fn state(&self) -> Value {
        self.lock().describe()
    }

    fn settings(&self) -> Value {
        json!(self.lock().settings)
    }

    fn replace_settings(&self, settings: Value) -> Result<(), String> {
        let settings = serde_json::from_value(settings).map_err(|error| error.to_string())?;
        self.lock().settings = settings;
        self.shared.changed.notify_all();
        Ok(())
    }

    fn crash(&self) {
        self.lock().crash();
        self.shared.changed.notify_all();
    }
}

/// Returns the token at a position.
///
/// It depends only on the prompt and the position, so that a resumed stream continues exactly like
/// the interrupted one.
pub fn token(prompt: &str, index: u32) -> String {
    let seed = prefix_digest(prompt) ^ (u64::from(index) << 32);
    format!("w{} ", seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 54)
}
