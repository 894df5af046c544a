//! The HTTP server for the caller and operator addresses.

use {
    super::{
        CallerRequest, RequestHandler,
        body::{BodyError, ResponseBody, ResponseChannel, build_response, read_body},
        error_body,
    },
    crate::events::{ACCEPT_FAILED, CALLER_LISTENING, HANDLER_FAILED, REQUEST_INTERRUPTED},
    catkindeck::{ErrorKind, ServiceError, id::RequestId, log_event},
    catkindeck_health::DrainGate,
    http::{HeaderName, HeaderValue, Request, Response, header::CONNECTION},
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    slog::Logger,
    std::{
        convert::Infallible,
        net::SocketAddr,
        panic::{AssertUnwindSafe, catch_unwind},
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        runtime::{Builder, Runtime},
        sync::{OwnedSemaphorePermit, Semaphore, watch},
        time::{Instant, timeout},
    },
};

/// The stack size of a handler thread, in bytes; handlers do not recurse, and thousands of them may
/// be blocked at once.
const HANDLER_STACK_BYTES: usize = 512 << 10;

/// The delay after a failed accept, so that running out of file descriptors does not flood the log.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// The time without a new connection after which a listener that is to be closed stops waiting for
/// more.
const CLOSE_IDLE_TIME: Duration = Duration::from_millis(20);

/// The maximum time that a listener that is to be closed waits for [`CLOSE_IDLE_TIME`] to pass
/// without a connection.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// The limits of the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerLimits {
    /// The maximum number of connections; further ones wait in the listen backlog.
    pub connections: usize,
    /// The maximum number of requests in flight; further ones are answered with `overloaded`.
    pub requests: usize,
    /// The maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// The maximum size of the request line and headers, in bytes, at least 8192.
    pub header_bytes: usize,
    /// The timeout for the headers of a request, which also limits how long a connection may be
    /// idle.
    pub header_timeout: Duration,
    /// The timeout for the body of a request.
    pub body_timeout: Duration,
}

/// Accepts and serves connections until it is dropped.
pub struct HttpServer {
    address: SocketAddr,
    shared: Arc<ServerShared>,
    _runtime: Runtime,
}

struct ServerShared {
    limits: ServerLimits,
    handler: Arc<dyn RequestHandler>,
    gate: Arc<DrainGate>,
    connections: AtomicUsize,
    drain: watch::Sender<bool>,
    close: watch::Sender<bool>,
    closed: watch::Sender<bool>,
    logger: Logger,
}

