//! The agent as a process: sockets, threads, health and shutdown.

use {
    crate::{
        core::{AgentCore, AgentParts},
        events,
        handler::AgentHandler,
        settings::AgentSettings,
        upstream::{UpstreamClient, build_client},
        watch,
    },
    catkindeck::{
        Clock, ErrorKind, ServiceError, ServiceKernel,
        link::{PeerLink, PeerRole},
        log_event,
        platform::HostList,
        time::SystemClock,
    },
    catkindeck_health::{DrainGate, HealthServer, ReadinessFlag, ShutdownCause, ShutdownWatch},
    catkindeck_store::HttpHosts,
    catkindeck_wire::{PeerEndpoint, WireLimits, WireSettings},
    prometheus::Registry,
    slog::Logger,
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// The name under which the kernel holds the clock.
pub const CLOCK: &str = "clock";

/// The name under which the kernel holds the upstream's client.
pub const UPSTREAM: &str = "upstream";

/// The name under which the kernel holds the platform's host list, if there is one.
pub const HOST_LIST: &str = "host-list";

/// The name under which the kernel holds the way to other processes.
pub const PEER_LINK: &str = "peer-link";

/// How long the end of the process waits until peers were told.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// A running agent.
pub struct AgentProcess {
    core: Arc<AgentCore>,
    endpoint: PeerEndpoint,
    health: HealthServer,
}

impl AgentProcess {
    /// Starts the agent with the services that the kernel does not hold yet.
    ///
    /// # Errors
    ///
    /// Returns `internal` if an address, a certificate file or a thread cannot be used.
    pub fn start(
        settings: AgentSettings,
        kernel: &ServiceKernel,
        logger: Logger,
    ) -> Result<Self, ServiceError> {
        // Services, of which a test may have registered substitutes.
        let clock: Arc<dyn Clock> = match kernel.find(CLOCK) {
            Ok(clock) => clock,
            Err(_) => register(kernel, CLOCK, Arc::new(SystemClock::new()))?,
        };
        let upstream: Arc<dyn UpstreamClient> = match kernel.find(UPSTREAM) {
            Ok(upstream) => upstream,
            Err(_) => {
                let client = build_client(&settings.upstream, &settings.timeouts);
                register(kernel, UPSTREAM, client)?
            }
        };
        let hosts: Option<Arc<dyn HostList>> = match (kernel.find(HOST_LIST), &settings.hosts) {
            (Ok(hosts), _) => Some(hosts),
            (Err(_), Some(hosts)) => {
                let hosts = HttpHosts::new(hosts.clone(), clock.clone(), logger.clone());
                Some(register(kernel, HOST_LIST, Arc::new(hosts))?)
            }
            (Err(_), None) => None,
        };

        // The agent and its sockets.
        let registry = Registry::new();
        let readiness = Arc::new(ReadinessFlag::new(logger.clone()));
        let gate = DrainGate::new();
        let core = AgentCore::new(AgentParts {
            settings: settings.clone(),
            upstream,
            clock,
            readiness: readiness.clone(),
            gate: gate.clone(),
            registry: registry.clone(),
            logger: logger.clone(),
        })?;
        let endpoint = start_endpoint(&settings, &core, &logger)?;
        let link: Arc<dyn PeerLink> = register(kernel, PEER_LINK, endpoint.link())?;
        core.connect(link);
        let health_listen = settings.process.health_listen;
        let health = HealthServer::start(health_listen, readiness, gate, registry, logger.clone())?;
        watch::start(&core, hosts).map_err(|error| {
            ServiceError::not_run(ErrorKind::Internal, format!("no thread: {error}"))
        })?;
        endpoint.serve(Arc::new(AgentHandler::new(core.clone())));
        log_event!(
            logger, events::AGENT_STARTED;
            "upstream" => settings.upstream.name.as_str(),
            "service" => settings.upstream.service.as_str(),
            "incarnation" => core.incarnation().to_string(),
        );
        Ok(Self {
            core,
            endpoint,
            health,
        })
    }

    /// Returns the agent.
    pub fn core(&self) -> &Arc<AgentCore> {
        &self.core
    }

    /// Returns the address for other processes.
    ///
    /// # Errors
    ///
    /// Returns the system's error.
    pub fn peer_address(&self) -> std::io::Result<SocketAddr> {
        self.endpoint.local_address()
    }

    /// Returns the address of health, readiness and metrics.
    pub fn health_address(&self) -> SocketAddr {
        self.health.address()
    }

    /// Holds the calling thread until a signal asked for the end and everything is drained.
    ///
    /// # Errors
    ///
    /// Returns `internal` if signals cannot be caught.
    pub fn run(self, logger: &Logger) -> Result<ShutdownCause, ServiceError> {
        let readiness = self.core.readiness.clone();
        let gate = self.core.gate.clone();
        let watch = ShutdownWatch::install(readiness, gate, logger.clone())?;
        let cause = watch.wait(|| {});
        if cause == ShutdownCause::Drained {
            self.finish_unless(&|| watch.is_forced());
        }
        Ok(cause)
    }

    /// Makes the agent unready and refuses new work, as the first signal does.
    pub fn begin_drain(&self) {
        self.core
            .readiness
            .hold("shutting_down", "the process is draining");
        self.core.gate.close();
    }

    /// Waits until nothing is in flight and returns whether that is so before `timeout`.
    pub fn wait_idle(&self, timeout: Duration) -> bool {
        self.core.gate.wait_idle(timeout)
    }

    /// Ends a drained agent: records are handed over, usage and samples collected, peers told.
    pub fn finish(self) {
        self.finish_unless(&|| false);
    }

    /// Ends a drained agent like [`Self::finish`], without waiting for collectors once `is_forced`
    /// is true.
    fn finish_unless(self, is_forced: &dyn Fn() -> bool) {
        self.core.hand_over();
        self.core.wait_collected(is_forced);
        self.endpoint.close(CLOSE_TIMEOUT);
    }
}

fn start_endpoint(
    settings: &AgentSettings,
    core: &Arc<AgentCore>,
    logger: &Logger,
) -> Result<PeerEndpoint, ServiceError> {
    let fault = |detail: String| ServiceError::not_run(ErrorKind::Internal, detail);
    let wire = WireSettings {
        listen: settings.process.peer_listen,
        tls: settings.process.tls.clone(),
        limits: WireLimits {
            concurrent_calls: settings.limits.concurrent_calls,
            ..WireLimits::default()
        },
    };
    let endpoint = PeerEndpoint::start(&wire, core.cache().clone(), logger.clone())
        .map_err(|error| fault(error.to_string()))?;
    let identity = endpoint.identity();
    if identity.role != PeerRole::Agent || identity.host != settings.process.host.as_str() {
        let host = &settings.process.host;
        return Err(fault(format!(
            "the certificate {} is not for the agent of host {host}",
            settings.process.tls.certificate.display()
        )));
    }
    Ok(endpoint)
}

fn register<T: ?Sized + Send + Sync + 'static>(
    kernel: &ServiceKernel,
    name: &'static str,
    service: Arc<T>,
) -> Result<Arc<T>, ServiceError> {
    kernel.register(name, service.clone())?;
    Ok(service)
}
