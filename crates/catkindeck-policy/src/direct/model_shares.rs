//! How many engines serve each model.

use {
    super::{load_time::MIN_LOAD_MS, model_demand::ModelDemand, weights::MODELS_PER_ENGINE},
    catkindeck::{Moment, SortedMap, id::ObjectName},
};

/// The time over which the demand is averaged, in milliseconds. It covers a few steps, so that the shares do not follow
/// the phases of a step.
const SMOOTHING_MS: u64 = 8_000;

/// The shortest time between two looks at the demand, in milliseconds.
const UPDATE_INTERVAL_MS: u64 = 500;

/// The least share of a model, in percent of an even one. A trainer may ask again at any time, and loading weights
/// for it takes longer than its response-time goal.
const MIN_SHARE_PERCENT: usize = 75;

/// The greatest share of a model, in percent of an even one. The loads that prepare a version take longer the more
/// engines serve the model, and its steps wait for them.
const MAX_SHARE_PERCENT: usize = 125;

/// The least change of the shares, in percent of all engines. Smaller ones are within the differences between the steps
/// of a trainer.
const MIN_CHANGE_PERCENT: usize = 5;

/// The number of steps within which new shares must save the time that their loads cost.
const PAYBACK_STEPS: u64 = 4;

/// The time without any report after which all models share alike again, in milliseconds. It covers a takeover of all
/// jobs, during which nothing is known but little changes.
pub const SHARE_HOLD_MS: u64 = 15_000;

/// The factor between tokens and the smoothed values, which keeps their rounding small.
const TOKEN_SCALE: u64 = 1_000;

/// The engines that run a model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelPool {
    pub model: ObjectName,
    pub service: ObjectName,
    pub candidates: usize,
    /// The number of engines that serve the model if all models share alike.
    pub even_share: usize,
    /// The number of requests that an engine processes concurrently.
    pub slots: u32,
}

/// A change of the shares of the models of one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShareChange {
    pub service: ObjectName,
    pub models: Vec<ModelShare>,
    /// The engines that serve a model that they did not serve before.
    pub moved: usize,
}

/// The share of one model before and after a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelShare {
    pub model: ObjectName,
    /// The smoothed number of tokens in sight.
    pub tokens: u64,
    pub before: usize,
    pub after: usize,
}

/// Distributes engines over models in proportion to the tokens in sight.
///
/// The state is a weight for each model rather than a number of engines, so that few engines change when some appear
/// or leave. The weights in force change only if the time that a step saves within `PAYBACK_STEPS` exceeds the
/// service lost by loading weights. Models without reports weigh as much as the others on average, so without any
/// report all share alike.
#[derive(Debug, Clone, Default)]
pub struct ShareBalance {
    smoothed: SortedMap<ObjectName, u64>,
    in_force: SortedMap<ObjectName, u64>,
    updated: Option<Moment>,
    /// When the first and the last report were taken into account.
    known: Option<(Moment, Moment)>,
}

impl ShareBalance {
    /// Takes the demand for each pool into account, and returns the changes of shares.
    pub fn update(
        &mut self,
        now: Moment,
        pools: &[ModelPool],
        demands: &[Option<ModelDemand>],
    ) -> Vec<ShareChange> {
        let elapsed_ms = self
            .updated
            .map_or(UPDATE_INTERVAL_MS, |updated| now.since(updated));
        if elapsed_ms < UPDATE_INTERVAL_MS {
            return Vec::new();
        }
        self.updated = Some(now);
        self.smooth(now, elapsed_ms, pools, demands);
        let token_gap_us = demands
            .iter()
            .flatten()
            .map(|demand| demand.token_gap_us)
            .max();
        let mut changes = Vec::new();
        for service in services_of(pools) {
            let members: Vec<&ModelPool> = pools
                .iter()
                .filter(|pool| pool.service == service)
                .collect();
            changes.extend(self.rebalance(now, service, &members, token_gap_us.unwrap_or(0)));
        }
        changes
    }

    /// Returns the number of engines for each pool.
    pub fn sizes(&self, pools: &[ModelPool]) -> Vec<usize> {
        let mut sizes: Vec<usize> = pools.iter().map(|pool| pool.even_share).collect();
        for service in services_of(pools) {
            let indices: Vec<usize> = (0..pools.len())
                .filter(|index| pools[*index].service == service)
                .collect();
            let members: Vec<&ModelPool> = indices.iter().map(|index| &pools[*index]).collect();
            let allotted = allot(&members, &weights_of(&self.in_force, &members));
            for (index, size) in indices.into_iter().zip(allotted) {
                sizes[index] = size;
            }
        }
        sizes
    }

    fn smooth(
        &mut self,
        now: Moment,
        elapsed_ms: u64,
        pools: &[ModelPool],
        demands: &[Option<ModelDemand>],
    ) {
        let known: Vec<u64> = demands
            .iter()
            .flatten()
            .map(|demand| demand.tokens_in_sight().saturating_mul(TOKEN_SCALE))
            .collect();
        if known.is_empty() {
            let heard = self.known.map(|(_, last)| last);
            if heard.is_some_and(|last| now.since(last) > SHARE_HOLD_MS) {
                self.smoothed.clear();
                self.known = None;
            }
            return;
        }
        let first = self.known.map_or(now, |(first, _)| first);
        self.known = Some((first, now));
        let mean = known.iter().sum::<u64>() / known.len() as u64;
        self.smoothed
            .retain(|model, _| pools.iter().any(|pool| pool.model == *model));
        for (pool, demand) in pools.iter().zip(demands) {
            let seen = demand
                .as_ref()
                .map(|demand| demand.tokens_in_sight() * TOKEN_SCALE);
            match (self.smoothed.get_mut(&pool.model), seen) {
                (Some(value), seen) => *value = approach(*value, seen.unwrap_or(mean), elapsed_ms),
                (None, Some(seen)) => {
                    self.smoothed.insert(pool.model.clone(), seen);
                }
                (None, None) => {}
            }
        }
    }

