//! Compares the running time of the upstreams with the minimum that serves the same load.
//!
//! This is measure 3 (`docs/design.md`, section 1).

use {
    crate::{
        deployment::{Deployment, ENGINE_COLD_MS, ENGINE_SLOTS, object_name},
        queue::PolicyKind,
        rng::SimRng,
    },
    catkindeck::{
        Moment,
        config::{ServiceKind, ServiceRecord, ZoneState},
    },
    catkindeck_policy::{ScalerSettings, ZoneCapacity, ZoneScaler},
};

/// The duration of the run, in seconds: two cycles of the interactive load.
const RUN_S: u64 = 7_200;

/// The interval between plans, in seconds.
const PLAN_INTERVAL_S: u64 = 5;

/// The results of one run.
#[derive(Debug, Clone, Copy)]
pub struct CostResults {
    /// The running time of the upstreams divided by the minimum that serves the same load, which is
    /// computed with knowledge of the whole load.
    pub cost_ratio: f64,
    /// The demand that exceeded the capacity of the warm upstreams, in percent.
    pub unserved_percent: f64,
    /// The number of upstream starts.
    pub starts: f64,
}

/// A service and the maximum number of its upstreams.
struct SimService {
    record: ServiceRecord,
    upstreams: usize,
}

/// The time at which a running upstream becomes warm, in seconds.
type WarmAtSeconds = u64;

/// Simulates both services of a deployment and sums their results.
pub fn measure(deployment: Deployment, kind: PolicyKind, seed: u64) -> CostResults {
    let services = [
        SimService::new("drafts", ENGINE_SLOTS, ENGINE_COLD_MS, deployment.engines),
        SimService::new("desk", 32, 10_000, deployment.service_upstreams),
    ];
    let (mut cost, mut minimum, mut unserved, mut total_demand, mut starts) =
        (0.0, 0.0, 0.0, 0.0, 0.0);
    for (number, service) in services.iter().enumerate() {
        let load = demand(service, seed, number as u64 + 60);
        let results = simulate_service(deployment, service, kind, &load);
        cost += results.cost;
        minimum += minimum_cost(service, &results.served);
        starts += results.starts;
        let served: f64 = results.served.iter().sum();
        let all: f64 = load.iter().sum();
        (unserved, total_demand) = (unserved + all - served, total_demand + all);
    }
    CostResults {
        cost_ratio: cost / minimum,
        unserved_percent: 100.0 * unserved / total_demand,
        starts,
    }
}

impl SimService {
    fn new(name: &str, warm_limit: u32, cold_start_ms: u64, upstreams: usize) -> Self {
        Self {
            record: ServiceRecord {
                name: object_name(name),
                kind: ServiceKind::Engine,
                warm_limit,
                cold_limit: 1,
                cold_start_ms,
                checks_fence: false,
                direct: catkindeck::direct::DirectOptions::default(),
            },
            upstreams,
        }
    }
}

/// Returns the demand in each second, in concurrent requests: the sum of an hourly cycle, training
/// steps and noise.
fn demand(service: &SimService, seed: u64, stream: u64) -> Vec<f64> {
    let mut rng = SimRng::new(seed, stream);
    let phase = rng.between(0.0, std::f64::consts::TAU);
    let full = service.upstreams as f64 * f64::from(service.record.warm_limit);
    let mut noise = 0.0;
    let mut load = Vec::new();
    for second in 0..RUN_S {
        // Noise with a correlation time of about 20 s, as from requests that take several seconds.
        noise += -noise / 20.0 + rng.between(-0.01, 0.01);
        let cycle = (second as f64 / 3_600.0 * std::f64::consts::TAU + phase).sin();
        // Rollouts run for six minutes of every ten.
        let step = if second % 600 < 360 { 0.15 } else { 0.0 };
        load.push((full * (0.4 + 0.28 * cycle + step + noise)).max(0.0));
    }
    load
}

struct ServiceResults {
    /// The total running time of the upstreams, in seconds.
    cost: f64,
    /// The number of upstream starts.
    starts: f64,
    /// The served load in each second, in concurrent requests.
    served: Vec<f64>,
}

