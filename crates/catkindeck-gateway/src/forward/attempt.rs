//! A single attempt of a request at one upstream.

use {
    crate::{core::GatewayCore, port::UpstreamHead, upstream_guard::UpstreamGuard},
    bytes::{Bytes, BytesMut},
    catkindeck_net::{HttpExchange, IdentifiedRequest, SendError},
    http::{HeaderMap, HeaderName, Request, header},
    std::{rc::Rc, time::Instant},
};

/// The number of bytes of a response that are buffered before any are forwarded. Until then a failed response
/// can be replaced by that of another upstream.
const BUFFER_LIMIT: usize = 256 << 10;

/// The same number while buffered responses take more than their part of the memory.
const TIGHT_BUFFER_LIMIT: usize = 16 << 10;

/// Responses that are buffered or wait for their callers may take the process's memory divided by this number before
/// less of each is buffered.
const BUFFER_MEMORY_DIVISOR: u64 = 16;

/// How long an upstream is not selected after it refused a request, in milliseconds. A slot becomes free in
/// about this time.
pub const REFUSAL_PAUSE_MS: u64 = 50;

/// The media type of a stream of events.
const EVENT_STREAM: &str = "text/event-stream";

/// Response headers that concern only the connection to the upstream.
const CONNECTION_HEADERS: [HeaderName; 5] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::TRANSFER_ENCODING,
    header::TRAILER,
    HeaderName::from_static("keep-alive"),
];

/// An upstream's response, complete or with the start of its body.
pub struct UpstreamResponse {
    pub head: UpstreamHead,
    pub headers: HeaderMap,
    /// The part of the body that was read so far.
    pub body: Bytes,
    /// The exchange that delivers the rest of the body; `None` if the body is complete.
    pub rest: Option<HttpExchange>,
    /// When the request was sent, in milliseconds since the Unix epoch.
    pub sent_ms: u64,
    /// Whether the connection had carried an earlier request.
    pub was_reused: bool,
    /// Counts the request as in progress while the rest is read.
    pub guard: UpstreamGuard,
}

pub enum AttemptOutcome {
    Answered(Box<UpstreamResponse>),
    /// The upstream certainly did not run the request.
    NotRun(String),
    /// The upstream leaves and did not run the request, or was not sent it.
    Withheld(String),
    /// The upstream may have run the request.
    Unknown(String),
    /// The connection broke after the request was sent, and before any of the response's body arrived.
    Broken(String),
}

/// Sends a request to an upstream and reads the response. With `fresh`, a new connection is opened.
pub async fn attempt(
    core: Rc<GatewayCore>,
    guard: UpstreamGuard,
    request: Request<Bytes>,
    id: String,
    fresh: bool,
) -> AttemptOutcome {
    let started = Instant::now();
    let sent_ms = core.unix_ms();
    let identified = IdentifiedRequest::new(&id, request);
    let sent = send(&core, &guard, identified, fresh).await;
    let mut exchange = match sent {
        Ok(exchange) => exchange,
        Err(fault) => return failure_outcome(&guard, &fault),
    };
    let head = core
        .ports
        .upstreams
        .decode_head(exchange.status(), exchange.headers());
    if let Some(detail) = foreign_response(&head, &id) {
        exchange.discard_connection();
        guard.record_failure();
        return AttemptOutcome::Unknown(detail);
    }
    guard.observe_head(&head);
    if head.not_run {
        guard.stop_timing();
        guard.record_refusal(REFUSAL_PAUSE_MS);
        exchange.drain_in_background();
        return refusal_outcome(&guard, &head);
    }
    if head.status.is_success() && head.stamp.is_none() {
        exchange.discard_connection();
        guard.record_failure();
        return AttemptOutcome::Unknown(
            "the response has no valid server stamp, so it may not come from the upstream"
                .to_owned(),
        );
    }
    let was_reused = exchange.was_reused();
    let mut body = BufferedBody::new(&core);
    let headers = exchange.headers().clone();
    loop {
        match exchange.chunk().await {
            Ok(None) => break,
            Ok(Some(chunk)) => body.append(&chunk),
            Err(fault) if body.is_empty() => return failure_outcome(&guard, &fault),
            Err(fault) => {
                guard.record_failure();
                return AttemptOutcome::Unknown(fault.to_string());
            }
        }
        if body.is_full() {
            guard.stop_timing();
            return AttemptOutcome::Answered(Box::new(UpstreamResponse {
                head,
                headers,
                body: body.take(),
                rest: Some(exchange),
                sent_ms,
                was_reused,
                guard,
            }));
        }
    }
    guard.record_answer(started.elapsed(), head.status.is_server_error());
    AttemptOutcome::Answered(Box::new(UpstreamResponse {
        head,
        headers,
        body: body.take(),
        rest: None,
        sent_ms,
        was_reused,
        guard,
    }))
}

