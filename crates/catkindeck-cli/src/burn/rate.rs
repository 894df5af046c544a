//! Burn rates as a pure function of samples.

use {
    super::{
        objective::{BurnObjectives, ServiceObjective},
        sample::{BurnSample, EventCounts},
    },
    catkindeck::{SortedMap, record},
};

/// The burn rate in one window and the counts behind it.
#[record]
#[derive(Copy)]
pub struct WindowBurn {
    /// The length of the window, in milliseconds.
    pub window_ms: u64,
    /// The part of the window that samples cover, in milliseconds.
    pub covered_ms: u64,
    /// The number of events.
    pub total: u64,
    /// The number of bad events.
    pub bad: u64,
    /// The burn rate, or `None` without events.
    pub rate: Option<f64>,
}

#[record]
#[derive(Copy, Eq)]
#[serde(rename_all = "snake_case")]
pub enum BurnState {
    /// At least one window of the pair does not exceed the limit.
    Fine,
    /// Both windows of the pair exceed the limit.
    Burning,
    /// There are no events in the long window.
    NoData,
}

/// The burn of an objective in one window pair.
#[record]
pub struct ObjectiveBurn {
    /// The name of the objective.
    pub objective: String,
    /// The name of the window pair.
    pub windows: String,
    /// The limit of the window pair.
    pub burn_limit: f64,
    pub short: WindowBurn,
    pub long: WindowBurn,
    pub state: BurnState,
}

/// Returns the burn of every objective in every window pair that ends at `now_ms`.
///
/// `samples` must be sorted by time.
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
            // Without events in the short window, nothing shows that the failures continue.
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

/// Returns the burn rates of a window that ends at each of the given times, for plots.
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

/// The last counts of one source and their increase since the start of a window.
#[derive(Clone, Copy)]
struct SourceIncrease {
    baseline_ms: u64,
    last: EventCounts,
    increase: EventCounts,
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
        let Some(counts) = sample.counts.get(&objective.name) else {
            continue;
        };
        let baseline = SourceIncrease {
            baseline_ms: sample.at_ms,
            last: *counts,
            increase: EventCounts::default(),
        };
        let source = sources.get_or_insert_with(&sample.source, || baseline);
        if sample.at_ms <= start_ms {
            // The last sample before the window is the baseline for its increase.
            *source = baseline;
            continue;
        }
        let added = increase(source.last, *counts);
        source.increase.good = source.increase.good.saturating_add(added.good);
        source.increase.total = source.increase.total.saturating_add(added.total);
        source.last = *counts;
    }
    let total = sources.values().map(|source| source.increase.total).sum();
    let good: u64 = sources.values().map(|source| source.increase.good).sum();
    let covered_ms = sources
        .values()
        .map(|source| now_ms.saturating_sub(source.baseline_ms))
        .max();
    // A metrics page is not an atomic snapshot, so `good` can exceed `total` slightly.
    let bad = u64::saturating_sub(total, good);
    WindowBurn {
        window_ms,
        covered_ms: covered_ms.unwrap_or(0).min(window_ms),
        total,
        bad,
        rate: (total > 0).then(|| bad as f64 / total as f64 / objective.error_budget),
    }
}

/// Returns the increase between two samples; after a restart, counters start at zero again.
fn increase(before: EventCounts, after: EventCounts) -> EventCounts {
    if after.total < before.total || after.good < before.good {
        return after;
    }
    EventCounts {
        good: after.good - before.good,
        total: after.total - before.total,
    }
}
