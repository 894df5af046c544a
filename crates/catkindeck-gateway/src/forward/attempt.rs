//! One attempt of a request at one upstream.

use {
    crate::{core::GatewayCore, port::UpstreamHead, upstream_use::UpstreamUse},
    bytes::Bytes,
    catkindeck::time::unix_ms,
    catkindeck_net::{HttpExchange, SendError},
    http::{HeaderMap, HeaderName, Request, header},
    std::{rc::Rc, time::Instant},
};

/// The part of an answer that is read before any of it is passed on, in bytes. Until then a broken
/// answer can be replaced by another upstream's.
const HELD_BYTES: usize = 256 << 10;

/// How long an upstream is passed over after it refused a request, in milliseconds; about the time
/// in which a slot becomes free.
pub const REFUSED_PAUSE_MS: u64 = 50;

/// Headers of an answer that concern its connection only.
const NOT_RETURNED: [HeaderName; 5] = [
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
    pub used: UpstreamUse,
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
    used: UpstreamUse,
    request: Request<Bytes>,
    id: String,
    fresh: bool,
) -> AttemptOutcome {
    let started = Instant::now();
    let sent_ms = unix_ms();
    let sent = match fresh {
        true => {
            core.upstream_client
                .send_on_new_connection(used.address, request)
                .await
        }
        false => core.upstream_client.send(used.address, request).await,
    };
    let mut exchange = match sent {
        Ok(exchange) => exchange,
        Err(fault) => return failed(&used, &fault),
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
        used.refused(REFUSED_PAUSE_MS);
        exchange.drain_in_background();
        return AttemptOutcome::NotRun(format!("the upstream refused with {}", head.status));
    }
    if head.status.is_success() && head.stamp.is_none() {
        exchange.discard_connection();
        used.failed();
        return AttemptOutcome::Unknown("the answer has no stamp".to_owned());
    }
    let mut body = bytes::BytesMut::new();
    let headers = exchange.headers().clone();
    loop {
        match exchange.chunk().await {
            Ok(None) => break,
            Ok(Some(chunk)) => body.extend_from_slice(&chunk),
            Err(fault) => return failed(&used, &fault),
        }
        if body.len() >= HELD_BYTES {
            return AttemptOutcome::Answered(Box::new(UpstreamAnswer {
                head,
                headers,
                body: body.freeze(),
                rest: Some(exchange),
                sent_ms,
                used,
            }));
        }
    }
    used.answered();
    let elapsed = u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX);
    core.roster
        .borrow_mut()
        .get_mut(used.key)
        .measure_latency(elapsed);
    AttemptOutcome::Answered(Box::new(UpstreamAnswer {
        head,
        headers,
        body: body.freeze(),
        rest: None,
        sent_ms,
        used,
    }))
}

/// Copies the headers of an upstream's answer that do not concern its connection only.
pub fn copy_headers(from: &HeaderMap, to: &mut HeaderMap) {
    for (name, value) in from {
        if !NOT_RETURNED.contains(name) {
            to.append(name.clone(), value.clone());
        }
    }
}

fn failed(used: &UpstreamUse, fault: &SendError) -> AttemptOutcome {
    used.failed();
    match fault.maybe_received {
        true => AttemptOutcome::Unknown(fault.to_string()),
        false => AttemptOutcome::NotRun(fault.to_string()),
    }
}
