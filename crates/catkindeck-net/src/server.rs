//! The HTTP server.

use {
    crate::{
        LocalFuture,
        body::ResponseBody,
        events::{ACCEPT_FAILED, LISTENING},
        socket,
    },
    catkindeck::log_event,
    http::{HeaderValue, Request, Response, header::CONNECTION},
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    slog::Logger,
    std::{cell::Cell, convert::Infallible, io, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::watch,
    },
};

/// The delay after a failed accept, so that a lack of file descriptors does not flood the log.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

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
}

/// Counts a server's connections and requests, and controls its shutdown.
pub struct ServerControl {
    limits: Cell<ServerLimits>,
    connections: Cell<usize>,
    requests: Cell<usize>,
    close_requested: Cell<bool>,
    stop: watch::Sender<bool>,
}

impl ServerControl {
    /// Creates the control of a server that has not been started.
    pub fn new(limits: ServerLimits) -> Rc<Self> {
        Rc::new(Self {
            limits: Cell::new(limits),
            connections: Cell::new(0),
            requests: Cell::new(0),
            close_requested: Cell::new(false),
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

    /// Stops accepting connections, closes idle ones, and closes the others after their response.
    pub fn stop(&self) {
        self.request_close();
        self.stop.send_replace(true);
    }

    pub fn connections(&self) -> usize {
        self.connections.get()
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
                _ = stop.wait_for(|stopping| *stopping) => return,
            };
            match accepted {
                Ok((stream, _)) => {
                    if self.control.connections.get() < self.control.limits.get().connections {
                        tokio::task::spawn_local(Rc::clone(&self).serve(stream));
                    }
                }
                Err(error) => {
                    log_event!(self.logger, ACCEPT_FAILED; "error" => %error);
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    async fn serve(self: Rc<Self>, stream: TcpStream) {
        // If the options cannot be set, the connection is closed already.
        if socket::set_options(&stream).is_err() {
            return;
        }
        let _guard = CountGuard::new(&self.control, |control| &control.connections);
        let limits = self.control.limits.get();
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
        tokio::select! {
            _ = connection.as_mut() => return,
            _ = stop.wait_for(|stopping| *stopping) => connection.as_mut().graceful_shutdown(),
        }
        // The caller disconnected or violated the protocol, which hyper has already handled.
        let _ = connection.await;
    }

    async fn respond(self: Rc<Self>, request: Request<Incoming>) -> Response<ResponseBody> {
        let _guard = CountGuard::new(&self.control, |control| &control.requests);
        let mut response = Rc::clone(&self.handler).handle(request).await;
        if self.control.close_requested.get() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response
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
