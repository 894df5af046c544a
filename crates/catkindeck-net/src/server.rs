//! The HTTP server.

use {
    crate::{
        LocalFuture,
        body::ResponseBody,
        events::{ACCEPT_FAILED, CALLER_STALLED, HANDLER_PANICKED, LISTENING},
        held::HeldBytes,
        socket,
        stall::{ObservedStream, StallClock},
    },
    catkindeck::log_event,
    futures_util::FutureExt,
    http::{HeaderValue, Request, Response, StatusCode, header::CONNECTION},
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    slog::Logger,
    std::{
        cell::Cell, convert::Infallible, io, net::SocketAddr, panic::AssertUnwindSafe, rc::Rc,
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        sync::watch,
        time::sleep,
    },
};

/// The delay after a failed accept, so that a lack of file descriptors does not flood the log.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// How long a connection without a request stays open after the server was stopped.
///
/// A caller may have sent a request on it already. The time exceeds the delay between hosts and
/// callers by far.
const STOP_LINGER: Duration = Duration::from_millis(300);

/// How long a caller may take no byte of its response while the server stops. The process must end, and a
/// connection to a host without power looks the same as one whose caller does not read.
const STOP_STALL: Duration = Duration::from_secs(3);

/// A handler of the requests to one address.
pub trait HttpHandler {
    /// Handles a request. The future is dropped if the caller disconnects.
    fn handle(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> LocalFuture<'static, Response<ResponseBody>>;
}

/// The limits of a server.
#[derive(Debug, Clone, Copy)]
pub struct ServerLimits {
    /// The maximum number of connections; further ones are closed immediately.
    pub connections: usize,
    /// The maximum size of the request line and headers, in bytes, at least 8192.
    pub header_bytes: usize,
    /// The timeout for the headers of a request, which also bounds an idle connection.
    pub idle: Duration,
    /// How long a caller may leave a response unread without taking any byte of it.
    pub stall: Duration,
}

/// Counts a server's connections and requests, and controls its shutdown.
pub struct ServerControl {
    limits: Cell<ServerLimits>,
    connections: Cell<usize>,
    requests: Cell<usize>,
    close_requested: Cell<bool>,
    held: HeldBytes,
    stop: watch::Sender<bool>,
}

impl ServerControl {
    /// Creates the control of a server that has not been started.
    pub fn new(limits: ServerLimits) -> Rc<Self> {
        Self::with_held(limits, HeldBytes::default())
    }

    /// As [`Self::new`], but counts the bytes that wait for callers in `held`.
    pub fn with_held(limits: ServerLimits, held: HeldBytes) -> Rc<Self> {
        Rc::new(Self {
            limits: Cell::new(limits),
            connections: Cell::new(0),
            requests: Cell::new(0),
            close_requested: Cell::new(false),
            held,
            stop: watch::Sender::new(false),
        })
    }

    /// Changes the limits for connections that are opened from now on.
    pub fn set_limits(&self, limits: ServerLimits) {
        self.limits.set(limits);
    }

    /// Asks callers in each response to close their connection.
    ///
    /// Idle connections stay open, because a request could be in flight while one is closed.
    pub fn request_close(&self) {
        self.close_requested.set(true);
    }

    /// Stops accepting connections and closes the open ones after their response; idle ones stay
    /// open for a moment, because a request may be on its way.
    pub fn stop(&self) {
        self.request_close();
        self.stop.send_replace(true);
    }

    pub fn connections(&self) -> usize {
        self.connections.get()
    }

    /// Returns the bytes of responses that callers have not taken yet.
    pub fn held_bytes(&self) -> u64 {
        self.held.total()
    }

    /// Returns the number of requests whose response is incomplete.
    pub fn requests(&self) -> usize {
        self.requests.get()
    }
}

/// A server of one address, which runs as local tasks.
pub struct HttpServer {
    control: Rc<ServerControl>,
    handler: Rc<dyn HttpHandler>,
    logger: Logger,
}

impl HttpServer {
    /// Binds an address and serves it until the control stops it.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the address cannot be bound.
    pub fn start(
        address: SocketAddr,
        control: Rc<ServerControl>,
        handler: Rc<dyn HttpHandler>,
        logger: Logger,
    ) -> io::Result<SocketAddr> {
        let listener = socket::listen(address)?;
        let address = listener.local_addr()?;
        log_event!(logger, LISTENING; "address" => %address);
        let server = Rc::new(Self {
            control,
            handler,
            logger,
        });
        tokio::task::spawn_local(server.accept(listener));
        Ok(address)
    }

