//! Measure 2: the adaptive concurrency limit against a fixed one.

use {
    crate::{
        deployment::Deployment,
        engine::ModelWork,
        fleet::{ModelFleet, WorkEnd},
        gate::PolicyKind,
        random::ModelRandom,
    },
    catkindeck::message::WorkClass,
};

/// The time in which half of the engines bear less, in milliseconds.
const SHARED_MS: std::ops::Range<u64> = 60_000..180_000;

/// The end of the run, in milliseconds.
const END_MS: u64 = 240_000;

/// The part of its slots that a shared engine bears.
const SHARED_SLOTS: f64 = 0.4;

/// The offered load as a part of the capacity.
const LOAD: f64 = 0.6;

/// The mean tokens of a request.
const MEAN_TOKENS: f64 = 100.0;

/// The time after which a caller gives up, in milliseconds: ten times a request's time.
const PATIENCE_MS: u64 = 20_000;

/// The figures of one run.
#[derive(Debug, Clone, Copy)]
pub struct LimitFigures {
    /// The requests answered whole before their deadline, in percent.
    pub in_time_percent: f64,
    /// The 95th percentile of the time from start to end at the engine, in seconds.
    pub engine_time_s: f64,
}

/// Runs interactive load while half of the engines thrash for two minutes.
pub fn measure(deployment: Deployment, kind: PolicyKind, seed: u64) -> LimitFigures {
    let mut fleet = ModelFleet::new(deployment, kind, seed);
    let mut random = ModelRandom::new(seed, 90);
    let mean_wait = MEAN_TOKENS / (deployment.capacity() * LOAD);
    let mut due = random.wait(mean_wait);
    let (mut sent, mut in_time, mut times) = (0, 0u32, Vec::new());
    while fleet.now.0 < END_MS {
        let shared = SHARED_MS.contains(&fleet.now.0);
        for (number, engine) in fleet.engines.iter_mut().enumerate() {
            engine.thrashes = true;
            engine.slots = if shared && number % 2 == 0 {
                SHARED_SLOTS
            } else {
                1.0
            };
        }
        while due <= fleet.now.0 as f64 && fleet.now.0 + PATIENCE_MS < END_MS {
            due += random.wait(mean_wait);
            sent += 1;
            let work = ModelWork {
                id: sent,
                customer: random.below(8),
                class: WorkClass::Interactive,
                priority: 0,
                tokens: random.between(0.2, 1.8) * MEAN_TOKENS,
                arrived: fleet.now,
                deadline: fleet.now + PATIENCE_MS,
            };
            fleet.send(work, &[]);
        }
        let now = fleet.now;
        for ended in fleet.tick() {
            if ended.end == WorkEnd::Finished {
                times.push(now.since(ended.started));
                in_time += u32::from(now < ended.work.deadline);
            }
        }
    }
    times.sort_unstable();
    let rank = times.len() * 95 / 100;
    LimitFigures {
        in_time_percent: 100.0 * f64::from(in_time) / f64::from(sent),
        engine_time_s: times.get(rank).map_or(0.0, |time| *time as f64 / 1_000.0),
    }
}
