//! Bodies: reading a caller's within limits, and writing an answer's from another thread.

use {
    super::reply::{CallerGone, ReplySink},
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

/// The number of parts of an answer that wait for a slow caller before its handler waits too.
const PART_QUEUE: usize = 16;

/// How many times the size limit of a body is received and dropped before its refusal.
const DISCARD_FACTOR: usize = 4;

/// One part of an answer on its way to the connection.
pub(super) enum ReplyPart {
    /// Bytes.
    Bytes(Bytes),
    /// The body is whole.
    End,
}

/// The body of an answer, written by a handler on another thread.
pub(super) struct ReplyBody {
    parts: Option<mpsc::Receiver<ReplyPart>>,
    whole: Option<Bytes>,
    flushed: bool,
    _guard: Option<Arc<InFlightGuard>>,
}

impl ReplyBody {
    /// Makes a body that is known whole.
    pub(super) fn whole(bytes: Vec<u8>) -> Self {
        Self {
            parts: None,
            whole: Some(Bytes::from(bytes)),
            flushed: false,
            _guard: None,
        }
    }

    /// Keeps the request in flight until the connection has taken the body over.
    pub(super) fn hold(&mut self, guard: Arc<InFlightGuard>) {
        self._guard = Some(guard);
    }
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if let Some(bytes) = self.whole.take() {
            let frame = (!bytes.is_empty()).then(|| Ok(Frame::data(bytes)));
            return Poll::Ready(frame);
        }
        let Some(parts) = self.parts.as_mut() else {
            return Poll::Ready(None);
        };
        let part = std::task::ready!(parts.poll_recv(context));
        Poll::Ready(match part {
            Some(ReplyPart::Bytes(bytes)) => Some(Ok(Frame::data(bytes))),
            Some(ReplyPart::End) => {
                self.parts = None;
                None
            }
            // The handler ended without marking the body whole; the error breaks the connection off.
            // hyper drops what it has not flushed then, so it gets one turn to flush it.
            None if !self.flushed => {
                self.flushed = true;
                context.waker().wake_by_ref();
                return Poll::Pending;
            }
            None => Some(Err(io::Error::other("the answer is not whole"))),
        })
    }

    fn is_end_stream(&self) -> bool {
        self.parts.is_none() && self.whole.as_ref().is_none_or(Bytes::is_empty)
    }

    fn size_hint(&self) -> http_body::SizeHint {
        match (&self.whole, &self.parts) {
            (Some(bytes), _) => http_body::SizeHint::with_exact(bytes.len() as u64),
            (None, None) => http_body::SizeHint::with_exact(0),
            (None, Some(_)) => http_body::SizeHint::default(),
        }
    }
}

/// The handler's end of an answer.
pub(super) struct ReplyChannel {
    head: Option<oneshot::Sender<Response<ReplyBody>>>,
    parts: Option<mpsc::Sender<ReplyPart>>,
    common: Vec<(HeaderName, HeaderValue)>,
}

impl ReplyChannel {
    /// Makes both ends; `common` headers are added to every answer.
    pub(super) fn new(
        common: Vec<(HeaderName, HeaderValue)>,
    ) -> (Self, oneshot::Receiver<Response<ReplyBody>>) {
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
        body: ReplyBody,
    ) -> Result<(), CallerGone> {
        let sender = self.head.take().ok_or(CallerGone)?;
        let response = build_response(status, headers, &self.common, body);
        sender.send(response).map_err(|_| CallerGone)
    }
}

impl ReplySink for ReplyChannel {
    fn whole(
        &mut self,
        status: u16,
        headers: &[(String, String)],
        body: Vec<u8>,
    ) -> Result<(), CallerGone> {
        self.send_head(status, headers, ReplyBody::whole(body))
    }

    fn open(&mut self, status: u16, headers: &[(String, String)]) -> Result<(), CallerGone> {
        let (sender, receiver) = mpsc::channel(PART_QUEUE);
        let body = ReplyBody {
            parts: Some(receiver),
            whole: None,
            flushed: false,
            _guard: None,
        };
        self.send_head(status, headers, body)?;
        self.parts = Some(sender);
        Ok(())
    }

    fn write(&mut self, bytes: Vec<u8>) -> Result<(), CallerGone> {
        let parts = self.parts.as_ref().ok_or(CallerGone)?;
        if bytes.is_empty() {
            return Ok(());
        }
        let part = ReplyPart::Bytes(Bytes::from(bytes));
        parts.blocking_send(part).map_err(|_| CallerGone)
    }

    fn finish(&mut self) {
        if let Some(parts) = self.parts.take() {
            // The error means that the caller is gone.
            let _ = parts.blocking_send(ReplyPart::End);
        }
    }

    fn is_opened(&self) -> bool {
        self.head.is_none()
    }

    fn is_gone(&self) -> bool {
        let head_gone = self.head.as_ref().is_some_and(oneshot::Sender::is_closed);
        head_gone || self.parts.as_ref().is_some_and(mpsc::Sender::is_closed)
    }
}

/// Builds an answer and leaves out headers that HTTP does not allow.
pub(super) fn build_response(
    status: u16,
    headers: &[(String, String)],
    common: &[(HeaderName, HeaderValue)],
    body: ReplyBody,
) -> Response<ReplyBody> {
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
pub(super) enum BodyFault {
    /// The caller gets this error.
    Refused(ServiceError),
    /// The connection was lost.
    Interrupted,
}

/// Reads a body of at most `limit` bytes that arrives within `timeout`.
pub(super) async fn read_body(
    mut body: Incoming,
    limit: usize,
    timeout: Duration,
) -> Result<Bytes, BodyFault> {
    let too_large = || {
        let detail = format!("the body exceeds {limit} bytes");
        BodyFault::Refused(ServiceError::not_run(ErrorKind::TooLarge, detail))
    };
    let deadline = Instant::now() + timeout;
    if body.size_hint().lower() > limit as u64 {
        discard(body, limit, deadline).await;
        return Err(too_large());
    }
    let mut bytes = BytesMut::new();
    loop {
        let frame = timeout_at(deadline, body.frame()).await.map_err(|_| {
            let detail = format!("the body did not arrive within {} ms", timeout.as_millis());
            BodyFault::Refused(ServiceError::not_run(ErrorKind::SlowRequest, detail))
        })?;
        match frame {
            None => return Ok(bytes.freeze()),
            Some(Err(_)) => return Err(BodyFault::Interrupted),
            Some(Ok(frame)) => {
                // Trailers are not passed on.
                let Ok(data) = frame.into_data() else {
                    continue;
                };
                if bytes.len() + data.len() > limit {
                    discard(body, limit, deadline).await;
                    return Err(too_large());
                }
                bytes.extend_from_slice(&data);
            }
        }
    }
}

/// Receives the rest of a body that is too large, up to a few times the limit.
///
/// A caller that is still sending when the connection is closed gets a reset instead of its answer.
async fn discard(mut body: Incoming, limit: usize, deadline: Instant) {
    let mut room = limit.saturating_mul(DISCARD_FACTOR);
    while let Ok(Some(Ok(frame))) = timeout_at(deadline, body.frame()).await {
        let length = frame.data_ref().map_or(0, Bytes::len);
        if length > room {
            return;
        }
        room -= length;
    }
}
