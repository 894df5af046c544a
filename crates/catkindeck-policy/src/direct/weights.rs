//! Which upstreams load new weights, and when.

use {
    super::{
        roster::UpstreamTable,
        upstream::{UpstreamKey, UpstreamState},
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
        roster: &UpstreamTable,
        named: &[TargetVersion],
    ) -> Vec<LoadTask> {
        let loading = named
            .iter()
            .flat_map(|named| roster.iter().map(move |(_, state)| (named, state)))
            .filter(|(named, state)| state.is_loading(now, &named.model))
            .count();
        let mut room = self.max_concurrent.saturating_sub(loading);
        let mut tasks: Vec<LoadTask> = Vec::new();
        // Models that are further behind go first, so that one model's loads cannot starve another.
        let mut wanted: Vec<(u64, LoadTask)> = named
            .iter()
            .flat_map(|named| self.wanted(now, roster, named, named_count(named, roster)))
            .collect();
        wanted.sort_by_key(|(rank, task)| (*rank, task.upstream));
        for (_, task) in wanted {
            let state = roster.get(task.upstream);
            let busy = named
                .iter()
                .any(|named| state.is_loading(now, &named.model))
                || tasks.iter().any(|other| other.upstream == task.upstream);
            if room == 0 || busy {
                continue;
            }
            room -= 1;
            tasks.push(task);
        }
        tasks
    }

    /// Returns the loads that a named version still needs, the most urgent with the lowest rank.
    fn wanted(
        &self,
        now: Moment,
        roster: &UpstreamTable,
        named: &TargetVersion,
        models: usize,
    ) -> Vec<(u64, LoadTask)> {
        let members = members(roster, named, models);
        let current = members
            .iter()
            .filter(|(_, state)| is_current(now, state, named))
            .count();
        let target = members.len().div_ceil(2);
        let least = named.version.0.saturating_sub(ALLOWED_LAG);
        let mut behind: Vec<(u64, u32, UpstreamKey)> = members
            .iter()
            .filter(|(_, state)| !is_current(now, state, named))
            .map(|(key, state)| {
                let version = state.version(&named.model).map_or(0, |version| version.0);
                (version, state.in_flight, *key)
            })
            .collect();
        // The oldest weights first, and among these the least busy upstream.
        behind.sort_unstable();
        let mut missing = target.saturating_sub(current);
        let mut wanted = Vec::new();
        for (version, _, key) in behind {
            let useless = version < least;
            if !useless && missing == 0 {
                continue;
            }
            missing = missing.saturating_sub(1);
            let task = LoadTask {
                upstream: key,
                model: named.model.clone(),
                version: named.version,
            };
            wanted.push((current as u64 + wanted.len() as u64, task));
        }
        wanted
    }
}

/// Returns the number of models that the upstreams of a model run.
fn named_count(named: &TargetVersion, roster: &UpstreamTable) -> usize {
    let models = roster.iter().filter_map(|(_, state)| {
        let runs = |weights: &super::upstream::ModelWeights| weights.model == named.model;
        state
            .record
            .weights
            .iter()
            .any(runs)
            .then_some(state.record.weights.len())
    });
    models.max().unwrap_or(1)
}

/// Returns the upstreams that serve a model: two shares of those that run it, by rendezvous hashing.
///
/// With two shares a model has as many loads for each version as its even part of all upstreams.
fn members<'a>(
    roster: &'a UpstreamTable,
    named: &TargetVersion,
    models: usize,
) -> Vec<(UpstreamKey, &'a UpstreamState)> {
    let mut able: Vec<(UpstreamKey, &UpstreamState)> = roster
        .iter()
        .filter(|(key, state)| roster.takes_work(*key) && state.version(&named.model).is_some())
        .collect();
    let count = (able.len() * 2).div_ceil(models.max(1)).min(able.len());
    able.sort_by_key(|(_, state)| {
        let id = state.record.id.as_str().as_bytes();
        hash::digest64(&[named.model.as_str().as_bytes(), id])
    });
    able.truncate(count);
    able
}

fn is_current(now: Moment, state: &UpstreamState, named: &TargetVersion) -> bool {
    state.version(&named.model) >= Some(named.version) || state.is_loading(now, &named.model)
}
