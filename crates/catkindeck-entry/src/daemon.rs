//! Assembles the parts of an entry and runs them until shutdown.

use {
    crate::{
        admin::{AdminService, INTENT_ADMIN},
        api::EntryService,
        control::{CONTROL_WORKER, ControlWorker},
        events::{CONFIG_IN_USE, ENTRY_STARTED},
        forward::{ForwardParts, RequestForwarder},
        http::{HttpServer, ServerLimits},
        metrics::EntryMetrics,
        peer::EntryHandler,
        platform::{CONFIG_REPLICA, EntryList, MEMBER_LIST},
        settings::EntrySettings,
    },
    catkindeck::{
        Clock, ErrorKind, ServiceError, ServiceKernel,
        config::{ConfigRevision, ConfigSnapshot},
        link::{PeerIdentity, PeerLink},
        log_event,
        platform::HostState,
    },
    catkindeck_control::{
        intent::IntentAdmin,
        members::MemberList,
        propagation::ConfigReplica,
        source::{CONFIG_PEER, CONFIG_SOURCE, ConfigPeer, ConfigSource},
        step::{STEP_SERVICE, StepService},
    },
    catkindeck_health::{DrainGate, HealthServer, ReadinessFlag, ShutdownCause, ShutdownWatch},
    catkindeck_wire::{PeerEndpoint, RevisionHook, WireLimits, WireSettings},
    prometheus::Registry,
    slog::Logger,
    std::{
        net::SocketAddr,
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
};

/// The interval at which the current configuration is compared with the one seen last.
const CONFIG_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// The number of polls between two removals of expired state.
const POLLS_PER_SWEEP: u32 = 50;

/// The number of polls between two refreshes of the host list, which itself is read every 5 s.
const POLLS_PER_REFRESH: u32 = 10;

/// How long shutdown waits for the last responses to be flushed once no request is in flight.
const RESPONSE_FLUSH_TIMEOUT: Duration = Duration::from_secs(5);

/// The largest request body accepted from operators, in bytes; declarations for the target
/// deployment size take 700 KB.
const MAX_ADMIN_BODY_BYTES: usize = 4 << 20;

pub struct EntryDaemon {
    caller_server: HttpServer,
    admin_server: Option<HttpServer>,
    health: HealthServer,
    endpoint: PeerEndpoint,
    control: Option<Arc<ControlWorker>>,
    replica: Option<Arc<ConfigReplica>>,
    watch: ShutdownWatch,
}

/// Opens the socket for calls from other processes.
///
/// The services in the kernel need its link before the daemon starts.
///
/// # Errors
///
/// Returns `internal` if the certificates cannot be loaded or the address cannot be bound.
pub fn open_peer_endpoint(
    settings: &EntrySettings,
    source: Arc<dyn ConfigSource>,
    logger: Logger,
) -> Result<PeerEndpoint, ServiceError> {
    let wire = WireSettings {
        listen: settings.process.peer_listen,
        tls: settings.process.tls.clone(),
        limits: WireLimits::default(),
    };
    let hook = Arc::new(ConfigRevisionHook(source));
    PeerEndpoint::start(&wire, hook, logger)
        .map_err(|error| ServiceError::not_run(ErrorKind::Internal, error.to_string()))
}

/// The forwarder with its metrics, built before the daemon because services in the kernel may need
/// it earlier.
pub struct MeteredForwarder {
    pub forwarder: Arc<RequestForwarder>,
    pub metrics: Arc<EntryMetrics>,
    /// The registry served on the health address.
    pub registry: Registry,
}

impl MeteredForwarder {
    /// Creates the forwarder from the services in `kernel`.
    ///
    /// # Errors
    ///
    /// Returns `internal` if no [`ConfigSource`] is registered.
    pub fn build(
        settings: &EntrySettings,
        kernel: &ServiceKernel,
        link: Arc<dyn PeerLink>,
        clock: Arc<dyn Clock>,
        logger: &Logger,
    ) -> Result<Self, ServiceError> {
        let registry = Registry::new();
        let metrics = Arc::new(EntryMetrics::register(&registry)?);
        let members = kernel.find::<MemberList>(MEMBER_LIST).ok();
        let mut seed = [0; 8];
        getrandom::fill(&mut seed)
            .map_err(|error| ServiceError::not_run(ErrorKind::Internal, error.to_string()))?;
        let forwarder = RequestForwarder::new(ForwardParts {
            entry: settings.process.host.clone(),
            link,
            source: kernel.find::<dyn ConfigSource>(CONFIG_SOURCE)?,
            peers: EntryList::new(settings, members),
            clock,
            metrics: Arc::clone(&metrics),
            limits: settings.forward,
            seed: u64::from_le_bytes(seed),
            logger: logger.clone(),
        });
        Ok(Self {
            forwarder,
            metrics,
            registry,
        })
    }
}

impl EntryDaemon {
    /// Starts serving with the services registered in `kernel`.
    ///
    /// A [`ConfigSource`] is required; [`StepService`], [`ConfigPeer`], [`MemberList`] and
    /// [`IntentAdmin`] are used if they are registered.
    ///
    /// # Errors
    ///
    /// Returns `internal` if an address cannot be bound or a required service is missing.
    pub fn start(
        settings: &EntrySettings,
        kernel: &ServiceKernel,
        endpoint: PeerEndpoint,
        metered_forwarder: MeteredForwarder,
        logger: &Logger,
    ) -> Result<Self, ServiceError> {
        let MeteredForwarder {
            forwarder,
            registry,
            ..
        } = metered_forwarder;
        let steps = kernel.find::<dyn StepService>(STEP_SERVICE).ok();
        let config_peer = kernel.find::<dyn ConfigPeer>(CONFIG_PEER).ok();

        // The health server starts first, so that the process can be probed while it becomes ready.
        let readiness = Arc::new(ReadinessFlag::new(logger.clone()));
        readiness.add_reason("configuration", "no configuration received yet");
        let gate = DrainGate::new();
        let watch =
            ShutdownWatch::install(Arc::clone(&readiness), Arc::clone(&gate), logger.clone())?
                .with_notice(settings.shutdown_notice);
        let health = HealthServer::start(
            settings.process.health_listen,
            Arc::clone(&readiness),
            Arc::clone(&gate),
            registry,
            logger.clone(),
        )?;
        let handler = EntryHandler::new(
            Arc::clone(&forwarder),
            config_peer,
            steps.clone(),
            Arc::clone(&gate),
        );
        endpoint.serve(Arc::new(handler));

        let service = EntryService::new(Arc::clone(&forwarder), steps, settings.api);
        let caller_server = HttpServer::start(
            settings.caller_listen,
            settings.server,
            Arc::new(service),
            Arc::clone(&gate),
            logger.clone(),
        )?;
        let admin_server = start_admin_server(settings, kernel, &gate, logger)?;
        let members = kernel.find::<MemberList>(MEMBER_LIST).ok();
        watch_configuration(forwarder, members, readiness, logger.clone())?;
        log_event!(logger, ENTRY_STARTED; "host" => %settings.process.host,
            "zone" => %settings.process.zone);
        Ok(Self {
            caller_server,
            admin_server,
            health,
            endpoint,
            control: kernel.find::<ControlWorker>(CONTROL_WORKER).ok(),
            replica: kernel.find::<ConfigReplica>(CONFIG_REPLICA).ok(),
            watch,
        })
    }

    /// Serves until a shutdown is requested and no request is in flight.
    pub fn run(self) -> ShutdownCause {
        let cause = self.watch.wait(|| {
            self.caller_server.drain();
            if let Some(admin_server) = &self.admin_server {
                admin_server.drain();
            }
        });
        self.caller_server.close();
        if let Some(admin_server) = &self.admin_server {
            admin_server.close();
        }
        // hyper may not have flushed the last responses to the socket buffers yet.
        let deadline = Instant::now() + RESPONSE_FLUSH_TIMEOUT;
        let open_connections = || {
            let admin_connections = self
                .admin_server
                .as_ref()
                .map_or(0, HttpServer::connections);
            self.caller_server.connections() + admin_connections
        };
        while cause == ShutdownCause::Drained && open_connections() > 0 && Instant::now() < deadline
        {
            thread::sleep(Duration::from_millis(10));
        }
        if let Some(control) = &self.control {
            control.drain();
        }
        // The replica follows the configuration until the end of the shutdown, so that a revocation
        // still ends the open streams of its key.
        if let Some(replica) = &self.replica {
            replica.drain();
        }
        self.endpoint.close(Duration::from_secs(1));
        cause
    }

    pub fn caller_address(&self) -> SocketAddr {
        self.caller_server.address()
    }

    /// Returns the address that serves health, readiness and metrics.
    pub fn health_address(&self) -> SocketAddr {
        self.health.address()
    }

    /// Requests a shutdown without a signal.
    pub fn request_shutdown(&self) {
        self.watch.request();
    }
}

fn start_admin_server(
    settings: &EntrySettings,
    kernel: &ServiceKernel,
    gate: &Arc<DrainGate>,
    logger: &Logger,
) -> Result<Option<HttpServer>, ServiceError> {
    let Some(address) = settings.admin_listen else {
        return Ok(None);
    };
    let admin = kernel.find::<IntentAdmin>(INTENT_ADMIN).map_err(|_| {
        let detail = "`admin_listen` requires the table `[platform]`, because configuration \
                      changes are stored there";
        ServiceError::not_run(ErrorKind::Internal, detail)
    })?;
    let limits = ServerLimits {
        connections: 64,
        requests: 16,
        body_bytes: MAX_ADMIN_BODY_BYTES,
        ..settings.server
    };
    let service = Arc::new(AdminService::new(admin));
    let gate = Arc::clone(gate);
    HttpServer::start(address, limits, service, gate, logger.clone()).map(Some)
}

/// Starts the thread that watches the configuration for the lifetime of the process.
fn watch_configuration(
    forwarder: Arc<RequestForwarder>,
    members: Option<Arc<MemberList>>,
    readiness: Arc<ReadinessFlag>,
    logger: Logger,
) -> Result<(), ServiceError> {
    let builder = thread::Builder::new().name("config-watch".to_owned());
    let spawned = builder.spawn(move || {
        let mut previous = Arc::new(ConfigSnapshot::default());
        let mut poll_count: u32 = 0;
        loop {
            let current = forwarder.source().current();
            if !Arc::ptr_eq(&current, &previous) {
                if current.revision != previous.revision {
                    log_event!(logger, CONFIG_IN_USE; "revision" => current.revision.0);
                }
                forwarder.metrics().remove_stale_series(&previous, &current);
                previous = current;
            }
            let is_known = previous.revision != ConfigRevision::default();
            if is_known && forwarder.source().is_fresh() {
                readiness.remove_reason("configuration");
            }
            poll_count = poll_count.wrapping_add(1);
            if poll_count.is_multiple_of(POLLS_PER_REFRESH) {
                let views = members.as_ref().map(|members| members.merge(&previous));
                let views = views.unwrap_or_default().into_iter();
                let hosts: Vec<_> = views
                    .map(|view| (view.upstream.name, view.state == Some(HostState::Leaving)))
                    .collect();
                forwarder.apply_host_list(&hosts);
            }
            if poll_count.is_multiple_of(POLLS_PER_SWEEP) {
                forwarder.sweep();
            }
            thread::sleep(CONFIG_POLL_INTERVAL);
        }
    });
    spawned.map(drop).map_err(|error| {
        ServiceError::not_run(
            ErrorKind::Internal,
            format!("cannot start the thread config-watch: {error}"),
        )
    })
}

/// Reports the current revision to the transport, and the revisions of peers to the source.
struct ConfigRevisionHook(Arc<dyn ConfigSource>);

impl RevisionHook for ConfigRevisionHook {
    fn current(&self) -> ConfigRevision {
        self.0.current().revision
    }

    fn on_higher_revision(
        &self,
        revision: ConfigRevision,
        _peer: &PeerIdentity,
        _address: SocketAddr,
    ) {
        self.0.observe_revision(revision);
    }
}
