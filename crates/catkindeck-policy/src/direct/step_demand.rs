//! The weight versions that trainers' steps need, as the owners of jobs report them to the leader
//! (`docs/design/placement.md`).
//!
//! Load pattern: trainers whose steps allow weights of different age, and need fewer engines than serve their model.

use {
    super::job::{ItemKey, ItemPhase, RolloutJob},
    catkindeck::{SortedMap, id::ObjectName, message, token::WeightVersion},
};

/// The number of versions that a report distinguishes. More steps of one trainer are rarely open at a time.
const NEED_LIMIT: usize = 4;

/// The change of the waiting items of a version that is worth a report, in percent of a step.
const REPORTED_CHANGE_PERCENT: u32 = 25;

/// The items of open steps that versions from `least_version` on may run.
#[message]
pub struct VersionNeed {
    pub least_version: WeightVersion,
    /// The items that wait for an engine.
    pub waiting: u32,
    /// The items that run. They go on while their engine loads weights.
    pub running: u32,
}

/// The recent steps of one trainer.
#[message]
pub struct StepDemand {
    pub model: ObjectName,
    /// The usual number of items of a step, which the next one will probably have as well.
    pub step_items: u32,
    /// The oldest version that the newest step allows.
    pub newest_least: WeightVersion,
    /// The needs of the open steps, in ascending order of their versions.
    pub needs: Vec<VersionNeed>,
    /// How long a load is expected to take, in milliseconds.
    pub load_ms: u64,
}

impl StepDemand {
    /// Returns the items of the next step and those that wait or run, which are all that may be in progress at a time.
    pub fn items_in_sight(&self) -> u64 {
        let open = self
            .needs
            .iter()
            .map(|need| u64::from(need.waiting) + u64::from(need.running));
        u64::from(self.step_items) + open.sum::<u64>()
    }

    /// Returns the items that wait and whose oldest version is from `first` to `last`.
    pub fn waiting_between(&self, first: WeightVersion, last: WeightVersion) -> u64 {
        let needs = self.needs.iter();
        let needs = needs.filter(|need| (first..=last).contains(&need.least_version));
        needs.map(|need| u64::from(need.waiting)).sum()
    }

    /// Returns whether the leader should learn of the difference to an earlier report.
    pub fn differs_from(&self, earlier: &Self) -> bool {
        let step_items = self.step_items.max(earlier.step_items);
        let waiting =
            |demand: &Self| -> u32 { demand.needs.iter().map(|need| need.waiting).sum::<u32>() };
        self.model != earlier.model
            || self.newest_least != earlier.newest_least
            || (waiting(self) == 0) != (waiting(earlier) == 0)
            || waiting(self).abs_diff(waiting(earlier)) * 100 > step_items * REPORTED_CHANGE_PERCENT
    }

    /// Adds what another owner reports about the same model.
    pub(super) fn merge(&mut self, other: &Self) {
        self.step_items = self.step_items.max(other.step_items);
        self.newest_least = self.newest_least.max(other.newest_least);
        self.load_ms = self.load_ms.max(other.load_ms);
        for need in &other.needs {
            self.add_need(need);
        }
    }

    fn add_need(&mut self, need: &VersionNeed) {
        let version = need.least_version;
        let found = self
            .needs
            .binary_search_by_key(&version, |known| known.least_version);
        match found {
            Ok(index) => {
                let known = &mut self.needs[index];
                known.waiting = known.waiting.saturating_add(need.waiting);
                known.running = known.running.saturating_add(need.running);
            }
            Err(index) => self.needs.insert(index, need.clone()),
        }
        // The oldest items are counted with the next ones, which engines of newer versions run as well.
        if self.needs.len() > NEED_LIMIT {
            let oldest = self.needs.remove(0);
            self.needs[0].waiting = self.needs[0].waiting.saturating_add(oldest.waiting);
            self.needs[0].running = self.needs[0].running.saturating_add(oldest.running);
        }
    }
}

/// Sums up the steps of the jobs of one owner.
#[derive(Debug, Clone, Default)]
pub struct StepSummary {
    models: SortedMap<ObjectName, StepTotal>,
}

#[derive(Debug, Clone)]
struct StepTotal {
    demand: StepDemand,
    /// The items of all steps, open or closed.
    items: u64,
    steps: u64,
}

impl StepSummary {
    /// Adds a job of a trainer. A closed job only tells how large its trainer's steps are and which version they allow.
    pub fn add(&mut self, job: &RolloutJob, is_open: bool) {
        let spec = job.spec();
        let Some(model) = spec.model.clone() else {
            return;
        };
        let new = || StepTotal {
            demand: StepDemand {
                model: model.clone(),
                step_items: 0,
                newest_least: WeightVersion(0),
                needs: Vec::new(),
                load_ms: 0,
            },
            items: 0,
            steps: 0,
        };
        let total = self.models.get_or_insert_with(model.clone(), new);
        total.items += spec.items.len() as u64;
        total.steps += 1;
        let demand = &mut total.demand;
        demand.newest_least = demand.newest_least.max(spec.least_version);
        if !is_open {
            return;
        }
        let mut need = VersionNeed {
            least_version: spec.least_version,
            waiting: 0,
            running: 0,
        };
        for index in 0..u32::try_from(spec.items.len()).unwrap_or(u32::MAX) {
            match job.phase(ItemKey(index)) {
                ItemPhase::Waiting => need.waiting += 1,
                ItemPhase::Running(_) => need.running += 1,
                _ => {}
            }
        }
        if need.waiting + need.running > 0 {
            demand.add_need(&need);
        }
    }

    /// Returns the steps of each model, in the order of their names. `load_ms` is the expected time of a load.
    pub fn finish(&self, load_ms: u64) -> Vec<StepDemand> {
        let finish = |total: &StepTotal| StepDemand {
            step_items: u32::try_from(total.items.div_ceil(total.steps.max(1))).unwrap_or(u32::MAX),
            load_ms,
            ..total.demand.clone()
        };
        self.models.values().map(finish).collect()
    }
}
