//! The HTTP client with a connection pool.

use {
    crate::{
        carried::{IdentifiedRequest, RequestKey},
        exchange::{CompleteResponse, ExchangeOrigin, HttpExchange, SendError, SendPermit},
        link::SendGuard,
        pool::{ConnectionPool, OpenCount, PooledConnection},
        socket,
    },
    bytes::Bytes,
    http::Request,
    std::{cell::Cell, io, net::SocketAddr, time::Duration},
    tokio::time::timeout,
};

/// The limits of a client.
#[derive(Debug, Clone, Copy)]
pub struct ClientLimits {
    /// The timeout for opening a connection.
    pub connect: Duration,
    /// The maximum time that an idle connection is kept.
    pub idle: Duration,
    /// The maximum number of idle connections kept per address.
    pub idle_connections: usize,
    /// The maximum number of open connections, in use or idle. At most half of them are kept idle.
    pub open_connections: usize,
    /// The maximum size of the body of a response that is read as a whole, in bytes.
    pub response_bytes: usize,
}

/// An HTTP client that reuses connections, with one request at a time on each.
pub struct HttpClient {
    limits: ClientLimits,
    pool: ConnectionPool,
    open: OpenCount,
    opened: Cell<u64>,
    reused: Cell<u64>,
    has_slow_readers: bool,
}

impl HttpClient {
    pub fn new(limits: ClientLimits) -> Self {
        Self {
            limits,
            pool: ConnectionPool::new(limits.open_connections / 2),
            open: OpenCount::default(),
            opened: Cell::new(0),
            reused: Cell::new(0),
            has_slow_readers: false,
        }
    }

    /// Lets servers read large requests slowly: a connection whose server takes no byte is kept as long as the
    /// server's host answers (`docs/design/slow-readers.md`).
    #[must_use]
    pub fn with_slow_readers(mut self) -> Self {
        self.has_slow_readers = true;
        self
    }

