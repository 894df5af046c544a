//! Texts of groups that a trainer does not wait for and will ask for again in a later step
//! (`docs/design/carried-texts.md`).
//!
//! Load pattern: trainers with long tails of text lengths, whose steps wait for groups that come again and
//! whose earlier texts are too old for the step in which they do.

use {
    super::{
        group_completion::{GroupStanding, StepClock},
        job::{ItemKey, ItemPhase, ItemProgress, RolloutJob},
        outcome::ItemOutcome,
        step_schedule::TrainerId,
    },
    catkindeck::{Moment, SortedMap, message, token::WeightVersion},
    std::collections::VecDeque,
};

/// The longest time for which texts of an ended step go on, in milliseconds. They occupy places that open steps
/// may need, and a trainer that has slack does not need them.
const MAX_KEEP_MS: u64 = 3_000;

/// The least such time, in milliseconds. Delays of the network and the store alone take part of it.
const MIN_KEEP_MS: u64 = 500;

/// How long texts of an ended step go on, in percent of the time that the trainer took to ask for its next step.
/// Training times vary.
const KEEP_PERCENT: u64 = 150;

/// The weight of the former value in the average of the times between an end and the next step, in percent.
const FORMER_ANSWER_PERCENT: u64 = 50;

/// The share of the time from the submission until results are due for which a group may be held, in percent.
/// A held group must still be able to become complete, in case that others do not.
const HOLD_PERCENT: u64 = 60;

/// The share of that time within which the next step must be expected for a group to be held, in percent. The version
/// that the group needs is named for that step and must be loaded then, and a group that waited in vain is late.
const NEXT_STEP_PERCENT: u64 = 40;

/// The number of steps whose times of submission are remembered.
const STEP_LIMIT: usize = 4;

/// The number of complete texts from which the error of callers' hints is known.
const MIN_TEXTS: usize = 16;

/// The number of complete texts that are remembered of a trainer.
const TEXT_LIMIT: usize = 128;

/// What the steps of one trainer told about groups that come again.
#[message]
#[derive(Default)]
pub struct CarryTrend {
    /// How far the oldest allowed version of a step is above that of the step whose groups came again in it;
    /// `None` until a group came again.
    distance: Option<u64>,
    /// The usual time from the end of a step to the next one; `None` until it is known.
    answer_ms: Option<u64>,
    /// When the trainer last ended a step after which it asked for none yet.
    ended: Option<Moment>,
    /// When the trainer last asked for a step.
    asked: Moment,
    /// When the latest steps were submitted, in milliseconds since the Unix epoch, in ascending order.
    submitted_ms: VecDeque<u64>,
    /// The expected tokens and the events of complete texts.
    texts: VecDeque<(u32, u64)>,
}

impl CarryTrend {
    /// Records that a group of a step that allowed `earlier` came again in one that allows `later`.
    pub fn record_return(&mut self, earlier: WeightVersion, later: WeightVersion) {
        self.distance = Some(later.0.saturating_sub(earlier.0));
    }

    /// Records that the trainer ended a step.
    pub fn record_end(&mut self, now: Moment) {
        self.ended = Some(now);
    }

    /// Records that the trainer asked for a step.
    pub fn record_step(&mut self, now: Moment, submitted_ms: u64) {
        self.asked = now;
        if let Err(index) = self.submitted_ms.binary_search(&submitted_ms) {
            self.submitted_ms.insert(index, submitted_ms);
        }
        if self.submitted_ms.len() > STEP_LIMIT {
            self.submitted_ms.pop_front();
        }
        let Some(ended) = self.ended.take() else {
            return;
        };
        let latest_ms = now.since(ended);
        let smoothed_ms = self.answer_ms.map_or(latest_ms, |former_ms| {
            let former_share = former_ms.saturating_mul(FORMER_ANSWER_PERCENT);
            let latest_share = latest_ms.saturating_mul(100 - FORMER_ANSWER_PERCENT);
            former_share.saturating_add(latest_share) / 100
        });
        self.answer_ms = Some(smoothed_ms);
    }

    /// Records the length of a complete text.
    pub fn record_text(&mut self, expected_tokens: u32, events: u64) {
        if expected_tokens == 0 || events == 0 {
            return;
        }
        if self.texts.len() == TEXT_LIMIT {
            self.texts.pop_front();
        }
        self.texts.push_back((expected_tokens, events));
    }

