//! Bodies: reading request bodies within limits, and writing response bodies from another thread.

use {
    super::response::{CallerDisconnected, ResponseWriter},
    bytes::{Bytes, BytesMut},
    catkindeck::{ErrorKind, ServiceError},
    catkindeck_health::InFlightGuard,
    http::{HeaderName, HeaderValue, Response},
    http_body::{Body, Frame},
    http_body_util::BodyExt,
    hyper::body::Incoming,
    std::{
        io,
        pin::Pin,
        sync::Arc,
        task::{Context, Poll},
        time::Duration,
    },
    tokio::{
        sync::{mpsc, oneshot},
        time::{Instant, timeout_at},
    },
};

/// The number of body parts queued for a slow caller before the handler blocks.
const BODY_QUEUE_PARTS: usize = 16;

/// The amount of an oversized body that is read and dropped before the refusal, as a multiple of
/// the size limit.
const DISCARD_LIMIT_FACTOR: usize = 4;

/// One part of a response body on its way to the connection.
pub(super) enum BodyPart {
    Bytes(Bytes),
    /// Marks the body as complete.
    End,
}

/// The body of a response, written by a handler on another thread.
pub(super) struct ResponseBody {
    parts: Option<mpsc::Receiver<BodyPart>>,
    complete: Option<Bytes>,
    flush_requested: bool,
    _guard: Option<Arc<InFlightGuard>>,
}

impl ResponseBody {
    /// Creates a body whose bytes are all available.
    pub(super) fn complete(bytes: Vec<u8>) -> Self {
        Self {
            parts: None,
            complete: Some(Bytes::from(bytes)),
            flush_requested: false,
            _guard: None,
        }
    }

    /// Counts the request as in flight until the connection has taken the whole body.
    pub(super) fn hold(&mut self, guard: Arc<InFlightGuard>) {
        self._guard = Some(guard);
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if let Some(bytes) = self.complete.take() {
            let frame = (!bytes.is_empty()).then(|| Ok(Frame::data(bytes)));
            return Poll::Ready(frame);
        }
        let Some(parts) = self.parts.as_mut() else {
            return Poll::Ready(None);
        };
        let part = std::task::ready!(parts.poll_recv(context));
        Poll::Ready(match part {
            Some(BodyPart::Bytes(bytes)) => Some(Ok(Frame::data(bytes))),
            Some(BodyPart::End) => {
                self.parts = None;
                None
            }
            // The handler ended without marking the body as complete, so the error aborts the
            // connection. hyper then drops data that it has not flushed; returning `Pending` once
            // makes it flush first.
            None if !self.flush_requested => {
                self.flush_requested = true;
                context.waker().wake_by_ref();
                return Poll::Pending;
            }
            None => Some(Err(io::Error::other("the response body ended early"))),
        })
    }

    fn is_end_stream(&self) -> bool {
        self.parts.is_none() && self.complete.as_ref().is_none_or(Bytes::is_empty)
    }

    fn size_hint(&self) -> http_body::SizeHint {
        match (&self.complete, &self.parts) {
            (Some(bytes), _) => http_body::SizeHint::with_exact(bytes.len() as u64),
            (None, None) => http_body::SizeHint::with_exact(0),
            (None, Some(_)) => http_body::SizeHint::default(),
        }
    }
}

/// The handler's side of a response.
pub(super) struct ResponseChannel {
    head: Option<oneshot::Sender<Response<ResponseBody>>>,
    parts: Option<mpsc::Sender<BodyPart>>,
    common: Vec<(HeaderName, HeaderValue)>,
}

impl ResponseChannel {
    /// Creates both sides; the `common` headers are added to every response.
    pub(super) fn new(
        common: Vec<(HeaderName, HeaderValue)>,
    ) -> (Self, oneshot::Receiver<Response<ResponseBody>>) {
        let (sender, receiver) = oneshot::channel();
        let channel = Self {
            head: Some(sender),
            parts: None,
            common,
        };
        (channel, receiver)
    }

    fn send_head(
        &mut self,
        status: u16,
        headers: &[(String, String)],
        body: ResponseBody,
    ) -> Result<(), CallerDisconnected> {
        let sender = self.head.take().ok_or(CallerDisconnected)?;
        let response = build_response(status, headers, &self.common, body);
        sender.send(response).map_err(|_| CallerDisconnected)
    }
}

impl ResponseWriter for ResponseChannel {
    fn send(
        &mut self,
        status: u16,
        headers: &[(String, String)],
        body: Vec<u8>,
    ) -> Result<(), CallerDisconnected> {
        self.send_head(status, headers, ResponseBody::complete(body))
    }

