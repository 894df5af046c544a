//! The metrics of plain services that callers and scorer calls share.

use prometheus::{
    Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry, core::Collector,
};

/// The bucket bounds of return times, in seconds.
const RETURN_BOUNDS: [f64; 8] = [0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0];

pub struct RoomMetrics {
    /// Hedges that were withheld because the service was full or slow, or the budget spent.
    pub hedges_withheld: IntCounter,
    /// Retries that were withheld because the budget was spent.
    pub retries_withheld: IntCounter,
    pub scores_waiting: IntGauge,
    /// The refusals for which callers were told when to return, by cause.
    pub returns: IntCounterVec,
    /// The return times that callers were told.
    pub return_seconds: Histogram,
}

impl RoomMetrics {
    pub(crate) fn register(registry: &Registry) -> prometheus::Result<Self> {
        let returns = Opts::new(
            "catkindeck_gateway_returns_total",
            "Refusals for which callers were told when to return, by cause.",
        );
        let return_seconds = HistogramOpts::new(
            "catkindeck_gateway_return_seconds",
            "The return times that refused callers were told.",
        );
        Ok(Self {
            hedges_withheld: registered(
                registry,
                IntCounter::new(
                    "catkindeck_gateway_hedges_withheld_total",
                    "Hedges that were withheld because the service was full or slow, or the budget spent.",
                )?,
            )?,
            retries_withheld: registered(
                registry,
                IntCounter::new(
                    "catkindeck_gateway_retries_withheld_total",
                    "Retries that were withheld because the budget was spent.",
                )?,
            )?,
            scores_waiting: registered(
                registry,
                IntGauge::new(
                    "catkindeck_gateway_scores_waiting",
                    "The scorer calls that wait for a place.",
                )?,
            )?,
            returns: registered(registry, IntCounterVec::new(returns, &["cause"])?)?,
            return_seconds: registered(
                registry,
                Histogram::with_opts(return_seconds.buckets(RETURN_BOUNDS.to_vec()))?,
            )?,
        })
    }
}

/// Registers a metric and returns it.
pub(crate) fn registered<M: Collector + Clone + 'static>(
    registry: &Registry,
    metric: M,
) -> prometheus::Result<M> {
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}