impl HttpServer {
    /// Binds `address` and serves it on a runtime of its own.
    ///
    /// # Errors
    ///
    /// Returns `internal` if the address cannot be bound or the threads cannot be started.
    pub fn start(
        address: SocketAddr,
        limits: ServerLimits,
        handler: Arc<dyn RequestHandler>,
        gate: Arc<DrainGate>,
        logger: Logger,
    ) -> Result<Self, ServiceError> {
        let internal_error = |error: std::io::Error| {
            let detail = format!("cannot start the HTTP server on {address}: {error}");
            ServiceError::not_run(ErrorKind::Internal, detail)
        };
        let runtime = Builder::new_multi_thread()
            .worker_threads(2)
            .max_blocking_threads(limits.requests)
            .thread_stack_size(HANDLER_STACK_BYTES)
            .thread_name("caller")
            .enable_all()
            .build()
            .map_err(internal_error)?;
        let listener = runtime
            .block_on(TcpListener::bind(address))
            .map_err(internal_error)?;
        let address = listener.local_addr().map_err(internal_error)?;
        log_event!(logger, CALLER_LISTENING; "address" => %address);
        let shared = Arc::new(ServerShared {
            limits,
            handler,
            gate,
            connections: AtomicUsize::new(0),
            drain: watch::Sender::new(false),
            close: watch::Sender::new(false),
            closed: watch::Sender::new(false),
            logger,
        });
        runtime.spawn(accept_loop(listener, Arc::clone(&shared)));
        Ok(Self {
            address,
            shared,
            _runtime: runtime,
        })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes idle connections now, and the others after their response.
    ///
    /// New connections are still accepted, because the load balancer may not have noticed the
    /// shutdown yet; the closed [`DrainGate`] refuses their requests with `shutting_down`.
    pub fn drain(&self) {
        self.shared.drain.send_replace(true);
    }

    /// Stops accepting connections, after serving those already in the listen backlog.
    ///
    /// Process exit resets connections in the listen backlog, so the listener is closed first.
    /// Later callers get a refused connection and lose no request.
    pub fn close(&self) {
        self.shared.close.send_replace(true);
    }

    /// Returns the number of open connections; zero after a drain means that every response was
    /// written to its socket.
    pub fn connections(&self) -> usize {
        self.shared.connections.load(Ordering::SeqCst)
    }
}

async fn accept_loop(listener: TcpListener, shared: Arc<ServerShared>) {
    let permits = Arc::new(Semaphore::new(shared.limits.connections));
    let mut close = shared.close.subscribe();
    loop {
        // The semaphore is never closed, so this never fails.
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = close.wait_for(|closing| *closing) => break,
        };
        match accepted {
            Ok((stream, _)) => spawn_connection(stream, Some(permit), &shared),
            Err(error) => {
                log_event!(shared.logger, ACCEPT_FAILED; "error" => %error);
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
    // Callers reconnect only after their refusal, which `respond` delays until the listener is
    // closed, so new connections stop arriving soon.
    let deadline = Instant::now() + CLOSE_TIMEOUT;
    while Instant::now() < deadline
        && let Ok(Ok((stream, _))) = timeout(CLOSE_IDLE_TIME, listener.accept()).await
    {
        spawn_connection(stream, None, &shared);
    }
    for stream in take_backlog(listener) {
        spawn_connection(stream, None, &shared);
    }
    shared.closed.send_replace(true);
}

/// Closes the listener and returns the connections from its backlog.
///
/// Accepts directly on the socket, because tokio may not have been notified of the last connections
/// yet. A connection established between the last accept and the close is reset; no system call
/// closes that window.
fn take_backlog(listener: TcpListener) -> Vec<TcpStream> {
    let Ok(listener) = listener.into_std() else {
        return Vec::new();
    };
    let mut accepted = Vec::new();
    while let Ok((stream, _)) = listener.accept() {
        accepted.push(stream);
    }
    drop(listener);
    let streams = accepted.into_iter().filter_map(|stream| {
        stream.set_nonblocking(true).ok()?;
        TcpStream::from_std(stream).ok()
    });
    streams.collect()
}

fn spawn_connection(
    stream: TcpStream,
    permit: Option<OwnedSemaphorePermit>,
    shared: &Arc<ServerShared>,
) {
    let shared = Arc::clone(shared);
    shared.connections.fetch_add(1, Ordering::SeqCst);
    tokio::spawn(async move {
        serve_connection(stream, &shared).await;
        shared.connections.fetch_sub(1, Ordering::SeqCst);
        drop(permit);
    });
}

async fn serve_connection(stream: TcpStream, shared: &Arc<ServerShared>) {
    // Each token is a small write that must not wait for the acknowledgement of the previous one.
    let _ = stream.set_nodelay(true);
    let has_request = AtomicBool::new(false);
    let service = service_fn(|request| {
        has_request.store(true, Ordering::SeqCst);
        let shared = Arc::clone(shared);
        async move { Ok::<_, Infallible>(respond(request, &shared).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(shared.limits.header_timeout)
        .max_buf_size(shared.limits.header_bytes)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let mut drain = shared.drain.subscribe();
    tokio::select! {
        _ = connection.as_mut() => return,
        _ = drain.wait_for(|draining| *draining) => {
            // A connection without a request so far stays open. hyper would close it and lose a
            // request in transit, which is now refused with `Connection: close` instead.
            if has_request.load(Ordering::SeqCst) {
                connection.as_mut().graceful_shutdown();
            }
        }
    }
    // An error here is caused by the caller: a disconnect, or a protocol error that hyper answered.
    let _ = connection.await;
}

async fn respond(request: Request<Incoming>, shared: &Arc<ServerShared>) -> Response<ResponseBody> {
    let id = RequestId::random();
    let common = common_headers(id, shared.gate.is_draining());
    let error_response = |error: &ServiceError, close: bool| {
        let mut headers = vec![("content-type".to_owned(), "application/json".to_owned())];
        if close {
            headers.push(("connection".to_owned(), "close".to_owned()));
        }
        let body = ResponseBody::complete(error_body(error, id));
        build_response(error.kind.response().status, &headers, &common, body)
    };
    // The body is read before any refusal: closing a connection while its caller is still sending
    // resets it and loses the response. It is read here, so that slow callers occupy no thread.
    let admission = shared.gate.enter();
    let (parts, body) = request.into_parts();
    let limits = shared.limits;
    let body = match read_body(body, limits.body_bytes, limits.body_timeout).await {
        Ok(body) => body,
        // The rest of the body was not read, so the connection cannot be reused.
        Err(BodyError::Refused(error)) => return error_response(&error, true),
        Err(BodyError::Interrupted) => {
            log_event!(shared.logger, REQUEST_INTERRUPTED; "request" => %id);
            let detail = "the connection was lost while the request body was read";
            return error_response(&ServiceError::not_run(ErrorKind::BadRequest, detail), true);
        }
    };
    let guard = match admission {
        Ok(guard) => Arc::new(guard),
        Err(error) => {
            // A refused caller reconnects at once. While the listener is closing, the new
            // connection could be reset, so the refusal is delayed until the listener is closed.
            if *shared.close.borrow() {
                // An error means that the server was dropped, which closes the connection too.
                let _ = shared.closed.subscribe().wait_for(|closed| *closed).await;
            }
            return error_response(&error, true);
        }
    };
    if shared.gate.in_flight() > limits.requests {
        let detail = "this entry has too many requests in progress";
        return error_response(&ServiceError::not_run(ErrorKind::Overloaded, detail), false);
    }
    let request = CallerRequest {
        id,
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body,
    };

    let (mut channel, head) = ResponseChannel::new(common.clone());
    let worker = Arc::clone(shared);
    // The handler may outlive the caller's connection, and shutdown waits for the handler too.
    let handler_guard = Arc::clone(&guard);
    tokio::task::spawn_blocking(move || {
        // A panic in one request must not terminate the thread or leave the request counted.
        let result = catch_unwind(AssertUnwindSafe(|| {
            worker.handler.handle(request, &mut channel);
        }));
        if result.is_err() {
            log_event!(worker.logger, HANDLER_FAILED; "request" => %id);
        }
        drop(handler_guard);
    });
    match head.await {
        Ok(mut response) => {
            response.body_mut().hold(guard);
            response
        }
        Err(_) => {
            let detail = "the request handler ended without a response";
            error_response(&ServiceError::unknown(ErrorKind::Internal, detail), true)
        }
    }
}

fn common_headers(id: RequestId, draining: bool) -> Vec<(HeaderName, HeaderValue)> {
    let mut headers = Vec::new();
    if let Ok(value) = HeaderValue::from_str(&id.to_string()) {
        headers.push((HeaderName::from_static("x-request-id"), value));
    }
    if draining {
        headers.push((CONNECTION, HeaderValue::from_static("close")));
    }
    headers
}
