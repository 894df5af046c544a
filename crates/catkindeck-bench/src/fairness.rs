//! Measures the fairness between customers while one of them offers 20 times its share.
//!
//! Part of measure 2 (`docs/design.md`, section 1).

use {
    crate::{
        deployment::{CUSTOMER_WEIGHTS, Deployment, TOKENS_PER_MS},
        engine::SimRequest,
        fleet::{RequestOutcome, SimFleet, TICK_MS},
        queue::PolicyKind,
        rng::SimRng,
    },
    catkindeck::{Moment, message::WorkClass},
};

/// The window over which shares are compared, in milliseconds (`docs/design.md`, decision 13).
const WINDOW_MS: u64 = 10_000;

/// The time until the queues are filled and the measurement starts, in milliseconds.
const WARM_UP_MS: u64 = 60_000;

/// The duration of the measurement, in milliseconds.
const MEASURED_MS: u64 = 120_000;

/// The mean number of tokens of a request; they are distributed uniformly between 0.2 and 1.8 times
/// the mean.
const MEAN_TOKENS: f64 = 100.0;

/// The offered load of each customer as a multiple of its weighted share: one customer at 20-fold
/// overload, five with a backlog and two without.
const OFFERED_LOAD: [f64; 8] = [1.5, 20.0, 1.5, 1.5, 1.5, 1.5, 0.3, 0.3];

/// The customers without a backlog.
const UNBACKLOGGED_CUSTOMERS: [usize; 2] = [6, 7];

/// The results of one measurement.
#[derive(Debug, Clone, Copy)]
pub struct FairnessResults {
    /// The lowest throughput of a backlogged customer in any window, in percent of its weighted
    /// share.
    pub lowest_window_share: f64,
    /// The lowest mean throughput of a customer over the windows in which it was backlogged, in
    /// percent of its weighted share.
    pub lowest_mean_share: f64,
    /// The longest wait of a customer without a backlog, minus its longest wait without other
    /// customers, in multiples of a mean request's duration.
    pub extra_wait_durations: f64,
}

/// Simulates one policy under the full load, and again under the load of the customers without a
/// backlog alone.
pub fn measure(deployment: Deployment, kind: PolicyKind, seed: u64) -> FairnessResults {
    let loaded_results = simulate_load(deployment, kind, seed, &OFFERED_LOAD);
    let mut unbacklogged_load = [0.0; 8];
    for customer in UNBACKLOGGED_CUSTOMERS {
        unbacklogged_load[customer] = OFFERED_LOAD[customer];
    }
    let alone_results = simulate_load(deployment, kind, seed, &unbacklogged_load);
    FairnessResults {
        lowest_window_share: loaded_results.lowest_window_share,
        lowest_mean_share: loaded_results.lowest_mean_share,
        extra_wait_durations: (loaded_results.longest_wait_ms - alone_results.longest_wait_ms)
            .max(0.0)
            / (MEAN_TOKENS / TOKENS_PER_MS),
    }
}

struct LoadResults {
    lowest_window_share: f64,
    lowest_mean_share: f64,
    longest_wait_ms: f64,
}

fn simulate_load(
    deployment: Deployment,
    kind: PolicyKind,
    seed: u64,
    offered: &[f64; 8],
) -> LoadResults {
    let mut fleet = SimFleet::new(deployment, kind, seed);
    let mut arrivals: Vec<SimRng> = (0..8).map(|stream| SimRng::new(seed, stream)).collect();
    let weights: f64 = CUSTOMER_WEIGHTS
        .iter()
        .map(|weight| f64::from(*weight))
        .sum();
    let mean_intervals: Vec<f64> = (0..8)
        .map(|customer| {
            let share = f64::from(CUSTOMER_WEIGHTS[customer]) / weights * deployment.capacity();
            MEAN_TOKENS / (share * offered[customer])
        })
        .collect();
    let mut next_arrival: Vec<f64> = (0..8)
        .map(|customer| arrivals[customer].exponential(mean_intervals[customer]))
        .collect();
    let (mut next_id, mut longest_wait_ms, mut lowest_window_share) = (0, 0.0f64, f64::INFINITY);
    let mut window = [0.0; 8];
    let mut backlogged = [true; 8];
    let mut shares: Vec<Vec<f64>> = vec![Vec::new(); 8];
    let mut window_end = WARM_UP_MS + WINDOW_MS;
    while fleet.now.0 < WARM_UP_MS + MEASURED_MS {
        for customer in 0..8 {
            while next_arrival[customer] <= fleet.now.0 as f64 {
                next_arrival[customer] += arrivals[customer].exponential(mean_intervals[customer]);
                let tokens = arrivals[customer].between(0.2, 1.8) * MEAN_TOKENS;
                next_id += 1;
                fleet.send(new_request(next_id, customer, tokens, fleet.now), &[]);
            }
        }
        let measured = fleet.now.0 >= WARM_UP_MS;
        for ended in fleet.tick() {
            let is_unbacklogged = UNBACKLOGGED_CUSTOMERS.contains(&ended.request.customer);
            if measured && is_unbacklogged && ended.outcome == RequestOutcome::Finished {
                let wait = ended.started.since(ended.request.arrived_at) as f64;
                longest_wait_ms = longest_wait_ms.max(wait);
            }
            // A rejected request counts as one that waited until its caller gave up.
            if measured && is_unbacklogged && ended.outcome != RequestOutcome::Finished {
                let wait = ended.request.deadline.since(ended.request.arrived_at) as f64;
                longest_wait_ms = longest_wait_ms.max(wait);
            }
        }
        if measured {
            for (customer, tokens) in &fleet.generated {
                window[*customer] += tokens;
            }
            for (customer, backlogged) in backlogged.iter_mut().enumerate() {
                *backlogged &= fleet.queued.iter().all(|queued| queued[customer] > 0);
            }
        }
        if fleet.now.0 >= window_end {
            for (customer, share) in window_shares(&window, &backlogged) {
                lowest_window_share = lowest_window_share.min(share);
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
    LoadResults {
        lowest_window_share,
        lowest_mean_share: means.fold(f64::INFINITY, f64::min),
        longest_wait_ms,
    }
}

/// Returns the throughput of each backlogged customer, in percent of its weighted share.
///
/// A customer counts as backlogged if it had queued requests at every agent throughout the window.
/// The others are left out, because they received all the service they requested.
fn window_shares(window: &[f64; 8], backlogged: &[bool; 8]) -> Vec<(usize, f64)> {
    let weight = |customer: usize| f64::from(CUSTOMER_WEIGHTS[customer]);
    let counted: Vec<usize> = (0..8).filter(|customer| backlogged[*customer]).collect();
    let served: f64 = counted.iter().map(|customer| window[*customer]).sum();
    let weights: f64 = counted.iter().map(|customer| weight(*customer)).sum();
    counted
        .into_iter()
        // The customer at 20-fold overload is not protected from its own load, so its share is not
        // measured.
        .filter(|customer| OFFERED_LOAD[*customer] < 10.0)
        .map(|customer| {
            let fair_share = served * weight(customer) / weights;
            (customer, 100.0 * window[customer] / fair_share)
        })
        .collect()
}

fn new_request(id: u32, customer: usize, tokens: f64, now: Moment) -> SimRequest {
    SimRequest {
        id,
        customer,
        class: WorkClass::Interactive,
        priority: 0,
        tokens,
        arrived_at: now,
        deadline: now + 60_000 + TICK_MS,
    }
}
