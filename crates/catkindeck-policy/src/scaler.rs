//! Scaling of upstreams by availability zone.

use {
    crate::demand::DemandHistory,
    catkindeck::{
        Moment, SortedMap,
        config::{ServiceRecord, ZoneState},
        id::ObjectName,
    },
};

/// The parameters of a scaler.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ScalerSettings {
    /// The target utilization of the warm limits, in percent.
    pub target_percent: u32,
    /// The minimum number of upstreams of a service in all zones together.
    pub min_upstreams: u32,
    /// How long demand must stay lower before upstreams are stopped, in percent of the cold-start
    /// time.
    ///
    /// A start wastes one cold-start time, so stopping much earlier costs more than it saves if the
    /// demand returns. Waiting for 150 % instead of 100 % saved a fifth of the starts for 0.02 of
    /// the cost.
    pub stabilization_percent: u64,
}

impl Default for ScalerSettings {
    fn default() -> Self {
        Self {
            target_percent: 95,
            min_upstreams: 1,
            stabilization_percent: 150,
        }
    }
}

/// The upstreams of a service in one zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneCapacity {
    pub zone: ObjectName,
    /// Whether the zone accepts work.
    pub state: ZoneState,
    /// The number of running upstreams, warm or cold.
    pub running: u32,
    /// The number of upstreams in the last order.
    pub ordered: u32,
    /// The maximum number of upstreams in the zone.
    pub max_upstreams: u32,
}

/// An order that sets the number of upstreams of a service in a zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScaleOrder {
    pub zone: ObjectName,
    pub service: ObjectName,
    /// The number of upstreams that should run.
    pub count: u32,
}

/// Whether the other zones can handle the load without one zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneOutageAssessment {
    /// Whether the running upstreams of the other zones can handle the current demand.
    pub is_sufficient: bool,
    /// Whether they can after `starts`, within the maximum number of upstreams of each zone.
    pub is_sufficient_after_starts: bool,
    /// The orders to give before the zone is taken out.
    pub starts: Vec<ScaleOrder>,
    /// How long those starts take until the upstreams are warm, in milliseconds.
    pub ready_ms: u64,
}

/// Scales upstreams to the demand with hysteresis, ahead by the cold-start time (`docs/design.md`,
/// decision 18).
///
/// Upstreams are started for the demand expected when they will be warm. They are stopped only
/// after demand has stayed lower for the stabilization time. Orders change the zone that differs
/// most from an even spread, so that no upstream is stopped in one zone to be started in another.
#[derive(Debug, Clone)]
pub struct ZoneScaler {
    settings: ScalerSettings,
    services: SortedMap<ObjectName, DemandHistory>,
    out_since: SortedMap<ObjectName, Moment>,
}

impl ZoneScaler {
    pub fn new(settings: ScalerSettings) -> Self {
        Self {
            settings,
            services: SortedMap::new(),
            out_since: SortedMap::new(),
        }
    }

    /// Records the demand on a service: the running and queued requests in all zones together.
    pub fn observe(&mut self, now: Moment, service: &ServiceRecord, busy: u32) {
        let stabilization_ms = self.stabilization_ms(service);
        self.services
            .get_or_insert_with(service.name.clone(), DemandHistory::new)
            .observe(now, busy, stabilization_ms, service.cold_start_ms);
    }

    /// Returns the orders that change something, for a service with recorded demand.
    pub fn plan(
        &mut self,
        now: Moment,
        service: &ServiceRecord,
        zones: &[ZoneCapacity],
    ) -> Vec<ScaleOrder> {
        self.track_zone_outages(now, zones);
        let Some(history) = self.services.get(&service.name) else {
            return Vec::new();
        };
        let min_upstreams = self.settings.min_upstreams;
        let min_total = self
            .upstreams_needed(service, history.forecast())
            .max(min_upstreams);
        let max_total = self
            .upstreams_needed(service, history.recent_peak())
            .max(min_total);
        let usable = |capacity: &&ZoneCapacity| capacity.state == ZoneState::In;
        let total: u32 = zones
            .iter()
            .filter(usable)
            .map(|capacity| capacity.ordered)
            .sum();
        let target = total.clamp(min_total, max_total);

        // A zone that stays out for the stabilization time is emptied.
        let stabilization_ms = self.stabilization_ms(service);
        let emptied = |capacity: &&ZoneCapacity| {
            let since = self.out_since.get(&capacity.zone);
            capacity.ordered > 0 && since.is_some_and(|since| now.since(*since) >= stabilization_ms)
        };
        let mut orders: Vec<ScaleOrder> = zones
            .iter()
            .filter(emptied)
            .map(|capacity| scale_order(service, capacity, 0))
            .collect();
        orders.extend(spread_evenly(service, zones, target));
        orders
    }