    /// Sends a request and waits for the head of its response.
    ///
    /// A pooled connection that turns out to be closed before the request was written is replaced;
    /// once bytes were written the request is never sent again. Dropping the future closes the
    /// connection, which tells the server that the request is abandoned.
    ///
    /// # Errors
    ///
    /// Returns an error that states whether the server may have received the request.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
    ) -> Result<HttpExchange, SendError> {
        let origin = self.origin(None, None);
        self.send_pooled(address, request, &|| true, origin).await
    }

    /// As [`Self::send`], but asks `permit` directly before the request is written, because a
    /// permission may end while a connection is opened. A pooled connection that has carried the request's identifier
    /// before is not used.
    ///
    /// # Errors
    ///
    /// As [`Self::send`]; a request that is not permitted was not sent.
    pub async fn send_if(
        &self,
        address: SocketAddr,
        identified: IdentifiedRequest,
        permit: SendPermit<'_>,
    ) -> Result<HttpExchange, SendError> {
        let IdentifiedRequest { key, request } = identified;
        let origin = self.origin(Some(key), None);
        self.send_pooled(address, request, permit, origin).await
    }

    async fn send_pooled(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        permit: SendPermit<'_>,
        origin: ExchangeOrigin,
    ) -> Result<HttpExchange, SendError> {
        let mut request = request;
        while let Some(connection) = self.pool.take(address, self.limits.idle, origin.key) {
            self.reused.set(self.reused.get() + 1);
            let origin = origin.clone();
            match HttpExchange::start(connection, request, permit, origin).await {
                Err((send_error, Some(unsent))) if send_error.was_reused => request = unsent,
                outcome => return outcome.map_err(|(send_error, _)| send_error),
            }
        }
        self.open_and_send(address, request, permit, origin).await
    }

    /// As [`Self::send_if`], but on a new connection, for requests that a stale connection could lose.
    ///
    /// # Errors
    ///
    /// See [`Self::send_if`].
    pub async fn send_on_new_connection(
        &self,
        address: SocketAddr,
        identified: IdentifiedRequest,
        permit: SendPermit<'_>,
    ) -> Result<HttpExchange, SendError> {
        let IdentifiedRequest { key, request } = identified;
        let origin = self.origin(Some(key), None);
        self.open_and_send(address, request, permit, origin).await
    }

    async fn open_and_send(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        permit: SendPermit<'_>,
        origin: ExchangeOrigin,
    ) -> Result<HttpExchange, SendError> {
        if !self.has_room() {
            return Err(SendError::not_sent(format!(
                "all {} connections that may be open are in use",
                self.limits.open_connections
            )));
        }
        if self.open.total() >= self.limits.open_connections {
            self.pool.evict();
        }
        let counted = self.open.count();
        let connection = PooledConnection::open(address, self.limits.connect, counted)
            .await
            .map_err(|error| SendError::not_sent(error.to_string()))?;
        self.opened.set(self.opened.get() + 1);
        HttpExchange::start(connection, request, permit, origin)
            .await
            .map_err(|(send_error, _)| send_error)
    }

    /// Sends a request and reads its complete response within `limit`.
    ///
    /// # Errors
    ///
    /// See [`Self::send`]. After a truncated, late or too large response the request counts as
    /// received.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        limit: Duration,
    ) -> Result<CompleteResponse, SendError> {
        self.call_if(address, request, limit, &|| true).await
    }

    /// As [`Self::call`], but asks `permit` directly before the request is written.
    ///
    /// # Errors
    ///
    /// As [`Self::call`]; a request that is not permitted was not sent.
    pub async fn call_if(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        limit: Duration,
        permit: SendPermit<'_>,
    ) -> Result<CompleteResponse, SendError> {
        self.call_with(address, request, limit, (permit, None))
            .await
    }

    /// As [`Self::call_if`], but the connection also asks `guard` when it writes. On a busy event loop that may be
    /// much later than the request was handed over, and a permission may have ended meanwhile.
    ///
    /// # Errors
    ///
    /// As [`Self::call_if`].
    pub async fn call_guarded(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        limit: Duration,
        guard: &SendGuard,
    ) -> Result<CompleteResponse, SendError> {
        let permit = || guard();
        let guard = Some(SendGuard::clone(guard));
        self.call_with(address, request, limit, (&permit, guard))
            .await
    }

    async fn call_with(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        limit: Duration,
        (permit, guard): (SendPermit<'_>, Option<SendGuard>),
    ) -> Result<CompleteResponse, SendError> {
        let exchange = async {
            let origin = self.origin(None, guard);
            let exchange = self.send_pooled(address, request, permit, origin).await?;
            exchange.read_to_end(self.limits.response_bytes).await
        };
        match timeout(limit, exchange).await {
            Ok(outcome) => outcome,
            Err(_) => Err(SendError::maybe_received(
                "no response within the time limit".to_owned(),
            )),
        }
    }

    /// Returns whether a server refuses connections, as the host of one does that does not run any more.
    pub async fn is_refused(&self, address: SocketAddr) -> bool {
        let opened = socket::connect(address, self.limits.connect).await;
        opened.is_err_and(|error| error.kind() == io::ErrorKind::ConnectionRefused)
    }

    /// Returns whether there is an idle connection to an address.
    pub fn has_idle(&self, address: SocketAddr) -> bool {
        self.pool.has_idle(address, self.limits.idle)
    }

    /// Returns whether another connection may be opened, if necessary in place of an idle one.
    pub fn has_room(&self) -> bool {
        self.open.total() < self.limits.open_connections || self.pool.parked() > 0
    }

    /// Returns the number of open connections, in use or idle.
    pub fn open_connections(&self) -> usize {
        self.open.total()
    }

    /// Closes the idle connections to an address.
    pub fn close(&self, address: SocketAddr) {
        self.pool.close(address);
    }

    /// Closes connections that have been idle for too long. Should be called about once a second.
    pub fn sweep(&self) {
        self.pool.sweep(self.limits.idle);
    }

    /// Returns the number of connections opened so far.
    pub fn opened(&self) -> u64 {
        self.opened.get()
    }

    /// Returns how often a request was sent on a pooled connection.
    pub fn reused(&self) -> u64 {
        self.reused.get()
    }

    /// Returns how often a request got a new connection because all idle ones had carried its identifier.
    pub fn passed_over(&self) -> u64 {
        self.pool.passed_over()
    }

    fn origin(&self, key: Option<RequestKey>, guard: Option<SendGuard>) -> ExchangeOrigin {
        ExchangeOrigin {
            key,
            pool: self.pool.clone(),
            capacity: self.limits.idle_connections,
            has_slow_readers: self.has_slow_readers,
            guard,
        }
    }
}
