//! The metrics of a gateway.

use {
    crate::{
        capacity_metrics::CapacityMetrics, carried_metrics::CarriedMetrics,
        load_metrics::LoadMetrics, ownership_metrics::OwnershipMetrics,
        placement_metrics::PlacementMetrics, room_metrics::RoomMetrics,
    },
    catkindeck::{ErrorKind, ServiceError},
    prometheus::{Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry},
};

/// The bucket bounds of the latency histograms, in seconds. They are centred on the users' response-time
/// goals.
const LATENCY_BOUNDS: [f64; 10] = [0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.4, 1.0, 4.0, 12.0];

/// The bucket bounds of the error of predictions, as a share of the actual duration.
const ERROR_BOUNDS: [f64; 9] = [0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1.0, 2.0, 4.0];

pub struct GatewayMetrics {
    pub requests: IntCounterVec,
    pub request_seconds: Histogram,
    pub attempt_failures: IntCounter,
    /// Requests that were also sent to a second upstream because the first was slow.
    pub hedges: IntCounter,
    pub jobs: IntCounterVec,
    pub item_runs: IntCounterVec,
    /// The time from the start of an item's run to its complete text.
    pub item_seconds: Histogram,
    /// The difference between the predicted and the actual duration of a run, as a share of the actual one.
    pub prediction_error: Histogram,
    /// The age of the latest proof that the configuration is current, in milliseconds.
    pub config_age_ms: IntGauge,
    pub roster_age_ms: IntGauge,
    /// The remaining time of the process's lease, in milliseconds.
    pub lease_ms: IntGauge,
    pub store_calls: IntCounterVec,
    pub items_running: IntGauge,
    pub load: LoadMetrics,
    pub room: RoomMetrics,
    pub carried: CarriedMetrics,
    pub capacity: CapacityMetrics,
    pub placement: PlacementMetrics,
    pub ownership: OwnershipMetrics,
}

impl GatewayMetrics {
    /// Registers the metrics with `registry`.
    ///
    /// # Errors
    ///
    /// Returns `internal` if a metric is registered twice, which is a bug.
    pub fn new(registry: &Registry) -> Result<Self, ServiceError> {
        Self::register(registry).map_err(|error| {
            ServiceError::not_run(
                ErrorKind::Internal,
                format!("cannot register metrics: {error}"),
            )
        })
    }

    /// Records how far the prediction for a complete run was from its actual duration.
    pub fn observe_prediction(&self, predicted_ms: Option<u64>, actual_ms: u64) {
        if let Some(predicted_ms) = predicted_ms {
            let error_ms = predicted_ms.abs_diff(actual_ms);
            let ratio = error_ms as f64 / actual_ms.max(1) as f64;
            self.prediction_error.observe(ratio);
        }
    }

    fn register(registry: &Registry) -> prometheus::Result<Self> {
        let counter = |name: &str, help: &str| {
            let counter = IntCounter::new(name, help)?;
            registry.register(Box::new(counter.clone()))?;
            prometheus::Result::Ok(counter)
        };
        let counters = |name: &str, help: &str, label: &str| {
            let counters = IntCounterVec::new(Opts::new(name, help), &[label])?;
            registry.register(Box::new(counters.clone()))?;
            prometheus::Result::Ok(counters)
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            prometheus::Result::Ok(gauge)
        };
        let bounded_histogram = |name: &str, help: &str, bounds: &[f64]| {
            let options = HistogramOpts::new(name, help).buckets(bounds.to_vec());
            let histogram = Histogram::with_opts(options)?;
            registry.register(Box::new(histogram.clone()))?;
            prometheus::Result::Ok(histogram)
        };
        let histogram = |name: &str, help: &str| bounded_histogram(name, help, &LATENCY_BOUNDS);
        Ok(Self {
            requests: counters(
                "catkindeck_gateway_requests_total",
                "Requests by outcome.",
                "outcome",
            )?,
            request_seconds: histogram(
                "catkindeck_gateway_request_seconds",
                "The time to answer requests.",
            )?,
            attempt_failures: counter(
                "catkindeck_gateway_attempt_failures_total",
                "Attempts at upstreams that failed.",
            )?,
            hedges: counter(
                "catkindeck_gateway_hedges_total",
                "Slow requests that were also sent to another upstream.",
            )?,
            jobs: counters("catkindeck_gateway_jobs_total", "Jobs by event.", "event")?,
            item_runs: counters(
                "catkindeck_gateway_item_runs_total",
                "Runs of items by outcome.",
                "outcome",
            )?,
            item_seconds: histogram(
                "catkindeck_gateway_item_seconds",
                "The time from the start of an item's run to its complete text.",
            )?,
            prediction_error: bounded_histogram(
                "catkindeck_gateway_prediction_error_ratio",
                "The difference between the predicted and the actual duration of an item's run, as a share of the actual one.",
                &ERROR_BOUNDS,
            )?,
            config_age_ms: gauge(
                "catkindeck_gateway_config_age_ms",
                "The age of the last proof that the configuration is current.",
            )?,
            roster_age_ms: gauge(
                "catkindeck_gateway_upstream_list_age_ms",
                "The age of the list of upstreams.",
            )?,
            lease_ms: gauge(
                "catkindeck_gateway_lease_ms",
                "The remaining time of the process's lease.",
            )?,
            store_calls: counters(
                "catkindeck_gateway_store_calls_total",
                "Calls of this process to the store.",
                "call",
            )?,
            items_running: gauge("catkindeck_gateway_items_running", "The items in progress.")?,
            load: LoadMetrics::register(registry)?,
            room: RoomMetrics::register(registry)?,
            carried: CarriedMetrics::register(registry)?,
            capacity: CapacityMetrics::register(registry)?,
            placement: PlacementMetrics::register(registry)?,
            ownership: OwnershipMetrics::register(registry)?,
        })
    }
}
