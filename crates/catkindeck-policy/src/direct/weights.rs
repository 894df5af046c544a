//! Planning of weight loading.

use {
    super::{
        upstream::{UpstreamKey, UpstreamState},
        upstream_table::UpstreamTable,
    },
    crate::hash,
    catkindeck::{Moment, id::ObjectName, message, token::WeightVersion},
};

/// The number of versions that a sample may lag behind the newest one, as agreed with trainers.
const MAX_VERSION_LAG: u64 = 1;

/// A version of a model that upstreams should run.
#[message]
pub struct TargetVersion {
    pub model: ObjectName,
    pub version: WeightVersion,
}

/// The weights that an upstream is ordered to load.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightLoadTask {
    pub upstream: UpstreamKey,
    pub model: ObjectName,
    pub version: WeightVersion,
}

/// Plans which upstreams load a target version.
///
/// Each model is served by a subset of the upstreams that run it, so that the models share the
/// upstreams evenly. Half of a model's upstreams load each version, alternating between the halves.
/// The other half stays one version behind, which the allowed lag permits, and serves requests in
/// the meantime.
#[derive(Debug, Clone, Copy)]
pub struct WeightLoadPlanner {
    /// The number of upstreams that can load weights concurrently without slowing each other down.
    pub max_concurrent: usize,
}

impl WeightLoadPlanner {
    /// Returns the tasks to order now.
    pub fn plan(
        &self,
        now: Moment,
        table: &UpstreamTable,
        targets: &[TargetVersion],
    ) -> Vec<WeightLoadTask> {
        let loading = targets
            .iter()
            .flat_map(|target| table.iter().map(move |(_, state)| (target, state)))
            .filter(|(target, state)| state.is_loading(now, &target.model))
            .count();
        let mut free = self.max_concurrent.saturating_sub(loading);
        let mut tasks: Vec<WeightLoadTask> = Vec::new();
        // Models that are further behind have priority, so that no model starves another.
        let mut needed: Vec<(u64, WeightLoadTask)> = targets
            .iter()
            .flat_map(|target| {
                self.pending_tasks(now, table, target, models_per_upstream(target, table))
            })
            .collect();
        needed.sort_by_key(|(rank, task)| (*rank, task.upstream));
        for (_, task) in needed {
            let state = table.get(task.upstream);
            let busy = targets
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

    /// Returns the tasks that a target version still needs, each with its rank; the lowest rank is
    /// the most urgent.
    fn pending_tasks(
        &self,
        now: Moment,
        table: &UpstreamTable,
        target: &TargetVersion,
        model_count: usize,
    ) -> Vec<(u64, WeightLoadTask)> {
        let serving_upstreams = serving_upstreams(table, target, model_count);
        let current = serving_upstreams
            .iter()
            .filter(|(_, state)| is_current(now, state, target))
            .count();
        let goal = serving_upstreams.len().div_ceil(2);
        let oldest_allowed = target.version.0.saturating_sub(MAX_VERSION_LAG);
        let mut outdated: Vec<(u64, u32, UpstreamKey)> = serving_upstreams
            .iter()
            .filter(|(_, state)| !is_current(now, state, target))
            .map(|(key, state)| {
                let version = state.version(&target.model).map_or(0, |version| version.0);
                (version, state.in_flight, *key)
            })
            .collect();
        // The oldest weights are replaced first, and among equal ones those of the least busy
        // upstream.
        outdated.sort_unstable();
        let mut missing = goal.saturating_sub(current);
        let mut needed = Vec::new();
        for (version, _, key) in outdated {
            let too_old = version < oldest_allowed;
            if !too_old && missing == 0 {
                continue;
            }
            missing = missing.saturating_sub(1);
            let task = WeightLoadTask {
                upstream: key,
                model: target.model.clone(),
                version: target.version,
            };
            needed.push((current as u64 + needed.len() as u64, task));
        }
        needed
    }
}

/// Returns the number of models on each upstream that runs the target's model.
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

/// Returns the upstreams that serve a model, chosen by rendezvous hashing.
///
/// They are two shares of the upstreams that run the model. Since half of them load each version,
/// each version is loaded by one even share.
fn serving_upstreams<'a>(
    table: &'a UpstreamTable,
    target: &TargetVersion,
    model_count: usize,
) -> Vec<(UpstreamKey, &'a UpstreamState)> {
    let mut candidates: Vec<(UpstreamKey, &UpstreamState)> = table
        .iter()
        .filter(|(key, state)| table.accepts_work(*key) && state.version(&target.model).is_some())
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
