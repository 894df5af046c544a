//! A pool of client connections, by address.

use {
    crate::socket,
    bytes::Bytes,
    catkindeck::SortedMap,
    http_body_util::Full,
    hyper::client::conn::http1::{self, SendRequest},
    hyper_util::rt::TokioIo,
    std::{
        cell::RefCell,
        io,
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::task::JoinHandle,
};

/// The maximum number of received bytes that a connection buffers, which also bounds the head of a
/// response. Bytes that are no response may arrive without end.
const MAX_BUFFER_BYTES: usize = 64 << 10;

/// An open connection, which is closed when it is dropped.
pub(crate) struct PooledConnection {
    pub(crate) address: SocketAddr,
    pub(crate) sender: SendRequest<Full<Bytes>>,
    /// Whether the connection was used for an earlier exchange.
    pub(crate) reused: bool,
    idle_limit: Option<Duration>,
    idle_since: Instant,
    driver: JoinHandle<()>,
}

impl PooledConnection {
    /// Opens a connection and spawns the task that drives it.
    pub(crate) async fn open(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        let stream = socket::connect(address, limit).await?;
        let handshake = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        let driver = tokio::task::spawn_local(async move {
            // The current exchange reports the error; between exchanges nobody needs it.
            let _ = connection.await;
        });
        Ok(Self {
            address,
            sender,
            reused: false,
            idle_limit: None,
            idle_since: Instant::now(),
            driver,
        })
    }

    /// Sets for how long the server keeps the connection open between exchanges.
    pub(crate) fn set_idle_limit(&mut self, limit: Duration) {
        self.idle_limit = Some(limit);
    }

    fn is_usable(&self, now: Instant, idle_limit: Duration) -> bool {
        let limit = self
            .idle_limit
            .map_or(idle_limit, |own| own.min(idle_limit));
        !self.sender.is_closed() && now.duration_since(self.idle_since) < limit
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// The idle connections of a client, which are reused in last-in, first-out order.
#[derive(Clone, Default)]
pub(crate) struct ConnectionPool {
    idle: Rc<RefCell<SortedMap<SocketAddr, Vec<PooledConnection>>>>,
}

impl ConnectionPool {
    /// Takes the most recently used idle connection to an address.
    pub(crate) fn take(
        &self,
        address: SocketAddr,
        idle_limit: Duration,
    ) -> Option<PooledConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        let now = Instant::now();
        connections.retain(|connection| connection.is_usable(now, idle_limit));
        connections.pop()
    }

    /// Returns whether there is a usable idle connection to an address.
    pub(crate) fn has_idle(&self, address: SocketAddr, idle_limit: Duration) -> bool {
        let now = Instant::now();
        let idle = self.idle.borrow();
        let connections = idle.get(&address).into_iter().flatten();
        let mut usable = connections.filter(|connection| connection.is_usable(now, idle_limit));
        usable.next().is_some()
    }

    /// Returns a connection to the pool, unless `capacity` connections to its address are idle.
    pub(crate) fn put(&self, mut connection: PooledConnection, capacity: usize) {
        connection.reused = true;
        connection.idle_since = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_or_insert_with(connection.address, Vec::new);
        if connections.len() < capacity {
            connections.push(connection);
        }
    }

    /// Closes the idle connections to an address.
    pub(crate) fn close(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Closes connections that have been idle for too long.
    pub(crate) fn sweep(&self, idle_limit: Duration) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|connection| connection.is_usable(now, idle_limit));
            !connections.is_empty()
        });
    }
}
