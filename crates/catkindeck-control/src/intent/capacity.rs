//! Assesses whether the zones that are in service after a change can handle the load, and how many
//! upstreams they need for it.

use catkindeck::{
    config::{ConfigSnapshot, ServiceRecord, ZoneState},
    id::ObjectName,
    message,
};

/// The share of the warm limits up to which a plan loads upstreams, in percent.
///
/// The remainder is a reserve for uneven routing and for load growth between planning and
/// application.
const PLANNED_USE_PERCENT: u64 = 80;

/// The observed load of a service in an availability zone.
#[message]
pub struct ServiceLoad {
    pub service: ObjectName,
    pub zone: ObjectName,
    /// The number of running upstreams, warm or not.
    pub running: u32,
    /// The number of running upstreams that have finished their cold start.
    pub warm: u32,
    /// The number of requests that are running or queued.
    pub demand: u32,
}

/// The observed load of all services. If a service has no record, its load is unknown.
#[message]
#[derive(Default)]
pub struct LoadView {
    /// At most one record for each service and zone.
    pub records: Vec<ServiceLoad>,
}

/// Whether the upstreams of a service in the remaining zones can handle its load.
#[message]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum CapacityVerdict {
    /// The warm upstreams in the remaining zones can handle the load.
    Bears,
    /// The remaining zones can handle the load once more upstreams have started and warmed up.
    BearsAfter {
        /// The time until the upstreams are warm, in milliseconds.
        wait_ms: u64,
        /// The share of the load that the remaining zones can handle in the meantime, in percent.
        meanwhile_percent: u32,
    },
    /// The remaining zones cannot handle the load even with all their upstreams running.
    Short {
        /// The number of upstreams that the service needs beyond those declared.
        lacking: u32,
    },
    /// No load was reported for the service.
    Unknown,
}

/// The number of upstreams to start in a zone before the change is applied.
#[message]
pub struct PlannedStarts {
    pub zone: ObjectName,
    pub count: u32,
}

/// The effect of a change on one service.
#[message]
pub struct ServiceCapacity {
    pub service: ObjectName,
    /// The number of running and queued requests in all zones.
    pub demand: u32,
    /// The number of upstreams that run now, in all zones.
    pub running_before: u32,
    /// The number of upstreams that run while those in `start_first` are started and those in zones
    /// that are taken out of service have not stopped.
    pub running_peak: u32,
    /// The number of upstreams that run after the change, in the remaining zones.
    pub running_after: u32,
    /// The upstreams to start before the change is applied.
    pub start_first: Vec<PlannedStarts>,
    /// Whether the service can handle its load.
    pub verdict: CapacityVerdict,
}

/// The upstreams of a service in one zone that is in service after the change.
struct ZoneHeadroom {
    zone: ObjectName,
    running: u32,
    warm: u32,
    startable: u32,
}

/// Assesses the effect of changing to configuration `target` on one service.
pub fn assess_capacity(
    service: &ServiceRecord,
    target: &ConfigSnapshot,
    view: &LoadView,
) -> ServiceCapacity {
    let records: Vec<&ServiceLoad> = view
        .records
        .iter()
        .filter(|record| record.service == service.name)
        .collect();
    let demand = records
        .iter()
        .fold(0, |sum: u32, record| sum.saturating_add(record.demand));
    let running_before = records
        .iter()
        .fold(0, |sum: u32, record| sum.saturating_add(record.running));
    let mut headrooms = remaining_zones(service, target, &records);
    let mut capacity = ServiceCapacity {
        service: service.name.clone(),
        demand,
        running_before,
        running_peak: running_before,
        running_after: headrooms.iter().map(|headroom| headroom.running).sum(),
        start_first: Vec::new(),
        verdict: CapacityVerdict::Unknown,
    };
    if records.is_empty() {
        return capacity;
    }
    let needed = upstreams_needed(demand, service.warm_limit);
    let warm: u32 = headrooms.iter().map(|headroom| headroom.warm).sum();
    if warm >= needed {
        capacity.verdict = CapacityVerdict::Bears;
        return capacity;
    }
    // The missing upstreams are started in the zones that have stopped ones, as evenly as possible.
    let cold = capacity.running_after - warm;
    let missing = needed.saturating_sub(capacity.running_after);
    let (start_first, lacking) = distribute_starts(&mut headrooms, missing);
    capacity.running_after += missing - lacking;
    capacity.running_peak = running_before.saturating_add(missing - lacking);
    capacity.start_first = start_first;
    capacity.verdict = if lacking > 0 {
        CapacityVerdict::Short { lacking }
    } else {
        CapacityVerdict::BearsAfter {
            wait_ms: service.cold_start_ms,
            meanwhile_percent: served_percent(service, demand, warm, cold),
        }
    };
    capacity
}

fn remaining_zones(
    service: &ServiceRecord,
    target: &ConfigSnapshot,
    records: &[&ServiceLoad],
) -> Vec<ZoneHeadroom> {
    let zones = target
        .zones
        .iter()
        .filter(|zone| zone.state == ZoneState::In);
    let headrooms = zones.map(|zone| {
        let members = target.upstreams.iter().filter(|upstream| {
            upstream.removed_ms.is_none()
                && upstream.zone == zone.name
                && upstream.service == service.name
        });
        let members = u32::try_from(members.count()).unwrap_or(u32::MAX);
        let load = records.iter().find(|record| record.zone == zone.name);
        let running = load.map_or(0, |record| record.running).min(members);
        ZoneHeadroom {
            zone: zone.name.clone(),
            running,
            warm: load.map_or(0, |record| record.warm).min(running),
            startable: members - running,
        }
    });
    headrooms.collect()
}

fn upstreams_needed(demand: u32, warm_limit: u32) -> u32 {
    let usable = u64::from(warm_limit.max(1)) * PLANNED_USE_PERCENT;
    let needed = (u64::from(demand) * 100).div_ceil(usable);
    u32::try_from(needed).unwrap_or(u32::MAX)
}

/// Distributes `missing` starts over the zones. Returns the starts by zone, and how many upstreams
/// are lacking because no zone has a stopped one left.
fn distribute_starts(headrooms: &mut [ZoneHeadroom], missing: u32) -> (Vec<PlannedStarts>, u32) {
    let mut counts = vec![0_u32; headrooms.len()];
    let mut lacking = missing;
    while lacking > 0 {
        let candidates = headrooms
            .iter()
            .enumerate()
            .filter(|(_, headroom)| headroom.startable > 0);
        let Some((index, _)) = candidates.min_by_key(|(_, headroom)| headroom.running) else {
            break;
        };
        headrooms[index].running += 1;
        headrooms[index].startable -= 1;
        counts[index] += 1;
        lacking -= 1;
    }
    let orders = headrooms.iter().zip(counts).filter(|(_, count)| *count > 0);
    let orders = orders.map(|(headroom, count)| PlannedStarts {
        zone: headroom.zone.clone(),
        count,
    });
    (orders.collect(), lacking)
}

/// Returns the share of the demand that can be served while upstreams start, in percent.
fn served_percent(service: &ServiceRecord, demand: u32, warm: u32, cold: u32) -> u32 {
    let slots = u64::from(warm) * u64::from(service.warm_limit)
        + u64::from(cold) * u64::from(service.cold_limit);
    let percent = (slots * 100).checked_div(u64::from(demand)).unwrap_or(100);
    u32::try_from(percent.min(100)).unwrap_or(100)
}
