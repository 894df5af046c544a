//! The metrics of owners that share the engines.

use {
    catkindeck_policy::direct::PlaceCounts,
    prometheus::{IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry},
};

pub struct OwnershipMetrics {
    /// The processes that share the engines with this one, itself included; zero while it may use all slots.
    pub owners: IntGauge,
    /// The places of this process by kind: used, usable, even and slots.
    pub places: IntGaugeVec,
    /// The requests for places by outcome.
    pub requests: IntCounterVec,
}

impl OwnershipMetrics {
    pub(crate) fn register(registry: &Registry) -> prometheus::Result<Self> {
        let owners = IntGauge::new(
            "catkindeck_gateway_sharing_owners",
            "The processes that share the engines with this one, itself included.",
        )?;
        let places = Opts::new(
            "catkindeck_gateway_owner_places",
            "The places of this process at engines: used, usable now, usable without a grant, and all slots.",
        );
        let places = IntGaugeVec::new(places, &["kind"])?;
        let requests = Opts::new(
            "catkindeck_gateway_place_requests_total",
            "Requests of this process for places, by outcome.",
        );
        let requests = IntCounterVec::new(requests, &["outcome"])?;
        registry.register(Box::new(owners.clone()))?;
        registry.register(Box::new(places.clone()))?;
        registry.register(Box::new(requests.clone()))?;
        Ok(Self {
            owners,
            places,
            requests,
        })
    }

    /// Sets the number of owners and the sums of this process's places.
    pub fn record(&self, counts: &PlaceCounts, owners: usize) {
        self.owners.set(i64::try_from(owners).unwrap_or(i64::MAX));
        let kinds = [
            ("used", counts.used),
            ("usable", counts.usable),
            ("even", counts.even),
            ("slots", counts.slots),
        ];
        for (kind, count) in kinds {
            self.places.with_label_values(&[kind]).set(count.into());
        }
    }
}
