//! One request and its response on a connection.

use {
    crate::{
        carried::RequestKey,
        link::{LARGE_BODY_BYTES, SendGuard, await_dead_link},
        pool::{ConnectionPool, PooledConnection},
    },
    bytes::{Bytes, BytesMut},
    http::{HeaderMap, Request, StatusCode, header, response::Parts},
    http_body_util::{BodyExt, Full},
    hyper::body::Incoming,
    std::{ops::RangeInclusive, time::Duration},
    thiserror::Error,
    tokio::time::timeout,
};

/// The share of a server's announced keep-alive time for which a connection is reused, in percent.
///
/// The server starts counting when it sends its response, so the remainder is a safety margin.
const KEEPALIVE_PERCENT: u32 = 80;

/// The maximum time to read the rest of a response that is not needed.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(200);

/// The maximum size of the rest of a response that is read to keep the connection, in bytes.
const DRAIN_LIMIT: usize = 16 << 10;

/// The statuses of final responses. The HTTP library reads past interim responses, but returns 101, which answers an
/// upgrade that no request asks for, and statuses that HTTP does not define.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// The error of a request that got no complete response.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{detail}")]
pub struct SendError {
    /// Whether the server may have received the request; false proves that it did not.
    pub maybe_received: bool,
    /// Whether the connection had been used for an earlier exchange.
    pub was_reused: bool,
    /// A human-readable description.
    pub detail: String,
}

impl SendError {
    /// Creates the error of a request of which no byte was written.
    pub fn not_sent(detail: String) -> Self {
        Self {
            maybe_received: false,
            was_reused: false,
            detail,
        }
    }

    /// Creates the error of a request that was written completely or in part.
    pub fn maybe_received(detail: String) -> Self {
        Self {
            maybe_received: true,
            was_reused: false,
            detail,
        }
    }
}

/// Returns whether a request may still be sent; asked directly before it is written.
pub type SendPermit<'a> = &'a dyn Fn() -> bool;

/// A response whose body has been read completely.
#[derive(Debug, Clone)]
pub struct CompleteResponse {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// What an exchange needs of its client.
#[derive(Clone)]
pub(crate) struct ExchangeOrigin {
    /// The request's identifier, if the server returns it.
    pub(crate) key: Option<RequestKey>,
    pub(crate) pool: ConnectionPool,
    /// The maximum number of idle connections kept per address.
    pub(crate) capacity: usize,
    /// Whether servers may read large requests slowly.
    pub(crate) has_slow_readers: bool,
    /// What is asked directly before each write of the request.
    pub(crate) guard: Option<SendGuard>,
}

/// A response whose body has not been read yet.
///
/// Dropping it before the end closes the connection, which cancels the request.
pub struct HttpExchange {
    head: Parts,
    body: Incoming,
    was_reused: bool,
    connection: Option<PooledConnection>,
    pool: ConnectionPool,
    capacity: usize,
}

impl HttpExchange {
    /// Sends a request if it is permitted once the connection can take it. If nothing was written
    /// to a connection that was closed, the request is returned with the error.
    pub(crate) async fn start(
        connection: PooledConnection,
        request: Request<Bytes>,
        permit: SendPermit<'_>,
        origin: ExchangeOrigin,
    ) -> Result<Self, (SendError, Option<Request<Bytes>>)> {
        let mut connection = connection;
        let was_reused = connection.reused;
        let bytes = request.body().len();
        let sent = request.map(Full::new);
        if let Err(error) = connection.sender.ready().await {
            let send_error = SendError {
                was_reused,
                ..SendError::not_sent(error.to_string())
            };
            return Err((send_error, Some(with_plain_body(sent))));
        }
        if !permit() {
            let detail = "the permission to send the request has ended".to_owned();
            return Err((SendError::not_sent(detail), None));
        }
        let is_patient = origin.has_slow_readers && bytes >= LARGE_BODY_BYTES;
        connection.patience.set(is_patient);
        connection.intake.begin();
        if let Some(key) = origin.key {
            connection.carried.record(key);
        }
        let is_guarded = origin.guard.is_some();
        connection.write_guard.set(origin.guard);
        let address = connection.address;
        let response = tokio::select! {
            response = connection.sender.try_send_request(sent) => response,
            () = await_dead_link(address), if is_patient => {
                let detail = format!("{address} answers no connection while it takes no request");
                return Err((SendError::maybe_received(detail), None));
            }
        };
        let response = match response {
            Ok(response) => response,
            Err(mut error) => {
                let unsent = error.take_message().map(with_plain_body);
                let is_written = !is_guarded || connection.write_guard.is_written();
                let send_error = SendError {
                    maybe_received: unsent.is_none() && is_written,
                    was_reused,
                    detail: error.into_error().to_string(),
                };
                return Err((send_error, unsent));
            }
        };
        connection.write_guard.set(None);
        let (head, body) = response.into_parts();
        let status = head.status.as_u16();
        if !FINAL_STATUSES.contains(&status) {
            let detail = format!("expected a status from 200 to 599, found {status:03}");
            let send_error = SendError {
                was_reused,
                ..SendError::maybe_received(detail)
            };
            return Err((send_error, None));
        }
        if let Some(limit) = parse_keep_alive(&head.headers) {
            connection.set_idle_limit(limit);
        }
        Ok(Self {
            head,
            body,
            was_reused,
            connection: Some(connection),
            pool: origin.pool,
            capacity: origin.capacity,
        })
    }

