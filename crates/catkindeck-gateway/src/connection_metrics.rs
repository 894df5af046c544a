//! The metrics of the connections to upstreams.

use {
    crate::room_metrics::registered,
    catkindeck_net::HttpClient,
    prometheus::{IntCounter, Registry},
};

pub struct ConnectionMetrics {
    /// Connections that were opened.
    pub opened: IntCounter,
    /// Requests that were sent on a pooled connection.
    pub reused: IntCounter,
    /// Requests for which a connection was opened because all idle ones had carried their identifier.
    pub passed_over: IntCounter,
}

impl ConnectionMetrics {
    pub(crate) fn register(registry: &Registry) -> prometheus::Result<Self> {
        let counter = |name: &str, help: &str| registered(registry, IntCounter::new(name, help)?);
        Ok(Self {
            opened: counter(
                "catkindeck_gateway_upstream_connections_opened_total",
                "Connections to upstreams that were opened.",
            )?,
            reused: counter(
                "catkindeck_gateway_upstream_connections_reused_total",
                "Requests to upstreams that were sent on an open connection.",
            )?,
            passed_over: counter(
                "catkindeck_gateway_upstream_connections_passed_over_total",
                "Requests for which no open connection was used, because all had carried their identifier.",
            )?,
        })
    }

    /// Takes over the counts of a client.
    pub(crate) fn update(&self, client: &HttpClient) {
        let raise = |counter: &IntCounter, count: u64| {
            counter.inc_by(count.saturating_sub(counter.get()));
        };
        raise(&self.opened, client.opened());
        raise(&self.reused, client.reused());
        raise(&self.passed_over, client.passed_over());
    }
}
