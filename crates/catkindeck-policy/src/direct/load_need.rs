//! The loads that a model needs (`docs/design/placement.md`).
//!
//! Load pattern: trainers whose steps allow weights of different age, and need fewer engines than serve their model.

use {
    super::{
        model_demand::ModelDemand,
        step_demand::StepDemand,
        upstream::{UpstreamKey, UpstreamState},
        upstream_table::UpstreamTable,
        version_split::VersionSplit,
        weights::TargetVersion,
    },
    catkindeck::{Moment, id::ObjectName, token::WeightVersion},
};

/// The weights that an upstream is ordered to load.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightLoadTask {
    pub upstream: UpstreamKey,
    pub model: ObjectName,
    pub version: WeightVersion,
}

/// How a model's engines are split between versions, and the steps from which that follows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StepPlacement {
    pub split: VersionSplit,
    /// `None` if they are unknown.
    pub steps: Option<StepDemand>,
}

/// The loads that a target version still needs.
#[derive(Debug, Clone)]
pub(super) struct LoadNeed {
    /// In the order in which they should start.
    pub(super) tasks: Vec<WeightLoadTask>,
    /// The upstreams that have the target version or load it.
    pub(super) current: usize,
    /// The upstreams that can run the waiting items, now or after a load in progress.
    pub(super) usable: usize,
    /// The number of loads for which items wait.
    pub(super) awaited: usize,
}

impl LoadNeed {
    pub(super) fn new(
        engines: ModelEngines<'_>,
        demand: Option<&ModelDemand>,
        split: &StepPlacement,
    ) -> Self {
        let ModelEngines { table, target, .. } = engines;
        let current = engines.count_usable(target.version);
        let split = engines.raise(split);
        let mut outdated: Vec<(u64, u32, UpstreamKey)> = engines
            .upstreams
            .iter()
            .filter(|key| !is_current(engines.now, table.get(**key), target))
            .map(|key| {
                let state = table.get(*key);
                let version = state.version(&target.model).map_or(0, |version| version.0);
                (version, state.in_flight, *key)
            })
            .collect();
        // The oldest weights are replaced first, and among equal ones those of the least busy upstream.
        outdated.sort_unstable();
        let mut missing = split.current.saturating_sub(current);
        let mut unusable = split
            .usable
            .saturating_sub(engines.count_usable(split.oldest_allowed));
        let mut tasks = Vec::new();
        for (version, _, upstream) in outdated {
            let too_old = version < split.oldest_allowed.0;
            if missing == 0 && (!too_old || unusable == 0) {
                continue;
            }
            missing = missing.saturating_sub(1);
            unusable = unusable.saturating_sub(usize::from(too_old));
            tasks.push(WeightLoadTask {
                upstream,
                model: target.model.clone(),
                version: target.version,
            });
        }
        let usable = demand.map_or(0, |demand| engines.count_usable(demand.least_version));
        let awaited = demand.map_or(0, |demand| engines.filled(u64::from(demand.waiting)));
        Self {
            tasks,
            current,
            usable,
            awaited: awaited.min(split.current.saturating_sub(usable)),
        }
    }
}

/// The upstreams that serve a target's model.
#[derive(Clone, Copy)]
pub(super) struct ModelEngines<'a> {
    pub(super) now: Moment,
    pub(super) table: &'a UpstreamTable,
    pub(super) target: &'a TargetVersion,
    pub(super) upstreams: &'a [UpstreamKey],
}

impl ModelEngines<'_> {
    /// Returns how many upstreams have `version` or a newer one, now or after a load in progress.
    fn count_usable(&self, version: WeightVersion) -> usize {
        let model = &self.target.model;
        let is_usable = |key: &&UpstreamKey| {
            let state = self.table.get(**key);
            state.version(model) >= Some(version) || state.is_loading(self.now, model)
        };
        self.upstreams.iter().filter(is_usable).count()
    }

    /// Returns how many engines a number of items would fill.
    fn filled(&self, items: u64) -> usize {
        let first = self.upstreams.first();
        let slots = first.map_or(1, |key| self.table.get(*key).record.slots);
        usize::try_from(items.div_ceil(u64::from(slots.max(1)))).unwrap_or(usize::MAX)
    }

    /// Returns a split with at least as many engines at each version as the waiting items can use at once.
    fn raise(&self, placement: &StepPlacement) -> VersionSplit {
        let mut split = placement.split;
        let all = self.upstreams.len();
        let Some(steps) = &placement.steps else {
            return split;
        };
        // Items that need a version that is not named yet do not use the named one.
        let needs = steps.needs.iter();
        for need in needs.filter(|need| need.least_version <= self.target.version) {
            let least = need.least_version;
            let waiting = steps.waiting_between(least, self.target.version);
            let filled = self.filled(waiting).min(all);
            if least <= split.oldest_allowed {
                split.usable = split.usable.max(filled);
            } else {
                // Older engines that may run the items as well need no load.
                let older = self.count_usable(least) - self.count_usable(self.target.version);
                split.current = split.current.max(filled.saturating_sub(older));
            }
        }
        split
    }
}

fn is_current(now: Moment, state: &UpstreamState, target: &TargetVersion) -> bool {
    state.version(&target.model) >= Some(target.version) || state.is_loading(now, &target.model)
}
