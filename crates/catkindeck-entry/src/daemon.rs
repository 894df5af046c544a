//! Puts the parts of an entry together and holds them until the exit.

use {
    crate::{
        admin::{AdminService, INTENT_ADMIN},
        api::EntryService,
        control::{CONTROL_WORK, ControlWork},
        events::{CONFIG_IN_USE, ENTRY_STARTED},
        forward::{ForwardParts, RequestForwarder},
        http::{CallerServer, ServerLimits},
        metrics::EntryMetrics,
        peer::EntryPeer,
        platform::{CONFIG_HOLDER, KnownEntries, MEMBER_LIST},
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

/// How often the configuration in use is compared with the one seen last.
const WATCH_INTERVAL: Duration = Duration::from_millis(200);

/// How many intervals pass between two sweeps of what has expired.
const INTERVALS_PER_SWEEP: u32 = 50;

/// How many intervals pass between two looks at the host list, which itself is read every 5 s.
const INTERVALS_PER_REFRESH: u32 = 10;

/// How long the exit waits for the last answers to leave, after nothing is in flight.
const LAST_ANSWERS: Duration = Duration::from_secs(5);

/// The largest body of an operator's request, in bytes; declarations of the target size take
/// 700 KB.
const ADMIN_BODY_BYTES: usize = 4 << 20;

/// A running entry.
pub struct EntryDaemon {
    callers: CallerServer,
    operators: Option<CallerServer>,
    health: HealthServer,
    endpoint: PeerEndpoint,
    control: Option<Arc<ControlWork>>,
    holder: Option<Arc<ConfigReplica>>,
    watch: ShutdownWatch,
}

/// Opens the socket for other processes, which the services in the kernel need before the daemon
/// starts.
///
/// # Errors
///
/// Returns `internal` if the certificates or the address cannot be used.
pub fn open_peers(
    settings: &EntrySettings,
    source: Arc<dyn ConfigSource>,
    logger: Logger,
) -> Result<PeerEndpoint, ServiceError> {
    let wire = WireSettings {
        listen: settings.process.peer_listen,
        tls: settings.process.tls.clone(),
        limits: WireLimits::default(),
    };
    let hook = Arc::new(SourceHook(source));
    PeerEndpoint::start(&wire, hook, logger)
        .map_err(|error| ServiceError::not_run(ErrorKind::Internal, error.to_string()))
}

/// The forwarder with its metrics, which services in the kernel may need before the daemon starts.
pub struct EntryCore {
    /// The forwarder.
    pub forwarder: Arc<RequestForwarder>,
    /// The metrics.
    pub metrics: Arc<EntryMetrics>,
    /// The metrics that the health address shows.
    pub registry: Registry,
}

impl EntryCore {
    /// Makes the forwarder over the services in `kernel`.
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
            peers: KnownEntries::new(settings, members),
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
    /// Starts to serve with the services that are registered in `kernel`.
    ///
    /// A [`ConfigSource`] is required; [`StepService`], [`ConfigPeer`], [`MemberList`] and
    /// [`IntentAdmin`] are used where they are registered.
    ///
    /// # Errors
    ///
    /// Returns `internal` if an address cannot be opened or a needed service is missing.
    pub fn start(
        settings: &EntrySettings,
        kernel: &ServiceKernel,
        endpoint: PeerEndpoint,
        core: EntryCore,
        logger: &Logger,
    ) -> Result<Self, ServiceError> {
        let EntryCore {
            forwarder,
            registry,
            ..
        } = core;
        let steps = kernel.find::<dyn StepService>(STEP_SERVICE).ok();
        let spread = kernel.find::<dyn ConfigPeer>(CONFIG_PEER).ok();

        // Health comes first, so that the process can be watched while it becomes ready.
        let readiness = Arc::new(ReadinessFlag::new(logger.clone()));
        readiness.hold("configuration", "no configuration is known yet");
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
        let peer = EntryPeer::new(
            Arc::clone(&forwarder),
            spread,
            steps.clone(),
            Arc::clone(&gate),
        );
        endpoint.serve(Arc::new(peer));

        let service = EntryService::new(Arc::clone(&forwarder), steps, settings.api);
        let callers = CallerServer::start(
            settings.caller_listen,
            settings.server,
            Arc::new(service),
            Arc::clone(&gate),
            logger.clone(),
        )?;
        let operators = start_operators(settings, kernel, &gate, logger)?;
        let members = kernel.find::<MemberList>(MEMBER_LIST).ok();
        watch_configuration(forwarder, members, readiness, logger.clone())?;
        log_event!(logger, ENTRY_STARTED; "host" => %settings.process.host,
            "zone" => %settings.process.zone);
        Ok(Self {
            callers,
            operators,
            health,
            endpoint,
            control: kernel.find::<ControlWork>(CONTROL_WORK).ok(),
            holder: kernel.find::<ConfigReplica>(CONFIG_HOLDER).ok(),
            watch,
        })
    }

    /// Serves until a signal arrives and nothing is in flight.
    pub fn run(self) -> ShutdownCause {
        let cause = self.watch.wait(|| {
            self.callers.drain();
            if let Some(operators) = &self.operators {
                operators.drain();
            }
        });
        self.callers.close();
        if let Some(operators) = &self.operators {
            operators.close();
        }
        // The last answers may still be on their way to the system's buffers.
        let deadline = Instant::now() + LAST_ANSWERS;
        let open = || {
            let operators = self.operators.as_ref().map_or(0, CallerServer::connections);
            self.callers.connections() + operators
        };
        while cause == ShutdownCause::Drained && open() > 0 && Instant::now() < deadline {
            thread::sleep(Duration::from_millis(10));
        }
        if let Some(control) = &self.control {
            control.drain();
        }
        // The configuration is followed to the end, so that revoked keys end open streams.
        if let Some(holder) = &self.holder {
            holder.drain();
        }
        self.endpoint.close(Duration::from_secs(1));
        cause
    }

    /// Returns the address for callers.
    pub fn caller_address(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Returns the address for health, readiness and metrics.
    pub fn health_address(&self) -> SocketAddr {
        self.health.address()
    }

    /// Asks for a shutdown without a signal.
    pub fn request_shutdown(&self) {
        self.watch.request();
    }
}

fn start_operators(
    settings: &EntrySettings,
    kernel: &ServiceKernel,
    gate: &Arc<DrainGate>,
    logger: &Logger,
) -> Result<Option<CallerServer>, ServiceError> {
    let Some(address) = settings.admin_listen else {
        return Ok(None);
    };
    let admin = kernel.find::<IntentAdmin>(INTENT_ADMIN).map_err(|_| {
        let detail =
            "admin_listen needs the table platform, because operators change what is in the store";
        ServiceError::not_run(ErrorKind::Internal, detail)
    })?;
    let limits = ServerLimits {
        connections: 64,
        requests: 16,
        body_bytes: ADMIN_BODY_BYTES,
        ..settings.server
    };
    let service = Arc::new(AdminService::new(admin));
    let gate = Arc::clone(gate);
    CallerServer::start(address, limits, service, gate, logger.clone()).map(Some)
}

/// Follows the configuration on a thread that lives as long as the process.
fn watch_configuration(
    forwarder: Arc<RequestForwarder>,
    members: Option<Arc<MemberList>>,
    readiness: Arc<ReadinessFlag>,
    logger: Logger,
) -> Result<(), ServiceError> {
    let watcher = thread::Builder::new().name("config-watch".to_owned());
    let spawned = watcher.spawn(move || {
        let mut seen = Arc::new(ConfigSnapshot::default());
        let mut round: u32 = 0;
        loop {
            let current = forwarder.source().current();
            if !Arc::ptr_eq(&current, &seen) {
                if current.revision != seen.revision {
                    log_event!(logger, CONFIG_IN_USE; "revision" => current.revision.0);
                }
                forwarder.metrics().forget_absent(&seen, &current);
                seen = current;
            }
            let known = seen.revision != ConfigRevision::default();
            if known && forwarder.source().is_fresh() {
                readiness.clear("configuration");
            }
            round = round.wrapping_add(1);
            if round.is_multiple_of(INTERVALS_PER_REFRESH) {
                let views = members.as_ref().map(|members| members.merge(&seen));
                let views = views.unwrap_or_default().into_iter();
                let hosts: Vec<_> = views
                    .map(|view| (view.upstream.name, view.state == Some(HostState::Leaving)))
                    .collect();
                forwarder.refresh_members(&hosts);
            }
            if round.is_multiple_of(INTERVALS_PER_SWEEP) {
                forwarder.sweep();
            }
            thread::sleep(WATCH_INTERVAL);
        }
    });
    spawned
        .map(drop)
        .map_err(|error| ServiceError::not_run(ErrorKind::Internal, format!("no thread: {error}")))
}

/// Tells the transport the revision in use and the source the revisions of peers.
struct SourceHook(Arc<dyn ConfigSource>);

impl RevisionHook for SourceHook {
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
