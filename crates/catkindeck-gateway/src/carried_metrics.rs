//! The metrics of texts that are used across steps.

use {
    crate::room_metrics::registered,
    prometheus::{IntCounter, IntCounterVec, Opts, Registry},
};

pub struct CarriedMetrics {
    /// Groups whose texts waited for a version that a later step allows.
    pub groups_held: IntCounter,
    /// Texts that went on after the end of their step.
    pub texts_kept: IntCounter,
    /// Texts of groups that came again, by what became of them.
    pub texts_returned: IntCounterVec,
}

impl CarriedMetrics {
    pub(crate) fn register(registry: &Registry) -> prometheus::Result<Self> {
        let returned = Opts::new(
            "catkindeck_gateway_texts_returned_total",
            "Texts of groups that came again in a later step, by what became of them.",
        );
        Ok(Self {
            groups_held: registered(
                registry,
                IntCounter::new(
                    "catkindeck_gateway_groups_held_total",
                    "Groups whose texts waited for a version that a later step allows.",
                )?,
            )?,
            texts_kept: registered(
                registry,
                IntCounter::new(
                    "catkindeck_gateway_texts_kept_total",
                    "Texts that went on after the end of their step.",
                )?,
            )?,
            texts_returned: registered(registry, IntCounterVec::new(returned, &["outcome"])?)?,
        })
    }
}
