//! Measure 2: the service of the worst-served customer beside one at 20-fold overload.

use {
    crate::{
        deployment::{Deployment, TOKENS_PER_MS, WEIGHTS},
        engine::ModelWork,
        fleet::{ModelFleet, TICK_MS, WorkEnd},
        gate::PolicyKind,
        random::ModelRandom,
    },
    catkindeck::{Moment, message::WorkClass},
};

/// The window over which shares are compared, in milliseconds (`docs/design.md`, decision 13).
const WINDOW_MS: u64 = 10_000;

/// The time until queues are filled, in milliseconds.
const WARM_UP_MS: u64 = 60_000;

/// The measured time, in milliseconds.
const MEASURED_MS: u64 = 120_000;

/// The mean tokens of a request, drawn evenly from a fifth to nine fifths of it.
const MEAN_TOKENS: f64 = 100.0;

/// The offered load of each customer as a multiple of its weighted share: one far overloaded, five
/// backlogged, two without a backlog.
const OFFERED: [f64; 8] = [1.5, 20.0, 1.5, 1.5, 1.5, 1.5, 0.3, 0.3];

/// The customers without a backlog.
const LIGHT: [usize; 2] = [6, 7];

/// The figures of one run.
#[derive(Debug, Clone, Copy)]
pub struct FairnessFigures {
    /// The lowest part of its weighted share that a backlogged customer got in any window, in
    /// percent.
    pub worst_share: f64,
    /// The lowest part of its weighted share that a backlogged customer got over all windows in
    /// which it was backlogged, in percent.
    pub run_share: f64,
    /// The longest wait of a customer without a backlog beyond its wait when alone, in slots' times.
    pub extra_wait_slots: f64,
}

/// Runs the load against one policy.
pub fn measure(deployment: Deployment, kind: PolicyKind, seed: u64) -> FairnessFigures {
    let loaded = run(deployment, kind, seed, &OFFERED);
    let mut alone = [0.0; 8];
    for customer in LIGHT {
        alone[customer] = OFFERED[customer];
    }
    let quiet = run(deployment, kind, seed, &alone);
    FairnessFigures {
        worst_share: loaded.worst_share,
        run_share: loaded.run_share,
        extra_wait_slots: (loaded.longest_wait_ms - quiet.longest_wait_ms).max(0.0)
            / (MEAN_TOKENS / TOKENS_PER_MS),
    }
}

struct RunFigures {
    worst_share: f64,
    run_share: f64,
    longest_wait_ms: f64,
}

fn run(deployment: Deployment, kind: PolicyKind, seed: u64, offered: &[f64; 8]) -> RunFigures {
    let mut fleet = ModelFleet::new(deployment, kind, seed);
    let mut arrivals: Vec<ModelRandom> = (0..8)
        .map(|stream| ModelRandom::new(seed, stream))
        .collect();
    let weights: f64 = WEIGHTS.iter().map(|weight| f64::from(*weight)).sum();
    let mean_waits: Vec<f64> = (0..8)
        .map(|customer| {
            let share = f64::from(WEIGHTS[customer]) / weights * deployment.capacity();
            MEAN_TOKENS / (share * offered[customer])
        })
        .collect();
    let mut due: Vec<f64> = (0..8)
        .map(|customer| arrivals[customer].wait(mean_waits[customer]))
        .collect();
    let (mut next, mut longest_wait_ms, mut worst_share) = (0, 0.0f64, f64::INFINITY);
    let mut window = [0.0; 8];
    let mut backlogged = [true; 8];
    let mut shares: Vec<Vec<f64>> = vec![Vec::new(); 8];
    let mut window_end = WARM_UP_MS + WINDOW_MS;
    while fleet.now.0 < WARM_UP_MS + MEASURED_MS {
        for customer in 0..8 {
            while due[customer] <= fleet.now.0 as f64 {
                due[customer] += arrivals[customer].wait(mean_waits[customer]);
                let tokens = arrivals[customer].between(0.2, 1.8) * MEAN_TOKENS;
                next += 1;
                fleet.send(work(next, customer, tokens, fleet.now), &[]);
            }
        }
        let measured = fleet.now.0 >= WARM_UP_MS;
        for ended in fleet.tick() {
            let light = LIGHT.contains(&ended.work.customer);
            if measured && light && ended.end == WorkEnd::Finished {
                let wait = ended.started.since(ended.work.arrived) as f64;
                longest_wait_ms = longest_wait_ms.max(wait);
            }
            // A refused request counts as one that waited until its caller gave up.
            if measured && light && ended.end != WorkEnd::Finished {
                let wait = ended.work.deadline.since(ended.work.arrived) as f64;
                longest_wait_ms = longest_wait_ms.max(wait);
            }
        }
        if measured {
            for (customer, tokens) in &fleet.served {
                window[*customer] += tokens;
            }
            for (customer, backlogged) in backlogged.iter_mut().enumerate() {
                *backlogged &= fleet.queued.iter().all(|queued| queued[customer] > 0);
            }
        }
        if fleet.now.0 >= window_end {
            for (customer, share) in window_shares(&window, &backlogged) {
                worst_share = worst_share.min(share);
                shares[customer].push(share);
            }
            (window, backlogged) = ([0.0; 8], [true; 8]);
            window_end += WINDOW_MS;
        }
    }
    let means = shares
        .iter()
        .filter(|shares| !shares.is_empty())
        .map(|shares| shares.iter().sum::<f64>() / shares.len() as f64);
    RunFigures {
        worst_share,
        run_share: means.fold(f64::INFINITY, f64::min),
        longest_wait_ms,
    }
}

/// Returns the part of its share that each backlogged customer got, in percent.
///
/// A customer counts if it had a backlog at every agent throughout the window; where it had none it
/// got all that it asked for.
fn window_shares(window: &[f64; 8], backlogged: &[bool; 8]) -> Vec<(usize, f64)> {
    let weight = |customer: usize| f64::from(WEIGHTS[customer]);
    let counted: Vec<usize> = (0..8).filter(|customer| backlogged[*customer]).collect();
    let served: f64 = counted.iter().map(|customer| window[*customer]).sum();
    let weights: f64 = counted.iter().map(|customer| weight(*customer)).sum();
    counted
        .into_iter()
        // The overloaded customer is not protected from itself.
        .filter(|customer| OFFERED[*customer] < 10.0)
        .map(|customer| {
            let due = served * weight(customer) / weights;
            (customer, 100.0 * window[customer] / due)
        })
        .collect()
}

fn work(id: u32, customer: usize, tokens: f64, now: Moment) -> ModelWork {
    ModelWork {
        id,
        customer,
        class: WorkClass::Interactive,
        priority: 0,
        tokens,
        arrived: now,
        deadline: now + 60_000 + TICK_MS,
    }
}
