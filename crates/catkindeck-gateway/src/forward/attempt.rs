//! One attempt of a request at one upstream.

use {
    crate::{core::GatewayCore, port::UpstreamHead, upstream_guard::UpstreamGuard},
    bytes::Bytes,
    catkindeck::time::unix_ms,
    catkindeck_net::{HttpExchange, SendError},
    http::{HeaderMap, HeaderName, Request, header},
    std::{rc::Rc, time::Instant},
};

/// The part of an answer that is read before any of it is passed on, in bytes. Until then a broken
/// answer can be replaced by another upstream's.
const BUFFER_LIMIT: usize = 256 << 10;

/// How long an upstream is passed over after it refused a request, in milliseconds; about the time
/// in which a slot becomes free.
pub const REFUSAL_PAUSE_MS: u64 = 50;

/// Headers of an answer that concern its connection only.
const CONNECTION_HEADERS: [HeaderName; 5] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::TRANSFER_ENCODING,
    header::TRAILER,
    HeaderName::from_static("keep-alive"),
];

/// An answer of an upstream, whole or with its beginning.
pub struct UpstreamAnswer {
    /// The decoded head.
    pub head: UpstreamHead,
    /// The headers as received.
    pub headers: HeaderMap,
    /// The body so far.
    pub body: Bytes,
    /// The exchange to read the rest from, if the body is not whole.
    pub rest: Option<HttpExchange>,
    /// When the request was sent, in milliseconds since the Unix epoch.
    pub sent_ms: u64,
    /// Keeps the upstream counted as in use while the rest is read.
    pub guard: UpstreamGuard,
}

/// How an attempt ended.
pub enum AttemptOutcome {
    /// The upstream answered.
    Answered(Box<UpstreamAnswer>),
    /// It is proved that the upstream did not run the request.
    NotRun(String),
    /// The upstream may have run the request.
    Unknown(String),
}

/// Sends a request to an upstream and reads its answer.
pub async fn attempt(
    core: Rc<GatewayCore>,
    guard: UpstreamGuard,
    request: Request<Bytes>,
    id: String,
    fresh: bool,
) -> AttemptOutcome {
    let started = Instant::now();
    let sent_ms = unix_ms();
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
        Err(fault) => return failed(&guard, &fault),
    };
    let head = core
        .ports
        .upstreams
        .decode_head(exchange.status(), exchange.headers());
    // An answer that arrives late stands where the next one is expected.
    if head
        .request
        .as_ref()
        .is_some_and(|answered| *answered != id)
    {
        exchange.discard_connection();
        return AttemptOutcome::Unknown("the answer belongs to another request".to_owned());
    }
    if head.not_run {
        guard.record_refusal(REFUSAL_PAUSE_MS);
        exchange.drain_in_background();
        return AttemptOutcome::NotRun(format!("the upstream refused with {}", head.status));
    }
    if head.status.is_success() && head.stamp.is_none() {
        exchange.discard_connection();
        guard.record_failure();
        return AttemptOutcome::Unknown("the answer has no stamp".to_owned());
    }
    let mut body = bytes::BytesMut::new();
    let headers = exchange.headers().clone();
    loop {
        match exchange.chunk().await {
            Ok(None) => break,
            Ok(Some(chunk)) => body.extend_from_slice(&chunk),
            Err(fault) => return failed(&guard, &fault),
        }
        if body.len() >= BUFFER_LIMIT {
            return AttemptOutcome::Answered(Box::new(UpstreamAnswer {
                head,
                headers,
                body: body.freeze(),
                rest: Some(exchange),
                sent_ms,
                guard,
            }));
        }
    }
    guard.record_success();
    let elapsed = u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX);
    core.roster
        .borrow_mut()
        .get_mut(guard.key)
        .record_latency(elapsed);
    AttemptOutcome::Answered(Box::new(UpstreamAnswer {
        head,
        headers,
        body: body.freeze(),
        rest: None,
        sent_ms,
        guard,
    }))
}

/// Copies the headers of an upstream's answer that do not concern its connection only.
pub fn copy_headers(from: &HeaderMap, to: &mut HeaderMap) {
    for (name, value) in from {
        if !CONNECTION_HEADERS.contains(name) {
            to.append(name.clone(), value.clone());
        }
    }
}

fn failed(guard: &UpstreamGuard, fault: &SendError) -> AttemptOutcome {
    guard.record_failure();
    match fault.maybe_received {
        true => AttemptOutcome::Unknown(fault.to_string()),
        false => AttemptOutcome::NotRun(fault.to_string()),
    }
}