    fn rebalance(
        &mut self,
        now: Moment,
        service: ObjectName,
        pools: &[&ModelPool],
        token_gap_us: u64,
    ) -> Option<ShareChange> {
        let tokens = weights_of(&self.smoothed, pools);
        let before = allot(pools, &weights_of(&self.in_force, pools));
        let after = allot(pools, &tokens);
        let moved = moved_engines(&before, &after);
        // Without reports nothing has to pay off. At first, steps in different phases seem to ask for different amounts.
        let is_due = self.known.is_none_or(|(first, _)| {
            now.since(first) >= SMOOTHING_MS
                && pays_off(pools, &tokens, &before, &after, token_gap_us)
        });
        if moved == 0 || !is_due {
            return None;
        }
        for pool in pools {
            match self.smoothed.get(&pool.model) {
                Some(weight) => self.in_force.insert(pool.model.clone(), *weight),
                None => self.in_force.remove(&pool.model),
            };
        }
        let models = pools.iter().enumerate().map(|(index, pool)| ModelShare {
            model: pool.model.clone(),
            tokens: tokens[index] / TOKEN_SCALE,
            before: before[index],
            after: after[index],
        });
        Some(ShareChange {
            service,
            models: models.collect(),
            moved,
        })
    }
}

/// Returns whether new shares differ notably and save more within a few steps than loading weights costs.
///
/// Both sides are times of engines: the shorter time in which the slowest model generates its tokens, and the loads of
/// the engines that change their model.
fn pays_off(
    pools: &[&ModelPool],
    tokens: &[u64],
    before: &[usize],
    after: &[usize],
    token_gap_us: u64,
) -> bool {
    let time_us = |index: usize, sizes: &[usize]| {
        let places = sizes[index] as u64 * u64::from(pools[index].slots) / MODELS_PER_ENGINE as u64;
        (tokens[index] / TOKEN_SCALE).saturating_mul(token_gap_us) / places.max(1)
    };
    let slowest = |sizes: &[usize]| {
        (0..pools.len())
            .map(|index| (time_us(index, sizes), index))
            .max()
    };
    let total: usize = before.iter().sum();
    if moved_engines(before, after) * 100 < total * MIN_CHANGE_PERCENT {
        return false;
    }
    let (Some((before_us, model)), Some((after_us, _))) = (slowest(before), slowest(after)) else {
        return false;
    };
    let saved_us = before_us
        .saturating_sub(after_us)
        .saturating_mul(after[model] as u64);
    let lost_us = moved_engines(before, after) as u64 * MIN_LOAD_MS * 1_000;
    saved_us.saturating_mul(PAYBACK_STEPS) > lost_us
}

/// Distributes as many engines as even shares would have, each to the model with the most tokens for an engine.
fn allot(pools: &[&ModelPool], weights: &[u64]) -> Vec<usize> {
    let even: Vec<usize> = pools.iter().map(|pool| pool.even_share).collect();
    if weights.iter().all(|weight| *weight == weights[0]) {
        return even;
    }
    let total: usize = even.iter().sum();
    let least = |share: &usize| (share * MIN_SHARE_PERCENT).div_ceil(100);
    let mut sizes: Vec<usize> = even.iter().map(least).collect();
    for _ in sizes.iter().sum::<usize>()..total {
        let most = |index: usize| {
            pools[index]
                .candidates
                .min(even[index] * MAX_SHARE_PERCENT / 100)
        };
        let open = (0..pools.len()).filter(|index| sizes[*index] < most(*index));
        // Cross-multiplied, because quotients of whole numbers would tie.
        let neediest = open.max_by(|left, right| {
            let need = |index: usize, other: usize| {
                u128::from(weights[index]) * (sizes[other] as u128 + 1)
            };
            need(*left, *right)
                .cmp(&need(*right, *left))
                .then(right.cmp(left))
        });
        let Some(index) = neediest else { break };
        sizes[index] += 1;
    }
    sizes
}

/// Returns the weight of each pool; an unknown one is the mean of the others.
fn weights_of(known: &SortedMap<ObjectName, u64>, pools: &[&ModelPool]) -> Vec<u64> {
    let weights: Vec<Option<u64>> = pools
        .iter()
        .map(|pool| known.get(&pool.model).copied())
        .collect();
    let count = weights.iter().flatten().count() as u64;
    let mean = weights
        .iter()
        .flatten()
        .sum::<u64>()
        .checked_div(count)
        .unwrap_or(1);
    weights
        .into_iter()
        .map(|weight| weight.unwrap_or(mean))
        .collect()
}

fn moved_engines(before: &[usize], after: &[usize]) -> usize {
    before
        .iter()
        .zip(after)
        .map(|(old, new)| new.saturating_sub(*old))
        .sum()
}

fn services_of(pools: &[ModelPool]) -> Vec<ObjectName> {
    let mut services: Vec<ObjectName> = pools.iter().map(|pool| pool.service.clone()).collect();
    services.sort();
    services.dedup();
    services
}

fn approach(value: u64, seen: u64, elapsed_ms: u64) -> u64 {
    let step = value.abs_diff(seen).saturating_mul(elapsed_ms) / (SMOOTHING_MS + elapsed_ms);
    match seen > value {
        true => value + step,
        false => value - step,
    }
}
