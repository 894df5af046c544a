//! Planning of weight loading.

use {
    super::{
        model_demand::ModelDemand,
        model_shares::ModelPool,
        upstream::{ModelWeights, UpstreamKey, UpstreamState},
        upstream_table::UpstreamTable,
    },
    crate::hash,
    catkindeck::{Moment, SortedMap, id::ObjectName, message, token::WeightVersion},
};

/// The number of versions that a sample may lag behind the newest one, as agreed with trainers.
const MAX_VERSION_LAG: u64 = 1;

/// The number of models that each upstream serves, and thus the number of even shares of the
/// upstreams that serve a model. Half of them load each version, which is one even share.
pub(super) const MODELS_PER_ENGINE: usize = 2;

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

/// How many upstreams should serve a target's model, and what waits for them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelPlacement {
    pub share: usize,
    /// The demand for the model; `None` if it is unknown.
    pub demand: Option<ModelDemand>,
}

/// The order in which loads start; the smallest comes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum LoadRank {
    /// Items wait for engines of their version. The model with the fewest such engines comes first.
    Awaited(usize),
    /// The model with the fewest engines of its target version comes first, so that no model starves another.
    Ahead(usize),
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
    /// Returns the tasks to order now, with even shares.
    pub fn plan(
        &self,
        now: Moment,
        table: &UpstreamTable,
        targets: &[TargetVersion],
    ) -> Vec<WeightLoadTask> {
        let pools = model_pools(table, targets);
        let placements: Vec<ModelPlacement> = pools.iter().map(even_placement).collect();
        self.plan_placements(now, table, targets, &placements)
    }

    /// Returns the tasks to order now for placements in the order of the targets.
    pub fn plan_placements(
        &self,
        now: Moment,
        table: &UpstreamTable,
        targets: &[TargetVersion],
        placements: &[ModelPlacement],
    ) -> Vec<WeightLoadTask> {
        let loading = targets
            .iter()
            .flat_map(|target| table.iter().map(move |(_, state)| (target, state)))
            .filter(|(target, state)| state.is_loading(now, &target.model))
            .count();
        let mut free = self.max_concurrent.saturating_sub(loading);
        let mut tasks: Vec<WeightLoadTask> = Vec::new();
        let shares: Vec<usize> = placements.iter().map(|placement| placement.share).collect();
        let serving = assign_shares(table, targets, &shares);
        let mut needed: Vec<(LoadRank, WeightLoadTask)> = targets
            .iter()
            .zip(placements)
            .zip(&serving)
            .flat_map(|((target, placement), upstreams)| {
                let demand = placement.demand.as_ref();
                pending_tasks(now, table, target, demand, upstreams)
            })
            .collect();
        needed.sort_by_key(|(rank, task)| (*rank, task.upstream));
        for (_, task) in needed {
            if free == 0 {
                break;
            }
            let state = table.get(task.upstream);
            let busy = targets
                .iter()
                .any(|target| state.is_loading(now, &target.model))
                || tasks.iter().any(|other| other.upstream == task.upstream);
            if busy {
                continue;
            }
            free -= 1;
            tasks.push(task);
        }
        tasks
    }
}

/// Returns the tasks that a target version still needs, each with its rank.
fn pending_tasks(
    now: Moment,
    table: &UpstreamTable,
    target: &TargetVersion,
    demand: Option<&ModelDemand>,
    upstreams: &[UpstreamKey],
) -> Vec<(LoadRank, WeightLoadTask)> {
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
    let usable = demand.map_or(0, |demand| {
        usable_engines(now, table, target, demand, upstreams)
    });
    let awaited = demand.map_or(0, |demand| {
        awaited_engines(table, demand, upstreams).min(goal.saturating_sub(usable))
    });
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
        let rank = match needed.len() < awaited {
            true => LoadRank::Awaited(usable + needed.len()),
            false => LoadRank::Ahead(current + needed.len()),
        };
        needed.push((rank, task));
    }
    needed
}

/// Returns how many upstreams can run the waiting items, now or after a load in progress.
fn usable_engines(
    now: Moment,
    table: &UpstreamTable,
    target: &TargetVersion,
    demand: &ModelDemand,
    upstreams: &[UpstreamKey],
) -> usize {
    let is_usable = |key: &&UpstreamKey| {
        let state = table.get(**key);
        state.version(&target.model) >= Some(demand.least_version)
            || state.is_loading(now, &target.model)
    };
    upstreams.iter().filter(is_usable).count()
}

