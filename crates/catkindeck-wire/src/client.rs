//! Calls to peers: the connection cache, requests and response streams.

use {
    crate::{
        endpoint::{RevisionHook, RuntimeGuard},
        events,
        frame::{self, FrameBuffer},
    },
    catkindeck::{
        ErrorKind, ServiceError, SortedMap,
        link::{FrameStream, PeerLink},
        log_event,
        message::{PeerEnvelope, PeerFrame, PeerRequest},
    },
    quinn::{Connection, ConnectionError, Endpoint, RecvStream, SendStream, VarInt},
    slog::Logger,
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        time::{Duration, Instant},
    },
    tokio::{
        sync::Mutex as AsyncMutex,
        time::{interval, timeout, timeout_at},
    },
};

/// The maximum number of bytes read from a stream at once.
const READ_BYTES: usize = 64 << 10;

/// The interval at which unused connections are closed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);

/// The server name in the handshake. Peers are verified by the name in their own certificate
/// instead.
const HANDSHAKE_NAME: &str = "catkindeck.internal";

/// A cache of open connections by address.
pub struct ConnectionCache {
    endpoint: Endpoint,
    slots: Mutex<SortedMap<SocketAddr, Arc<ConnectionSlot>>>,
    unused_timeout: Duration,
    logger: Logger,
}

struct ConnectionSlot {
    /// Locked while a connection is opened, so that concurrent calls open only one.
    connection: AsyncMutex<Option<Connection>>,
    last_use: Mutex<Instant>,
}

impl ConnectionCache {
    pub fn new(endpoint: Endpoint, unused_timeout: Duration, logger: Logger) -> Self {
        Self {
            endpoint,
            slots: Mutex::default(),
            unused_timeout,
            logger,
        }
    }

    /// Opens a stream on a live connection, connecting first if there is none.
    async fn open(&self, address: SocketAddr) -> Result<OpenStream, ServiceError> {
        let slot = self.slot(address);
        let mut cached = slot.connection.lock().await;
        if let Some(connection) = cached.as_ref().filter(|open| open.close_reason().is_none()) {
            let connection = connection.clone();
            drop(cached);
            match connection.open_bi().await {
                Ok((sender, receiver)) => return Ok(OpenStream::new(slot, sender, receiver)),
                Err(error) => return self.reopen(slot, address, &error).await,
            }
        }
        let connection = self.connect(address).await?;
        *cached = Some(connection.clone());
        drop(cached);
        let (sender, receiver) = connection.open_bi().await.map_err(connection_lost_error)?;
        Ok(OpenStream::new(slot, sender, receiver))
    }

    /// Reconnects after a cached connection turned out to be lost before anything was sent.
    async fn reopen(
        &self,
        slot: Arc<ConnectionSlot>,
        address: SocketAddr,
        lost: &ConnectionError,
    ) -> Result<OpenStream, ServiceError> {
        slog::debug!(self.logger, "reconnecting"; "peer" => address.to_string(), "lost" => lost.to_string());
        let mut cached = slot.connection.lock().await;
        let connection = match cached.as_ref().filter(|open| open.close_reason().is_none()) {
            Some(connection) => connection.clone(),
            None => {
                let connection = self.connect(address).await?;
                *cached = Some(connection.clone());
                connection
            }
        };
        drop(cached);
        let (sender, receiver) = connection.open_bi().await.map_err(connection_lost_error)?;
        Ok(OpenStream::new(slot, sender, receiver))
    }

    async fn connect(&self, address: SocketAddr) -> Result<Connection, ServiceError> {
        let connecting = self
            .endpoint
            .connect(address, HANDSHAKE_NAME)
            .map_err(|error| not_run_error(format!("cannot connect to {address}: {error}")))?;
        match connecting.await {
            Ok(connection) => {
                log_event!(self.logger, events::PEER_CONNECTED; "peer" => address.to_string());
                Ok(connection)
            }
            Err(error) => {
                log_event!(
                    self.logger, events::CONNECT_FAILED;
                    "peer" => address.to_string(), "reason" => error.to_string(),
                );
                Err(not_run_error(format!(
                    "cannot connect to {address}: {error}"
                )))
            }
        }
    }

    fn slot(&self, address: SocketAddr) -> Arc<ConnectionSlot> {
        let mut slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
        let slot = slots.get_or_insert_with(address, || {
            Arc::new(ConnectionSlot {
                connection: AsyncMutex::new(None),
                last_use: Mutex::new(Instant::now()),
            })
        });
        slot.touch();
        slot.clone()
    }

    /// Periodically closes connections without recent calls, because each one costs keep-alive
    /// probes.
    pub async fn sweep(self: Arc<Self>) {
        let mut ticks = interval(SWEEP_INTERVAL);
        loop {
            ticks.tick().await;
            let now = Instant::now();
            let mut slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
            // A slot that is in use by a call or an open response has more than one owner.
            slots.retain(|_, slot| {
                let unused = now.saturating_duration_since(slot.last_use());
                if Arc::strong_count(slot) > 1 || unused < self.unused_timeout {
                    return true;
                }
                if let Ok(connection) = slot.connection.try_lock()
                    && let Some(connection) = connection.as_ref()
                {
                    connection.close(VarInt::from_u32(0), b"unused");
                }
                false
            });
        }
    }
}

