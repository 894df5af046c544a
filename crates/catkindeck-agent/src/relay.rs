//! Relays an upstream's response to the caller.

use {
    crate::{
        core::AgentCore,
        events,
        state::StartNotice,
        upstream::{ResponseSink, StreamControl},
    },
    catkindeck::{
        id::BootId,
        log_event,
        message::{ExecuteRequest, PeerFrame, REPLAY_BODY_LIMIT, SampleRecord, WorkBody},
        time::unix_ms,
        token::{VersionLabels, WeightVersion},
    },
    std::sync::Arc,
};

/// Forwards a response to the caller, and records its metadata and, where it is needed later, its
/// body.
pub(crate) struct ResponseRelay<'a> {
    pub core: &'a AgentCore,
    pub request: &'a ExecuteRequest,
    pub notice: Arc<StartNotice>,
    /// The upstream's boot ID when the request was sent.
    pub boot_at_start: BootId,
    /// The boot ID in the response, or the one at the start until there is a response.
    pub boot: BootId,
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub labels: VersionLabels,
    pub body: Vec<u8>,
    pub chunks: u32,
    /// Whether the caller disconnected and the request continues without it.
    pub detached: bool,
}

impl ResponseRelay<'_> {
    /// Sends a frame to the caller. If the caller disconnected, an idempotent request is stopped
    /// and any other continues without a caller.
    fn send(&mut self, frame: PeerFrame) -> StreamControl {
        self.notice.send();
        if self.detached || self.notice.sink.send(frame).is_ok() {
            return StreamControl::Continue;
        }
        if self.request.idempotent {
            return StreamControl::Stop;
        }
        self.detached = true;
        StreamControl::Continue
    }

    fn retain_body(&mut self, bytes: &[u8]) {
        let keyed = self.request.idempotency_key.is_some();
        if self.request.sample.is_some() {
            self.body.extend_from_slice(bytes);
        } else if keyed && self.body.len() <= REPLAY_BODY_LIMIT {
            // One byte above the limit is enough to detect that the body is too large to be stored.
            let room = REPLAY_BODY_LIMIT + 1 - self.body.len();
            self.body.extend_from_slice(&bytes[..bytes.len().min(room)]);
        }
    }
}

impl ResponseSink for ResponseRelay<'_> {
    fn boot(&mut self, boot: BootId) {
        self.notice.send();
        let new = {
            let now = self.core.now();
            let mut state = self.core.lock();
            state.observe_boot(now, &boot)
        };
        if new {
            self.core.metrics.boots.inc();
            log_event!(self.core.logger, events::UPSTREAM_BOOTED; "boot" => &boot.0);
        }
        self.boot = boot;
    }

    fn head(&mut self, status: u16, headers: Vec<(String, String)>) -> StreamControl {
        self.status = status;
        self.headers = headers.clone();
        self.send(PeerFrame::Head {
            request: self.request.request,
            status,
            headers,
        })
    }

    fn chunk(
        &mut self,
        bytes: &[u8],
        tokens: u32,
        version: Option<WeightVersion>,
    ) -> StreamControl {
        self.labels.push(tokens, version);
        self.retain_body(bytes);
        let frame = PeerFrame::Chunk {
            request: self.request.request,
            sequence: self.chunks,
            bytes: bytes.to_vec(),
            tokens,
            version,
        };
        self.chunks += 1;
        let control = self.send(frame);
        let now = self.core.now();
        let mut state = self.core.lock();
        let tokens = u64::from(tokens);
        if state.boot == self.boot {
            state.boot_confirmed_at = state.boot_confirmed_at.max(now);
        }
        state
            .queue
            .record_service(now, &self.request.request, tokens);
        if let Some(version) = version {
            state.observe_version(&self.boot, version);
        }
        if control == StreamControl::Continue && !self.detached {
            self.core.metrics.tokens.inc_by(tokens);
            let customer = self.request.customer.as_ref();
            state
                .usage
                .count(unix_ms(), customer, &self.request.service, 0, tokens);
        }
        let work = state.running.get(&self.request.request);
        match work.is_some_and(|work| work.cancelled) {
            true => StreamControl::Stop,
            false => control,
        }
    }
}

/// Returns the text that earlier attempts delivered, with which the stored response starts so that
/// it is complete.
pub(crate) fn resumed_prefix(request: &ExecuteRequest) -> Vec<u8> {
    match &request.body {
        WorkBody::Completion(body) => body.resume_text.clone().into_bytes(),
        WorkBody::Call(_) => Vec::new(),
    }
}

/// Returns the sample that a finished request generated, if it may be delivered.
///
/// A sample with a token of unknown version is never delivered (G1). A resumed sample is not stored
/// either, because only the owner of its step knows the version labels of the tokens that were
/// generated elsewhere.
pub(crate) fn finished_sample(relay: &ResponseRelay<'_>) -> Option<SampleRecord> {
    let id = relay.request.sample.clone()?;
    let resumed = match &relay.request.body {
        WorkBody::Completion(body) => body.resume_tokens > 0,
        WorkBody::Call(_) => true,
    };
    relay.labels.oldest()?;
    if resumed {
        return None;
    }
    Some(SampleRecord {
        id,
        text: String::from_utf8(relay.body.clone()).ok()?,
        labels: relay.labels.clone(),
    })
}
