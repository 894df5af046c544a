//! The metrics of decisions under load: who is behind, who waits, and which upstreams are avoided.

use {
    crate::connection_metrics::ConnectionMetrics,
    prometheus::{IntCounter, IntGauge, Registry},
};

pub struct LoadMetrics {
    pub connections: ConnectionMetrics,
    /// How late the trainer is that is furthest behind its schedule, in milliseconds.
    pub trainer_lateness_ms: IntGauge,
    /// Groups of which items waited while others that were needed more got places.
    pub groups_yielded: IntCounter,
    /// The upstreams that name a limit for the requests of all processes together.
    pub limited_upstreams: IntGauge,
    /// The bytes of responses that callers have not taken yet.
    pub held_bytes: IntGauge,
    /// The jobs in memory, owned or kept for reads.
    pub held_jobs: IntGauge,
    /// The listed upstreams that said that they leave.
    pub leaving_upstreams: IntGauge,
    /// Requests that were assigned to an upstream and not sent, because it leaves.
    pub withheld: IntCounter,
    /// Records of upstreams that this process sent to others as changes of the list.
    pub feed_records: IntCounter,
    /// Runs of callers' requests under which an upstream crashed, at any process.
    pub crashed_runs: IntCounter,
    /// The requests that are refused because they crash upstreams.
    pub quarantined_requests: IntGauge,
}

impl LoadMetrics {
    pub(crate) fn register(registry: &Registry) -> prometheus::Result<Self> {
        let counter = |name: &str, help: &str| {
            let counter = IntCounter::new(name, help)?;
            registry.register(Box::new(counter.clone()))?;
            prometheus::Result::Ok(counter)
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            prometheus::Result::Ok(gauge)
        };
        Ok(Self {
            connections: ConnectionMetrics::register(registry)?,
            trainer_lateness_ms: gauge(
                "catkindeck_gateway_trainer_lateness_ms",
                "The lateness of the trainer that is furthest behind its schedule.",
            )?,
            groups_yielded: counter(
                "catkindeck_gateway_groups_yielded_total",
                "Groups of which items waited because other groups were needed more.",
            )?,
            limited_upstreams: gauge(
                "catkindeck_gateway_limited_upstreams",
                "The upstreams that name a limit for the requests of all processes together.",
            )?,
            held_bytes: gauge(
                "catkindeck_gateway_held_bytes",
                "The bytes of responses that callers have not taken yet.",
            )?,
            held_jobs: gauge(
                "catkindeck_gateway_held_jobs",
                "The jobs in memory, owned or kept for reads.",
            )?,
            leaving_upstreams: gauge(
                "catkindeck_gateway_leaving_upstreams",
                "The listed upstreams that said that they leave.",
            )?,
            withheld: counter(
                "catkindeck_gateway_withheld_requests_total",
                "Requests that were not sent to the upstream of their choice, because it leaves.",
            )?,
            feed_records: counter(
                "catkindeck_gateway_feed_records_total",
                "Records of upstreams sent to other processes as changes of the list.",
            )?,
            crashed_runs: counter(
                "catkindeck_gateway_crashed_runs_total",
                "Runs of callers' requests under which an upstream crashed, at any process.",
            )?,
            quarantined_requests: gauge(
                "catkindeck_gateway_quarantined_requests",
                "The requests that are refused because they crash upstreams.",
            )?,
        })
    }
}
