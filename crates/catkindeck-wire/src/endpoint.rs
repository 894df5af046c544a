//! The endpoint: one UDP socket and the threads that drive it.

use {
    crate::{client::ConnectionCache, error::WireError, events, server, tls},
    catkindeck::{
        config::ConfigRevision,
        link::{PeerHandler, PeerIdentity, PeerLink},
        log_event,
        process::RawTls,
    },
    quinn::{
        ClientConfig, ConnectionId, ConnectionIdGenerator, Endpoint, EndpointConfig, IdleTimeout,
        ServerConfig, TokioRuntime, TransportConfig, VarInt,
        crypto::{CryptoError, HmacKey},
    },
    slog::Logger,
    std::{
        net::{SocketAddr, UdpSocket},
        sync::{Arc, OnceLock},
        time::Duration,
    },
    tokio::runtime::{Builder, Handle, Runtime},
};

/// The length of connection identifiers, in bytes.
const CONNECTION_ID_BYTES: usize = 8;

/// The settings of an endpoint.
#[derive(Debug, Clone)]
pub struct WireSettings {
    /// The UDP address to bind; a tool that only makes calls uses port zero.
    pub listen: SocketAddr,
    pub tls: RawTls,
    pub limits: WireLimits,
}

/// The limits of an endpoint.
#[derive(Debug, Clone)]
pub struct WireLimits {
    /// The maximum number of concurrent calls from peers, each of which occupies a thread.
    pub concurrent_calls: u32,
    /// The timeout for receiving a peer's complete request.
    pub request_timeout: Duration,
    /// The interval of keep-alive probes on connections that this process opened.
    pub keep_alive: Duration,
    /// The time without any packet after which a connection counts as lost.
    ///
    /// It must exceed twice `keep_alive`, so that one lost probe does not close a connection.
    pub idle_timeout: Duration,
    /// How long a cached connection stays open after its last call.
    pub cache_timeout: Duration,
}

impl Default for WireLimits {
    fn default() -> Self {
        Self {
            concurrent_calls: 1024,
            request_timeout: Duration::from_secs(10),
            keep_alive: Duration::from_millis(1250),
            idle_timeout: Duration::from_secs(4),
            cache_timeout: Duration::from_secs(60),
        }
    }
}

/// The transport's interface to this process's configuration.
pub trait RevisionHook: Send + Sync {
    /// Returns the highest revision that this process has ever used, which is sent with every call.
    fn current(&self) -> ConfigRevision;

    /// Called before a request is handled if the peer uses a higher revision.
    ///
    /// Runs on the call's thread, so it may fetch that revision from `address`, the peer's own
    /// endpoint. It is not called for requests that carry or request a configuration themselves.
    fn on_higher_revision(
        &self,
        revision: ConfigRevision,
        peer: &PeerIdentity,
        address: SocketAddr,
    );
}

/// One UDP socket and the threads that drive it; dropping it closes all connections.
pub struct PeerEndpoint {
    endpoint: Endpoint,
    cache: Arc<ConnectionCache>,
    runtime: Arc<RuntimeGuard>,
    hook: Arc<dyn RevisionHook>,
    identity: PeerIdentity,
    limits: WireLimits,
    is_served: OnceLock<()>,
    logger: Logger,
}

impl PeerEndpoint {
    /// Opens the socket and starts the threads. Calls from peers are rejected until
    /// [`PeerEndpoint::serve`] is called.
    ///
    /// # Errors
    ///
    /// Returns an error if the PEM files or the address cannot be used.
    pub fn start(
        settings: &WireSettings,
        hook: Arc<dyn RevisionHook>,
        logger: Logger,
    ) -> Result<Self, WireError> {
        let tls_configs = tls::load(&settings.tls)?;
        let runtime = Arc::new(RuntimeGuard::start(&settings.limits)?);
        let socket_error = |reason| WireError::Socket {
            address: settings.listen,
            reason,
        };
        let socket = UdpSocket::bind(settings.listen).map_err(socket_error)?;

        // The driver tasks are spawned on the runtime that is entered here.
        let _entered = runtime.handle.enter();
        let mut config = EndpointConfig::new(Arc::new(ResetKey(tls_configs.reset_secret)));
        config.cid_generator(|| Box::new(RandomIdGenerator));
        let mut endpoint =
            Endpoint::new(config, None, socket, Arc::new(TokioRuntime)).map_err(socket_error)?;
        let mut client = ClientConfig::new(tls_configs.client);
        client.transport_config(Arc::new(transport_config(&settings.limits, true)?));
        endpoint.set_default_client_config(client);
        let mut server = ServerConfig::with_crypto(tls_configs.server);
        server.transport_config(Arc::new(transport_config(&settings.limits, false)?));
        // Peers are called back at their address, so it must not change during a connection.
        server.migration(false);
        endpoint.set_server_config(Some(server));

        let cache = Arc::new(ConnectionCache::new(
            endpoint.clone(),
            settings.limits.cache_timeout,
            logger.clone(),
        ));
        runtime.handle.spawn(cache.clone().sweep());
        Ok(Self {
            endpoint,
            cache,
            runtime,
            hook,
            identity: tls_configs.identity,
            limits: settings.limits.clone(),
            is_served: OnceLock::new(),
            logger,
        })
    }

