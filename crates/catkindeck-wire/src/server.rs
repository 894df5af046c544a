//! Calls of peers: accepted connections, requests, handler threads, answers.

use {
    crate::{
        certificate::read_identity,
        endpoint::{RevisionHook, RuntimeGuard, WireLimits},
        events,
        frame::{self, FrameBuffer},
    },
    catkindeck::{
        ErrorKind, ServiceError,
        link::{FrameSink, PeerHandler, PeerIdentity},
        log_event,
        message::{PeerEnvelope, PeerFrame, PeerRequest},
    },
    quinn::{Connection, Endpoint, Incoming, RecvStream, SendStream, VarInt},
    rustls::pki_types::CertificateDer,
    slog::Logger,
    std::{
        net::SocketAddr,
        sync::{
            Arc, Weak,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::{
        runtime::Handle,
        sync::{Mutex, OwnedSemaphorePermit, Semaphore},
        task::{spawn_blocking, yield_now},
        time::timeout,
    },
};

/// The largest piece taken from a stream at once, in bytes.
const READ_BYTES: usize = 64 << 10;

/// The code with which a stream is reset after a broken request or a failed handler.
const FAILED_CODE: u32 = 1;

/// The time for which a refused caller may take to read the refusal.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(2);

/// What serving needs.
pub struct ServeParts {
    handler: Arc<dyn PeerHandler>,
    hook: Arc<dyn RevisionHook>,
    runtime: Weak<RuntimeGuard>,
    permits: Arc<Semaphore>,
    request_timeout: Duration,
    logger: Logger,
}

impl ServeParts {
    /// Collects the parts.
    pub fn new(
        handler: Arc<dyn PeerHandler>,
        hook: Arc<dyn RevisionHook>,
        runtime: Weak<RuntimeGuard>,
        limits: &WireLimits,
        logger: Logger,
    ) -> Self {
        let calls = usize::try_from(limits.concurrent_calls).unwrap_or(usize::MAX);
        Self {
            handler,
            hook,
            runtime,
            permits: Arc::new(Semaphore::new(calls.min(Semaphore::MAX_PERMITS))),
            request_timeout: limits.request_timeout,
            logger,
        }
    }
}

/// Accepts connections until the endpoint is closed.
pub async fn accept(endpoint: Endpoint, parts: Arc<ServeParts>) {
    while let Some(incoming) = endpoint.accept().await {
        tokio::spawn(serve_connection(incoming, parts.clone()));
    }
}

async fn serve_connection(incoming: Incoming, parts: Arc<ServeParts>) {
    let address = incoming.remote_address();
    let refused = |reason: String| {
        log_event!(
            parts.logger, events::HANDSHAKE_REFUSED;
            "peer" => address.to_string(), "reason" => reason,
        );
    };
    let connection = match incoming.await {
        Ok(connection) => connection,
        Err(error) => return refused(error.to_string()),
    };
    let identity = match identify(&connection) {
        Ok(identity) => Arc::new(identity),
        Err(reason) => {
            connection.close(VarInt::from_u32(FAILED_CODE), b"certificate name");
            return refused(reason);
        }
    };
    while let Ok((sender, receiver)) = connection.accept_bi().await {
        let call = Call {
            address,
            identity: identity.clone(),
            sender,
            receiver,
        };
        tokio::spawn(serve_call(call, parts.clone()));
    }
}

fn identify(connection: &Connection) -> Result<PeerIdentity, String> {
    let certificates = connection
        .peer_identity()
        .and_then(|identity| identity.downcast::<Vec<CertificateDer<'static>>>().ok());
    let first = certificates.as_ref().and_then(|chain| chain.first());
    let first = first.ok_or_else(|| "the peer sent no certificate".to_owned())?;
    read_identity(first).map_err(|error| error.to_string())
}

struct Call {
    address: SocketAddr,
    identity: Arc<PeerIdentity>,
    sender: SendStream,
    receiver: RecvStream,
}

async fn serve_call(mut call: Call, parts: Arc<ServeParts>) {
    // Reading the request.
    let request = timeout(parts.request_timeout, read_request(&mut call.receiver)).await;
    let envelope = match request {
        Ok(Ok(envelope)) => envelope,
        Ok(Err(error)) => return refuse_unreadable(call, &parts, &error.detail),
        Err(_) => return refuse_unreadable(call, &parts, "the request did not arrive in time"),
    };

    // Refusing when all threads are taken.
    let Ok(permit) = parts.permits.clone().try_acquire_owned() else {
        log_event!(parts.logger, events::CALLS_AT_LIMIT; "peer" => call.address.to_string());
        return refuse_overloaded(call.sender).await;
    };
    let Some(runtime) = parts.runtime.upgrade() else {
        return;
    };
    run_handler(call, envelope, permit, &parts, runtime).await;
}

async fn run_handler(
    call: Call,
    envelope: PeerEnvelope,
    permit: OwnedSemaphorePermit,
    parts: &ServeParts,
    runtime: Arc<RuntimeGuard>,
) {
    // The watcher learns of a reset even while the handler sends nothing.
    let stopped = call.sender.stopped();
    let sink = Arc::new(StreamSink {
        sender: Mutex::new(call.sender),
        closed: AtomicBool::new(false),
        runtime: runtime.handle.clone(),
    });
    let watched = sink.clone();
    let watcher = tokio::spawn(async move {
        // `Ok(None)` means that the whole answer was acknowledged.
        if !matches!(stopped.await, Ok(None)) {
            watched.closed.store(true, Ordering::Release);
        }
    });

    // The runtime must live while the handler's thread uses its handle.
    let reply: Arc<dyn FrameSink> = sink.clone();
    let (handler, hook) = (parts.handler.clone(), parts.hook.clone());
    let (identity, address) = (call.identity, call.address);
    let handled = spawn_blocking(move || {
        let _held = (permit, runtime);
        let carries_configuration = matches!(
            envelope.request,
            PeerRequest::PushConfiguration(_)
                | PeerRequest::FetchConfiguration
                | PeerRequest::ReadRevision
        );
        if !carries_configuration && envelope.revision > hook.current() {
            hook.on_higher_revision(envelope.revision, &identity, address);
        }
        handler.handle(&identity, envelope.request, reply);
    });

    // Ending the stream, with a reset if the answer is not whole.
    let mut whole = true;
    if handled.await.is_err() {
        whole = false;
        log_event!(parts.logger, events::HANDLER_FAILED; "peer" => address.to_string());
    }
    let mut sender = sink.sender.lock().await;
    // Errors mean that the stream is closed already.
    if whole {
        let _ = sender.finish();
    } else {
        let _ = sender.reset(VarInt::from_u32(FAILED_CODE));
        watcher.abort();
    }
}

async fn read_request(receiver: &mut RecvStream) -> Result<PeerEnvelope, ServiceError> {
    let mut buffer = FrameBuffer::default();
    loop {
        let chunk = receiver.read_chunk(READ_BYTES, true).await;
        let chunk = chunk
            .map_err(|error| ServiceError::unknown(ErrorKind::PeerUnavailable, error.to_string()))?
            .ok_or_else(|| {
                ServiceError::unknown(
                    ErrorKind::PeerUnavailable,
                    "the stream ended within the request",
                )
            })?;
        buffer.extend(&chunk.bytes);
        if let Some(envelope) = buffer.take()? {
            return Ok(envelope);
        }
        yield_now().await;
    }
}

fn refuse_unreadable(mut call: Call, parts: &ServeParts, reason: &str) {
    log_event!(
        parts.logger, events::REQUEST_UNREADABLE;
        "peer" => call.address.to_string(), "host" => &call.identity.host, "reason" => reason,
    );
    // Errors mean that the stream is closed already.
    let _ = call.receiver.stop(VarInt::from_u32(FAILED_CODE));
    let _ = call.sender.reset(VarInt::from_u32(FAILED_CODE));
}

async fn refuse_overloaded(mut sender: SendStream) {
    let refusal = PeerFrame::Failed(ServiceError::not_run(
        ErrorKind::Overloaded,
        "this process handles as many calls as it may",
    ));
    if let Ok(bytes) = frame::encode(&refusal) {
        // A caller that does not read loses only its own refusal.
        let _ = timeout(REFUSAL_TIMEOUT, sender.write_all(&bytes)).await;
    }
    let _ = sender.finish();
}

/// The answer side of one call.
struct StreamSink {
    sender: Mutex<SendStream>,
    closed: AtomicBool,
    runtime: Handle,
}

impl FrameSink for StreamSink {
    fn send(&self, frame: PeerFrame) -> Result<(), ServiceError> {
        let bytes = frame::encode(&frame)?;
        self.runtime.block_on(async {
            let mut sender = self.sender.lock().await;
            sender.write_all(&bytes).await.map_err(|error| {
                self.closed.store(true, Ordering::Release);
                ServiceError::unknown(
                    ErrorKind::PeerUnavailable,
                    format!("the caller is gone: {error}"),
                )
            })
        })
    }

    fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Acquire)
    }
}
