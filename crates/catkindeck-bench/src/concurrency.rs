//! Compares the adaptive concurrency limit with a fixed one.
//!
//! Part of measure 2 (`docs/design.md`, section 1).

use {
    crate::{
        deployment::Deployment,
        engine::SimRequest,
        fleet::{RequestOutcome, SimFleet},
        queue::PolicyKind,
        rng::SimRng,
    },
    catkindeck::message::WorkClass,
};

/// The period in which half of the engines have a reduced capacity because other programs use their
/// hosts, in milliseconds.
const SHARED_HOSTS_PERIOD_MS: std::ops::Range<u64> = 60_000..180_000;

/// The duration of the run, in milliseconds.
const RUN_MS: u64 = 240_000;

/// The fraction of its slots that an engine on a shared host can use at full speed.
const SHARED_HOST_CAPACITY_FRACTION: f64 = 0.4;

/// The offered load as a fraction of the capacity.
const OFFERED_LOAD: f64 = 0.6;

/// The mean number of tokens of a request.
const MEAN_TOKENS: f64 = 100.0;

/// The time after which a caller gives up, in milliseconds: ten times the mean duration of a
/// request.
const CALLER_TIMEOUT_MS: u64 = 20_000;

/// The results of one run.
#[derive(Debug, Clone, Copy)]
pub struct ConcurrencyResults {
    /// The requests that completed before their deadline, in percent.
    pub in_time_percent: f64,
    /// The 95th percentile of the execution time at the engine, in seconds.
    pub p95_engine_time_s: f64,
}

/// Simulates interactive load while half of the engines thrash for two minutes.
pub fn measure(deployment: Deployment, kind: PolicyKind, seed: u64) -> ConcurrencyResults {
    let mut fleet = SimFleet::new(deployment, kind, seed);
    let mut rng = SimRng::new(seed, 90);
    let mean_interval = MEAN_TOKENS / (deployment.capacity() * OFFERED_LOAD);
    let mut next_arrival = rng.exponential(mean_interval);
    let (mut sent, mut in_time, mut times) = (0, 0u32, Vec::new());
    while fleet.now.0 < RUN_MS {
        let shared = SHARED_HOSTS_PERIOD_MS.contains(&fleet.now.0);
        for (number, engine) in fleet.engines.iter_mut().enumerate() {
            engine.thrashes = true;
            engine.slot_factor = if shared && number % 2 == 0 {
                SHARED_HOST_CAPACITY_FRACTION
            } else {
                1.0
            };
        }
        while next_arrival <= fleet.now.0 as f64 && fleet.now.0 + CALLER_TIMEOUT_MS < RUN_MS {
            next_arrival += rng.exponential(mean_interval);
            sent += 1;
            let request = SimRequest {
                id: sent,
                customer: rng.below(8),
                class: WorkClass::Interactive,
                priority: 0,
                tokens: rng.between(0.2, 1.8) * MEAN_TOKENS,
                arrived_at: fleet.now,
                deadline: fleet.now + CALLER_TIMEOUT_MS,
            };
            fleet.send(request, &[]);
        }
        let now = fleet.now;
        for ended in fleet.tick() {
            if ended.outcome == RequestOutcome::Finished {
                times.push(now.since(ended.started));
                in_time += u32::from(now < ended.request.deadline);
            }
        }
    }
    times.sort_unstable();
    let rank = times.len() * 95 / 100;
    ConcurrencyResults {
        in_time_percent: 100.0 * f64::from(in_time) / f64::from(sent),
        p95_engine_time_s: times.get(rank).map_or(0.0, |time| *time as f64 / 1_000.0),
    }
}
