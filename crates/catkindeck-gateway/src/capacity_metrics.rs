//! The metrics of what this host carries and refuses.

use {
    catkindeck_policy::direct::{HostLoad, ShedStage},
    prometheus::{IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry},
};

pub struct CapacityMetrics {
    /// What the host carries, in percent of what it allows itself, by resource.
    pub used_percent: IntGaugeVec,
    /// What the host refuses, from 0 (nothing) to 3 (it says that it is not ready).
    pub stage: IntGauge,
    /// The work that was refused, by the stage at which such work is refused.
    pub shed: IntCounterVec,
}

impl CapacityMetrics {
    pub(crate) fn register(registry: &Registry) -> prometheus::Result<Self> {
        let used_percent = Opts::new(
            "catkindeck_gateway_host_used_percent",
            "What the host carries, in percent of what it allows itself, by resource.",
        );
        let shed = Opts::new(
            "catkindeck_gateway_shed_total",
            "Work that was refused because the host is near its memory or link bound, by kind.",
        );
        let metrics = Self {
            used_percent: IntGaugeVec::new(used_percent, &["resource"])?,
            stage: IntGauge::new(
                "catkindeck_gateway_shed_stage",
                "What the host refuses: nothing (0), relayed work (1), new work (2), and it is unready (3).",
            )?,
            shed: IntCounterVec::new(shed, &["work"])?,
        };
        registry.register(Box::new(metrics.used_percent.clone()))?;
        registry.register(Box::new(metrics.stage.clone()))?;
        registry.register(Box::new(metrics.shed.clone()))?;
        Ok(metrics)
    }

    pub(crate) fn record(&self, load: HostLoad, stage: ShedStage) {
        let resources = [
            ("memory", load.memory_percent),
            ("link", load.link_percent),
            ("connections", load.connections_percent),
            ("event_loop", load.busy_percent),
        ];
        for (resource, percent) in resources {
            let gauge = self.used_percent.with_label_values(&[resource]);
            gauge.set(i64::from(percent));
        }
        self.stage.set(match stage {
            ShedStage::Open => 0,
            ShedStage::RelayedWork => 1,
            ShedStage::NewWork => 2,
            ShedStage::Unready => 3,
        });
    }

    pub(crate) fn count_shed(&self, work: ShedStage) {
        self.shed.with_label_values(&[work.name()]).inc();
    }
}
