//! The metrics of an agent. Labels only have values from fixed lists.

use {
    catkindeck::{ErrorKind, ServiceError},
    prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry},
};

pub(crate) struct AgentMetrics {
    /// Requests by outcome: `finished`, `replayed` or the name of an error kind.
    pub requests: IntCounterVec,
    /// Delivered tokens.
    pub tokens: IntCounter,
    /// Orders by outcome: `applied`, `repeated` or the name of an error kind.
    pub orders: IntCounterVec,
    /// The number of new boot IDs of the upstream.
    pub boots: IntCounter,
    pub limit: IntGauge,
    /// Requests running at the upstream.
    pub running: IntGauge,
    /// Requests waiting in the queue.
    pub queued: IntGauge,
    pub records: IntGauge,
    /// Finished samples that are not released yet.
    pub samples: IntGauge,
    /// Usage lines that are not known to be sealed.
    pub usage_lines: IntGauge,
    /// The current configuration revision.
    pub revision: IntGauge,
    /// Whether new requests are rejected.
    pub closed: IntGauge,
}

impl AgentMetrics {
    /// Creates and registers the metrics.
    pub fn register(registry: &Registry) -> Result<Self, ServiceError> {
        let metrics = Self::build().map_err(registration_error)?;
        registry
            .register(Box::new(metrics.requests.clone()))
            .and_then(|()| registry.register(Box::new(metrics.orders.clone())))
            .map_err(registration_error)?;
        for counter in [&metrics.tokens, &metrics.boots] {
            registry
                .register(Box::new(counter.clone()))
                .map_err(registration_error)?;
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
            registry
                .register(Box::new(gauge.clone()))
                .map_err(registration_error)?;
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

pub(crate) fn error_label(kind: ErrorKind) -> &'static str {
    kind.response().name
}

/// Converts a size to a gauge value.
pub(crate) fn gauge_value(size: usize) -> i64 {
    i64::try_from(size).unwrap_or(i64::MAX)
}

fn registration_error(error: prometheus::Error) -> ServiceError {
    ServiceError::not_run(
        ErrorKind::Internal,
        format!("cannot register a metric: {error}"),
    )
}
