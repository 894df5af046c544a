//! Measure 3: running upstream time against the least that would have served the same.

use {
    crate::{
        deployment::{Deployment, ENGINE_COLD_MS, ENGINE_SLOTS, object_name},
        gate::PolicyKind,
        random::ModelRandom,
    },
    catkindeck::{
        Moment,
        config::{ServiceKind, ServiceRecord, ZoneState},
    },
    catkindeck_policy::{ScalerSettings, ZoneCapacity, ZoneScaler},
};

/// The length of the run, in seconds: two cycles of the interactive load.
const RUN_S: u64 = 7_200;

/// The interval between plans, in seconds.
const PLAN_S: u64 = 5;

/// The figures of one run.
#[derive(Debug, Clone, Copy)]
pub struct SpendingFigures {
    /// Running upstream time divided by the least in hindsight for the same service.
    pub cost_ratio: f64,
    /// The demand that found no warm upstream, in percent.
    pub unserved_percent: f64,
    /// The number of starts.
    pub starts: f64,
}

/// A service whose upstreams are started and stopped.
struct ModelService {
    record: ServiceRecord,
    upstreams: usize,
}

/// An upstream that runs, with the second in which it becomes warm.
type WarmFrom = u64;

/// Runs both services of a deployment and adds them up.
pub fn measure(deployment: Deployment, kind: PolicyKind, seed: u64) -> SpendingFigures {
    let services = [
        service("drafts", ENGINE_SLOTS, ENGINE_COLD_MS, deployment.engines),
        service("desk", 32, 10_000, deployment.desks),
    ];
    let (mut cost, mut least, mut unserved, mut asked, mut starts) = (0.0, 0.0, 0.0, 0.0, 0.0);
    for (number, service) in services.iter().enumerate() {
        let load = demand(service, seed, number as u64 + 60);
        let run = run(deployment, service, kind, &load);
        cost += run.cost;
        least += least_cost(service, &run.served);
        starts += run.starts;
        let served: f64 = run.served.iter().sum();
        let all: f64 = load.iter().sum();
        (unserved, asked) = (unserved + all - served, asked + all);
    }
    SpendingFigures {
        cost_ratio: cost / least,
        unserved_percent: 100.0 * unserved / asked,
        starts,
    }
}

fn service(name: &str, warm_limit: u32, cold_start_ms: u64, upstreams: usize) -> ModelService {
    ModelService {
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

/// Returns the requests in progress in each second: a cycle, steps of training, and noise.
fn demand(service: &ModelService, seed: u64, stream: u64) -> Vec<f64> {
    let mut random = ModelRandom::new(seed, stream);
    let phase = random.between(0.0, std::f64::consts::TAU);
    let full = service.upstreams as f64 * f64::from(service.record.warm_limit);
    let mut noise = 0.0;
    let mut load = Vec::new();
    for second in 0..RUN_S {
        // Noise with a memory of about 20 s, as requests that take some seconds give.
        noise += -noise / 20.0 + random.between(-0.01, 0.01);
        let cycle = (second as f64 / 3_600.0 * std::f64::consts::TAU + phase).sin();
        // Rollouts fill six of every ten minutes.
        let step = if second % 600 < 360 { 0.15 } else { 0.0 };
        load.push((full * (0.4 + 0.28 * cycle + step + noise)).max(0.0));
    }
    load
}

struct ServiceRun {
    cost: f64,
    starts: f64,
    served: Vec<f64>,
}

fn run(
    deployment: Deployment,
    service: &ModelService,
    kind: PolicyKind,
    load: &[f64],
) -> ServiceRun {
    let slots = f64::from(service.record.warm_limit);
    let cold_s = service.record.cold_start_ms / 1_000;
    let zones = deployment.zones.len();
    let mut scaler = ZoneScaler::new(ScalerSettings::default());
    // Both begin with what the first second needs, warm.
    let mut running: Vec<Vec<WarmFrom>> = vec![Vec::new(); zones];
    let first = (load[0] / slots).ceil() as usize;
    (0..first).for_each(|number| running[number % zones].push(0));
    let mut run = ServiceRun {
        cost: 0.0,
        starts: 0.0,
        served: Vec::new(),
    };
    for (second, busy) in load.iter().enumerate() {
        let now = second as u64;
        let warm = running
            .iter()
            .flatten()
            .filter(|from| **from <= now)
            .count();
        run.served.push(busy.min(warm as f64 * slots));
        run.cost += running.iter().flatten().count() as f64;
        let moment = Moment(now * 1_000);
        let in_progress = busy.round() as u32;
        scaler.observe(moment, &service.record, in_progress);
        if !now.is_multiple_of(PLAN_S) {
            continue;
        }
        let supplies: Vec<ZoneCapacity> = (0..zones)
            .map(|zone| supply(deployment, service, zone, running[zone].len()))
            .collect();
        let counts: Vec<(usize, usize)> = match kind {
            PolicyKind::Baseline => {
                let wanted = (busy / slots).ceil().max(1.0) as usize;
                (0..zones)
                    .map(|zone| (zone, (wanted + zones - 1 - zone) / zones))
                    .collect()
            }
            PolicyKind::Catkindeck | PolicyKind::FixedLimit => {
                let orders = scaler.plan(moment, &service.record, &supplies);
                let place = |order: &catkindeck_policy::ScaleOrder| {
                    supplies.iter().position(|supply| supply.zone == order.zone)
                };
                let counts = orders
                    .iter()
                    .filter_map(|order| Some((place(order)?, order.count as usize)));
                counts.collect()
            }
        };
        for (zone, count) in counts {
            let count = count.min(supplies[zone].max_upstreams as usize);
            let upstreams = &mut running[zone];
            run.starts += count.saturating_sub(upstreams.len()) as f64;
            // The ones started last are stopped first, because they may still be cold.
            upstreams.truncate(count);
            upstreams.resize(count, now + cold_s);
        }
    }
    run
}

fn supply(
    deployment: Deployment,
    service: &ModelService,
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

/// Returns the least running time that serves `served`, knowing it in advance.
///
/// The upstreams of a level are needed while the load is above the level. Between two such times an
/// upstream runs on or is stopped and started again, whichever costs less.
fn least_cost(service: &ModelService, served: &[f64]) -> f64 {
    let slots = f64::from(service.record.warm_limit);
    let cold_s = service.record.cold_start_ms as f64 / 1_000.0;
    let mut cost = 0.0;
    for level in 0..service.upstreams {
        let mut last_needed: Option<usize> = None;
        for (second, busy) in served.iter().enumerate() {
            if *busy <= level as f64 * slots {
                continue;
            }
            cost += 1.0;
            let gap = match last_needed {
                Some(last) => (second - last - 1) as f64,
                // Before the run all needed upstreams are warm, as they are for the policies.
                None => second as f64,
            };
            cost += gap.min(cold_s);
            last_needed = Some(second);
        }
    }
    cost
}