async fn send(
    core: &GatewayCore,
    guard: &UpstreamGuard,
    identified: IdentifiedRequest,
    fresh: bool,
) -> Result<HttpExchange, SendError> {
    let client = &core.upstream_client;
    let permit = || guard.permit_send();
    match fresh {
        true => {
            client
                .send_on_new_connection(guard.address, identified, &permit)
                .await
        }
        false => client.send_if(guard.address, identified, &permit).await,
    }
}

/// The start of a body, counted with those of other responses until it is passed on.
struct BufferedBody {
    core: Rc<GatewayCore>,
    content: BytesMut,
}

impl BufferedBody {
    fn new(core: &Rc<GatewayCore>) -> Self {
        Self {
            core: Rc::clone(core),
            content: BytesMut::new(),
        }
    }

    fn append(&mut self, chunk: &[u8]) {
        let buffered = self.core.buffered_bytes.get() - self.content.capacity() as u64;
        self.content.extend_from_slice(chunk);
        let own = self.content.capacity() as u64;
        self.core.buffered_bytes.set(buffered + own);
    }

    fn is_full(&self) -> bool {
        let memory = self.core.settings().memory_bytes / BUFFER_MEMORY_DIVISOR;
        let taken = self.core.buffered_bytes.get() + self.core.held.total();
        let limit = match taken > memory {
            true => TIGHT_BUFFER_LIMIT,
            false => BUFFER_LIMIT,
        };
        self.content.len() >= limit
    }

    fn is_empty(&self) -> bool {
        self.content.is_empty()
    }

    fn take(&mut self) -> Bytes {
        self.release();
        std::mem::take(&mut self.content).freeze()
    }

    fn release(&self) {
        let own = self.content.capacity() as u64;
        let buffered = self.core.buffered_bytes.get();
        self.core.buffered_bytes.set(buffered.saturating_sub(own));
    }
}

impl Drop for BufferedBody {
    fn drop(&mut self) {
        self.release();
    }
}

/// Returns a description of a response that does not prove that it answers the request `id`.
///
/// On a reused connection, a second response to an earlier request may arrive in place of the expected one, and a
/// faulty upstream may send bytes that belong to no request. Upstreams return the identifier of the request.
pub fn foreign_response(head: &UpstreamHead, id: &str) -> Option<String> {
    match &head.request {
        Some(answered) if answered == id => None,
        Some(answered) => Some(format!("the response is for request {answered}, not {id}")),
        None => Some(format!(
            "the response with status {} does not name the request {id}",
            head.status
        )),
    }
}

/// Returns why a successful response is not the stream of events that was asked for, which may come from something
/// other than the upstream or hold an error's text.
pub fn stream_fault(head: &UpstreamHead, headers: &HeaderMap) -> Option<String> {
    if head.stamp.is_none() {
        return Some("the stream has no valid server stamp".to_owned());
    }
    let text = |name: HeaderName| {
        let value = headers.get(name)?;
        Some(value.to_str().unwrap_or("?").trim().to_ascii_lowercase())
    };
    if let Some(encoding) = text(header::CONTENT_ENCODING)
        && encoding != "identity"
    {
        return Some(format!("the stream has the encoding {encoding}"));
    }
    let media_type = text(header::CONTENT_TYPE)?;
    let is_stream = media_type.split(';').next().map(str::trim) == Some(EVENT_STREAM);
    (!is_stream).then(|| format!("the response is {media_type}, expected {EVENT_STREAM}"))
}

/// Copies an upstream's response headers, except those of its connection.
pub fn copy_headers(from: &HeaderMap, to: &mut HeaderMap) {
    for (name, value) in from {
        if !CONNECTION_HEADERS.contains(name) {
            to.append(name.clone(), value.clone());
        }
    }
}

fn refusal_outcome(guard: &UpstreamGuard, head: &UpstreamHead) -> AttemptOutcome {
    let detail = format!(
        "the upstream refused the request with status {}",
        head.status
    );
    match guard.may_send() {
        true => AttemptOutcome::NotRun(detail),
        false => AttemptOutcome::Withheld(detail),
    }
}

fn failure_outcome(guard: &UpstreamGuard, fault: &SendError) -> AttemptOutcome {
    if guard.was_withheld(fault) {
        return AttemptOutcome::Withheld(fault.to_string());
    }
    guard.record_failure();
    match fault.maybe_received {
        true => AttemptOutcome::Broken(fault.to_string()),
        false => AttemptOutcome::NotRun(fault.to_string()),
    }
}
