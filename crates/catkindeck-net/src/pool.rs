//! A pool of client connections, by address.

use {
    crate::{
        carried::{CarriedRequests, RequestKey},
        intake::ResponseIntake,
        link::{PatientStream, ReaderPatience, WriteGuard},
        socket,
    },
    bytes::Bytes,
    catkindeck::SortedMap,
    http_body_util::Full,
    hyper::client::conn::http1::{self, SendRequest},
    hyper_util::rt::TokioIo,
    std::{
        cell::{Cell, RefCell},
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

/// The share of the idle connections that a pool may keep, in percent, beyond which they are closed sooner.
const CROWDED_PERCENT: usize = 50;

/// For how long a connection of a crowded pool stays idle. Connections that are used in each second remain.
const CROWDED_IDLE: Duration = Duration::from_secs(3);

/// Counts the open connections of a client.
#[derive(Debug, Clone, Default)]
pub(crate) struct OpenCount(Rc<Cell<usize>>);

/// One open connection, counted until it is dropped.
#[derive(Debug)]
pub(crate) struct OpenGuard(OpenCount);

impl OpenCount {
    pub(crate) fn total(&self) -> usize {
        self.0.get()
    }

    pub(crate) fn count(&self) -> OpenGuard {
        self.0.set(self.total() + 1);
        OpenGuard(self.clone())
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        let count = &self.0.0;
        count.set(count.get().saturating_sub(1));
    }
}

/// An open connection, which is closed when it is dropped.
pub(crate) struct PooledConnection {
    pub(crate) address: SocketAddr,
    pub(crate) sender: SendRequest<Full<Bytes>>,
    /// Whether the connection was used for an earlier exchange.
    pub(crate) reused: bool,
    /// Whether the server may read the present request slowly.
    pub(crate) patience: ReaderPatience,
    pub(crate) write_guard: WriteGuard,
    pub(crate) intake: ResponseIntake,
    pub(crate) carried: CarriedRequests,
    idle_limit: Option<Duration>,
    idle_since: Instant,
    driver: JoinHandle<()>,
    _counted: OpenGuard,
    /// Counts the connection as idle while it is in the pool.
    parked: Option<OpenGuard>,
}

impl PooledConnection {
    /// Opens a connection and spawns the task that drives it.
    pub(crate) async fn open(
        address: SocketAddr,
        limit: Duration,
        counted: OpenGuard,
    ) -> io::Result<Self> {
        let stream = socket::connect(address, limit).await?;
        let patience = ReaderPatience::default();
        let write_guard = WriteGuard::default();
        let intake = ResponseIntake::default();
        let stream = PatientStream::new(
            stream,
            patience.clone(),
            write_guard.clone(),
            intake.clone(),
        );
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
            patience,
            write_guard,
            intake,
            carried: CarriedRequests::default(),
            idle_limit: None,
            idle_since: Instant::now(),
            driver,
            _counted: counted,
            parked: None,
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
#[derive(Clone)]
pub(crate) struct ConnectionPool {
    idle: Rc<RefCell<SortedMap<SocketAddr, Vec<PooledConnection>>>>,
    /// The maximum number of idle connections to all addresses.
    limit: usize,
    parked: OpenCount,
    passed_over: Rc<Cell<u64>>,
}

impl ConnectionPool {
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            idle: Rc::default(),
            limit,
            parked: OpenCount::default(),
            passed_over: Rc::default(),
        }
    }

    /// Takes the most recently used idle connection to an address that has not carried the identifier `key`.
    pub(crate) fn take(
        &self,
        address: SocketAddr,
        idle_limit: Duration,
        key: Option<RequestKey>,
    ) -> Option<PooledConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        let now = Instant::now();
        connections.retain(|connection| connection.is_usable(now, idle_limit));
        let is_free =
            |connection: &PooledConnection| key.is_none_or(|key| !connection.carried.contains(key));
        let Some(index) = connections.iter().rposition(is_free) else {
            self.passed_over
                .set(self.passed_over.get() + u64::from(!connections.is_empty()));
            return None;
        };
        let mut connection = connections.remove(index);
        connection.parked = None;
        Some(connection)
    }

    /// Returns how often all idle connections to an address were passed over, because they had carried the identifier.
    pub(crate) fn passed_over(&self) -> u64 {
        self.passed_over.get()
    }

    /// Returns whether there is a usable idle connection to an address.
    pub(crate) fn has_idle(&self, address: SocketAddr, idle_limit: Duration) -> bool {
        let now = Instant::now();
        let idle = self.idle.borrow();
        let connections = idle.get(&address).into_iter().flatten();
        let mut usable = connections.filter(|connection| connection.is_usable(now, idle_limit));
        usable.next().is_some()
    }

    /// Returns a connection to the pool, unless it has carried as many requests as it may, or `capacity` connections to
    /// its address are idle.
    pub(crate) fn put(&self, mut connection: PooledConnection, capacity: usize) {
        connection.reused = true;
        connection.idle_since = Instant::now();
        let mut idle = self.idle.borrow_mut();
        if self.parked.total() >= self.limit || connection.carried.is_full() {
            return;
        }
        let connections = idle.get_or_insert_with(connection.address, Vec::new);
        if connections.len() < capacity {
            connection.parked = Some(self.parked.count());
            connections.push(connection);
        }
    }

    /// Returns the number of idle connections to all addresses.
    pub(crate) fn parked(&self) -> usize {
        self.parked.total()
    }

    /// Closes an idle connection, to make room for one to another address.
    pub(crate) fn evict(&self) {
        let mut is_evicted = false;
        self.idle.borrow_mut().retain(|_, connections| {
            is_evicted = is_evicted || connections.pop().is_some();
            !connections.is_empty()
        });
    }

    /// Closes the idle connections to an address.
    pub(crate) fn close(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Closes connections that have been idle for too long, which is a shorter time in a crowded pool.
    pub(crate) fn sweep(&self, idle_limit: Duration) {
        let now = Instant::now();
        let is_crowded = self.parked.total() > self.limit / 100 * CROWDED_PERCENT;
        let idle_limit = match is_crowded {
            true => idle_limit.min(CROWDED_IDLE),
            false => idle_limit,
        };
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|connection| connection.is_usable(now, idle_limit));
            !connections.is_empty()
        });
    }
}
