//! The demand for each model, as the owners of jobs report it to the leader.

use {
    super::{
        job::{ItemKey, ItemPhase, RolloutJob},
        step_demand::StepDemand,
    },
    catkindeck::{
        Moment, SortedMap,
        id::{IncarnationId, ObjectName},
        message,
        token::WeightVersion,
    },
};

/// The age up to which a report counts, in milliseconds. It covers a few lost reports.
pub const REPORT_TTL_MS: u64 = 5_000;

/// The change of the tokens owed that is worth a report, in percent of a step.
const REPORTED_CHANGE_PERCENT: u64 = 25;

/// The demand of one trained model.
#[message]
pub struct ModelDemand {
    pub model: ObjectName,
    /// The expected tokens of one step, which the next step will probably need as well.
    pub step_tokens: u64,
    /// The expected tokens of the items of open jobs that have no complete text.
    pub owed_tokens: u64,
    /// The items that wait for an engine.
    pub waiting: u32,
    /// The oldest version that may run all waiting items.
    pub least_version: WeightVersion,
    /// The typical time between two tokens of a stream, in microseconds; zero if unknown.
    pub token_gap_us: u64,
}

impl ModelDemand {
    /// Returns the tokens owed and those of the next step.
    pub fn tokens_in_sight(&self) -> u64 {
        self.step_tokens.saturating_add(self.owed_tokens)
    }

    /// Returns whether the leader should learn of the difference to an earlier report.
    pub fn differs_from(&self, earlier: &Self) -> bool {
        let step_tokens = self.step_tokens.max(earlier.step_tokens);
        let is_large =
            |change: u64| change.saturating_mul(100) > step_tokens * REPORTED_CHANGE_PERCENT;
        self.model != earlier.model
            || self.least_version != earlier.least_version
            || (self.waiting == 0) != (earlier.waiting == 0)
            || self.waiting > earlier.waiting.saturating_mul(2)
            || is_large(self.owed_tokens.abs_diff(earlier.owed_tokens))
            || is_large(self.step_tokens.abs_diff(earlier.step_tokens))
    }

    /// Adds what another owner reports about the same model.
    fn merge(&mut self, other: &Self) {
        // The jobs of one trainer may have several owners, each of which knows the size of a step.
        self.step_tokens = self.step_tokens.max(other.step_tokens);
        self.owed_tokens = self.owed_tokens.saturating_add(other.owed_tokens);
        self.waiting = self.waiting.saturating_add(other.waiting);
        self.least_version = self.least_version.max(other.least_version);
        self.token_gap_us = self.token_gap_us.max(other.token_gap_us);
    }
}

/// Sums up the demand of the jobs of one owner.
#[derive(Debug, Clone, Default)]
pub struct DemandSummary {
    models: SortedMap<ObjectName, ModelSummary>,
}

#[derive(Debug, Clone)]
struct ModelSummary {
    demand: ModelDemand,
    /// The tokens of all steps, open or closed.
    tokens: u64,
    steps: u64,
    /// The events of the complete texts, and the tokens that were expected of them.
    complete_events: u64,
    complete_tokens: u64,
    event_gap_us: u64,
}

impl ModelSummary {
    fn new(model: ObjectName) -> Self {
        Self {
            demand: ModelDemand {
                model,
                step_tokens: 0,
                owed_tokens: 0,
                waiting: 0,
                least_version: WeightVersion(0),
                token_gap_us: 0,
            },
            tokens: 0,
            steps: 0,
            complete_events: 0,
            complete_tokens: 0,
            event_gap_us: 0,
        }
    }

    fn finish(&self) -> ModelDemand {
        // An event holds several tokens. Without complete texts the speed is unknown.
        let spent_us = self.event_gap_us.saturating_mul(self.complete_events);
        ModelDemand {
            step_tokens: self.tokens / self.steps.max(1),
            token_gap_us: spent_us.checked_div(self.complete_tokens).unwrap_or(0),
            ..self.demand.clone()
        }
    }
}

