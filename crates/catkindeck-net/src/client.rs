//! The pooled HTTP client.

use {
    crate::{
        exchange::{CompleteResponse, HttpExchange, SendError},
        pool::{ConnectionPool, OpenConnection},
    },
    bytes::Bytes,
    http::Request,
    std::{cell::Cell, net::SocketAddr, time::Duration},
    tokio::time::timeout,
};

/// The limits of a client.
#[derive(Debug, Clone, Copy)]
pub struct ClientLimits {
    /// The longest time to open a connection.
    pub connect: Duration,
    /// The longest time that an unused connection is kept.
    pub idle: Duration,
    /// The number of unused connections kept for one address.
    pub idle_connections: usize,
}

/// Sends requests over kept connections, one request at a time on each.
pub struct HttpClient {
    limits: ClientLimits,
    pool: ConnectionPool,
    opened: Cell<u64>,
}

impl HttpClient {
    /// Makes a client without connections.
    pub fn new(limits: ClientLimits) -> Self {
        Self {
            limits,
            pool: ConnectionPool::default(),
            opened: Cell::new(0),
        }
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// A kept connection that turns out to be closed before the request was written is replaced by
    /// a new one; after that nothing is sent twice. Dropping the future closes the connection, by
    /// which the other side learns that the request is abandoned.
    ///
    /// # Errors
    ///
    /// Returns a fault that tells whether the request can have been received.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
    ) -> Result<HttpExchange, SendError> {
        let mut request = request;
        while let Some(connection) = self.pool.take(address, self.limits.idle) {
            match HttpExchange::start(connection, request, self.return_path()).await {
                Err((fault, Some(unsent))) if fault.was_reused => request = unsent,
                outcome => return outcome.map_err(|(fault, _)| fault),
            }
        }
        self.send_fresh(address, request).await
    }

    /// Sends a request on a new connection, for requests that a stale connection could lose.
    ///
    /// # Errors
    ///
    /// As [`Self::send`].
    pub async fn send_fresh(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
    ) -> Result<HttpExchange, SendError> {
        let connection = OpenConnection::open(address, self.limits.connect)
            .await
            .map_err(|error| SendError::not_sent(error.to_string()))?;
        self.opened.set(self.opened.get() + 1);
        HttpExchange::start(connection, request, self.return_path())
            .await
            .map_err(|(fault, _)| fault)
    }

    /// Sends a request and reads its whole answer within `limit`.
    ///
    /// # Errors
    ///
    /// As [`Self::send`]; an answer that is cut off or late counts as received.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        limit: Duration,
    ) -> Result<CompleteResponse, SendError> {
        let exchange = async {
            let exchange = self.send(address, request).await?;
            exchange.whole(usize::MAX).await
        };
        match timeout(limit, exchange).await {
            Ok(outcome) => outcome,
            Err(_) => Err(SendError::maybe_received("no answer in time".to_owned())),
        }
    }

    /// Tells whether an unused connection to an address is open.
    pub fn has_idle(&self, address: SocketAddr) -> bool {
        self.pool.has_idle(address, self.limits.idle)
    }

    /// Closes the unused connections to an address.
    pub fn close(&self, address: SocketAddr) {
        self.pool.close(address);
    }

    /// Closes connections that were unused for too long; called about once a second.
    pub fn sweep(&self) {
        self.pool.sweep(self.limits.idle);
    }

    /// Returns the number of connections opened so far.
    pub fn opened(&self) -> u64 {
        self.opened.get()
    }

    fn return_path(&self) -> (ConnectionPool, usize) {
        (self.pool.clone(), self.limits.idle_connections)
    }
}
