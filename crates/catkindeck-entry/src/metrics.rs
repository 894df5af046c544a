//! Metrics of the entry; all label values come from the configuration or from closed sets.

use {
    catkindeck::{ErrorKind, ServiceError, config::ConfigSnapshot, id::ObjectName},
    catkindeck_control::{run::ports::RunObserver, usage::UsageObserver},
    prometheus::{HistogramOpts, HistogramVec, IntCounterVec, Opts, Registry},
    std::time::Duration,
};

/// The label value for an unknown route or customer, because the names that callers send are
/// unbounded.
const UNKNOWN_LABEL: &str = "-";

/// Bucket bounds for the time to the first token or byte, in seconds.
const FIRST_PART_BUCKETS: [f64; 11] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0,
];

/// Bucket bounds for the duration of a request, in seconds, up to the 10 minutes of a training step.
const REQUEST_BUCKETS: [f64; 12] = [
    0.01, 0.05, 0.1, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0, 300.0, 600.0,
];

/// The counters and histograms of an entry.
#[derive(Debug)]
pub struct EntryMetrics {
    requests: IntCounterVec,
    customers: IntCounterVec,
    tokens: IntCounterVec,
    retries: IntCounterVec,
    steps: IntCounterVec,
    samples: IntCounterVec,
    usage_windows: IntCounterVec,
    first_byte: HistogramVec,
    request_duration: HistogramVec,
}

impl EntryMetrics {
    /// Creates the metrics and registers them.
    ///
    /// # Errors
    ///
    /// Returns `internal` if they are registered already.
    pub fn register(registry: &Registry) -> Result<Self, ServiceError> {
        Self::build(registry).map_err(|error| {
            ServiceError::not_run(
                ErrorKind::Internal,
                format!("cannot register the metrics: {error}"),
            )
        })
    }