    /// Returns the oldest version that the step allows which would ask again for groups of a step that allows
    /// `least`. Returns `None` for a trainer that has not asked for a group again.
    pub fn later_version(&self, least: WeightVersion) -> Option<WeightVersion> {
        let distance = self.distance?;
        Some(WeightVersion(least.0.saturating_add(distance)))
    }

    /// Returns the time from the submission of a step to that of the next one, in milliseconds; `None` if it is not
    /// known. A trainer with two steps open alternates between short and long times while it is behind.
    pub fn next_step_ms(&self, submitted_ms: u64) -> Option<u64> {
        let index = self.submitted_ms.binary_search(&submitted_ms).ok()?;
        let time = |from: usize| {
            let next = self.submitted_ms.get(from + 1)?;
            Some(next - self.submitted_ms.get(from)?)
        };
        time(index).or_else(|| time(index.checked_sub(2)?))
    }

    /// Returns how long texts of an ended step may go on, in milliseconds.
    pub fn keep_ms(&self) -> u64 {
        let answer_ms = self.answer_ms.unwrap_or(MAX_KEEP_MS);
        (answer_ms.saturating_mul(KEEP_PERCENT) / 100).clamp(MIN_KEEP_MS, MAX_KEEP_MS)
    }

    /// Returns by how much the longer half of the texts exceeds what the callers' hints say, in percent: the
    /// upper quartile of the ratio of length and hint against its median. Returns `None` while too few are known.
    pub fn hint_error_percent(&self) -> Option<u64> {
        if self.texts.len() < MIN_TEXTS {
            return None;
        }
        let ratio =
            |(tokens, events): &(u32, u64)| events.saturating_mul(1_000_000) / u64::from(*tokens);
        let mut ratios: Vec<u64> = self.texts.iter().map(ratio).collect();
        ratios.sort_unstable();
        let median = ratios[ratios.len() / 2].max(1);
        let quartile = ratios[ratios.len() * 3 / 4];
        Some((quartile.saturating_mul(100) / median).saturating_sub(100))
    }
}

/// The trends of all trainers whose jobs this process owns.
#[derive(Debug, Clone, Default)]
pub struct CarryTrends {
    trends: SortedMap<TrainerId, CarryTrend>,
}

impl CarryTrends {
    pub fn get(&self, trainer: &TrainerId) -> Option<&CarryTrend> {
        self.trends.get(trainer)
    }

    pub fn get_mut(&mut self, trainer: &TrainerId) -> &mut CarryTrend {
        self.trends
            .get_or_insert_with(trainer.clone(), CarryTrend::default)
    }

    /// Drops trainers that have asked for nothing for `age_ms`.
    pub fn drop_idle(&mut self, now: Moment, age_ms: u64) {
        self.trends
            .retain(|_, trend| now.since(trend.asked) < age_ms);
    }
}

/// What is known about the later step that would ask again for incomplete groups.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LaterStep {
    /// The oldest version that it probably allows.
    pub version: WeightVersion,
    /// The usual error of the hints about lengths, in percent.
    pub hint_error_percent: u64,
    /// The time from the submission of the present step until the trainer probably asks for the next one, for which
    /// that version is named, in milliseconds.
    pub next_step_ms: u64,
}