    /// Starts to pass calls from peers to `handler`. Only the first call of this method has an
    /// effect.
    pub fn serve(&self, handler: Arc<dyn PeerHandler>) {
        if self.is_served.set(()).is_err() {
            return;
        }
        let context = server::ServerContext::new(
            handler,
            self.hook.clone(),
            Arc::downgrade(&self.runtime),
            &self.limits,
            self.logger.clone(),
        );
        self.runtime
            .handle
            .spawn(server::accept(self.endpoint.clone(), Arc::new(context)));
        if let Ok(address) = self.endpoint.local_addr() {
            log_event!(self.logger, events::ENDPOINT_LISTENING; "address" => address.to_string());
        }
    }

    /// Returns a link for calls to other processes through this endpoint.
    pub fn link(&self) -> Arc<dyn PeerLink> {
        Arc::new(crate::client::BlockingLink::new(
            self.cache.clone(),
            self.runtime.clone(),
            self.hook.clone(),
        ))
    }

    /// Returns the identity in this process's own certificate.
    pub fn identity(&self) -> &PeerIdentity {
        &self.identity
    }

    /// Returns the address that the socket is bound to.
    ///
    /// # Errors
    ///
    /// Returns the system's error.
    pub fn local_address(&self) -> std::io::Result<SocketAddr> {
        self.endpoint.local_addr()
    }

    /// Closes all connections and waits at most `timeout` until the peers have been notified.
    pub fn close(&self, timeout: Duration) {
        self.endpoint.close(VarInt::from_u32(0), b"closed");
        self.runtime.handle.block_on(async {
            // A peer that was not notified detects the loss by its idle timeout.
            let _ = tokio::time::timeout(timeout, self.endpoint.wait_idle()).await;
        });
    }
}

impl Drop for PeerEndpoint {
    fn drop(&mut self) {
        self.endpoint.close(VarInt::from_u32(0), b"closed");
    }
}

/// Owns the tokio threads. The last owner stops them without waiting for their tasks.
pub struct RuntimeGuard {
    /// Runs futures on the calling thread; the drivers run on the runtime's threads.
    pub handle: Handle,
    runtime: Option<Runtime>,
}

impl RuntimeGuard {
    fn start(limits: &WireLimits) -> Result<Self, WireError> {
        let calls = usize::try_from(limits.concurrent_calls).unwrap_or(usize::MAX);
        let runtime = Builder::new_multi_thread()
            .worker_threads(2)
            .max_blocking_threads(calls.max(1))
            .thread_name("wire")
            .enable_all()
            .build()
            .map_err(WireError::Threads)?;
        Ok(Self {
            handle: runtime.handle().clone(),
            runtime: Some(runtime),
        })
    }
}

impl Drop for RuntimeGuard {
    fn drop(&mut self) {
        // The last owner may be a call's thread, where a blocking shutdown would never return.
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// The key of stateless resets, which stays the same when the process restarts.
///
/// It lets a restarted process tell its peers immediately that their connections are lost. With a
/// new random key the peers would detect that only by the idle timeout.
struct ResetKey([u8; 32]);

impl HmacKey for ResetKey {
    fn sign(&self, data: &[u8], signature_out: &mut [u8]) {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        hasher.update(data);
        hasher.finalize_xof().fill(signature_out);
    }

    fn signature_len(&self) -> usize {
        32
    }

    fn verify(&self, data: &[u8], signature: &[u8]) -> Result<(), CryptoError> {
        let expected = blake3::keyed_hash(&self.0, data);
        // Comparing blake3 hashes takes constant time.
        let given = <[u8; 32]>::try_from(signature).map_err(|_| CryptoError)?;
        if expected == given {
            Ok(())
        } else {
            Err(CryptoError)
        }
    }
}

/// Generates random connection identifiers and treats every received identifier as valid.
///
/// Quinn's default generator sends no stateless reset for the identifiers of an earlier process.
struct RandomIdGenerator;

impl ConnectionIdGenerator for RandomIdGenerator {
    fn generate_cid(&mut self) -> ConnectionId {
        let mut bytes = [0; CONNECTION_ID_BYTES];
        getrandom::fill(&mut bytes).expect("the operating system provides randomness");
        ConnectionId::new(&bytes)
    }

    fn cid_len(&self) -> usize {
        CONNECTION_ID_BYTES
    }

    fn cid_lifetime(&self) -> Option<Duration> {
        None
    }
}

fn transport_config(limits: &WireLimits, is_client: bool) -> Result<TransportConfig, WireError> {
    let idle = IdleTimeout::try_from(limits.idle_timeout).map_err(|_| {
        let timeout = limits.idle_timeout;
        WireError::Tls(format!(
            "the idle timeout of {timeout:?} exceeds QUIC's maximum"
        ))
    })?;
    let mut config = TransportConfig::default();
    config
        .max_idle_timeout(Some(idle))
        .max_concurrent_bidi_streams(VarInt::from_u32(limits.concurrent_calls))
        .max_concurrent_uni_streams(VarInt::from_u32(0))
        .datagram_receive_buffer_size(None);
    if is_client {
        // The response to a probe also keeps the connection alive at the accepting side. Probing
        // from just one side halves the cost for processes with many idle connections.
        config.keep_alive_interval(Some(limits.keep_alive));
    }
    Ok(config)
}
