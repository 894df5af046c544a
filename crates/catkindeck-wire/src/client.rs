//! Calls to peers: connection cache, request, answer stream.

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

/// The largest piece taken from a stream at once, in bytes.
const READ_BYTES: usize = 64 << 10;

/// The interval at which unused connections are looked for.
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);

/// The name given in the handshake; peers are checked by the name in their own certificate.
const HANDSHAKE_NAME: &str = "catkindeck.internal";

/// The open connections by address.
pub struct ConnectionCache {
    endpoint: Endpoint,
    slots: Mutex<SortedMap<SocketAddr, Arc<ConnectionSlot>>>,
    unused_timeout: Duration,
    logger: Logger,
}

struct ConnectionSlot {
    /// Held while a connection is opened, so that concurrent calls open only one.
    connection: AsyncMutex<Option<Connection>>,
    last_use: Mutex<Instant>,
}

impl ConnectionCache {
    /// Makes an empty cache.
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
        let (sender, receiver) = connection.open_bi().await.map_err(not_connected)?;
        Ok(OpenStream::new(slot, sender, receiver))
    }

    /// Connects again after a cached connection turned out to be lost before anything was sent.
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
        let (sender, receiver) = connection.open_bi().await.map_err(not_connected)?;
        Ok(OpenStream::new(slot, sender, receiver))
    }

    async fn connect(&self, address: SocketAddr) -> Result<Connection, ServiceError> {
        let connecting = self
            .endpoint
            .connect(address, HANDSHAKE_NAME)
            .map_err(|error| unavailable_not_run(format!("no connection to {address}: {error}")))?;
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
                Err(unavailable_not_run(format!(
                    "no connection to {address}: {error}"
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

    /// Closes connections without calls, because each costs probes.
    pub async fn sweep(self: Arc<Self>) {
        let mut ticks = interval(SWEEP_INTERVAL);
        loop {
            ticks.tick().await;
            let now = Instant::now();
            let mut slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
            // A slot that a call or an open answer still holds has more than one owner.
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

/// The blocking face of the cache.
pub struct CallLink {
    cache: Arc<ConnectionCache>,
    runtime: Arc<RuntimeGuard>,
    hook: Arc<dyn RevisionHook>,
}

impl CallLink {
    /// Makes a link over `cache`.
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

impl PeerLink for CallLink {
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
        let late = || unavailable_not_run(format!("{address} did not take the request in time"));
        self.runtime.handle.block_on(async {
            let deadline = tokio::time::Instant::now() + limit;
            let mut stream = timeout_at(deadline, self.cache.open(address))
                .await
                .map_err(|_| late())??;
            // The last byte is handed over only by a completed write, so a peer cannot have read
            // the message whole if the write was cut short or failed.
            match timeout_at(deadline, stream.sender.write_all(&bytes)).await {
                Ok(Ok(())) => {}
                Ok(Err(error)) => {
                    return Err(unavailable_not_run(format!(
                        "the request to {address} was cut: {error}"
                    )));
                }
                Err(_) => {
                    // The error means that the stream is closed already.
                    let _ = stream.sender.reset(VarInt::from_u32(0));
                    return Err(late());
                }
            }
            // The error means that the stream is closed already, which the receiver reports.
            let _ = stream.sender.finish();
            Ok(Box::new(AnswerStream {
                stream,
                buffer: FrameBuffer::default(),
                ended: false,
                runtime: self.runtime.clone(),
            }) as Box<dyn FrameStream>)
        })
    }
}

/// The answer to one call.
///
/// Dropping it drops quinn's receiving half, which tells the peer to stop unless it has ended.
struct AnswerStream {
    stream: OpenStream,
    buffer: FrameBuffer,
    ended: bool,
    runtime: Arc<RuntimeGuard>,
}

impl FrameStream for AnswerStream {
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
                "the peer sent nothing in time",
            ))
        })
    }
}

impl AnswerStream {
    /// Reads until a whole frame or the end arrived; bytes read before a timeout are kept.
    async fn fill(&mut self) -> Result<Option<PeerFrame>, ServiceError> {
        loop {
            let chunk = self.stream.receiver.read_chunk(READ_BYTES, true).await;
            let chunk = chunk.map_err(|error| {
                ServiceError::unknown(
                    ErrorKind::PeerUnavailable,
                    format!("the answer was cut: {error}"),
                )
            })?;
            let Some(chunk) = chunk else {
                self.ended = true;
                if self.buffer.is_partial() {
                    return Err(ServiceError::unknown(
                        ErrorKind::PeerUnavailable,
                        "the answer ended within a message",
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

fn unavailable_not_run(detail: String) -> ServiceError {
    ServiceError::not_run(ErrorKind::PeerUnavailable, detail)
}

fn not_connected(error: ConnectionError) -> ServiceError {
    unavailable_not_run(format!("the connection was lost: {error}"))
}
