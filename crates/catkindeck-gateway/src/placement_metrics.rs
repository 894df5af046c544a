//! The metrics of the placement of weights.

use {
    catkindeck_policy::direct::{VersionCounts, VersionSplit},
    prometheus::{IntGaugeVec, Opts, Registry},
};

/// The placement of weights, shown by the leader only.
pub struct PlacementMetrics {
    /// The engines that should serve each model.
    pub shares: IntGaugeVec,
    /// The engines that have usable weights of each model.
    pub engines: IntGaugeVec,
    /// The engines of each model by the version that they have, load or should have.
    pub versions: IntGaugeVec,
}

impl PlacementMetrics {
    pub(crate) fn register(registry: &Registry) -> prometheus::Result<Self> {
        let gauges = |name: &str, help: &str, labels: &[&str]| {
            let gauges = IntGaugeVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(gauges.clone()))?;
            prometheus::Result::Ok(gauges)
        };
        Ok(Self {
            shares: gauges(
                "catkindeck_gateway_model_share_engines",
                "The engines that should serve a model, as planned by the leader.",
                &["model"],
            )?,
            engines: gauges(
                "catkindeck_gateway_model_engines",
                "The engines with usable weights of a model, as seen by the leader.",
                &["model"],
            )?,
            versions: gauges(
                "catkindeck_gateway_model_version_engines",
                "The engines that have, load or should have the named version of a model or an older one that the \
                 next step allows, as seen by the leader.",
                &["model", "state"],
            )?,
        })
    }

    /// Sets the numbers of engines of a model.
    pub fn record(&self, model: &str, share: usize, engines: usize) {
        self.shares.with_label_values(&[model]).set(gauge(share));
        self.engines.with_label_values(&[model]).set(gauge(engines));
    }

    /// Sets the numbers of engines of a model by version.
    pub fn record_split(&self, model: &str, split: &VersionSplit, counts: &VersionCounts) {
        let states = [
            ("wanted_usable", split.usable),
            ("wanted_current", split.current),
            ("current", counts.current),
            ("behind", counts.behind),
            ("loading", counts.loading),
        ];
        for (state, count) in states {
            let engines = self.versions.with_label_values(&[model, state]);
            engines.set(gauge(count));
        }
    }

    /// Removes all numbers, because another process may be the leader.
    pub fn clear(&self) {
        self.shares.reset();
        self.engines.reset();
        self.versions.reset();
    }
}

fn gauge(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}