impl ConnectionSlot {
    fn touch(&self) {
        *self.last_use.lock().unwrap_or_else(PoisonError::into_inner) = Instant::now();
    }

    fn last_use(&self) -> Instant {
        *self.last_use.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

struct OpenStream {
    slot: Arc<ConnectionSlot>,
    sender: SendStream,
    receiver: RecvStream,
}

impl OpenStream {
    fn new(slot: Arc<ConnectionSlot>, sender: SendStream, receiver: RecvStream) -> Self {
        Self {
            slot,
            sender,
            receiver,
        }
    }
}

/// A blocking interface to the connection cache.
pub struct BlockingLink {
    cache: Arc<ConnectionCache>,
    runtime: Arc<RuntimeGuard>,
    hook: Arc<dyn RevisionHook>,
}

impl BlockingLink {
    pub fn new(
        cache: Arc<ConnectionCache>,
        runtime: Arc<RuntimeGuard>,
        hook: Arc<dyn RevisionHook>,
    ) -> Self {
        Self {
            cache,
            runtime,
            hook,
        }
    }
}

impl PeerLink for BlockingLink {
    fn call(
        &self,
        address: SocketAddr,
        request: PeerRequest,
        limit: Duration,
    ) -> Result<Box<dyn FrameStream>, ServiceError> {
        let envelope = PeerEnvelope {
            revision: self.hook.current(),
            request,
        };
        let bytes = frame::encode(&envelope)?;
        let timed_out = || not_run_error(format!("the request to {address} was not sent in time"));
        self.runtime.handle.block_on(async {
            let deadline = tokio::time::Instant::now() + limit;
            let mut stream = timeout_at(deadline, self.cache.open(address))
                .await
                .map_err(|_| timed_out())??;
            // The last byte is handed over only by a completed write. If the write was interrupted
            // or failed, the peer cannot have received the complete message.
            match timeout_at(deadline, stream.sender.write_all(&bytes)).await {
                Ok(Ok(())) => {}
                Ok(Err(error)) => {
                    return Err(not_run_error(format!(
                        "the request to {address} was interrupted: {error}"
                    )));
                }
                Err(_) => {
                    // An error means that the stream is closed already.
                    let _ = stream.sender.reset(VarInt::from_u32(0));
                    return Err(timed_out());
                }
            }
            // An error means that the stream is closed already, which the receiver reports.
            let _ = stream.sender.finish();
            Ok(Box::new(ResponseStream {
                stream,
                buffer: FrameBuffer::default(),
                ended: false,
                runtime: self.runtime.clone(),
            }) as Box<dyn FrameStream>)
        })
    }
}

/// The response to one call.
///
/// Dropping it drops quinn's receiving half, which tells the peer to stop unless it has ended.
struct ResponseStream {
    stream: OpenStream,
    buffer: FrameBuffer,
    ended: bool,
    runtime: Arc<RuntimeGuard>,
}

impl FrameStream for ResponseStream {
    fn receive(&mut self, limit: Duration) -> Result<Option<PeerFrame>, ServiceError> {
        if let Some(frame) = self.buffer.take()? {
            return Ok(Some(frame));
        }
        if self.ended {
            return Ok(None);
        }
        self.stream.slot.touch();
        let runtime = self.runtime.clone();
        let received = runtime
            .handle
            .block_on(async { timeout(limit, self.fill()).await });
        received.unwrap_or_else(|_| {
            Err(ServiceError::unknown(
                ErrorKind::DeadlineExceeded,
                "no message from the peer within the time limit",
            ))
        })
    }
}

impl ResponseStream {
    /// Reads until a complete frame or the end arrives; bytes read before a timeout are kept.
    async fn fill(&mut self) -> Result<Option<PeerFrame>, ServiceError> {
        loop {
            let chunk = self.stream.receiver.read_chunk(READ_BYTES, true).await;
            let chunk = chunk.map_err(|error| {
                ServiceError::unknown(
                    ErrorKind::PeerUnavailable,
                    format!("the response was interrupted: {error}"),
                )
            })?;
            let Some(chunk) = chunk else {
                self.ended = true;
                if self.buffer.is_partial() {
                    return Err(ServiceError::unknown(
                        ErrorKind::PeerUnavailable,
                        "the response ended in the middle of a message",
                    ));
                }
                return Ok(None);
            };
            self.buffer.extend(&chunk.bytes);
            if let Some(frame) = self.buffer.take()? {
                return Ok(Some(frame));
            }
        }
    }
}

fn not_run_error(detail: String) -> ServiceError {
    ServiceError::not_run(ErrorKind::PeerUnavailable, detail)
}

fn connection_lost_error(error: ConnectionError) -> ServiceError {
    not_run_error(format!("the connection was lost: {error}"))
}
