//! A fake plain service that counts executions and records the requests it receives.

use {
    crate::{
        control::{ControlTarget, lock},
        stream::{self, RawHttpRequest, ResponseWriter},
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

/// The maximum number of recorded requests.
const RECORDED_REQUEST_LIMIT: usize = 1000;

/// The behavior and the faults of a fake service.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceSettings {
    /// The duration of a request, in milliseconds.
    pub latency_ms: u64,
    /// The status of responses.
    pub status: u16,
    /// The number of subsequent requests whose connection is closed without a response after they
    /// were executed.
    pub cut_after_run: u32,
    /// The number of subsequent requests whose response is truncated in the middle of the body.
    pub cut_in_body: u32,
    /// The number of bytes of padding after the JSON text of a response.
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
    execution_counts: BTreeMap<String, u64>,
    requests: Vec<Value>,
    running: u32,
    max_running: u32,
}

/// A plain service that counts executions by the `x-request-id` header.
#[derive(Debug, Clone, Default)]
pub struct FakeService {
    state: Arc<Mutex<ServiceState>>,
}

impl FakeService {
    /// Serves an address on background threads and returns the bound address; port 0 selects a free
    /// port.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn spawn(&self, address: SocketAddr) -> io::Result<SocketAddr> {
        let service = self.clone();
        stream::spawn(
            address,
            Arc::new(move |request, response| service.handle(request, response)),
        )
    }

    pub fn update_settings(&self, change: impl FnOnce(&mut ServiceSettings)) {
        change(&mut lock(&self.state).settings);
    }

    /// Returns how many times a request was executed.
    pub fn execution_count(&self, request_id: &str) -> u64 {
        lock(&self.state)
            .execution_counts
            .get(request_id)
            .copied()
            .unwrap_or(0)
    }

    fn handle(
        &self,
        request: &RawHttpRequest,
        response: &mut ResponseWriter<'_>,
    ) -> io::Result<()> {
        // Count the execution before the delay, because a request may take effect even if its
        // connection is lost during the delay.
        let request_id = request.header("x-request-id").unwrap_or("-").to_owned();
        let latency_ms = {
            let mut state = lock(&self.state);
            *state
                .execution_counts
                .entry(request_id.clone())
                .or_default() += 1;
            state.running += 1;
            state.max_running = state.max_running.max(state.running);
            if state.requests.len() < RECORDED_REQUEST_LIMIT {
                state.requests.push(json!({
                    "method": request.method,
                    "path": request.path,
                    "query": request.query,
                    "headers": request.headers,
                    "body": String::from_utf8_lossy(&request.body),
                }));
            }
            state.settings.latency_ms
        };
        thread::sleep(Duration::from_millis(latency_ms));

        // Respond according to the faults.
        let (settings, boot, run) = {
            let mut state = lock(&self.state);
            state.running -= 1;
            let settings = state.settings.clone();
            state.settings.cut_after_run = settings.cut_after_run.saturating_sub(1);
            if settings.cut_after_run == 0 {
                state.settings.cut_in_body = settings.cut_in_body.saturating_sub(1);
            }
            (settings, state.boot, state.execution_counts[&request_id])
        };
        if settings.cut_after_run > 0 {
            return Ok(());
        }
        let mut body = json!({
            "request": request_id, "run": run, "path": request.path, "query": request.query,
            "echo": String::from_utf8_lossy(&request.body),
        })
        .to_string();
        body.push_str(&" ".repeat(settings.padding_bytes));
        let headers = [
            ("content-type", "application/json".to_owned()),
            ("x-boot-id", format!("service-{boot}")),
        ];
        if settings.cut_in_body > 0 {
            response.start(settings.status, &headers)?;
            return response.chunk(&body.as_bytes()[..body.len() / 2]);
        }
        response.send_complete(settings.status, &headers, body.as_bytes())
    }
}

impl ControlTarget for FakeService {
    fn state(&self) -> Value {
        let state = lock(&self.state);
        json!({
            "boot": format!("service-{}", state.boot),
            "runs": state.execution_counts,
            "calls": state.requests,
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
