//! Burn rates as a pure function of samples.

use {
    super::{
        objective::{BurnObjectives, ServiceObjective},
        sample::{BurnSample, CountPair},
    },
    catkindeck::{SortedMap, record},
};

/// The burn in one window.
#[record]
#[derive(Copy)]
pub struct WindowBurn {
    /// The length of the window, in milliseconds.
    pub window_ms: u64,
    /// The part of it that samples cover, in milliseconds.
    pub covered_ms: u64,
    /// The events.
    pub total: u64,
    /// The bad events.
    pub bad: u64,
    /// The burn rate, or `None` without events.
    pub rate: Option<f64>,
}

/// Whether an objective burns.
#[record]
#[derive(Copy, Eq)]
#[serde(rename_all = "snake_case")]
pub enum BurnState {
    /// Neither pair of windows exceeds its limit.
    Fine,
    /// Both windows of a pair exceed its limit.
    Burning,
    /// There are no events to judge by.
    NoData,
}

/// The burn of an objective in one pair of windows.
#[record]
pub struct ObjectiveBurn {
    /// The objective.
    pub objective: String,
    /// The pair of windows.
    pub windows: String,
    /// The limit of the pair.
    pub burn_limit: f64,
    /// The short window.
    pub short: WindowBurn,
    /// The long window.
    pub long: WindowBurn,
    /// Whether the objective burns.
    pub state: BurnState,
}

/// Returns the burn of every objective in every pair of windows that ends at `now_ms`.
///
/// `samples` are in the order of their times.
pub fn burn_rates(
    objectives: &BurnObjectives,
    samples: &[BurnSample],
    now_ms: u64,
) -> Vec<ObjectiveBurn> {
    let pairs = objectives.objectives.iter().flat_map(|objective| {
        objectives
            .windows
            .iter()
            .map(move |windows| (objective, windows))
    });
    let burns = pairs.map(|(objective, windows)| {
        let short = window_burn(objective, samples, now_ms, windows.short_ms);
        let long = window_burn(objective, samples, now_ms, windows.long_ms);
        let state = match (short.rate, long.rate) {
            (Some(short), Some(long)) => {
                let burning = short > windows.burn_limit && long > windows.burn_limit;
                if burning {
                    BurnState::Burning
                } else {
                    BurnState::Fine
                }
            }
            // Events only before the short window: what burned has stopped.
            (None, Some(_)) => BurnState::Fine,
            (_, None) => BurnState::NoData,
        };
        ObjectiveBurn {
            objective: objective.name.clone(),
            windows: windows.name.clone(),
            burn_limit: windows.burn_limit,
            short,
            long,
            state,
        }
    });
    burns.collect()
}

/// Returns the burn rates of a window at each of these times, for plots.
pub fn burn_series(
    objective: &ServiceObjective,
    samples: &[BurnSample],
    window_ms: u64,
    times: &[u64],
) -> Vec<(u64, f64)> {
    let rates = times.iter().filter_map(|time| {
        let burn = window_burn(objective, samples, *time, window_ms);
        Some((*time, burn.rate?))
    });
    rates.collect()
}

/// The samples of one source at the start of a window and its increase since.
#[derive(Clone, Copy)]
struct SourceIncrease {
    start_ms: u64,
    last: CountPair,
    increase: CountPair,
}

fn window_burn(
    objective: &ServiceObjective,
    samples: &[BurnSample],
    now_ms: u64,
    window_ms: u64,
) -> WindowBurn {
    let start_ms = now_ms.saturating_sub(window_ms);
    let mut sources: SortedMap<&str, SourceIncrease> = SortedMap::new();
    for sample in samples.iter().take_while(|sample| sample.at_ms <= now_ms) {
        let Some(pair) = sample.counts.get(&objective.name) else {
            continue;
        };
        let first = SourceIncrease {
            start_ms: sample.at_ms,
            last: *pair,
            increase: CountPair::default(),
        };
        let source = sources.get_or_insert_with(&sample.source, || first);
        if sample.at_ms <= start_ms {
            // The last sample before the window is where its increase starts.
            *source = first;
            continue;
        }
        let step = increase(source.last, *pair);
        source.increase.good = source.increase.good.saturating_add(step.good);
        source.increase.total = source.increase.total.saturating_add(step.total);
        source.last = *pair;
    }
    let total = sources.values().map(|source| source.increase.total).sum();
    let good: u64 = sources.values().map(|source| source.increase.good).sum();
    let covered_ms = sources
        .values()
        .map(|source| now_ms.saturating_sub(source.start_ms))
        .max();
    // A page is not read at one instant, so `good` can run ahead of `total` by a few events.
    let bad = u64::saturating_sub(total, good);
    WindowBurn {
        window_ms,
        covered_ms: covered_ms.unwrap_or(0).min(window_ms),
        total,
        bad,
        rate: (total > 0).then(|| bad as f64 / total as f64 / objective.allowance),
    }
}

/// Returns the increase between two samples; a process that restarted counts from zero again.
fn increase(before: CountPair, after: CountPair) -> CountPair {
    if after.total < before.total || after.good < before.good {
        return after;
    }
    CountPair {
        good: after.good - before.good,
        total: after.total - before.total,
    }
}
