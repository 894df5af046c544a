//! How many engines of a model load a version, and how many stay behind (`docs/design/placement.md`).
//!
//! Load pattern: trainers whose steps allow weights of different age, and need fewer engines than serve their model.

use {
    super::{
        load_time::MIN_LOAD_MS,
        model_demand::ModelDemand,
        model_shares::{ModelPool, SHARE_HOLD_MS},
        step_demand::StepDemand,
        weights::{MAX_VERSION_LAG, MODELS_PER_ENGINE, TargetVersion},
    },
    catkindeck::{Moment, SortedMap, id::ObjectName, token::WeightVersion},
    std::collections::VecDeque,
};

/// The number of steps of whose lags the median counts. A single one is wrong if the report is late, so that a version
/// was named since, or if this process learns of the named version after the step that asks for it.
const LAG_STEPS: usize = 5;

/// The greatest lag that is taken into account, in versions, so that a wrong step can't stop the loads of a model.
const LAG_LIMIT: u64 = 4;

/// The time over which the greatest number of items in sight is taken, in milliseconds. It covers a few steps.
const PEAK_MS: u64 = 10_000;

/// The reserve above the greatest number of items in sight, in percent, so that noise does not raise it again and again.
const RESERVE_PERCENT: u64 = 10;

/// The number of items falls if it is less by at least this share, in percent; otherwise each step would change it.
const MIN_FALL_PERCENT: u64 = 10;

/// How many engines of a model should have which versions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VersionSplit {
    /// The oldest version that the step after the named version will allow.
    pub oldest_allowed: WeightVersion,
    /// The engines that should have this version or a newer one.
    pub usable: usize,
    /// The engines that should have the named version.
    pub current: usize,
}

impl VersionSplit {
    /// Returns the split if nothing is known of the steps: all engines are usable, and half of them load each version.
    pub fn even(target: &TargetVersion, share: usize) -> Self {
        Self::with_lag(target, share, MAX_VERSION_LAG)
    }

    /// An engine serves as many versions as the lag allows before it must load again.
    fn with_lag(target: &TargetVersion, usable: usize, lag: u64) -> Self {
        let lag = lag.min(LAG_LIMIT);
        Self {
            oldest_allowed: WeightVersion(target.version.0.saturating_sub(lag)),
            usable,
            current: usable.div_ceil(lag as usize + 1),
        }
    }
}

/// A change of the split of one model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SplitChange {
    pub model: ObjectName,
    /// The number of items in sight from which the split follows.
    pub items: u64,
    /// The number of versions by which the weights of a step may be older than the named one.
    pub lag: u64,
}

/// What the steps of one trainer have shown.
#[derive(Debug, Clone)]
struct StepRecord {
    /// The oldest version that the newest step allows.
    newest_least: WeightVersion,
    /// By how much the weights of the last steps could lag behind the version that was named when they were asked for.
    lags: VecDeque<u64>,
    /// The items in sight that the split follows.
    items: u64,
    /// The greatest number of items seen since a moment.
    peak: (Moment, u64),
    seen: Moment,
    /// What the last change was, to tell the next one.
    told: Option<(u64, u64)>,
}

impl StepRecord {
    fn new(now: Moment) -> Self {
        Self {
            newest_least: WeightVersion(0),
            // The first steps need no named version, and a new leader may not know the newest one yet.
            lags: VecDeque::from([MAX_VERSION_LAG; 2]),
            items: 0,
            peak: (now, 0),
            seen: now,
            told: None,
        }
    }

    fn lag(&self) -> u64 {
        let mut lags: Vec<u64> = self.lags.iter().copied().collect();
        lags.sort_unstable();
        // Of two in the middle the lesser one, with which a step finds more engines.
        let median = lags.get(lags.len().saturating_sub(1) / 2).copied();
        median.unwrap_or(MAX_VERSION_LAG).min(LAG_LIMIT)
    }

    fn record_step(&mut self, target: &TargetVersion, newest_least: WeightVersion) {
        if newest_least <= self.newest_least {
            return;
        }
        self.newest_least = newest_least;
        if self.lags.len() == LAG_STEPS {
            self.lags.pop_front();
        }
        self.lags
            .push_back(target.version.0.saturating_sub(newest_least.0));
    }

