//! Calls from peers: accepted connections, requests, handler threads and responses.

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

/// The maximum number of bytes read from a stream at once.
const READ_BYTES: usize = 64 << 10;

/// The error code with which a stream is reset after an invalid request or a failed handler.
const FAILURE_CODE: u32 = 1;

/// The time that a rejected caller has to read the rejection.
const REJECTION_TIMEOUT: Duration = Duration::from_secs(2);

/// The state shared by all connections that are served.
pub struct ServerContext {
    handler: Arc<dyn PeerHandler>,
    hook: Arc<dyn RevisionHook>,
    runtime: Weak<RuntimeGuard>,
    permits: Arc<Semaphore>,
    request_timeout: Duration,
    logger: Logger,
}

impl ServerContext {
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
pub async fn accept(endpoint: Endpoint, context: Arc<ServerContext>) {
    while let Some(incoming) = endpoint.accept().await {
        tokio::spawn(serve_connection(incoming, context.clone()));
    }
}

async fn serve_connection(incoming: Incoming, context: Arc<ServerContext>) {
    let address = incoming.remote_address();
    let log_rejected = |reason: String| {
        log_event!(
            context.logger, events::HANDSHAKE_FAILED;
            "peer" => address.to_string(), "reason" => reason,
        );
    };
    let connection = match incoming.await {
        Ok(connection) => connection,
        Err(error) => return log_rejected(error.to_string()),
    };
    let identity = match identify(&connection) {
        Ok(identity) => Arc::new(identity),
        Err(reason) => {
            connection.close(VarInt::from_u32(FAILURE_CODE), b"certificate name");
            return log_rejected(reason);
        }
    };
    while let Ok((sender, receiver)) = connection.accept_bi().await {
        let call = IncomingCall {
            address,
            identity: identity.clone(),
            sender,
            receiver,
        };
        tokio::spawn(serve_call(call, context.clone()));
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

struct IncomingCall {
    address: SocketAddr,
    identity: Arc<PeerIdentity>,
    sender: SendStream,
    receiver: RecvStream,
}

async fn serve_call(mut call: IncomingCall, context: Arc<ServerContext>) {
    // Read the request.
    let request = timeout(context.request_timeout, read_request(&mut call.receiver)).await;
    let envelope = match request {
        Ok(Ok(envelope)) => envelope,
        Ok(Err(error)) => return reject_unreadable(call, &context, &error.detail),
        Err(_) => return reject_unreadable(call, &context, "the request was not received in time"),
    };

    // Reject the call if all threads are in use.
    let Ok(permit) = context.permits.clone().try_acquire_owned() else {
        log_event!(context.logger, events::CALLS_AT_LIMIT; "peer" => call.address.to_string());
        return reject_overloaded(call.sender).await;
    };
    let Some(runtime) = context.runtime.upgrade() else {
        return;
    };
    run_handler(call, envelope, permit, &context, runtime).await;
}

async fn run_handler(
    call: IncomingCall,
    envelope: PeerEnvelope,
    permit: OwnedSemaphorePermit,
    context: &ServerContext,
    runtime: Arc<RuntimeGuard>,
) {
    // The watcher detects a reset even while the handler sends nothing.
    let stopped = call.sender.stopped();
    let sink = Arc::new(StreamSink {
        sender: Mutex::new(call.sender),
        closed: AtomicBool::new(false),
        runtime: runtime.handle.clone(),
    });
    let watched_sink = sink.clone();
    let watcher = tokio::spawn(async move {
        // `Ok(None)` means that the complete response was acknowledged.
        if !matches!(stopped.await, Ok(None)) {
            watched_sink.closed.store(true, Ordering::Release);
        }
    });

    // The runtime must outlive the handler's thread, which uses its handle.
    let reply: Arc<dyn FrameSink> = sink.clone();
    let (handler, hook) = (context.handler.clone(), context.hook.clone());
    let (identity, address) = (call.identity, call.address);
    let outcome = spawn_blocking(move || {
        let _guards = (permit, runtime);
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

    // End the stream, with a reset if the response is incomplete.
    let mut completed = true;
    if outcome.await.is_err() {
        completed = false;
        log_event!(context.logger, events::HANDLER_FAILED; "peer" => address.to_string());
    }
    let mut sender = sink.sender.lock().await;
    // An error means that the stream is closed already.
    if completed {
        let _ = sender.finish();
    } else {
        let _ = sender.reset(VarInt::from_u32(FAILURE_CODE));
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
                    "the stream ended in the middle of the request",
                )
            })?;
        buffer.extend(&chunk.bytes);
        if let Some(envelope) = buffer.take()? {
            return Ok(envelope);
        }
        yield_now().await;
    }
}

fn reject_unreadable(mut call: IncomingCall, context: &ServerContext, reason: &str) {
    log_event!(
        context.logger, events::REQUEST_UNREADABLE;
        "peer" => call.address.to_string(), "host" => &call.identity.host, "reason" => reason,
    );
    // An error means that the stream is closed already.
    let _ = call.receiver.stop(VarInt::from_u32(FAILURE_CODE));
    let _ = call.sender.reset(VarInt::from_u32(FAILURE_CODE));
}

async fn reject_overloaded(mut sender: SendStream) {
    let rejection = PeerFrame::Failed(ServiceError::not_run(
        ErrorKind::Overloaded,
        "the limit of concurrent calls is reached",
    ));
    if let Ok(bytes) = frame::encode(&rejection) {
        // A failure is ignored, because it affects only the rejected caller.
        let _ = timeout(REJECTION_TIMEOUT, sender.write_all(&bytes)).await;
    }
    let _ = sender.finish();
}

/// The sending side of one call's response.
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
                    format!("the caller cannot be reached: {error}"),
                )
            })
        })
    }

    fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Acquire)
    }
}
