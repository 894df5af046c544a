//! The HTTP server of the caller address.

use {
    super::{
        CallerHandler, CallerRequest,
        body::{BodyFault, ReplyBody, ReplyChannel, build_response, read_body},
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

/// The stack of a handler thread, in bytes; handlers do not recurse, and thousands may wait at once.
const HANDLER_STACK: usize = 512 << 10;

/// The pause after a failed accept, so that a lack of file descriptors does not fill the log.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The time without a new connection after which the listener is closed.
const CLOSE_QUIET: Duration = Duration::from_millis(20);

/// The longest time that the close of the listener waits for such a pause.
const CLOSE_LIMIT: Duration = Duration::from_millis(500);

/// The limits within which callers are served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerLimits {
    /// The number of connections; further ones wait in the system's backlog.
    pub connections: usize,
    /// The number of requests in progress; further ones are answered `overloaded`.
    pub requests: usize,
    /// The largest body, in bytes.
    pub body_bytes: usize,
    /// The largest request line and headers, in bytes, at least 8192.
    pub header_bytes: usize,
    /// The time for the headers of a request, which also bounds an idle connection.
    pub header_timeout: Duration,
    /// The time for the body of a request.
    pub body_timeout: Duration,
}

/// Serves callers until it is dropped.
pub struct CallerServer {
    address: SocketAddr,
    shared: Arc<ServerShared>,
    _runtime: Runtime,
}

struct ServerShared {
    limits: ServerLimits,
    handler: Arc<dyn CallerHandler>,
    gate: Arc<DrainGate>,
    connections: AtomicUsize,
    drain: watch::Sender<bool>,
    close: watch::Sender<bool>,
    closed: watch::Sender<bool>,
    logger: Logger,
}

impl CallerServer {
    /// Opens `address` and serves it on threads of its own.
    ///
    /// # Errors
    ///
    /// Returns `internal` if the address cannot be opened or the threads cannot be started.
    pub fn start(
        address: SocketAddr,
        limits: ServerLimits,
        handler: Arc<dyn CallerHandler>,
        gate: Arc<DrainGate>,
        logger: Logger,
    ) -> Result<Self, ServiceError> {
        let fault = |error: std::io::Error| {
            let detail = format!("the address {address} cannot be served: {error}");
            ServiceError::not_run(ErrorKind::Internal, detail)
        };
        let runtime = Builder::new_multi_thread()
            .worker_threads(2)
            .max_blocking_threads(limits.requests)
            .thread_stack_size(HANDLER_STACK)
            .thread_name("caller")
            .enable_all()
            .build()
            .map_err(fault)?;
        let listener = runtime
            .block_on(TcpListener::bind(address))
            .map_err(fault)?;
        let address = listener.local_addr().map_err(fault)?;
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

    /// Returns the address that is served.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes idle connections now and others after their answer.
    ///
    /// New connections are still served, because the load balancer may not know of the shutdown
    /// yet; the closed [`DrainGate`] answers them with `shutting_down`.
    pub fn drain(&self) {
        self.shared.drain.send_replace(true);
    }

    /// Stops to accept connections, after those that the system accepted already.
    ///
    /// The exit resets connections that wait in the system's backlog, so the listener is closed
    /// first; callers are then refused by the system and nothing of theirs is lost.
    pub fn close(&self) {
        self.shared.close.send_replace(true);
    }

    /// Returns the number of open connections; zero after a drain means that every answer was
    /// handed to the system.
    pub fn connections(&self) -> usize {
        self.shared.connections.load(Ordering::SeqCst)
    }
}

async fn accept_loop(listener: TcpListener, shared: Arc<ServerShared>) {
    let permits = Arc::new(Semaphore::new(shared.limits.connections));
    let mut close = shared.close.subscribe();
    loop {
        // The error means that the semaphore was closed, which never happens.
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
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    // Callers that were refused wait for their answers now, so new connections soon stop to come.
    let last = Instant::now() + CLOSE_LIMIT;
    while Instant::now() < last
        && let Ok(Ok((stream, _))) = timeout(CLOSE_QUIET, listener.accept()).await
    {
        spawn_connection(stream, None, &shared);
    }
    for stream in take_backlog(listener) {
        spawn_connection(stream, None, &shared);
    }
    shared.closed.send_replace(true);
}

/// Closes the listener and returns the connections that waited in its backlog.
///
/// The system is asked directly, because tokio may not know of the last ones yet. A connection that
/// is opened between the last accept and the close is reset; no call closes that gap.
fn take_backlog(listener: TcpListener) -> Vec<TcpStream> {
    let Ok(listener) = listener.into_std() else {
        return Vec::new();
    };
    let mut waiting = Vec::new();
    while let Ok((stream, _)) = listener.accept() {
        waiting.push(stream);
    }
    drop(listener);
    let streams = waiting.into_iter().filter_map(|stream| {
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
    // Each token is a small write that must not wait for the acknowledgement of the one before.
    let _ = stream.set_nodelay(true);
    let served = AtomicBool::new(false);
    let service = service_fn(|request| {
        served.store(true, Ordering::SeqCst);
        let shared = Arc::clone(shared);
        async move { Ok::<_, Infallible>(answer(request, &shared).await) }
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
            // A connection without a request so far is left open: hyper would close it and lose a
            // request that is on its way, which instead gets its refusal with `Connection: close`.
            if served.load(Ordering::SeqCst) {
                connection.as_mut().graceful_shutdown();
            }
        }
    }
    // An error here is the caller's: it is gone or broke the protocol, which hyper answered.
    let _ = connection.await;
}

async fn answer(request: Request<Incoming>, shared: &Arc<ServerShared>) -> Response<ReplyBody> {
    let id = RequestId::random();
    let common = common_headers(id, shared.gate.is_draining());
    let refuse = |error: &ServiceError, close: bool| {
        let mut headers = vec![("content-type".to_owned(), "application/json".to_owned())];
        if close {
            headers.push(("connection".to_owned(), "close".to_owned()));
        }
        let body = ReplyBody::whole(error_body(error, id));
        build_response(error.kind.answer().status, &headers, &common, body)
    };
    // The body is received first: a connection that is closed while its caller still sends is
    // reset, and the answer lost. It is received here, so that slow callers occupy no thread.
    let entered = shared.gate.enter();
    let (parts, body) = request.into_parts();
    let limits = shared.limits;
    let body = match read_body(body, limits.body_bytes, limits.body_timeout).await {
        Ok(body) => body,
        // The rest of the body is not read, so the connection cannot be used again.
        Err(BodyFault::Refused(error)) => return refuse(&error, true),
        Err(BodyFault::Interrupted) => {
            log_event!(shared.logger, REQUEST_INTERRUPTED; "request" => %id);
            let detail = "the connection was lost within the body";
            return refuse(&ServiceError::not_run(ErrorKind::BadRequest, detail), true);
        }
    };
    let guard = match entered {
        Ok(guard) => Arc::new(guard),
        Err(error) => {
            // A caller that is refused comes back at once on a new connection. While the listener is
            // about to close, that connection could be reset, so the refusal waits for the close.
            if *shared.close.borrow() {
                // The error means that the server is gone, which ends the connection too.
                let _ = shared.closed.subscribe().wait_for(|closed| *closed).await;
            }
            return refuse(&error, true);
        }
    };
    if shared.gate.in_flight() > limits.requests {
        let detail = "this entry has too many requests in progress";
        return refuse(&ServiceError::not_run(ErrorKind::Overloaded, detail), false);
    }
    let request = CallerRequest {
        id,
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body,
    };

    let (mut channel, head) = ReplyChannel::new(common.clone());
    let worker = Arc::clone(shared);
    // The handler may go on after the caller left, and the exit waits for it too.
    let working = Arc::clone(&guard);
    tokio::task::spawn_blocking(move || {
        // A defect in one request must not take a thread or the count of requests with it.
        let handled = catch_unwind(AssertUnwindSafe(|| {
            worker.handler.handle(request, &mut channel);
        }));
        if handled.is_err() {
            log_event!(worker.logger, HANDLER_FAILED; "request" => %id);
        }
        drop(working);
    });
    match head.await {
        Ok(mut response) => {
            response.body_mut().hold(guard);
            response
        }
        Err(_) => {
            let detail = "the request ended without an answer";
            refuse(&ServiceError::unknown(ErrorKind::Internal, detail), true)
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
