//! A single attempt of a request at one upstream.

use {
    crate::{core::GatewayCore, port::UpstreamHead, upstream_guard::UpstreamGuard},
    bytes::Bytes,
    catkindeck_net::{HttpExchange, SendError},
    http::{HeaderMap, HeaderName, Request, header},
    std::{rc::Rc, time::Instant},
};

/// The number of bytes of a response that are buffered before any are forwarded. Until then a failed response
/// can be replaced by that of another upstream.
const BUFFER_LIMIT: usize = 256 << 10;

/// How long an upstream is not selected after it refused a request, in milliseconds. A slot becomes free in
/// about this time.
pub const REFUSAL_PAUSE_MS: u64 = 50;

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
    /// Counts the request as in progress while the rest is read.
    pub guard: UpstreamGuard,
}

pub enum AttemptOutcome {
    Answered(Box<UpstreamResponse>),
    /// The upstream certainly did not run the request.
    NotRun(String),
    /// The upstream may have run the request.
    Unknown(String),
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
    let sent = match fresh {
        true => {
            core.upstream_client
                .send_on_new_connection(guard.address, request)
                .await
        }
        false => core.upstream_client.send(guard.address, request).await,
    };
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
    guard.observe_limit(&head);
    if head.status.is_server_error() {
        exchange.prevent_reuse();
    }
    if head.not_run {
        guard.stop_timing();
        guard.record_refusal(REFUSAL_PAUSE_MS);
        exchange.drain_in_background();
        return AttemptOutcome::NotRun(format!(
            "the upstream refused the request with status {}",
            head.status
        ));
    }
    if head.status.is_success() && head.stamp.is_none() {
        exchange.discard_connection();
        guard.record_failure();
        return AttemptOutcome::Unknown(
            "the response has no valid server stamp, so it may not come from the upstream"
                .to_owned(),
        );
    }
    let mut body = bytes::BytesMut::new();
    let headers = exchange.headers().clone();
    loop {
        match exchange.chunk().await {
            Ok(None) => break,
            Ok(Some(chunk)) => body.extend_from_slice(&chunk),
            Err(fault) => return failure_outcome(&guard, &fault),
        }
        if body.len() >= BUFFER_LIMIT {
            guard.stop_timing();
            return AttemptOutcome::Answered(Box::new(UpstreamResponse {
                head,
                headers,
                body: body.freeze(),
                rest: Some(exchange),
                sent_ms,
                guard,
            }));
        }
    }
    guard.record_answer(started.elapsed(), head.status.is_server_error());
    AttemptOutcome::Answered(Box::new(UpstreamResponse {
        head,
        headers,
        body: body.freeze(),
        rest: None,
        sent_ms,
        guard,
    }))
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

/// Copies an upstream's response headers, except those of its connection.
pub fn copy_headers(from: &HeaderMap, to: &mut HeaderMap) {
    for (name, value) in from {
        if !CONNECTION_HEADERS.contains(name) {
            to.append(name.clone(), value.clone());
        }
    }
}

fn failure_outcome(guard: &UpstreamGuard, fault: &SendError) -> AttemptOutcome {
    guard.record_failure();
    match fault.maybe_received {
        true => AttemptOutcome::Unknown(fault.to_string()),
        false => AttemptOutcome::NotRun(fault.to_string()),
    }
}
