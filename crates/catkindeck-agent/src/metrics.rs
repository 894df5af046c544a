//! Metrics of an agent; label values come from closed lists.

use {
    catkindeck::{ErrorKind, ServiceError},
    prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry},
};

/// The counters and gauges of an agent.
pub(crate) struct AgentMetrics {
    /// Requests by how they ended: `finished`, `stopped` or the name of an error kind.
    pub requests: IntCounterVec,
    /// Tokens that were delivered.
    pub tokens: IntCounter,
    /// Orders by how they ended: `applied`, `repeated` or the name of an error kind.
    pub orders: IntCounterVec,
    /// Times that the upstream had a new boot identity.
    pub boots: IntCounter,
    /// The concurrency limit.
    pub limit: IntGauge,
    /// Requests at the upstream.
    pub running: IntGauge,
    /// Requests that wait.
    pub queued: IntGauge,
    /// Execution records.
    pub records: IntGauge,
    /// Finished samples that were not released.
    pub samples: IntGauge,
    /// Usage lines that were not sealed.
    pub usage_lines: IntGauge,
    /// The configuration revision in use.
    pub revision: IntGauge,
    /// Whether new work is refused.
    pub closed: IntGauge,
}

impl AgentMetrics {
    /// Makes the metrics and registers them.
    pub fn register(registry: &Registry) -> Result<Self, ServiceError> {
        let metrics = Self::build().map_err(fault)?;
        registry
            .register(Box::new(metrics.requests.clone()))
            .and_then(|()| registry.register(Box::new(metrics.orders.clone())))
            .map_err(fault)?;
        for counter in [&metrics.tokens, &metrics.boots] {
            registry
                .register(Box::new(counter.clone()))
                .map_err(fault)?;
        }
        for gauge in [
            &metrics.limit,
            &metrics.running,
            &metrics.queued,
            &metrics.records,
            &metrics.samples,
            &metrics.usage_lines,
            &metrics.revision,
            &metrics.closed,
        ] {
            registry.register(Box::new(gauge.clone())).map_err(fault)?;
        }
        Ok(metrics)
    }

    fn build() -> Result<Self, prometheus::Error> {
        let by_outcome = |name: &str, help: &str| {
            IntCounterVec::new(
                Opts::new(format!("catkindeck_agent_{name}"), help),
                &["outcome"],
            )
        };
        let counter =
            |name: &str, help: &str| IntCounter::new(format!("catkindeck_agent_{name}"), help);
        let gauge =
            |name: &str, help: &str| IntGauge::new(format!("catkindeck_agent_{name}"), help);
        Ok(Self {
            requests: by_outcome("requests_total", "Requests by how they ended.")?,
            tokens: counter("tokens_total", "Tokens that were delivered.")?,
            orders: by_outcome("orders_total", "Orders by how they ended.")?,
            boots: counter(
                "upstream_boots_total",
                "New boot identities of the upstream.",
            )?,
            limit: gauge("limit", "The concurrency limit.")?,
            running: gauge("running", "Requests at the upstream.")?,
            queued: gauge("queued", "Requests that wait for the upstream.")?,
            records: gauge("execution_records", "Execution records.")?,
            samples: gauge(
                "retained_samples",
                "Finished samples that were not released.",
            )?,
            usage_lines: gauge("usage_lines", "Usage lines that were not sealed.")?,
            revision: gauge(
                "configuration_revision",
                "The configuration revision in use.",
            )?,
            closed: gauge("closed", "Whether new work is refused.")?,
        })
    }
}

/// Returns the label for an error kind.
pub(crate) fn error_label(kind: ErrorKind) -> &'static str {
    kind.answer().name
}

/// Converts a size for a gauge.
pub(crate) fn gauge_value(size: usize) -> i64 {
    i64::try_from(size).unwrap_or(i64::MAX)
}

fn fault(error: prometheus::Error) -> ServiceError {
    ServiceError::not_run(
        ErrorKind::Internal,
        format!("a metric cannot be registered: {error}"),
    )
}
