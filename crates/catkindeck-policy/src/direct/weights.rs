//! Planning of weight loading.

use {
    super::{
        load_need::{LoadNeed, ModelEngines, StepPlacement, WeightLoadTask},
        model_demand::ModelDemand,
        model_shares::ModelPool,
        upstream::{ModelWeights, UpstreamKey, UpstreamState},
        upstream_table::UpstreamTable,
        version_split::VersionSplit,
    },
    crate::hash,
    catkindeck::{Moment, id::ObjectName, message, token::WeightVersion},
    std::collections::BTreeSet,
};

/// The number of versions that a sample may lag behind the newest one, as agreed with trainers. It applies until their
/// steps show otherwise.
pub(super) const MAX_VERSION_LAG: u64 = 1;

/// The number of models that each upstream serves, and thus the number of even shares of the
/// upstreams that serve a model. Half of them load each version, which is one even share.
pub(super) const MODELS_PER_ENGINE: usize = 2;

/// A version of a model that upstreams should run.
#[message]
pub struct TargetVersion {
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

/// The outcome of a planning round.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LoadPlan {
    /// The tasks to order now.
    pub tasks: Vec<WeightLoadTask>,
    /// How often the round looked at a pair of model and upstream, which grows no faster than these.
    pub visited: usize,
}

/// Plans which upstreams load a target version.
///
/// Each model is served by a subset of the upstreams that run it, and each upstream serves two
/// models, so that none is idle while others queue requests of several models. If nothing is known of
/// a trainer's steps, half of a model's upstreams load each version, alternating between the halves.
/// The other half stays one version behind, which the allowed lag permits, and serves requests in the
/// meantime. A [`VersionSplit`] replaces the half by what the steps need.
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
        self.plan_placements(now, table, targets, &placements).tasks
    }

    /// Returns the tasks to order now for placements in the order of the targets, with half of each share for the
    /// named version.
    pub fn plan_placements(
        &self,
        now: Moment,
        table: &UpstreamTable,
        targets: &[TargetVersion],
        placements: &[ModelPlacement],
    ) -> LoadPlan {
        let even = |(target, placement): (&TargetVersion, &ModelPlacement)| StepPlacement {
            split: VersionSplit::even(target, placement.share),
            steps: None,
        };
        let splits: Vec<StepPlacement> = targets.iter().zip(placements).map(even).collect();
        self.plan_splits(now, table, targets, placements, &splits)
    }

    /// Returns the tasks to order now for placements and splits in the order of the targets.
    pub fn plan_splits(
        &self,
        now: Moment,
        table: &UpstreamTable,
        targets: &[TargetVersion],
        placements: &[ModelPlacement],
        splits: &[StepPlacement],
    ) -> LoadPlan {
        let loading = targets
            .iter()
            .flat_map(|target| table.iter().map(move |(_, state)| (target, state)))
            .filter(|(target, state)| state.is_loading(now, &target.model))
            .count();
        let mut round = LoadRound {
            now,
            table,
            targets,
            free: self.max_concurrent.saturating_sub(loading),
            busy: BTreeSet::new(),
            plan: LoadPlan::default(),
        };
        let shares: Vec<usize> = placements.iter().map(|placement| placement.share).collect();
        let mut pairs = UpstreamPairs::new(table, targets);
        let serving = pairs.assign(&shares);
        round.plan.visited = pairs.visited;
        let needs: Vec<LoadNeed> = targets
            .iter()
            .zip(placements.iter().zip(splits))
            .zip(&serving)
            .map(|((target, (placement, split)), upstreams)| {
                let demand = placement.demand.as_ref();
                let engines = ModelEngines {
                    now,
                    table,
                    target,
                    upstreams,
                };
                LoadNeed::new(engines, demand, split)
            })
            .collect();
        round.take_awaited(&needs);
        round.take_missing(&needs);
        round.plan
    }
}