    fn open(
        &mut self,
        status: u16,
        headers: &[(String, String)],
    ) -> Result<(), CallerDisconnected> {
        let (sender, receiver) = mpsc::channel(BODY_QUEUE_PARTS);
        let body = ResponseBody {
            parts: Some(receiver),
            complete: None,
            flush_requested: false,
            _guard: None,
        };
        self.send_head(status, headers, body)?;
        self.parts = Some(sender);
        Ok(())
    }

    fn write(&mut self, bytes: Vec<u8>) -> Result<(), CallerDisconnected> {
        let parts = self.parts.as_ref().ok_or(CallerDisconnected)?;
        if bytes.is_empty() {
            return Ok(());
        }
        let part = BodyPart::Bytes(Bytes::from(bytes));
        parts.blocking_send(part).map_err(|_| CallerDisconnected)
    }

    fn finish(&mut self) {
        if let Some(parts) = self.parts.take() {
            // An error means that the caller has disconnected.
            let _ = parts.blocking_send(BodyPart::End);
        }
    }

    fn headers_sent(&self) -> bool {
        self.head.is_none()
    }

    fn is_disconnected(&self) -> bool {
        let is_head_closed = self.head.as_ref().is_some_and(oneshot::Sender::is_closed);
        is_head_closed || self.parts.as_ref().is_some_and(mpsc::Sender::is_closed)
    }
}

/// Builds a response, leaving out headers that are invalid in HTTP.
pub(super) fn build_response(
    status: u16,
    headers: &[(String, String)],
    common: &[(HeaderName, HeaderValue)],
    body: ResponseBody,
) -> Response<ResponseBody> {
    let mut response = Response::new(body);
    *response.status_mut() =
        http::StatusCode::from_u16(status).unwrap_or(http::StatusCode::BAD_GATEWAY);
    for (name, value) in headers {
        if let (Ok(name), Ok(value)) = (
            HeaderName::from_bytes(name.as_bytes()),
            HeaderValue::from_str(value),
        ) {
            response.headers_mut().append(name, value);
        }
    }
    for (name, value) in common {
        response.headers_mut().insert(name.clone(), value.clone());
    }
    response
}

/// Why a body could not be read.
pub(super) enum BodyError {
    /// The body was refused with this error.
    Refused(ServiceError),
    /// The connection was lost.
    Interrupted,
}

/// Reads a body of at most `limit` bytes that must arrive within `timeout`.
pub(super) async fn read_body(
    mut body: Incoming,
    limit: usize,
    timeout: Duration,
) -> Result<Bytes, BodyError> {
    let too_large_error = || {
        let detail = format!("the request body exceeds {limit} bytes");
        BodyError::Refused(ServiceError::not_run(ErrorKind::TooLarge, detail))
    };
    let deadline = Instant::now() + timeout;
    if body.size_hint().lower() > limit as u64 {
        discard(body, limit, deadline).await;
        return Err(too_large_error());
    }
    let mut bytes = BytesMut::new();
    loop {
        let frame = timeout_at(deadline, body.frame()).await.map_err(|_| {
            let detail = format!(
                "the request body did not arrive within {} ms",
                timeout.as_millis()
            );
            BodyError::Refused(ServiceError::not_run(ErrorKind::SlowRequest, detail))
        })?;
        match frame {
            None => return Ok(bytes.freeze()),
            Some(Err(_)) => return Err(BodyError::Interrupted),
            Some(Ok(frame)) => {
                // Trailers are not forwarded.
                let Ok(data) = frame.into_data() else {
                    continue;
                };
                if bytes.len() + data.len() > limit {
                    discard(body, limit, deadline).await;
                    return Err(too_large_error());
                }
                bytes.extend_from_slice(&data);
            }
        }
    }
}

/// Reads and drops the rest of an oversized body, up to [`DISCARD_LIMIT_FACTOR`] times the limit.
///
/// If the connection were closed while the caller is still sending, the caller would get a reset
/// instead of the response.
async fn discard(mut body: Incoming, limit: usize, deadline: Instant) {
    let mut remaining = limit.saturating_mul(DISCARD_LIMIT_FACTOR);
    while let Ok(Some(Ok(frame))) = timeout_at(deadline, body.frame()).await {
        let length = frame.data_ref().map_or(0, Bytes::len);
        if length > remaining {
            return;
        }
        remaining -= length;
    }
}