    fn build(registry: &Registry) -> Result<Self, prometheus::Error> {
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let counter = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(counter.clone()))?;
            Ok::<_, prometheus::Error>(counter)
        };
        let histogram = |name: &str, help: &str, buckets: &[f64]| {
            let options = HistogramOpts::new(name, help).buckets(buckets.to_vec());
            let histogram = HistogramVec::new(options, &["route"])?;
            registry.register(Box::new(histogram.clone()))?;
            Ok::<_, prometheus::Error>(histogram)
        };
        Ok(Self {
            requests: counter(
                "catkindeck_entry_requests_total",
                "Requests by route and kind of answer; `ok` for a whole answer.",
                &["route", "answer"],
            )?,
            customers: counter(
                "catkindeck_entry_customer_requests_total",
                "Requests by customer and whether the answer was whole.",
                &["customer", "whole"],
            )?,
            tokens: counter(
                "catkindeck_entry_customer_tokens_total",
                "Tokens delivered by customer.",
                &["customer"],
            )?,
            retries: counter(
                "catkindeck_entry_retries_total",
                "Attempts after the first, by route and kind of the failure before.",
                &["route", "cause"],
            )?,
            steps: counter(
                "catkindeck_run_steps_total",
                "Training steps that became whole, by run and whether before their deadline.",
                &["run", "on_time"],
            )?,
            samples: counter(
                "catkindeck_run_samples_total",
                "Samples by run, delivered fresh or discarded as too old.",
                &["run", "fresh"],
            )?,
            usage_windows: counter(
                "catkindeck_usage_windows_total",
                "Usage windows that were reported, by zone and whether on time.",
                &["zone", "on_time"],
            )?,
            first_byte: histogram(
                "catkindeck_entry_first_part_seconds",
                "Time from the request to the first token or byte, by route.",
                &FIRST_PART_BUCKETS,
            )?,
            request_duration: histogram(
                "catkindeck_entry_request_seconds",
                "Time from the request to the whole answer, by route.",
                &REQUEST_BUCKETS,
            )?,
        })
    }

    /// Counts a response; `kind` is `None` for a complete one.
    pub fn count_response(
        &self,
        route: Option<&ObjectName>,
        customer: Option<&ObjectName>,
        kind: Option<ErrorKind>,
    ) {
        let answer = kind.map_or("ok", |kind| kind.response().name);
        let complete = if kind.is_none() { "true" } else { "false" };
        self.requests
            .with_label_values(&[label_of(route), answer])
            .inc();
        self.customers
            .with_label_values(&[label_of(customer), complete])
            .inc();
    }

    /// Counts a request whose caller disconnected before the response was complete.
    pub fn count_disconnected(&self, route: &ObjectName, customer: Option<&ObjectName>) {
        self.requests
            .with_label_values(&[route.as_str(), "caller_gone"])
            .inc();
        self.customers
            .with_label_values(&[label_of(customer), "false"])
            .inc();
    }

    pub fn count_tokens(&self, customer: Option<&ObjectName>, tokens: u32) {
        self.tokens
            .with_label_values(&[label_of(customer)])
            .inc_by(u64::from(tokens));
    }

    /// Counts a retry; `cause` is the error of the attempt before it.
    pub fn count_retry(&self, route: &ObjectName, cause: ErrorKind) {
        self.retries
            .with_label_values(&[route.as_str(), cause.response().name])
            .inc();
    }

    /// Records the time to the first token or byte of a response.
    pub fn observe_first_byte(&self, route: &ObjectName, elapsed: Duration) {
        self.first_byte
            .with_label_values(&[route.as_str()])
            .observe(elapsed.as_secs_f64());
    }

    /// Records the duration of a request whose response is complete.
    pub fn observe_request_duration(&self, route: &ObjectName, elapsed: Duration) {
        self.request_duration
            .with_label_values(&[route.as_str()])
            .observe(elapsed.as_secs_f64());
    }

    /// Removes the series of customers, routes and runs that left the configuration.
    ///
    /// Otherwise the number of series would grow with every name that ever existed.
    pub fn remove_stale_series(&self, previous: &ConfigSnapshot, current: &ConfigSnapshot) {
        for customer in &previous.customers {
            if current.customer(&customer.name).is_none() {
                let name = customer.name.as_str();
                for complete in ["true", "false"] {
                    // An error means that the series does not exist.
                    let _ = self.customers.remove_label_values(&[name, complete]);
                }
                let _ = self.tokens.remove_label_values(&[name]);
            }
        }
        for route in &previous.routes {
            if current.route(&route.name).is_none() {
                self.remove_route_series(route.name.as_str());
            }
        }
        for run in &previous.runs {
            if current.run(&run.name).is_none() {
                let name = run.name.as_str();
                for value in ["true", "false"] {
                    let _ = self.steps.remove_label_values(&[name, value]);
                    let _ = self.samples.remove_label_values(&[name, value]);
                }
            }
        }
    }

    fn remove_route_series(&self, route: &str) {
        let kinds = ErrorKind::ALL.map(|kind| kind.response().name);
        for answer in kinds.iter().chain(&["ok", "caller_gone"]) {
            let _ = self.requests.remove_label_values(&[route, answer]);
            let _ = self.retries.remove_label_values(&[route, answer]);
        }
        let _ = self.first_byte.remove_label_values(&[route]);
        let _ = self.request_duration.remove_label_values(&[route]);
    }
}

impl UsageObserver for EntryMetrics {
    fn on_window_reported(&self, zone: &ObjectName, on_time: bool) {
        let on_time = if on_time { "true" } else { "false" };
        self.usage_windows
            .with_label_values(&[zone.as_str(), on_time])
            .inc();
    }
}

impl RunObserver for EntryMetrics {
    fn on_delivered(&self, run: &ObjectName, samples: usize) {
        let count = u64::try_from(samples).unwrap_or(u64::MAX);
        self.samples
            .with_label_values(&[run.as_str(), "true"])
            .inc_by(count);
    }

    fn on_stale_discarded(&self, run: &ObjectName) {
        self.samples
            .with_label_values(&[run.as_str(), "false"])
            .inc();
    }

    fn on_step_completed(&self, run: &ObjectName, on_time: bool) {
        let on_time = if on_time { "true" } else { "false" };
        self.steps.with_label_values(&[run.as_str(), on_time]).inc();
    }
}

fn label_of(name: Option<&ObjectName>) -> &str {
    name.map_or(UNKNOWN_LABEL, ObjectName::as_str)
}
