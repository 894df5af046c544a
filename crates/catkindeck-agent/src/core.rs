//! The state and services that are shared by the modules of an agent.

use {
    crate::{
        configuration::ConfigCache,
        events,
        metrics::{AgentMetrics, gauge_value},
        probe::ProbeHistory,
        settings::AgentSettings,
        state::AgentState,
        upstream::UpstreamClient,
    },
    catkindeck::{
        Clock, ErrorKind, Moment, ServiceError,
        config::ConfigSnapshot,
        id::{IncarnationId, ObjectName},
        link::{PeerIdentity, PeerLink},
        log_event,
        message::LoadReport,
    },
    catkindeck_health::{DrainGate, ReadinessFlag},
    prometheus::Registry,
    slog::Logger,
    std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError},
};

/// The name of the readiness reason that applies until the agent has a configuration.
pub(crate) const NO_CONFIGURATION: &str = "no_configuration";

/// The dependencies of an [`AgentCore`].
pub struct AgentParts {
    pub settings: AgentSettings,
    pub upstream: Arc<dyn UpstreamClient>,
    /// The time source for all decisions.
    pub clock: Arc<dyn Clock>,
    pub readiness: Arc<ReadinessFlag>,
    /// Counts the requests in flight and refuses new ones during a drain.
    pub gate: Arc<DrainGate>,
    pub registry: Registry,
    pub logger: Logger,
}

/// An agent without its listeners.
pub struct AgentCore {
    pub(crate) settings: AgentSettings,
    pub(crate) incarnation: IncarnationId,
    pub(crate) upstream: Arc<dyn UpstreamClient>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) readiness: Arc<ReadinessFlag>,
    pub(crate) gate: Arc<DrainGate>,
    pub(crate) metrics: AgentMetrics,
    pub(crate) cache: Arc<ConfigCache>,
    pub(crate) link: OnceLock<Arc<dyn PeerLink>>,
    /// Held while an order is sent to the upstream, so that orders reach it in ascending order of
    /// their fencing tokens.
    pub(crate) order_lock: Mutex<()>,
    /// Locked during a probe, so that requests that fail at the same time share one probe.
    pub(crate) probe_history: Mutex<ProbeHistory>,
    pub(crate) logger: Logger,
    state: Mutex<AgentState>,
}

impl AgentCore {
    /// Creates an agent, which is not ready until it receives a configuration.
    ///
    /// # Errors
    ///
    /// Returns `internal` if the metrics are already registered.
    pub fn new(parts: AgentParts) -> Result<Arc<Self>, ServiceError> {
        let metrics = AgentMetrics::register(&parts.registry)?;
        parts.readiness.add_reason(
            NO_CONFIGURATION,
            "no configuration received from a peer yet",
        );
        let incarnation = IncarnationId::random();
        let state = AgentState::new(&parts.settings, incarnation, parts.clock.now());
        let cache = ConfigCache::new(
            parts.settings.peers.clone(),
            parts.settings.timeouts.peer,
            parts.logger.clone(),
        );
        let core = Arc::new(Self {
            settings: parts.settings,
            incarnation,
            upstream: parts.upstream,
            clock: parts.clock,
            readiness: parts.readiness,
            gate: parts.gate,
            metrics,
            cache: Arc::new(cache),
            link: OnceLock::new(),
            order_lock: Mutex::new(()),
            probe_history: Mutex::default(),
            logger: parts.logger,
            state: Mutex::new(state),
        });
        let listener = Arc::downgrade(&core);
        core.cache.set_listener(Box::new(move |config| {
            if let Some(core) = listener.upgrade() {
                core.apply_configuration(config);
            }
        }));
        Ok(core)
    }

    /// Sets the link used to call other processes; later calls have no effect.
    pub fn connect(&self, link: Arc<dyn PeerLink>) {
        self.cache.connect(link.clone());
        // A second call would pass a link of the same endpoint.
        let _ = self.link.set(link);
    }

    /// Returns the incarnation of this agent process, which is new after each start.
    pub fn incarnation(&self) -> IncarnationId {
        self.incarnation
    }

    /// Returns the configuration cache, which also receives the revisions that peers advertise to
    /// the transport.
    pub fn cache(&self) -> &Arc<ConfigCache> {
        &self.cache
    }

    /// Creates a load report. Credits are granted only if it is for an entry.
    pub fn report(&self, entry: Option<&ObjectName>) -> LoadReport {
        let revision = self.cache.current().revision;
        let now = self.now();
        self.lock().report(now, entry, revision)
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, AgentState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn now(&self) -> Moment {
        self.clock.now()
    }

    /// Closes or opens the queue, depending on the states of the zone and the upstream.
    pub(crate) fn update_queue_closed(&self) {
        let now = self.now();
        let mut state = self.lock();
        let changed = state.update_queue_closed(now);
        state.process_queue(now);
        drop(state);
        match changed {
            Some(true) => log_event!(self.logger, events::UPSTREAM_CLOSED),
            Some(false) => log_event!(self.logger, events::UPSTREAM_OPENED),
            None => {}
        }
    }

    pub(crate) fn update_gauges(&self) {
        let state = self.lock();
        let counts = state.queue.counts();
        let metrics = &self.metrics;
        metrics.limit.set(i64::from(counts.limit));
        metrics.running.set(i64::from(counts.in_flight));
        metrics.queued.set(i64::from(counts.queued));
        metrics.closed.set(i64::from(counts.closed));
        metrics.records.set(gauge_value(state.table.len()));
        metrics.samples.set(gauge_value(state.samples.len()));
        metrics.usage_lines.set(gauge_value(state.usage.len()));
        let revision = self.cache.current().revision.0;
        metrics
            .revision
            .set(i64::try_from(revision).unwrap_or(i64::MAX));
    }

    fn apply_configuration(&self, config: &ConfigSnapshot) {
        let now = self.now();
        let mismatch = self.lock().apply(now, config);
        self.update_queue_closed();
        log_event!(self.logger, events::CONFIGURATION_APPLIED; "revision" => config.revision.0);
        if mismatch {
            let service = self.settings.upstream.service.as_str();
            log_event!(self.logger, events::SERVICE_MISMATCH; "service" => service);
        }
        self.readiness.remove_reason(NO_CONFIGURATION);
    }
}

/// Returns the host name of a peer.
pub(crate) fn peer_name(peer: &PeerIdentity) -> Result<ObjectName, ServiceError> {
    ObjectName::try_from(peer.host.as_str()).map_err(|error| {
        ServiceError::not_run(
            ErrorKind::Forbidden,
            format!("invalid peer host name: {error}"),
        )
    })
}
