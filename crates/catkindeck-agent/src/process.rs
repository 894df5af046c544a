//! The agent process: startup, listeners, threads and shutdown.

use {
    crate::{
        background,
        core::{AgentCore, AgentParts},
        events,
        handler::AgentHandler,
        settings::AgentSettings,
        upstream::{UpstreamClient, build_client},
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

/// The name under which the clock is registered in the kernel.
pub const CLOCK: &str = "clock";

/// The name under which the upstream client is registered in the kernel.
pub const UPSTREAM: &str = "upstream";

/// The name under which the platform's host list, which is optional, is registered in the kernel.
pub const HOST_LIST: &str = "host-list";

/// The name under which the link to other processes is registered in the kernel.
pub const PEER_LINK: &str = "peer-link";

/// How long a shutdown waits until the peers are notified that their connections close.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// A running agent.
pub struct AgentProcess {
    core: Arc<AgentCore>,
    endpoint: PeerEndpoint,
    health: HealthServer,
}

impl AgentProcess {
    /// Starts the agent. Creates and registers the services that the kernel does not contain.
    ///
    /// # Errors
    ///
    /// Returns `internal` if a listener, a certificate file or a thread cannot be set up.
    pub fn start(
        settings: AgentSettings,
        kernel: &ServiceKernel,
        logger: Logger,
    ) -> Result<Self, ServiceError> {
        // Tests may register their own implementations of these services.
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
        background::start(&core, hosts).map_err(|error| {
            ServiceError::not_run(
                ErrorKind::Internal,
                format!("cannot start a thread: {error}"),
            )
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

    pub fn core(&self) -> &Arc<AgentCore> {
        &self.core
    }

    /// Returns the listen address for other processes.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn peer_address(&self) -> std::io::Result<SocketAddr> {
        self.endpoint.local_address()
    }

    /// Returns the listen address for health, readiness and metrics.
    pub fn health_address(&self) -> SocketAddr {
        self.health.address()
    }

    /// Blocks until a signal requests a shutdown and the agent is drained.
    ///
    /// # Errors
    ///
    /// Returns `internal` if the signal handlers cannot be installed.
    pub fn run(self, logger: &Logger) -> Result<ShutdownCause, ServiceError> {
        let readiness = self.core.readiness.clone();
        let gate = self.core.gate.clone();
        let watch = ShutdownWatch::install(readiness, gate, logger.clone())?;
        let cause = watch.wait(|| {});
        if cause == ShutdownCause::Drained {
            self.finish_until_forced(&|| watch.is_forced());
        }
        Ok(cause)
    }

    /// Marks the agent as not ready and refuses new requests, as the first signal does.
    pub fn begin_drain(&self) {
        self.core
            .readiness
            .add_reason("shutting_down", "the process is draining");
        self.core.gate.close();
    }

    /// Waits until no request is in flight. Returns false if that took longer than `timeout`.
    pub fn wait_idle(&self, timeout: Duration) -> bool {
        self.core.gate.wait_idle(timeout)
    }

    /// Stops a drained agent: transfers its execution records, waits until its usage and samples
    /// are collected, and closes the connections to peers.
    pub fn finish(self) {
        self.finish_until_forced(&|| false);
    }

    /// Does the same as [`Self::finish`], but stops waiting for collectors once `is_forced` returns
    /// true.
    fn finish_until_forced(self, is_forced: &dyn Fn() -> bool) {
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
    let internal_error = |detail: String| ServiceError::not_run(ErrorKind::Internal, detail);
    let wire = WireSettings {
        listen: settings.process.peer_listen,
        tls: settings.process.tls.clone(),
        limits: WireLimits {
            concurrent_calls: settings.limits.concurrent_calls,
            ..WireLimits::default()
        },
    };
    let endpoint = PeerEndpoint::start(&wire, core.cache().clone(), logger.clone())
        .map_err(|error| internal_error(error.to_string()))?;
    let identity = endpoint.identity();
    if identity.role != PeerRole::Agent || identity.host != settings.process.host.as_str() {
        let host = &settings.process.host;
        return Err(internal_error(format!(
            "expected a certificate for the agent of host {host}, got one for role {:?} and host {} in {}",
            identity.role,
            identity.host,
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
