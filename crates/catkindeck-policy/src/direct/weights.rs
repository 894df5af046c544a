//! Which upstreams load new weights, and when.

use {
    super::{
        upstream::{UpstreamKey, UpstreamState},
        upstream_table::UpstreamTable,
    },
    crate::hash,
    catkindeck::{Moment, id::ObjectName, message, token::WeightVersion},
};

/// How many versions behind the newest one samples may be, by the terms that trainers use.
const ALLOWED_LAG: u64 = 1;

/// A version of a model that the upstreams shall run.
#[message]
pub struct TargetVersion {
    /// The model.
    pub model: ObjectName,
    /// The version.
    pub version: WeightVersion,
}

/// A load of weights to order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadTask {
    /// The upstream.
    pub upstream: UpstreamKey,
    /// The model.
    pub model: ObjectName,
    /// The version.
    pub version: WeightVersion,
}

/// Selects the upstreams that load a named version.
///
/// A model is served by a part of the upstreams, so that the models share all of them evenly. Of a
/// model's upstreams half load each version: the half that was left out the last time. The other
/// half is one version behind, which samples may be, and serves while the loads go on.
#[derive(Debug, Clone, Copy)]
pub struct LoadPlanner {
    /// The number of loads that go on at once without slowing each other down.
    pub max_concurrent: usize,
}

impl LoadPlanner {
    /// Returns the loads to order now.
    pub fn plan(
        &self,
        now: Moment,
        table: &UpstreamTable,
        target: &[TargetVersion],
    ) -> Vec<LoadTask> {
        let loading = target
            .iter()
            .flat_map(|target| table.iter().map(move |(_, state)| (target, state)))
            .filter(|(target, state)| state.is_loading(now, &target.model))
            .count();
        let mut free = self.max_concurrent.saturating_sub(loading);
        let mut tasks: Vec<LoadTask> = Vec::new();
        // Models that are further behind go first, so that one model's loads cannot starve another.
        let mut wanted: Vec<(u64, LoadTask)> = target
            .iter()
            .flat_map(|target| self.wanted(now, table, target, models_per_upstream(target, table)))
            .collect();
        wanted.sort_by_key(|(rank, task)| (*rank, task.upstream));
        for (_, task) in wanted {
            let state = table.get(task.upstream);
            let busy = target
                .iter()
                .any(|target| state.is_loading(now, &target.model))
                || tasks.iter().any(|other| other.upstream == task.upstream);
            if free == 0 || busy {
                continue;
            }
            free -= 1;
            tasks.push(task);
        }
        tasks
    }

    /// Returns the loads that a named version still needs, the most urgent with the lowest rank.
    fn wanted(
        &self,
        now: Moment,
        table: &UpstreamTable,
        target: &TargetVersion,
        model_count: usize,
    ) -> Vec<(u64, LoadTask)> {
        let serving_upstreams = serving_upstreams(table, target, model_count);
        let current = serving_upstreams
            .iter()
            .filter(|(_, state)| is_current(now, state, target))
            .count();
        let goal = serving_upstreams.len().div_ceil(2);
        let least = target.version.0.saturating_sub(ALLOWED_LAG);
        let mut outdated: Vec<(u64, u32, UpstreamKey)> = serving_upstreams
            .iter()
            .filter(|(_, state)| !is_current(now, state, target))
            .map(|(key, state)| {
                let version = state.version(&target.model).map_or(0, |version| version.0);
                (version, state.in_flight, *key)
            })
            .collect();
        // The oldest weights first, and among these the least busy upstream.
        outdated.sort_unstable();
        let mut missing = goal.saturating_sub(current);
        let mut wanted = Vec::new();
        for (version, _, key) in outdated {
            let too_old = version < least;
            if !too_old && missing == 0 {
                continue;
            }
            missing = missing.saturating_sub(1);
            let task = LoadTask {
                upstream: key,
                model: target.model.clone(),
                version: target.version,
            };
            wanted.push((current as u64 + wanted.len() as u64, task));
        }
        wanted
    }
}

/// Returns the number of models that the upstreams of a model run.
fn models_per_upstream(target: &TargetVersion, table: &UpstreamTable) -> usize {
    let model_count = table.iter().filter_map(|(_, state)| {
        let runs = |weights: &super::upstream::ModelWeights| weights.model == target.model;
        state
            .record
            .weights
            .iter()
            .any(runs)
            .then_some(state.record.weights.len())
    });
    model_count.max().unwrap_or(1)
}

/// Returns the upstreams that serve a model: two shares of those that run it, by rendezvous hashing.
///
/// With two shares a model has as many loads for each version as its even part of all upstreams.
fn serving_upstreams<'a>(
    table: &'a UpstreamTable,
    target: &TargetVersion,
    model_count: usize,
) -> Vec<(UpstreamKey, &'a UpstreamState)> {
    let mut candidates: Vec<(UpstreamKey, &UpstreamState)> = table
        .iter()
        .filter(|(key, state)| table.takes_work(*key) && state.version(&target.model).is_some())
        .collect();
    let count = (candidates.len() * 2)
        .div_ceil(model_count.max(1))
        .min(candidates.len());
    candidates.sort_by_key(|(_, state)| {
        let id = state.record.id.as_str().as_bytes();
        hash::digest64(&[target.model.as_str().as_bytes(), id])
    });
    candidates.truncate(count);
    candidates
}

fn is_current(now: Moment, state: &UpstreamState, target: &TargetVersion) -> bool {
    state.version(&target.model) >= Some(target.version) || state.is_loading(now, &target.model)
}