    /// Assesses whether the other zones can handle the current demand without `zone`, and which
    /// starts that takes.
    pub fn assess_zone_outage(
        &self,
        service: &ServiceRecord,
        zones: &[ZoneCapacity],
        zone: &ObjectName,
    ) -> ZoneOutageAssessment {
        let history = self.services.get(&service.name);
        let demand = history.map_or(0, |history| history.forecast().max(history.recent_peak()));
        let needed = self
            .upstreams_needed(service, demand)
            .max(self.settings.min_upstreams);
        let remaining: Vec<ZoneCapacity> = zones
            .iter()
            .filter(|capacity| capacity.zone != *zone && capacity.state == ZoneState::In)
            .cloned()
            .collect();
        let running: u32 = remaining.iter().map(|capacity| capacity.running).sum();
        let ordered: u32 = remaining.iter().map(|capacity| capacity.ordered).sum();
        let max_upstreams: u32 = remaining
            .iter()
            .map(|capacity| capacity.max_upstreams)
            .sum();
        let starts = match ordered < needed {
            true => spread_evenly(service, &remaining, needed),
            false => Vec::new(),
        };
        let is_sufficient = running >= needed;
        ZoneOutageAssessment {
            is_sufficient,
            is_sufficient_after_starts: max_upstreams >= needed,
            ready_ms: match is_sufficient {
                true => 0,
                false => service.cold_start_ms,
            },
            starts,
        }
    }

    fn track_zone_outages(&mut self, now: Moment, zones: &[ZoneCapacity]) {
        for capacity in zones {
            match capacity.state {
                ZoneState::Out => {
                    self.out_since
                        .get_or_insert_with(capacity.zone.clone(), || now);
                }
                ZoneState::In => {
                    self.out_since.remove(&capacity.zone);
                }
            }
        }
    }

    fn upstreams_needed(&self, service: &ServiceRecord, demand: u32) -> u32 {
        let each = u64::from(service.warm_limit.max(1)) * u64::from(self.settings.target_percent);
        let needed = (u64::from(demand) * 100).div_ceil(each.max(1));
        u32::try_from(needed).unwrap_or(u32::MAX)
    }

    fn stabilization_ms(&self, service: &ServiceRecord) -> u64 {
        service.cold_start_ms * self.settings.stabilization_percent / 100
    }
}

/// Changes the total of the zones' counts to `target`, one upstream at a time, so that the counts
/// stay as even as possible.
fn spread_evenly(service: &ServiceRecord, zones: &[ZoneCapacity], target: u32) -> Vec<ScaleOrder> {
    let usable = zones
        .iter()
        .filter(|capacity| capacity.state == ZoneState::In);
    let mut counts: Vec<(u32, &ZoneCapacity)> = usable
        .map(|capacity| (capacity.ordered, capacity))
        .collect();
    let mut total: u32 = counts.iter().map(|(count, _)| count).sum();
    while total < target {
        let open = counts
            .iter_mut()
            .filter(|(count, zone)| *count < zone.max_upstreams);
        let Some(lowest) = open.min_by_key(|(count, _)| *count) else {
            break;
        };
        lowest.0 += 1;
        total += 1;
    }
    while total > target {
        let Some(highest) = counts.iter_mut().max_by_key(|(count, _)| *count) else {
            break;
        };
        highest.0 -= 1;
        total -= 1;
    }
    counts
        .into_iter()
        .filter(|(count, capacity)| *count != capacity.ordered)
        .map(|(count, capacity)| scale_order(service, capacity, count))
        .collect()
}

fn scale_order(service: &ServiceRecord, capacity: &ZoneCapacity, count: u32) -> ScaleOrder {
    ScaleOrder {
        zone: capacity.zone.clone(),
        service: service.name.clone(),
        count,
    }
}
