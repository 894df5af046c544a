//! The HTTP client for model engines (`docs/design.md`, section 5).

use {
    super::{
        CacheChange, ProbeOutcome, ProbeReport, ResponseSink, StreamControl, UpstreamClient,
        UpstreamOutcome,
        http::{
            build_agent, call_error, probe_failure, read_body, read_boot, read_failure,
            request_failure,
        },
    },
    crate::settings::{AgentTimeouts, UpstreamSettings},
    catkindeck::{
        ErrorKind, ServiceError,
        id::RequestId,
        message::{CompletionBody, ExecuteRequest, OrderKind, WorkBody},
        token::WeightVersion,
    },
    serde::Deserialize,
    serde_json::json,
    std::{
        io::{BufRead, BufReader, Read},
        time::Duration,
    },
    ureq::{Agent, http::HeaderMap},
};

/// The maximum length of a line in an engine's response, in bytes.
const LINE_LIMIT: u64 = 1 << 20;

/// The maximum size of an engine's non-streaming response, in bytes.
const RESPONSE_LIMIT: u64 = 4 << 20;

/// The maximum number of tokens in one chunk that is forwarded.
const CHUNK_TOKENS: u32 = 256;

/// The text size from which a chunk is forwarded, in bytes.
const CHUNK_BYTES: usize = 64 << 10;

/// The client for one model engine.
pub struct EngineUpstream {
    agent: Agent,
    base_url: String,
    model: String,
    timeouts: AgentTimeouts,
}

/// One line of an engine's streamed completion.
#[derive(Debug, Deserialize)]
struct CompletionChunk {
    #[serde(default)]
    token: Option<String>,
    #[serde(default)]
    version: Option<u64>,
    #[serde(default)]
    done: bool,
    #[serde(default)]
    reason: String,
}

#[derive(Debug, Deserialize)]
struct LoadResponse {
    #[serde(default)]
    version: Option<u64>,
}

#[derive(Debug, Deserialize)]
struct EventsResponse {
    events: Vec<CacheEvent>,
}

#[derive(Debug, Deserialize)]
struct CacheEvent {
    sequence: u64,
    kind: String,
    prefix: u64,
}

/// Consecutive tokens of the same version, which are forwarded as one chunk.
#[derive(Default)]
struct TokenBatch {
    text: String,
    tokens: u32,
    version: Option<WeightVersion>,
}

impl EngineUpstream {
    /// Creates a client. No connection is opened before the first call.
    pub fn new(settings: &UpstreamSettings, timeouts: &AgentTimeouts) -> Self {
        Self {
            agent: build_agent(timeouts.connect),
            base_url: settings.base_url.clone(),
            model: settings.service.to_string(),
            timeouts: *timeouts,
        }
    }

    fn complete(
        &self,
        request: &ExecuteRequest,
        body: &CompletionBody,
        limit: Duration,
        sink: &mut dyn ResponseSink,
    ) -> UpstreamOutcome {
        let payload = json!({
            "request_id": request.request.to_string(),
            "model": self.model,
            "prompt": body.prompt,
            "max_tokens": body.max_tokens,
            "priority": request.priority,
            "resume_text": body.resume_text,
            "resume_tokens": body.resume_tokens,
        });
        let result = self
            .agent
            .post(format!("{}/v1/completions", self.base_url))
            .config()
            .timeout_global(Some(limit))
            .build()
            .content_type("application/json")
            .send(payload.to_string());
        let mut response = match result {
            Ok(response) => response,
            Err(error) => return request_failure(&error),
        };
        sink.boot(read_boot(response.headers()));
        let status = response.status().as_u16();
        if status != 200 {
            let reason = read_body(response.body_mut(), RESPONSE_LIMIT).unwrap_or_default();
            return rejected_outcome(status, &reason);
        }
        let reader = response
            .into_body()
            .into_with_config()
            .limit(u64::MAX)
            .reader();
        read_tokens(BufReader::new(reader), sink)
    }

    fn fetch(&self, path: &str) -> Result<(HeaderMap, Vec<u8>), ProbeOutcome> {
        let mut response = self
            .agent
            .get(format!("{}{path}", self.base_url))
            .config()
            .timeout_global(Some(self.timeouts.probe))
            .build()
            .call()
            .map_err(|error| probe_failure(&error))?;
        if response.status() != 200 {
            return Err(ProbeOutcome::Reachable);
        }
        let body = response
            .body_mut()
            .with_config()
            .limit(RESPONSE_LIMIT)
            .read_to_vec()
            .map_err(|error| probe_failure(&error))?;
        Ok((response.headers().clone(), body))
    }

    fn read_report(&self, events_after: u64) -> Result<ProbeReport, ProbeOutcome> {
        let (headers, body) = self.fetch("/v1/load")?;
        let load: LoadResponse =
            serde_json::from_slice(&body).map_err(|_| ProbeOutcome::Reachable)?;
        // An engine that offers no cache events still reports its boot ID and version.
        let changes = match self.fetch(&format!("/v1/events?after={events_after}")) {
            Ok((_, body)) => serde_json::from_slice::<EventsResponse>(&body).ok(),
            Err(ProbeOutcome::Reachable) => None,
            Err(outcome) => return Err(outcome),
        };
        let changes = changes.map_or_else(Vec::new, |response| response.events);
        let cache = changes.iter().map(|event| CacheChange {
            sequence: event.sequence,
            prefix: event.prefix,
            stored: event.kind == "stored",
        });
        Ok(ProbeReport {
            boot: read_boot(&headers),
            version: load.version.map(WeightVersion),
            cache: cache.collect(),
        })
    }
}