    pub fn status(&self) -> StatusCode {
        self.head.status
    }

    pub fn headers(&self) -> &HeaderMap {
        &self.head.headers
    }

    /// Returns whether the connection had been used for an earlier exchange.
    pub fn was_reused(&self) -> bool {
        self.was_reused
    }

    /// Reads the next chunk of the body, or returns `None` at its end.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is truncated.
    pub async fn chunk(&mut self) -> Result<Option<Bytes>, SendError> {
        loop {
            match self.body.frame().await {
                None => {
                    self.return_to_pool();
                    return Ok(None);
                }
                Some(Err(error)) => {
                    self.connection = None;
                    return Err(SendError::maybe_received(error.to_string()));
                }
                Some(Ok(frame)) => {
                    // Trailers are ignored.
                    if let Ok(data) = frame.into_data()
                        && !data.is_empty()
                    {
                        if let Some(connection) = &self.connection {
                            connection.intake.count_content(data.len());
                        }
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
    /// Returns an error if the body is truncated or longer than `limit`.
    pub async fn read_to_end(mut self, limit: usize) -> Result<CompleteResponse, SendError> {
        let mut body = BytesMut::new();
        while let Some(chunk) = self.chunk().await? {
            if body.len() + chunk.len() > limit {
                return Err(SendError::maybe_received(format!(
                    "the response body exceeds the limit of {limit} bytes"
                )));
            }
            body.extend_from_slice(&chunk);
        }
        Ok(CompleteResponse {
            status: self.head.status,
            headers: self.head.headers.clone(),
            body: body.freeze(),
        })
    }

    /// Reads and discards the rest of a short response in the background, so that the connection
    /// can be reused.
    pub fn drain_in_background(self) {
        tokio::task::spawn_local(async move {
            // If the rest is too long or late, the connection is closed.
            let _ = timeout(DRAIN_TIMEOUT, self.read_to_end(DRAIN_LIMIT)).await;
        });
    }

    /// Closes the connection now, for a response that belongs to another request.
    pub fn discard_connection(&mut self) {
        self.connection = None;
    }

    fn return_to_pool(&mut self) {
        if let Some(connection) = self.connection.take()
            && !connection.sender.is_closed()
        {
            self.pool.put(connection, self.capacity);
        }
    }
}

fn with_plain_body(request: Request<Full<Bytes>>) -> Request<Bytes> {
    request.map(|body| {
        // The body is a single buffer of which nothing has been consumed.
        let mut body = body;
        let frame = std::pin::Pin::new(&mut body);
        let mut context = std::task::Context::from_waker(std::task::Waker::noop());
        match http_body::Body::poll_frame(frame, &mut context) {
            std::task::Poll::Ready(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            _ => Bytes::new(),
        }
    })
}

/// Returns for how long the connection may be idle, according to the server and less a margin.
fn parse_keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(header::HeaderName::from_static("keep-alive"))?;
    let text = value.to_str().ok()?;
    let seconds = text
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    let seconds: u32 = seconds.trim().parse().ok()?;
    Some(Duration::from_secs(u64::from(seconds)) * KEEPALIVE_PERCENT / 100)
}
