//! One request and its answer on a connection.

use {
    crate::pool::{ConnectionPool, OpenConnection},
    bytes::{Bytes, BytesMut},
    http::{HeaderMap, Request, StatusCode, header, response::Parts},
    http_body_util::{BodyExt, Full},
    hyper::body::Incoming,
    std::time::Duration,
    thiserror::Error,
    tokio::time::timeout,
};

/// The part of a stated keep-alive time after which a connection is not used again, in percent.
///
/// The other side counts from when it sent its answer, so the last part is left unused.
const KEEPALIVE_PERCENT: u32 = 80;

/// The longest time for the rest of an answer that is of no use.
const FINISH_LIMIT: Duration = Duration::from_millis(200);

/// The largest rest of an answer that is read to keep the connection, in bytes.
const FINISH_BYTES: usize = 16 << 10;

/// Why a request has no whole answer.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{detail}")]
pub struct SendError {
    /// Whether the other side may have received the request; false is a proof that it did not.
    pub maybe_received: bool,
    /// Whether the connection had served an earlier exchange.
    pub was_reused: bool,
    /// What happened.
    pub detail: String,
}

impl SendError {
    /// Makes the fault of a request of which no byte was written.
    pub fn not_sent(detail: String) -> Self {
        Self {
            maybe_received: false,
            was_reused: false,
            detail,
        }
    }

    /// Makes the fault of a request that was written, wholly or in part.
    pub fn maybe_received(detail: String) -> Self {
        Self {
            maybe_received: true,
            was_reused: false,
            detail,
        }
    }
}

/// An answer that was read to its end.
#[derive(Debug, Clone)]
pub struct CompleteResponse {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// An answer whose body is still to be read.
///
/// Dropping it before the end closes the connection, which is how a request is cancelled.
pub struct HttpExchange {
    head: Parts,
    body: Incoming,
    connection: Option<OpenConnection>,
    pool: ConnectionPool,
    capacity: usize,
}

impl HttpExchange {
    /// Sends a request; a request that was not written is handed back with the fault.
    pub(crate) async fn start(
        connection: OpenConnection,
        request: Request<Bytes>,
        (pool, capacity): (ConnectionPool, usize),
    ) -> Result<Self, (SendError, Option<Request<Bytes>>)> {
        let mut connection = connection;
        let was_reused = connection.reused;
        let sent = request.map(Full::new);
        if let Err(error) = connection.sender.ready().await {
            let fault = SendError {
                was_reused,
                ..SendError::not_sent(error.to_string())
            };
            return Err((fault, Some(restore(sent))));
        }
        let response = match connection.sender.try_send_request(sent).await {
            Ok(response) => response,
            Err(mut error) => {
                let unsent = error.take_message().map(restore);
                let fault = SendError {
                    maybe_received: unsent.is_none(),
                    was_reused,
                    detail: error.into_error().to_string(),
                };
                return Err((fault, unsent));
            }
        };
        let (head, body) = response.into_parts();
        if let Some(limit) = keepalive(&head.headers) {
            connection.set_idle_limit(limit);
        }
        Ok(Self {
            head,
            body,
            connection: Some(connection),
            pool,
            capacity,
        })
    }

    /// Returns the status.
    pub fn status(&self) -> StatusCode {
        self.head.status
    }

    /// Returns the headers.
    pub fn headers(&self) -> &HeaderMap {
        &self.head.headers
    }

    /// Reads the next part of the body, or `None` at its end.
    ///
    /// # Errors
    ///
    /// Returns a fault if the body is cut off.
    pub async fn chunk(&mut self) -> Result<Option<Bytes>, SendError> {
        loop {
            match self.body.frame().await {
                None => {
                    self.finish();
                    return Ok(None);
                }
                Some(Err(error)) => {
                    self.connection = None;
                    return Err(SendError::maybe_received(error.to_string()));
                }
                Some(Ok(frame)) => {
                    // Trailers carry nothing that is used here.
                    if let Ok(data) = frame.into_data()
                        && !data.is_empty()
                    {
                        return Ok(Some(data));
                    }
                }
            }
        }
    }

    /// Reads the rest of the body, at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// Returns a fault if the body is cut off or too long.
    pub async fn whole(mut self, limit: usize) -> Result<CompleteResponse, SendError> {
        let mut body = BytesMut::new();
        while let Some(chunk) = self.chunk().await? {
            if body.len() + chunk.len() > limit {
                return Err(SendError::maybe_received(
                    "the answer is too long".to_owned(),
                ));
            }
            body.extend_from_slice(&chunk);
        }
        Ok(CompleteResponse {
            status: self.head.status,
            headers: self.head.headers.clone(),
            body: body.freeze(),
        })
    }

    /// Reads the short rest of an answer that is of no use, so that the connection can be kept.
    pub fn drain_in_background(self) {
        tokio::task::spawn_local(async move {
            // A rest that does not come soon costs the connection.
            let _ = timeout(FINISH_LIMIT, self.whole(FINISH_BYTES)).await;
        });
    }

    /// Keeps the connection out of the pool, for an answer that belongs to another request.
    pub fn discard_connection(&mut self) {
        self.connection = None;
    }

    fn finish(&mut self) {
        if let Some(connection) = self.connection.take()
            && !connection.sender.is_closed()
        {
            self.pool.put(connection, self.capacity);
        }
    }
}

fn restore(request: Request<Full<Bytes>>) -> Request<Bytes> {
    request.map(|body| {
        // The body was one buffer and no part of it was taken.
        let mut body = body;
        let frame = std::pin::Pin::new(&mut body);
        let mut context = std::task::Context::from_waker(std::task::Waker::noop());
        match http_body::Body::poll_frame(frame, &mut context) {
            std::task::Poll::Ready(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            _ => Bytes::new(),
        }
    })
}

/// Reads how long the other side keeps the connection, less a margin.
fn keepalive(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(header::HeaderName::from_static("keep-alive"))?;
    let text = value.to_str().ok()?;
    let seconds = text
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    let seconds: u32 = seconds.trim().parse().ok()?;
    Some(Duration::from_secs(u64::from(seconds)) * KEEPALIVE_PERCENT / 100)
}
