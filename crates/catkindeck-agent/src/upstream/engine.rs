//! The client of a model engine (`docs/design.md`, section 5).

use {
    super::{
        CacheChange, ProbeOutcome, StreamFlow, UpstreamClient, UpstreamEnd, UpstreamEvents,
        UpstreamProbe,
        http::{build_agent, end_of, end_of_read, failure, probe_failure, read_body, read_boot},
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

/// The longest line of an engine's answer, in bytes.
const LINE_LIMIT: u64 = 1 << 20;

/// The largest short answer of an engine, in bytes.
const ANSWER_LIMIT: u64 = 4 << 20;

/// The most tokens that are passed on in one chunk.
const CHUNK_TOKENS: u32 = 256;

/// The text from which on a chunk takes no more tokens, in bytes.
const CHUNK_BYTES: usize = 64 << 10;

/// A model engine.
pub struct EngineUpstream {
    agent: Agent,
    base_url: String,
    model: String,
    timeouts: AgentTimeouts,
}

/// A line of a completion's answer.
#[derive(Debug, Deserialize)]
struct TokenLine {
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
struct LoadForm {
    #[serde(default)]
    version: Option<u64>,
}

#[derive(Debug, Deserialize)]
struct EventsForm {
    events: Vec<EventForm>,
}

#[derive(Debug, Deserialize)]
struct EventForm {
    sequence: u64,
    kind: String,
    prefix: u64,
}

/// Tokens that were read together and have one version.
#[derive(Default)]
struct TokenBatch {
    text: String,
    tokens: u32,
    version: Option<WeightVersion>,
}

impl EngineUpstream {
    /// Makes a client; no connection is opened before the first call.
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
        events: &mut dyn UpstreamEvents,
    ) -> UpstreamEnd {
        let form = json!({
            "request_id": request.request.to_string(),
            "model": self.model,
            "prompt": body.prompt,
            "max_tokens": body.max_tokens,
            "priority": request.priority,
            "resume_text": body.resume_text,
            "resume_tokens": body.resume_tokens,
        });
        let sent = self
            .agent
            .post(format!("{}/v1/completions", self.base_url))
            .config()
            .timeout_global(Some(limit))
            .build()
            .content_type("application/json")
            .send(form.to_string());
        let mut response = match sent {
            Ok(response) => response,
            Err(error) => return end_of(&error),
        };
        events.boot(read_boot(response.headers()));
        let status = response.status().as_u16();
        if status != 200 {
            let reason = read_body(response.body_mut(), ANSWER_LIMIT).unwrap_or_default();
            return refusal(status, &reason);
        }
        let reader = response
            .into_body()
            .into_with_config()
            .limit(u64::MAX)
            .reader();
        read_tokens(BufReader::new(reader), events)
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
            .limit(ANSWER_LIMIT)
            .read_to_vec()
            .map_err(|error| probe_failure(&error))?;
        Ok((response.headers().clone(), body))
    }

    fn read_report(&self, events_after: u64) -> Result<UpstreamProbe, ProbeOutcome> {
        let (headers, body) = self.fetch("/v1/load")?;
        let load: LoadForm = serde_json::from_slice(&body).map_err(|_| ProbeOutcome::Reachable)?;
        // An engine without cache events still reports its boot and version.
        let changes = match self.fetch(&format!("/v1/events?after={events_after}")) {
            Ok((_, body)) => serde_json::from_slice::<EventsForm>(&body).ok(),
            Err(ProbeOutcome::Reachable) => None,
            Err(failed) => return Err(failed),
        };
        let changes = changes.map_or_else(Vec::new, |form| form.events);
        let cache = changes.iter().map(|event| CacheChange {
            sequence: event.sequence,
            prefix: event.prefix,
            stored: event.kind == "stored",
        });
        Ok(UpstreamProbe {
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
        events: &mut dyn UpstreamEvents,
    ) -> UpstreamEnd {
        match &request.body {
            WorkBody::Completion(body) => self.complete(request, body, limit, events),
            WorkBody::Call(_) => UpstreamEnd::NotSent(ServiceError::not_run(
                ErrorKind::BadRequest,
                "a model engine takes completions only",
            )),
        }
    }

    fn cancel(&self, request: &RequestId) {
        let called = self
            .agent
            .post(format!("{}/v1/cancel/{request}", self.base_url))
            .config()
            .timeout_global(Some(self.timeouts.probe))
            .build()
            .send_empty();
        // An engine that cannot be reached has lost the request or is cut off by its time limit.
        drop(called);
    }

    fn order(&self, kind: &OrderKind, fence: u64) -> Result<(), ServiceError> {
        let form = match kind {
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
            .send(form.to_string())
            .map_err(|error| failure(&error))?;
        let status = response.status().as_u16();
        let reason = read_body(response.body_mut(), ANSWER_LIMIT).unwrap_or_default();
        let reason = String::from_utf8_lossy(&reason);
        match status {
            200 => Ok(()),
            409 => Err(ServiceError::not_run(
                ErrorKind::Fenced,
                format!("the engine refused the fencing number: {reason}"),
            )),
            status => Err(ServiceError::unknown(
                ErrorKind::UpstreamFailed,
                format!("the engine answered {status} to the order: {reason}"),
            )),
        }
    }

    fn probe(&self, events_after: u64) -> ProbeOutcome {
        self.read_report(events_after)
            .map_or_else(|failed| failed, ProbeOutcome::Report)
    }
}

/// Passes tokens on; those that arrived together and have one version make one chunk.
fn read_tokens<R: Read>(mut reader: BufReader<R>, events: &mut dyn UpstreamEvents) -> UpstreamEnd {
    let mut batch = TokenBatch::default();
    let mut line = Vec::new();
    loop {
        line.clear();
        let read = reader
            .by_ref()
            .take(LINE_LIMIT)
            .read_until(b'\n', &mut line);
        match read {
            Ok(0) => return cut("the engine ended its answer without an end line"),
            Ok(_) if line.last() == Some(&b'\n') => {}
            Ok(_) => return cut("the engine's answer ended within a line"),
            Err(error) => return end_of_read(&error),
        }
        let Ok(parsed) = serde_json::from_slice::<TokenLine>(&line) else {
            return cut("the engine sent an unreadable line");
        };
        if parsed.done {
            // A stop at the last token changes nothing, because the answer is whole.
            let _ = batch.flush(events);
            return match parsed.reason.as_str() {
                "cancelled" => UpstreamEnd::Stopped,
                _ => UpstreamEnd::Complete,
            };
        }
        let Some(token) = parsed.token else {
            continue;
        };
        let version = parsed.version.map(WeightVersion);
        if batch.tokens > 0 && batch.version != version && batch.flush(events) == StreamFlow::Stop {
            return UpstreamEnd::Stopped;
        }
        batch.version = version;
        batch.text.push_str(&token);
        batch.tokens += 1;
        let has_room = batch.tokens < CHUNK_TOKENS && batch.text.len() < CHUNK_BYTES;
        let more_at_hand = has_room && reader.buffer().contains(&b'\n');
        if !more_at_hand && batch.flush(events) == StreamFlow::Stop {
            return UpstreamEnd::Stopped;
        }
    }
}

impl TokenBatch {
    fn flush(&mut self, events: &mut dyn UpstreamEvents) -> StreamFlow {
        if self.tokens == 0 {
            return StreamFlow::Continue;
        }
        let flow = events.chunk(self.text.as_bytes(), self.tokens, self.version);
        self.text.clear();
        self.tokens = 0;
        flow
    }
}

fn cut(detail: &str) -> UpstreamEnd {
    UpstreamEnd::Failed {
        error: ServiceError::unknown(ErrorKind::UpstreamFailed, detail),
        crashed: true,
    }
}

fn refusal(status: u16, reason: &[u8]) -> UpstreamEnd {
    // The reason is cut short because an engine may echo the prompt.
    let reason: String = String::from_utf8_lossy(reason).chars().take(200).collect();
    let kind = match status {
        400 | 413 | 422 => ErrorKind::BadRequest,
        _ => ErrorKind::UpstreamFailed,
    };
    UpstreamEnd::Failed {
        error: ServiceError::unknown(kind, format!("the engine answered {status}: {reason}")),
        crashed: false,
    }
}