/// Returns how many engines the waiting items would fill.
fn awaited_engines(
    table: &UpstreamTable,
    demand: &ModelDemand,
    upstreams: &[UpstreamKey],
) -> usize {
    let slots = upstreams
        .first()
        .map_or(1, |key| table.get(*key).record.slots);
    demand.waiting.div_ceil(slots.max(1)) as usize
}

/// Returns the engines that run each target's model, in the order of the targets.
pub fn model_pools(table: &UpstreamTable, targets: &[TargetVersion]) -> Vec<ModelPool> {
    let pool = |target: &TargetVersion| {
        let mut candidates = 0;
        let mut models = 1;
        let mut first: Option<&UpstreamState> = None;
        for (key, state) in table.iter() {
            if runs_model(state, &target.model) {
                models = models.max(state.record.weights.len());
            }
            if is_candidate(table, key, state, target) {
                candidates += 1;
                first = first.or(Some(state));
            }
        }
        ModelPool {
            model: target.model.clone(),
            service: first.map_or_else(
                || target.model.clone(),
                |state| state.record.service.clone(),
            ),
            candidates,
            even_share: (candidates * MODELS_PER_ENGINE)
                .div_ceil(models)
                .min(candidates),
            slots: first.map_or(1, |state| state.record.slots),
        }
    };
    targets.iter().map(pool).collect()
}

/// Returns the upstreams that serve each target's model if all models share alike, in the order of the targets.
pub fn assign_upstreams(table: &UpstreamTable, targets: &[TargetVersion]) -> Vec<Vec<UpstreamKey>> {
    let pools = model_pools(table, targets);
    let shares: Vec<usize> = pools.iter().map(|pool| pool.even_share).collect();
    assign_shares(table, targets, &shares)
}

/// Returns the upstreams that serve each target's model, in the order of the targets; `shares` are their numbers.
///
/// Every process that computes this gets the same result, and few upstreams change when one appears
/// or leaves: pairs of a model and an upstream are taken in the order of their rendezvous scores, as
/// long as the model needs upstreams and the upstream serves fewer than two models.
pub fn assign_shares(
    table: &UpstreamTable,
    targets: &[TargetVersion],
    shares: &[usize],
) -> Vec<Vec<UpstreamKey>> {
    let mut pairs: Vec<(u64, usize, UpstreamKey)> = Vec::new();
    for (index, target) in targets.iter().enumerate() {
        let candidates = table
            .iter()
            .filter(|(key, state)| is_candidate(table, *key, state, target));
        pairs.extend(candidates.map(|(key, state)| {
            let id = state.record.id.as_str().as_bytes();
            let score = hash::digest64(&[target.model.as_str().as_bytes(), id]);
            (score, index, key)
        }));
    }
    pairs.sort_unstable();
    let mut missing = shares.to_vec();
    let mut serving = vec![Vec::new(); targets.len()];
    let mut models: SortedMap<UpstreamKey, usize> = SortedMap::new();
    // Where the shares do not divide evenly, the second round exceeds the limit of an upstream.
    for limit in [MODELS_PER_ENGINE, usize::MAX] {
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

/// Returns how many upstreams have weights that the allowed lag permits for the target's next step.
pub fn current_engines(table: &UpstreamTable, target: &TargetVersion) -> usize {
    let oldest_allowed = WeightVersion(target.version.0.saturating_sub(MAX_VERSION_LAG));
    let is_current = |(key, state): &(UpstreamKey, &UpstreamState)| {
        table.accepts_work(*key) && state.version(&target.model) >= Some(oldest_allowed)
    };
    table.iter().filter(is_current).count()
}

fn even_placement(pool: &ModelPool) -> ModelPlacement {
    ModelPlacement {
        share: pool.even_share,
        demand: None,
    }
}

fn is_candidate(
    table: &UpstreamTable,
    key: UpstreamKey,
    state: &UpstreamState,
    target: &TargetVersion,
) -> bool {
    table.accepts_work(key) && state.version(&target.model).is_some()
}

fn runs_model(state: &UpstreamState, model: &ObjectName) -> bool {
    state
        .record
        .weights
        .iter()
        .any(|weights: &ModelWeights| weights.model == *model)
}

fn is_current(now: Moment, state: &UpstreamState, target: &TargetVersion) -> bool {
    state.version(&target.model) >= Some(target.version) || state.is_loading(now, &target.model)
}