/// The choice of the loads that start now.
struct LoadRound<'a> {
    now: Moment,
    table: &'a UpstreamTable,
    targets: &'a [TargetVersion],
    free: usize,
    /// The upstreams that load weights from now on.
    busy: BTreeSet<UpstreamKey>,
    plan: LoadPlan,
}

impl LoadRound<'_> {
    /// Takes the loads for which items wait; the model with the fewest usable upstreams comes first.
    fn take_awaited(&mut self, needs: &[LoadNeed]) {
        let mut waiting: Vec<(usize, usize, std::slice::Iter<'_, WeightLoadTask>)> = needs
            .iter()
            .map(|need| (need.usable, need.awaited, need.tasks.iter()))
            .collect();
        while self.free > 0 {
            waiting.retain(|(_, awaited, _)| *awaited > 0);
            let Some((usable, awaited, tasks)) =
                waiting.iter_mut().min_by_key(|(usable, _, _)| *usable)
            else {
                return;
            };
            match tasks.find(|task| !self.is_busy(task.upstream)) {
                Some(task) => {
                    (*usable, *awaited) = (*usable + 1, *awaited - 1);
                    self.take(task.clone());
                }
                None => *awaited = 0,
            }
        }
    }

    /// Takes the other loads. Models that are further behind have priority, so that no model starves another.
    fn take_missing(&mut self, needs: &[LoadNeed]) {
        let mut ranked: Vec<(usize, &WeightLoadTask)> = needs
            .iter()
            .flat_map(|need| {
                let tasks = need.tasks.iter().enumerate();
                tasks.map(|(index, task)| (need.current + index, task))
            })
            .collect();
        ranked.sort_by_key(|(rank, task)| (*rank, task.upstream));
        for (_, task) in ranked {
            if self.free == 0 {
                return;
            }
            if !self.is_busy(task.upstream) {
                self.take(task.clone());
            }
        }
    }

    fn take(&mut self, task: WeightLoadTask) {
        self.free -= 1;
        self.busy.insert(task.upstream);
        self.plan.tasks.push(task);
    }

    fn is_busy(&mut self, upstream: UpstreamKey) -> bool {
        self.plan.visited += 1;
        let state = self.table.get(upstream);
        let mut models = self.targets.iter().map(|target| &target.model);
        self.busy.contains(&upstream) || models.any(|model| state.is_loading(self.now, model))
    }
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
pub fn assign_shares(
    table: &UpstreamTable,
    targets: &[TargetVersion],
    shares: &[usize],
) -> Vec<Vec<UpstreamKey>> {
    UpstreamPairs::new(table, targets).assign(shares)
}

/// The pairs of a model and an upstream that runs it, in the order of their rendezvous scores.
struct UpstreamPairs {
    pairs: Vec<(u64, usize, UpstreamKey)>,
    visited: usize,
}

impl UpstreamPairs {
    fn new(table: &UpstreamTable, targets: &[TargetVersion]) -> Self {
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
        Self { pairs, visited: 0 }
    }

    /// Assigns upstreams to models.
    ///
    /// Every process that computes this gets the same result, and few upstreams change when one appears
    /// or leaves: pairs are taken in the order of their scores, as long as the model needs upstreams and the
    /// upstream serves fewer than two models.
    fn assign(&mut self, shares: &[usize]) -> Vec<Vec<UpstreamKey>> {
        let mut missing = shares.to_vec();
        let mut serving = vec![Vec::new(); shares.len()];
        let last = self.pairs.iter().map(|(_, _, key)| key.0 as usize).max();
        let mut served = vec![0_usize; last.map_or(0, |last| last + 1)];
        // Where the shares do not divide evenly, the second round exceeds the limit of an upstream.
        for limit in [MODELS_PER_ENGINE, usize::MAX] {
            self.visited += self.pairs.len();
            self.pairs.retain(|(_, index, key)| {
                let served = &mut served[key.0 as usize];
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
