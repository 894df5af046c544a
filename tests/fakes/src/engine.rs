//! A model engine: batching slots, prefix cache, weight versions, cold start, orders and faults.

use {
    crate::{
        control::{ControlTarget, lock},
        engine_state::{EngineSettings, EngineState, LoadView},
        stream::{self, ResponseWriter, StreamRequest},
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

/// A model engine in this process; see [`EngineSettings`] for its faults.
#[derive(Clone)]
pub struct FakeEngine {
    shared: Arc<EngineShared>,
}

struct EngineShared {
    state: Mutex<EngineState>,
    changed: Condvar,
}

/// A completion as the engine is asked for it.
#[derive(Debug, Deserialize)]
struct CompletionCall {
    request_id: String,
    prompt: String,
    max_tokens: u32,
    #[serde(default)]
    priority: u8,
    #[serde(default)]
    resume_tokens: u32,
}

#[derive(Debug, Deserialize)]
struct OrderCall {
    kind: String,
    #[serde(default)]
    version: u64,
    #[serde(default)]
    role: String,
    fence: u64,
}

/// How a completion ended.
enum GenerateEnd {
    Length,
    Cancelled,
    Cut,
}

/// How a step of a completion ended.
enum StepEnd {
    Token(u64),
    Cancelled,
    Crashed,
}

impl FakeEngine {
    /// Starts an engine that is warm and holds version 1.
    pub fn new() -> Self {
        Self::with_settings(EngineSettings::default())
    }

    /// Starts an engine.
    pub fn with_settings(settings: EngineSettings) -> Self {
        Self {
            shared: Arc::new(EngineShared {
                state: Mutex::new(EngineState::new(settings)),
                changed: Condvar::new(),
            }),
        }
    }

    /// Serves an address from threads of its own; port zero takes a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn spawn(&self, address: SocketAddr) -> io::Result<SocketAddr> {
        let engine = self.clone();
        stream::spawn(
            address,
            Arc::new(move |call, reply| engine.answer(call, reply)),
        )
    }

    /// Changes the settings.
    pub fn set(&self, change: impl FnOnce(&mut EngineSettings)) {
        change(&mut self.lock().settings);
        self.shared.changed.notify_all();
    }

    /// Returns the number of runs under a request id.
    pub fn runs(&self, request: &str) -> u64 {
        self.lock().runs.get(request).copied().unwrap_or(0)
    }

    fn lock(&self) -> MutexGuard<'_, EngineState> {
        lock(&self.shared.state)
    }

    fn answer(&self, call: &StreamRequest, reply: &mut ResponseWriter<'_>) -> io::Result<()> {
        if self.lock().is_down() {
            return Ok(());
        }
        let boot = self.lock().boot_header();
        match (call.method.as_str(), call.path.as_str()) {
            ("POST", "/v1/completions") => self.complete(call, reply),
            ("POST", "/v1/orders") => {
                let (status, body) = self.order(&call.body);
                reply.json(status, &[self.lock().boot_header()], &body)
            }
            ("POST", path) if path.starts_with("/v1/cancel/") => {
                let request = path.trim_start_matches("/v1/cancel/");
                self.lock().cancelled.insert(request.to_owned());
                self.shared.changed.notify_all();
                reply.json(200, &[boot], &json!({}))
            }
            ("GET", "/v1/load") => reply.json(200, &[boot], &self.load()),
            ("GET", "/v1/events") => {
                let after = call.query_number("after").unwrap_or(0);
                let events = self.lock().visible_events(after);
                reply.json(200, &[boot], &json!({"events": events}))
            }
            _ => reply.json(404, &[boot], &json!({"error": "no such path"})),
        }
    }

    fn load(&self) -> Value {
        let mut state = self.lock();
        state.record_load();
        let LoadView {
            running,
            queued,
            version,
            ..
        } = state.visible_load();
        json!({
            "boot": state.boot, "version": version, "running": running, "queued": queued,
            "slots": state.settings.slots, "role": state.role,
        })
    }

    fn complete(&self, call: &StreamRequest, reply: &mut ResponseWriter<'_>) -> io::Result<()> {
        let call: CompletionCall = match serde_json::from_slice(&call.body) {
            Ok(call) => call,
            Err(error) => {
                let body = json!({"error": error.to_string()});
                return reply.json(400, &[self.lock().boot_header()], &body);
            }
        };
        let (epoch, boot, ticket) = {
            let mut state = self.lock();
            if state.is_overloaded_cold() {
                state.overload_failures += 1;
                let body = json!({"error": "the engine is still starting"});
                return reply.json(503, &[state.boot_header()], &body);
            }
            let ticket = state.enqueue(call.priority);
            (state.epoch, state.boot_header(), ticket)
        };
        if !self.wait_for_slot(epoch, ticket) {
            return Ok(());
        }
        let generated = self.generate(&call, epoch, boot, reply);
        // The slot is free before the caller sees the end, so that its next request finds it free.
        let mut state = self.lock();
        if state.epoch == epoch {
            state.running -= 1;
        }
        state.cancelled.remove(&call.request_id);
        state.completed += u64::from(matches!(generated, Ok(GenerateEnd::Length)));
        state.abandoned += u64::from(generated.is_err());
        drop(state);
        self.shared.changed.notify_all();
        match generated? {
            GenerateEnd::Length => reply.chunk(b"{\"done\":true,\"reason\":\"length\"}\n")?,
            GenerateEnd::Cancelled => {
                reply.chunk(b"{\"done\":true,\"reason\":\"cancelled\"}\n")?;
            }
            GenerateEnd::Cut => return Ok(()),
        }
        reply.end()
    }

    /// Waits until the request is next and a slot is free; false after a crash.
    fn wait_for_slot(&self, epoch: u64, ticket: u64) -> bool {
        let mut state = self.lock();
        loop {
            if state.epoch != epoch {
                return false;
            }
            if state.take_slot(ticket) {
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
        call: &CompletionCall,
        epoch: u64,
        boot: (&'static str, String),
        reply: &mut ResponseWriter<'_>,
    ) -> io::Result<GenerateEnd> {
        // Prefill, which a cached prefix makes shorter.
        let prefill_ms = {
            let mut state = self.lock();
            *state.runs.entry(call.request_id.clone()).or_default() += 1;
            state.prefill(prefix_digest(&call.prompt), call.prompt.len())
        };
        match self.step(call, epoch, prefill_ms) {
            StepEnd::Token(_) => reply.start(200, &[boot])?,
            StepEnd::Cancelled => {
                reply.start(200, &[boot])?;
                return Ok(GenerateEnd::Cancelled);
            }
            StepEnd::Crashed => return Ok(GenerateEnd::Cut),
        }

        // Tokens, each labelled with the version that makes it.
        let token_ms = self.lock().settings.token_ms;
        for index in call.resume_tokens..call.max_tokens {
            let version = match self.step(call, epoch, token_ms) {
                StepEnd::Token(version) => version,
                StepEnd::Cancelled => return Ok(GenerateEnd::Cancelled),
                StepEnd::Crashed => return Ok(GenerateEnd::Cut),
            };
            let mut line = json!({"token": token(&call.prompt, index)});
            if !self.lock().settings.omit_versions {
                line["version"] = json!(version);
            }
            reply.chunk(format!("{line}\n").as_bytes())?;
            let marker = self.lock().settings.crash_marker.clone();
            if !marker.is_empty() && call.prompt.contains(&marker) {
                self.crash();
                return Ok(GenerateEnd::Cut);
            }
        }
        Ok(GenerateEnd::Length)
    }

    /// Takes the time of one step, which a crash or a cancellation ends early.
    fn step(&self, call: &CompletionCall, epoch: u64, duration_ms: u64) -> StepEnd {
        let end = Instant::now() + Duration::from_millis(duration_ms);
        let mut state = self.lock();
        loop {
            if state.epoch != epoch {
                return StepEnd::Crashed;
            }
            if state.cancelled.contains(&call.request_id) {
                state.cancellations += 1;
                return StepEnd::Cancelled;
            }
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() && !state.settings.frozen {
                return StepEnd::Token(state.version);
            }
            let wait = left.max(Duration::from_millis(1));
            (state, _) = self
                .shared
                .changed
                .wait_timeout(state, wait)
                .unwrap_or_else(PoisonError::into_inner);
        }
    }

    fn order(&self, body: &[u8]) -> (u16, Value) {
        let order: OrderCall = match serde_json::from_slice(body) {
            Ok(order) => order,
            Err(error) => return (400, json!({"error": error.to_string()})),
        };
        let duration_ms = {
            let mut state = self.lock();
            // Weights and roles are ordered under different leases with numbers of their own.
            let class = if order.kind == "role" {
                "role"
            } else {
                "weights"
            };
            let highest = state.highest_fences.get(class).copied().unwrap_or(0);
            if state.settings.checks_fence && order.fence < highest {
                state.refused_orders += 1;
                return (409, json!({"error": "fenced", "highest": highest}));
            }
            state.highest_fences.insert(class, order.fence.max(highest));
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

/// Returns the token at a position, which depends only on the prompt, so that a resumed stream
/// goes on as the interrupted one would have.
pub fn token(prompt: &str, index: u32) -> String {
    let seed = prefix_digest(prompt) ^ (u64::from(index) << 32);
    format!("w{} ", seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 54)
}