impl DemandSummary {
    /// Adds a job of a trainer. A closed job only tells how large the steps of its trainer are. `event_gap_us` is the
    /// typical time between two events of a stream.
    pub fn add(&mut self, job: &RolloutJob, is_open: bool, event_gap_us: u64) {
        let spec = job.spec();
        let Some(model) = spec.model.clone() else {
            return;
        };
        let new = || ModelSummary::new(model.clone());
        let summary = self.models.get_or_insert_with(model.clone(), new);
        summary.steps += 1;
        summary.event_gap_us = event_gap_us;
        let demand = &mut summary.demand;
        for (index, item) in spec.items.iter().enumerate() {
            let key = ItemKey(u32::try_from(index).unwrap_or(u32::MAX));
            let tokens = u64::from(item.expected_tokens.max(1));
            summary.tokens += tokens;
            let progress = job.progress(key);
            if let Some(last_event) = progress.last_event.filter(|_| progress.complete) {
                summary.complete_events += last_event + 1;
                summary.complete_tokens += tokens;
            }
            let phase = job.phase(key);
            if !is_open || !matches!(phase, ItemPhase::Waiting | ItemPhase::Running(_)) {
                continue;
            }
            demand.owed_tokens += tokens;
            if phase == ItemPhase::Waiting {
                demand.waiting += 1;
                demand.least_version = demand.least_version.max(spec.least_version);
            }
        }
    }

    /// Returns the demand of each model, in the order of their names.
    pub fn finish(&self) -> Vec<ModelDemand> {
        self.models.values().map(ModelSummary::finish).collect()
    }
}

/// The latest reports of all owners.
#[derive(Debug, Clone, Default)]
pub struct DemandBoard {
    demands: ReportSet<ModelDemand>,
    /// Owners of earlier builds do not report steps.
    steps: ReportSet<StepDemand>,
}

impl DemandBoard {
    /// Records the report of an owner, which replaces its earlier one, and drops outdated reports.
    pub fn record(&mut self, now: Moment, owner: IncarnationId, demands: Vec<ModelDemand>) {
        self.demands.record(now, owner, demands);
    }

    /// Records the steps that an owner reports, likewise.
    pub fn record_steps(&mut self, now: Moment, owner: IncarnationId, steps: Vec<StepDemand>) {
        self.steps.record(now, owner, steps);
    }

    /// Returns the demand for a model, or `None` if no recent report names it.
    pub fn demand(&self, now: Moment, model: &ObjectName) -> Option<ModelDemand> {
        let mut known = self.demands.recent(now);
        let mut total = known.find(|demand| demand.model == *model)?.clone();
        known
            .filter(|demand| demand.model == *model)
            .for_each(|demand| total.merge(demand));
        Some(total)
    }

    /// Returns the steps of a model's trainer, or `None` if no recent report names them.
    pub fn steps(&self, now: Moment, model: &ObjectName) -> Option<StepDemand> {
        let mut known = self.steps.recent(now);
        let mut total = known.find(|steps| steps.model == *model)?.clone();
        known
            .filter(|steps| steps.model == *model)
            .for_each(|steps| total.merge(steps));
        Some(total)
    }
}

/// The latest report of each owner.
#[derive(Debug, Clone)]
struct ReportSet<T> {
    reports: SortedMap<IncarnationId, (Moment, Vec<T>)>,
}

impl<T> Default for ReportSet<T> {
    fn default() -> Self {
        Self {
            reports: SortedMap::new(),
        }
    }
}

impl<T> ReportSet<T> {
    fn record(&mut self, now: Moment, owner: IncarnationId, report: Vec<T>) {
        self.reports
            .retain(|_, (at, _)| now.since(*at) <= REPORT_TTL_MS);
        self.reports.insert(owner, (now, report));
    }

    /// Iterates over what the recent reports contain.
    fn recent(&self, now: Moment) -> impl Iterator<Item = &T> {
        let reports = self.reports.values();
        let recent = reports.filter(move |(at, _)| now.since(*at) <= REPORT_TTL_MS);
        recent.flat_map(|(_, report)| report)
    }
}