    fn record_items(&mut self, now: Moment, items: u64) {
        self.peak.1 = self.peak.1.max(items);
        let with_reserve = |items: u64| items.saturating_mul(100 + RESERVE_PERCENT).div_ceil(100);
        if items > self.items {
            self.items = with_reserve(items);
            self.peak = (now, items);
        } else if now.since(self.peak.0) >= PEAK_MS {
            let lower = with_reserve(self.peak.1);
            if lower.saturating_mul(100) < self.items.saturating_mul(100 - MIN_FALL_PERCENT) {
                self.items = lower;
            }
            self.peak = (now, items);
        }
    }
}

/// Splits the engines of each model between versions by what its trainer's steps need.
///
/// Models without recent reports keep the even split.
#[derive(Debug, Clone, Default)]
pub struct SplitBalance {
    records: SortedMap<ObjectName, StepRecord>,
}

impl SplitBalance {
    /// Takes the steps of each target's trainer into account, in the order of the targets, and returns the changes.
    pub fn update(
        &mut self,
        now: Moment,
        targets: &[TargetVersion],
        steps: &[Option<StepDemand>],
        demands: &[Option<ModelDemand>],
    ) -> Vec<SplitChange> {
        self.records.retain(|model, record| {
            now.since(record.seen) <= SHARE_HOLD_MS
                && targets.iter().any(|target| target.model == *model)
        });
        let mut changes = Vec::new();
        for ((target, step), demand) in targets.iter().zip(steps).zip(demands) {
            let Some(step) = step else { continue };
            let new = || StepRecord::new(now);
            let record = self.records.get_or_insert_with(target.model.clone(), new);
            record.seen = now;
            record.record_step(target, step.newest_least);
            let text_ms = demand
                .as_ref()
                .map_or(0, |demand| text_ms(demand, step.step_items));
            record.record_items(now, paying_items(step, text_ms, record.lag()));
            let told = (record.items, record.lag());
            if record.told != Some(told) {
                record.told = Some(told);
                changes.push(SplitChange {
                    model: target.model.clone(),
                    items: told.0,
                    lag: told.1,
                });
            }
        }
        changes
    }

    /// Returns the split of each target's engines; `shares` are their numbers.
    pub fn splits(
        &self,
        targets: &[TargetVersion],
        pools: &[ModelPool],
        shares: &[usize],
    ) -> Vec<VersionSplit> {
        let split = |((target, pool), share): ((&TargetVersion, &ModelPool), &usize)| {
            let Some(record) = self.records.get(&target.model) else {
                return VersionSplit::even(target, *share);
            };
            // Each engine's places are shared by the models that it serves.
            let places = u64::from(pool.slots.max(1));
            let engines = record.items.saturating_mul(MODELS_PER_ENGINE as u64);
            let engines = usize::try_from(engines.div_ceil(places)).unwrap_or(usize::MAX);
            VersionSplit::with_lag(target, engines.clamp(1, (*share).max(1)), record.lag())
        };
        targets.iter().zip(pools).zip(shares).map(split).collect()
    }
}

/// Returns the items in sight for which loads pay off.
///
/// With `n` engines, a step whose items do not fit at once takes `items * text / places`. One more engine saves the
/// others together as much time as the step takes, in each version that its weights serve. It loses the time of a load.
/// So all engines pay off while a step takes longer than a load for each of these versions, and with shorter texts as
/// many as make it take so long.
fn paying_items(step: &StepDemand, text_ms: u64, lag: u64) -> u64 {
    let items = step.items_in_sight();
    if text_ms == 0 {
        return items;
    }
    let saved_ms = text_ms.saturating_mul(lag + 1);
    let lost_ms = step.load_ms.max(MIN_LOAD_MS);
    items
        .saturating_mul(saved_ms.min(lost_ms))
        .div_ceil(lost_ms)
}

/// Returns the time of a usual text in milliseconds; zero if it is unknown.
fn text_ms(demand: &ModelDemand, step_items: u32) -> u64 {
    let tokens = demand.step_tokens / u64::from(step_items.max(1));
    tokens.saturating_mul(demand.token_gap_us) / 1_000
}
