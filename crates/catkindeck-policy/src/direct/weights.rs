//! Planning of weight loading.

use {
    super::{
        upstream::{UpstreamKey, UpstreamState},
        upstream_table::UpstreamTable,
    },
    crate::hash,
    catkindeck::{Moment, SortedMap, id::ObjectName, message, token::WeightVersion},
};

/// The number of versions that a sample may lag behind the newest one, as agreed with trainers.
const MAX_VERSION_LAG: u64 = 1;

/// The number of models that each upstream serves, and thus the number of even shares of the
/// upstreams that serve a model. Half of them load each version, which is one even share.
const SHARES: usize = 2;

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
/// Each model is served by a subset of the upstreams that run it, and each upstream serves two
/// models, so that none is idle while others queue requests of several models. Half of a model's
/// upstreams load each version, alternating between the halves. The other half stays one version
/// behind, which the allowed lag permits, and serves requests in the meantime.
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
        let serving = assign_upstreams(table, targets);
        let mut needed: Vec<(u64, WeightLoadTask)> = targets
            .iter()
            .zip(&serving)
            .flat_map(|(target, upstreams)| pending_tasks(now, table, target, upstreams))
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
}

/// Returns the tasks that a target version still needs, each with its rank; the lowest rank is the
/// most urgent.
fn pending_tasks(
    now: Moment,
    table: &UpstreamTable,
    target: &TargetVersion,
    upstreams: &[UpstreamKey],
) -> Vec<(u64, WeightLoadTask)> {
    let is_current = |key: &&UpstreamKey| is_current(now, table.get(**key), target);
    let current = upstreams.iter().filter(is_current).count();
    let goal = upstreams.len().div_ceil(2);
    let oldest_allowed = target.version.0.saturating_sub(MAX_VERSION_LAG);
    let mut outdated: Vec<(u64, u32, UpstreamKey)> = upstreams
        .iter()
        .filter(|key| !is_current(key))
        .map(|key| {
            let state = table.get(*key);
            let version = state.version(&target.model).map_or(0, |version| version.0);
            (version, state.in_flight, *key)
        })
        .collect();
    // The oldest weights are replaced first, and among equal ones those of the least busy upstream.
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

/// Returns the upstreams that serve each target's model, in the order of the targets.
///
/// Every process that computes this gets the same result, and few upstreams change when one appears
/// or leaves: pairs of a model and an upstream are taken in the order of their rendezvous scores, as
/// long as the model needs upstreams and the upstream serves fewer than two models.
pub fn assign_upstreams(table: &UpstreamTable, targets: &[TargetVersion]) -> Vec<Vec<UpstreamKey>> {
    let mut pairs: Vec<(u64, usize, UpstreamKey)> = Vec::new();
    let mut missing: Vec<usize> = Vec::with_capacity(targets.len());
    for (index, target) in targets.iter().enumerate() {
        let runs = |(key, state): &(UpstreamKey, &UpstreamState)| {
            table.accepts_work(*key) && state.version(&target.model).is_some()
        };
        let known = pairs.len();
        pairs.extend(table.iter().filter(runs).map(|(key, state)| {
            let id = state.record.id.as_str().as_bytes();
            let score = hash::digest64(&[target.model.as_str().as_bytes(), id]);
            (score, index, key)
        }));
        let candidates = pairs.len() - known;
        let model_count = models_per_upstream(target, table);
        let count = (candidates * SHARES).div_ceil(model_count.max(1));
        missing.push(count.min(candidates));
    }
    pairs.sort_unstable();
    let mut serving = vec![Vec::new(); targets.len()];
    let mut models: SortedMap<UpstreamKey, usize> = SortedMap::new();
    // Where the shares do not divide evenly, the second round exceeds the limit of an upstream.
    for limit in [SHARES, usize::MAX] {
        pairs.retain(|(_, index, key)| {
            let served = models.get_or_insert_with(*key, || 0);
            if missing[*index] == 0 || *served >= limit {
                return true;
            }
            *served += 1;
            missing[*index] -= 1;
            serving[*index].push(*key);
            false
        });
    }
    serving
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

fn is_current(now: Moment, state: &UpstreamState, target: &TargetVersion) -> bool {
    state.version(&target.model) >= Some(target.version) || state.is_loading(now, &target.model)
}
