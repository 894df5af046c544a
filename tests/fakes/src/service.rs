//! A plain service that counts its runs and records the headers it was sent.

use {
    crate::{
        control::{ControlTarget, lock},
        stream::{self, ResponseWriter, StreamRequest},
    },
    serde::{Deserialize, Serialize},
    serde_json::{Value, json},
    std::{
        collections::BTreeMap,
        io,
        net::SocketAddr,
        sync::{Arc, Mutex},
        thread,
        time::Duration,
    },
};

/// The number of calls whose headers are kept.
const RECORDED_CALLS: usize = 1000;

/// How a service answers.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceSettings {
    /// The time that a call takes, in milliseconds.
    pub latency_ms: u64,
    /// The status of answers.
    pub status: u16,
    /// The number of next calls whose connection is cut after they ran.
    pub cut_after_run: u32,
    /// The number of next calls whose answer is cut in the middle of the body.
    pub cut_in_body: u32,
    /// The size of answers beyond the JSON text, in bytes.
    pub padding_bytes: usize,
}

impl Default for ServiceSettings {
    fn default() -> Self {
        Self {
            latency_ms: 0,
            status: 200,
            cut_after_run: 0,
            cut_in_body: 0,
            padding_bytes: 0,
        }
    }
}

#[derive(Debug, Default)]
struct ServiceState {
    settings: ServiceSettings,
    boot: u64,
    runs: BTreeMap<String, u64>,
    calls: Vec<Value>,
    running: u32,
    max_running: u32,
}

/// A plain service; a run is counted by the `x-request-id` header.
#[derive(Debug, Clone, Default)]
pub struct FakeService {
    state: Arc<Mutex<ServiceState>>,
}

impl FakeService {
    /// Serves an address from threads of its own; port zero takes a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn spawn(&self, address: SocketAddr) -> io::Result<SocketAddr> {
        let service = self.clone();
        stream::spawn(
            address,
            Arc::new(move |call, reply| service.answer(call, reply)),
        )
    }

    /// Changes the settings.
    pub fn set(&self, change: impl FnOnce(&mut ServiceSettings)) {
        change(&mut lock(&self.state).settings);
    }

    /// Returns the number of runs under a request id.
    pub fn runs(&self, request: &str) -> u64 {
        lock(&self.state).runs.get(request).copied().unwrap_or(0)
    }

    fn answer(&self, call: &StreamRequest, reply: &mut ResponseWriter<'_>) -> io::Result<()> {
        // Counting the run before it takes its time, as its effect may come at any point of it.
        let request = call.header("x-request-id").unwrap_or("-").to_owned();
        let latency_ms = {
            let mut state = lock(&self.state);
            *state.runs.entry(request.clone()).or_default() += 1;
            state.running += 1;
            state.max_running = state.max_running.max(state.running);
            if state.calls.len() < RECORDED_CALLS {
                state.calls.push(json!({
                    "method": call.method,
                    "path": call.path,
                    "query": call.query,
                    "headers": call.headers,
                    "body": String::from_utf8_lossy(&call.body),
                }));
            }
            state.settings.latency_ms
        };
        thread::sleep(Duration::from_millis(latency_ms));

        // Answering as the faults say.
        let (settings, boot, run) = {
            let mut state = lock(&self.state);
            state.running -= 1;
            let settings = state.settings.clone();
            state.settings.cut_after_run = settings.cut_after_run.saturating_sub(1);
            if settings.cut_after_run == 0 {
                state.settings.cut_in_body = settings.cut_in_body.saturating_sub(1);
            }
            (settings, state.boot, state.runs[&request])
        };
        if settings.cut_after_run > 0 {
            return Ok(());
        }
        let mut body = json!({
            "request": request, "run": run, "path": call.path, "query": call.query,
            "echo": String::from_utf8_lossy(&call.body),
        })
        .to_string();
        body.push_str(&" ".repeat(settings.padding_bytes));
        let headers = [
            ("content-type", "application/json".to_owned()),
            ("x-boot-id", format!("service-{boot}")),
        ];
        if settings.cut_in_body > 0 {
            reply.start(settings.status, &headers)?;
            return reply.chunk(&body.as_bytes()[..body.len() / 2]);
        }
        reply.full(settings.status, &headers, body.as_bytes())
    }
}

impl ControlTarget for FakeService {
    fn state(&self) -> Value {
        let state = lock(&self.state);
        json!({
            "boot": format!("service-{}", state.boot),
            "runs": state.runs,
            "calls": state.calls,
            "running": state.running,
            "max_running": state.max_running,
        })
    }

    fn settings(&self) -> Value {
        json!(lock(&self.state).settings)
    }

    fn replace_settings(&self, settings: Value) -> Result<(), String> {
        let settings = serde_json::from_value(settings).map_err(|error| error.to_string())?;
        lock(&self.state).settings = settings;
        Ok(())
    }

    fn crash(&self) {
        lock(&self.state).boot += 1;
    }
}