impl UpstreamClient for EngineUpstream {
    fn run(
        &self,
        request: &ExecuteRequest,
        limit: Duration,
        sink: &mut dyn ResponseSink,
    ) -> UpstreamOutcome {
        match &request.body {
            WorkBody::Completion(body) => self.complete(request, body, limit, sink),
            WorkBody::Call(_) => UpstreamOutcome::NotSent(ServiceError::not_run(
                ErrorKind::BadRequest,
                "expected a completion, got a plain HTTP request: the upstream is a model engine",
            )),
        }
    }

    fn cancel(&self, request: &RequestId) {
        let result = self
            .agent
            .post(format!("{}/v1/cancel/{request}", self.base_url))
            .config()
            .timeout_global(Some(self.timeouts.probe))
            .build()
            .send_empty();
        // Errors are ignored: an engine that cannot be reached has either lost the request or ends
        // it at its time limit.
        drop(result);
    }

    fn order(&self, kind: &OrderKind, fence: u64) -> Result<(), ServiceError> {
        let payload = match kind {
            OrderKind::Stage(version) => {
                json!({"kind": "load", "version": version, "fence": fence})
            }
            OrderKind::Activate(version) => {
                json!({"kind": "swap", "version": version, "fence": fence})
            }
            OrderKind::ChangeRole(role) => json!({"kind": "role", "role": role, "fence": fence}),
            OrderKind::Leave | OrderKind::SetZone(_) => return Ok(()),
        };
        let mut response = self
            .agent
            .post(format!("{}/v1/orders", self.base_url))
            .config()
            .timeout_global(Some(self.timeouts.order))
            .build()
            .content_type("application/json")
            .send(payload.to_string())
            .map_err(|error| call_error(&error))?;
        let status = response.status().as_u16();
        let reason = read_body(response.body_mut(), RESPONSE_LIMIT).unwrap_or_default();
        let reason = String::from_utf8_lossy(&reason);
        match status {
            200 => Ok(()),
            409 => Err(ServiceError::not_run(
                ErrorKind::Fenced,
                format!("the engine rejected the fencing token: {reason}"),
            )),
            status => Err(ServiceError::unknown(
                ErrorKind::UpstreamFailed,
                format!("the engine responded with status {status} to the order: {reason}"),
            )),
        }
    }

    fn probe(&self, events_after: u64) -> ProbeOutcome {
        self.read_report(events_after)
            .map_or_else(|outcome| outcome, ProbeOutcome::Report)
    }
}

/// Reads a streamed completion and forwards its tokens. Tokens that arrive together and have the
/// same version form one chunk.
fn read_tokens<R: Read>(mut reader: BufReader<R>, sink: &mut dyn ResponseSink) -> UpstreamOutcome {
    let mut batch = TokenBatch::default();
    let mut line = Vec::new();
    loop {
        line.clear();
        let read = reader
            .by_ref()
            .take(LINE_LIMIT)
            .read_until(b'\n', &mut line);
        match read {
            Ok(0) => {
                return truncated_response("the engine ended its response without a final line");
            }
            Ok(_) if line.last() == Some(&b'\n') => {}
            Ok(_) => {
                return truncated_response("the engine's response ended in the middle of a line");
            }
            Err(error) => return read_failure(&error),
        }
        let Ok(parsed) = serde_json::from_slice::<CompletionChunk>(&line) else {
            return truncated_response("the engine sent a line that cannot be parsed");
        };
        if parsed.done {
            // The caller's request to stop is ignored, because the response is complete.
            let _ = batch.flush(sink);
            return match parsed.reason.as_str() {
                "cancelled" => UpstreamOutcome::Stopped,
                _ => UpstreamOutcome::Complete,
            };
        }
        let Some(token) = parsed.token else {
            continue;
        };
        let version = parsed.version.map(WeightVersion);
        if batch.tokens > 0 && batch.version != version && batch.flush(sink) == StreamControl::Stop
        {
            return UpstreamOutcome::Stopped;
        }
        batch.version = version;
        batch.text.push_str(&token);
        batch.tokens += 1;
        let has_room = batch.tokens < CHUNK_TOKENS && batch.text.len() < CHUNK_BYTES;
        let has_buffered_line = has_room && reader.buffer().contains(&b'\n');
        if !has_buffered_line && batch.flush(sink) == StreamControl::Stop {
            return UpstreamOutcome::Stopped;
        }
    }
}

impl TokenBatch {
    fn flush(&mut self, sink: &mut dyn ResponseSink) -> StreamControl {
        if self.tokens == 0 {
            return StreamControl::Continue;
        }
        let control = sink.chunk(self.text.as_bytes(), self.tokens, self.version);
        self.text.clear();
        self.tokens = 0;
        control
    }
}

fn truncated_response(detail: &str) -> UpstreamOutcome {
    UpstreamOutcome::Failed {
        error: ServiceError::unknown(ErrorKind::UpstreamFailed, detail),
        crashed: true,
    }
}

fn rejected_outcome(status: u16, reason: &[u8]) -> UpstreamOutcome {
    // The reason is truncated, because it may contain the prompt.
    let reason: String = String::from_utf8_lossy(reason).chars().take(200).collect();
    let kind = match status {
        400 | 413 | 422 => ErrorKind::BadRequest,
        _ => ErrorKind::UpstreamFailed,
    };
    UpstreamOutcome::Failed {
        error: ServiceError::unknown(
            kind,
            format!("the engine responded with status {status}: {reason}"),
        ),
        crashed: false,
    }
}