fn simulate_service(
    deployment: Deployment,
    service: &SimService,
    kind: PolicyKind,
    load: &[f64],
) -> ServiceResults {
    let slots = f64::from(service.record.warm_limit);
    let cold_s = service.record.cold_start_ms / 1_000;
    let zones = deployment.zones.len();
    let mut scaler = ZoneScaler::new(ScalerSettings::default());
    // Both policies start with enough warm upstreams for the first second.
    let mut running: Vec<Vec<WarmAtSeconds>> = vec![Vec::new(); zones];
    let first = (load[0] / slots).ceil() as usize;
    (0..first).for_each(|number| running[number % zones].push(0));
    let mut results = ServiceResults {
        cost: 0.0,
        starts: 0.0,
        served: Vec::new(),
    };
    for (second, active_requests) in load.iter().enumerate() {
        let now = second as u64;
        let warm = running
            .iter()
            .flatten()
            .filter(|from| **from <= now)
            .count();
        results
            .served
            .push(active_requests.min(warm as f64 * slots));
        results.cost += running.iter().flatten().count() as f64;
        let moment = Moment(now * 1_000);
        let in_progress = active_requests.round() as u32;
        scaler.observe(moment, &service.record, in_progress);
        if !now.is_multiple_of(PLAN_INTERVAL_S) {
            continue;
        }
        let capacities: Vec<ZoneCapacity> = (0..zones)
            .map(|zone| zone_capacity(deployment, service, zone, running[zone].len()))
            .collect();
        let counts: Vec<(usize, usize)> = match kind {
            PolicyKind::Baseline => {
                let wanted = (active_requests / slots).ceil().max(1.0) as usize;
                (0..zones)
                    .map(|zone| (zone, (wanted + zones - 1 - zone) / zones))
                    .collect()
            }
            PolicyKind::Catkindeck | PolicyKind::FixedLimit => {
                let orders = scaler.plan(moment, &service.record, &capacities);
                let zone_index = |order: &catkindeck_policy::ScaleOrder| {
                    capacities
                        .iter()
                        .position(|capacity| capacity.zone == order.zone)
                };
                let counts = orders
                    .iter()
                    .filter_map(|order| Some((zone_index(order)?, order.count as usize)));
                counts.collect()
            }
        };
        for (zone, count) in counts {
            let count = count.min(capacities[zone].max_upstreams as usize);
            let upstreams = &mut running[zone];
            results.starts += count.saturating_sub(upstreams.len()) as f64;
            // The upstreams that were started last are stopped first, as they may still be cold.
            upstreams.truncate(count);
            upstreams.resize(count, now + cold_s);
        }
    }
    results
}

fn zone_capacity(
    deployment: Deployment,
    service: &SimService,
    zone: usize,
    running: usize,
) -> ZoneCapacity {
    let zones = deployment.zones.len();
    ZoneCapacity {
        zone: object_name(deployment.zones[zone]),
        state: ZoneState::In,
        running: running as u32,
        ordered: running as u32,
        max_upstreams: ((service.upstreams + zones - 1 - zone) / zones) as u32,
    }
}

/// Returns the minimum running time, in seconds, of upstreams that serve the load `served`, which
/// is known in advance.
///
/// The upstream with index `level` is needed whenever the load exceeds the capacity of `level`
/// upstreams. Between two such periods it either keeps running or is stopped and cold-started,
/// whichever costs less.
fn minimum_cost(service: &SimService, served: &[f64]) -> f64 {
    let slots = f64::from(service.record.warm_limit);
    let cold_s = service.record.cold_start_ms as f64 / 1_000.0;
    let mut cost = 0.0;
    for level in 0..service.upstreams {
        let mut last_needed: Option<usize> = None;
        for (second, active_requests) in served.iter().enumerate() {
            if *active_requests <= level as f64 * slots {
                continue;
            }
            cost += 1.0;
            let gap = match last_needed {
                Some(last) => (second - last - 1) as f64,
                // At the start of the run all needed upstreams are warm, as for the policies.
                None => second as f64,
            };
            cost += gap.min(cold_s);
            last_needed = Some(second);
        }
    }
    cost
}