    async fn accept(self: Rc<Self>, listener: TcpListener) {
        let mut stop = self.control.stop.subscribe();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = stop.wait_for(|stopping| *stopping) => break,
            };
            match accepted {
                Ok((stream, _)) => self.start_connection(stream),
                Err(error) => {
                    log_event!(self.logger, ACCEPT_FAILED; "error" => %error);
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
        self.accept_queued(listener);
    }

    /// Serves the connections that callers opened before the server was stopped. Closing the
    /// listener would reset them, although their callers may have sent requests.
    fn accept_queued(self: &Rc<Self>, listener: TcpListener) {
        let Ok(listener) = listener.into_std() else {
            return;
        };
        while let Ok((stream, _)) = listener.accept() {
            let stream = stream
                .set_nonblocking(true)
                .and_then(|()| TcpStream::from_std(stream));
            match stream {
                Ok(stream) => self.start_connection(stream),
                Err(error) => log_event!(self.logger, ACCEPT_FAILED; "error" => %error),
            }
        }
    }

    fn start_connection(self: &Rc<Self>, stream: TcpStream) {
        if self.control.connections.get() < self.control.limits.get().connections {
            // Counted at once, so that a server that stops waits for the connection.
            let guard = CountGuard::new(&self.control, |control| &control.connections);
            tokio::task::spawn_local(Rc::clone(self).serve(stream, guard));
        }
    }

    async fn serve(self: Rc<Self>, stream: TcpStream, _guard: CountGuard) {
        // If the options cannot be set, the connection is closed already.
        if socket::set_accepted_options(&stream).is_err() {
            return;
        }
        let limits = self.control.limits.get();
        let clock = StallClock::default();
        let stream = ObservedStream::new(stream, clock.clone());
        let service = service_fn(|request| {
            let server = Rc::clone(&self);
            async move { Ok::<_, Infallible>(server.respond(request).await) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(limits.idle)
            .max_buf_size(limits.header_bytes)
            .serve_connection(TokioIo::new(stream), service);
        let mut connection = std::pin::pin!(connection);
        let mut stop = self.control.stop.subscribe();
        let stopped = async {
            // The sender lives as long as this server.
            let _ = stop.wait_for(|stopping| *stopping).await;
            sleep(STOP_LINGER).await;
        };
        // A result of the connection tells that the caller disconnected or violated the protocol, which hyper has
        // already handled.
        tokio::select! {
            // A request that has arrived is read before its connection counts as idle.
            biased;
            _ = connection.as_mut() => return,
            () = clock.await_stall(limits.stall) => return self.log_stall(limits.stall),
            () = stopped => connection.as_mut().graceful_shutdown(),
        }
        let stall = limits.stall.min(STOP_STALL);
        tokio::select! {
            _ = connection => {}
            () = clock.await_stall(stall) => self.log_stall(stall),
        }
    }

    fn log_stall(&self, limit: Duration) {
        log_event!(self.logger, CALLER_STALLED;
            "limit_ms" => u64::try_from(limit.as_millis()).unwrap_or(u64::MAX),
            "held_bytes" => self.control.held_bytes());
    }

    async fn respond(self: Rc<Self>, request: Request<Incoming>) -> Response<ResponseBody> {
        let _guard = CountGuard::new(&self.control, |control| &control.requests);
        let path = request.uri().path().to_owned();
        let handled = AssertUnwindSafe(Rc::clone(&self.handler).handle(request)).catch_unwind();
        let mut response = match handled.await {
            Ok(response) => response,
            // A fault in one request must not affect the others.
            Err(_) => {
                log_event!(self.logger, HANDLER_PANICKED; "path" => path);
                let mut response = Response::new(ResponseBody::whole(bytes::Bytes::new()));
                *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
                response
            }
        };
        if self.control.close_requested.get() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response.map(|body| body.count_in(&self.control.held))
    }
}

/// Increments a count and decrements it again when dropped.
struct CountGuard {
    control: Rc<ServerControl>,
    count: fn(&ServerControl) -> &Cell<usize>,
}

impl CountGuard {
    fn new(control: &Rc<ServerControl>, count: fn(&ServerControl) -> &Cell<usize>) -> Self {
        count(control).set(count(control).get() + 1);
        Self {
            control: Rc::clone(control),
            count,
        }
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        let count = (self.count)(&self.control);
        count.set(count.get().saturating_sub(1));
    }
}