impl RolloutJob {
    /// Decides which groups are held: their texts start only at versions that the later step allows, so that they
    /// can go on in it. Returns the items of the groups that were not held before.
    ///
    /// A group is held while the trainer does not wait for it, all others are shorter by more than the hints are
    /// usually wrong, and nothing of it has begun. A wrong choice would leave the trainer without the freedom to
    /// do without the group that turns out to be the longest.
    pub fn hold_groups(&mut self, clock: &StepClock, later: Option<LaterStep>) -> Vec<ItemKey> {
        let elapsed_ms = clock.unix_ms.saturating_sub(self.spec().submitted_ms);
        let is_timely = elapsed_ms < clock.deadline_ms.saturating_mul(HOLD_PERCENT) / 100;
        let next_limit_ms = clock.deadline_ms.saturating_mul(NEXT_STEP_PERCENT) / 100;
        let later = later.filter(|later| {
            is_timely
                && later.version > self.spec().least_version
                && later.next_step_ms <= next_limit_ms
        });
        let Some(later) = later.filter(|_| !self.is_ended()) else {
            self.release_groups();
            return Vec::new();
        };
        let outlines = self.outlines(clock);
        let standings = self.standings(&outlines, clock);
        let needed = outlines.iter().zip(&standings);
        let needed = needed.filter(|(_, standing)| {
            matches!(standing, GroupStanding::Wanted | GroupStanding::Late)
        });
        let longest = needed.map(|(outline, _)| outline.longest_tokens).max();
        let margin = longest
            .unwrap_or(0)
            .saturating_mul(100 + later.hint_error_percent)
            / 100;
        let mut is_begun = vec![false; self.groups.len()];
        for (_, state) in self.items.iter() {
            let is_waiting =
                state.phase == ItemPhase::Waiting && state.progress.last_event.is_none();
            is_begun[state.group] |= !is_waiting;
        }
        let mut newly_held = Vec::new();
        for (index, group) in self.groups.iter_mut().enumerate() {
            // A held group keeps its choice once its texts have begun at the later version.
            if is_begun[index] {
                continue;
            }
            let is_held = standings[index] == GroupStanding::Surplus
                && longest.is_some()
                && outlines[index].longest_tokens > margin;
            let version = is_held.then_some(later.version);
            if std::mem::replace(&mut group.held_version, version).is_none() && is_held {
                newly_held.push(index);
            }
        }
        let firsts = newly_held.into_iter().filter_map(|group| {
            let mut items = self.items.iter();
            items
                .find(|(_, state)| state.group == group)
                .map(|(key, _)| key)
        });
        firsts.collect()
    }

    /// Returns the oldest version at which a run of an item may start.
    pub fn start_version(&self, key: ItemKey) -> WeightVersion {
        let held = self.groups[self.state(key).group].held_version;
        let least = self.spec().least_version;
        held.map_or(least, |held| held.max(least))
    }

    /// Returns whether an item needs a particular version of the software or the weights, which others of its job
    /// may not need.
    pub fn needs_version(&self, key: ItemKey) -> bool {
        let is_held = self.start_version(key) > self.spec().least_version;
        is_held || self.required_software(key).is_some()
    }

    /// Returns the running items of incomplete groups whose texts a step that allows `later` and newer versions
    /// can use. A run without an event may not have been sent yet, which the end of the job forbids. The groups that come again make up at most half of those that the trainer waits for.
    pub fn usable_runs(&self, later: WeightVersion) -> Vec<ItemKey> {
        let limit = (self.spec().wanted_groups as usize / 2).max(1);
        let incomplete = (0..self.groups.len()).filter(|group| self.groups[*group].unfinished > 0);
        let incomplete: Vec<usize> = incomplete.take(limit).collect();
        let usable = self.items.iter().filter(|(_, state)| {
            let versions = &state.progress.versions;
            matches!(state.phase, ItemPhase::Running(_))
                && state.has_run_event
                && incomplete.binary_search(&state.group).is_ok()
                && versions.first().is_some_and(|oldest| *oldest >= later)
        });
        usable.map(|(key, _)| key).collect()
    }

    /// Returns the items of incomplete groups, which the trainer may ask for again.
    pub fn incomplete_groups(&self) -> Vec<ItemKey> {
        let items = self.items.iter();
        let items = items.filter(|(_, state)| self.groups[state.group].unfinished > 0);
        items.map(|(key, _)| key).collect()
    }

    /// Returns whether progress from elsewhere is allowed here and has more events than the item's own, so that it
    /// should replace it.
    pub fn should_replace(&self, key: ItemKey, progress: &ItemProgress) -> bool {
        let least = self.spec().least_version;
        let is_allowed = progress
            .versions
            .first()
            .is_some_and(|oldest| *oldest >= least)
            && (!self.limits().single_version || progress.versions.len() == 1);
        let is_open = matches!(self.phase(key), ItemPhase::Waiting | ItemPhase::Running(_));
        is_open && is_allowed && progress.last_event > self.progress(key).last_event
    }

    /// Replaces the progress of an item whose run has ended. Returns whether it was replaced.
    pub fn replace_text(&mut self, now: Moment, key: ItemKey, progress: ItemProgress) -> bool {
        if !self.should_replace(key, &progress) {
            return false;
        }
        self.record_run_end(now, key, ItemOutcome::Interrupted);
        let restarts = self.progress(key).restarts.max(progress.restarts);
        // A copy holder must not append to what it has of the replaced text.
        let progress = ItemProgress {
            restarts: restarts + 1,
            ..progress
        };
        self.adopt(now, key, progress)
    }

    fn release_groups(&mut self) {
        for group in &mut self.groups {
            group.held_version = None;
        }
    }
}
