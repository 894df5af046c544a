//! How far trainers are behind the schedule at which they ask for steps.

use {
    super::job::JobSpec,
    catkindeck::{SortedMap, id::ObjectName, message},
};

/// The longest time from the end of a step until its trainer asks for the next one if only that step
/// held it up: training and the publication of the new version, in milliseconds.
const ANSWER_MS: u64 = 2_000;

/// The deviation from its interval up to which a trainer that nothing holds up counts as on schedule,
/// as a divisor of the interval.
const TOLERANCE_DIVISOR: u64 = 4;

/// Identifies a trainer: one sequence of steps.
#[message]
#[derive(PartialOrd, Ord)]
pub struct TrainerId {
    pub customer: Option<ObjectName>,
    pub route: ObjectName,
    pub model: ObjectName,
}

impl TrainerId {
    /// Returns the trainer that submitted a job, or `None` for a job without a trainer.
    pub fn of(spec: &JobSpec) -> Option<Self> {
        let model = spec.model.clone().filter(|_| spec.wanted_groups > 0)?;
        Some(Self {
            customer: spec.customer.clone(),
            route: spec.route.clone(),
            model,
        })
    }
}

/// The pace of one trainer. All times are in milliseconds since the Unix epoch or in milliseconds.
///
/// A trainer asks for a step at a scheduled time, or later if it must first train an earlier step. A
/// step that it asked for soon after it ended another may therefore be late; any other is on schedule
/// and shows the interval.
#[message]
#[derive(Copy, Default)]
pub struct TrainerPace {
    /// When the trainer asked for its latest step; zero before its first.
    pub asked_ms: u64,
    /// How late it asked for that step.
    pub lateness_ms: u64,
    /// The time between two steps that it asks for on schedule; zero if unknown.
    pub interval_ms: u64,
    /// When it last ended a step; zero before.
    pub ended_ms: u64,
    /// Whether it asked for its latest step without being held up.
    pub is_free: bool,
}

impl TrainerPace {
    /// Records that the trainer asked for a step. Older steps and repetitions change nothing.
    pub fn record_step(&mut self, submitted_ms: u64) {
        if submitted_ms <= self.asked_ms {
            return;
        }
        let is_first = self.asked_ms == 0;
        let was_free = self.is_free;
        let gap_ms = submitted_ms - self.asked_ms;
        self.is_free = !self.is_answer(submitted_ms);
        self.asked_ms = submitted_ms;
        if is_first {
            return;
        }
        let behind_ms = self.lateness_ms + gap_ms;
        if self.is_free && was_free && self.interval_ms == 0 {
            self.interval_ms = gap_ms;
        }
        // Nobody asks ahead of its schedule, so an earlier estimate of the interval was too long.
        if self.is_free && behind_ms < self.interval_ms {
            self.interval_ms = behind_ms;
        }
        let deviation_ms = gap_ms.abs_diff(self.interval_ms);
        let is_steady = deviation_ms <= self.interval_ms / TOLERANCE_DIVISOR;
        self.lateness_ms = match self.interval_ms {
            0 => 0,
            _ if self.is_free && is_steady => 0,
            interval_ms => behind_ms.saturating_sub(interval_ms),
        };
    }

    /// Records that the trainer ended a step, because it has enough groups or waits no longer.
    pub fn record_end(&mut self, unix_ms: u64) {
        self.ended_ms = self.ended_ms.max(unix_ms);
    }

    /// Returns how late the trainer is at `unix_ms`. Beyond the lateness of its latest step this is the time
    /// for which the next one is overdue while a step is open that holds it up.
    pub fn lateness(&self, unix_ms: u64, is_held_up: bool) -> u64 {
        if self.interval_ms == 0 || !is_held_up {
            return self.lateness_ms;
        }
        let since_ms = unix_ms.saturating_sub(self.asked_ms);
        let overdue_ms = (self.lateness_ms + since_ms).saturating_sub(self.interval_ms);
        self.lateness_ms.max(overdue_ms)
    }

    fn is_answer(&self, submitted_ms: u64) -> bool {
        self.ended_ms != 0 && submitted_ms.saturating_sub(self.ended_ms) < ANSWER_MS
    }
}

/// The paces of all trainers whose jobs this process owns.
#[derive(Debug, Clone, Default)]
pub struct StepSchedule {
    paces: SortedMap<TrainerId, TrainerPace>,
}

impl StepSchedule {
    /// Records a job of this process, and returns whether its trainer was unknown.
    pub fn record_step(&mut self, trainer: &TrainerId, submitted_ms: u64) -> bool {
        let is_new = !self.paces.contains_key(trainer);
        let pace = self
            .paces
            .get_or_insert_with(trainer.clone(), TrainerPace::default);
        pace.record_step(submitted_ms);
        is_new
    }

    /// Records that a trainer ended a step, and returns its pace to be stored.
    pub fn record_end(&mut self, trainer: &TrainerId, unix_ms: u64) -> TrainerPace {
        let pace = self
            .paces
            .get_or_insert_with(trainer.clone(), TrainerPace::default);
        pace.record_end(unix_ms);
        *pace
    }

    /// Takes over the pace that a former owner stored, and replays the steps that were submitted since,
    /// in ascending order. When these steps' predecessors ended is unknown, so they count as held up.
    pub fn adopt(&mut self, trainer: &TrainerId, stored: TrainerPace, submitted_ms: &[u64]) {
        let own = self.pace(trainer);
        if stored.asked_ms == 0 || stored.interval_ms == 0 && own.interval_ms != 0 {
            return;
        }
        let mut pace = stored;
        for submitted in submitted_ms {
            if *submitted > pace.asked_ms {
                pace.record_end(*submitted);
                pace.record_step(*submitted);
            }
        }
        pace.record_end(own.ended_ms);
        self.paces.insert(trainer.clone(), pace);
    }

    pub fn pace(&self, trainer: &TrainerId) -> TrainerPace {
        self.paces.get(trainer).copied().unwrap_or_default()
    }

    /// Drops trainers that have asked for nothing since `unix_ms`.
    pub fn drop_idle(&mut self, unix_ms: u64) {
        self.paces.retain(|_, pace| pace.asked_ms >= unix_ms);
    }
}
