//! Straggler mitigation for the last samples of a training step.

use {
    catkindeck::{Moment, id::RequestId},
    std::collections::BTreeMap,
};

/// The parameters of straggler mitigation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StragglerSettings {
    /// The share of open samples in a step at or below which duplicates start, in percent.
    pub tail_percent: u32,
    /// The age above which an attempt may be duplicated, in percent of the mean duration.
    pub age_percent: u64,
    /// The speed below which such an attempt is duplicated, in percent of the mean speed.
    ///
    /// An old attempt at normal speed is a long sample; a duplicate would take as long and only
    /// cost tokens.
    pub speed_percent: u64,
    /// The maximum number of duplicates in a step, in percent of its samples.
    pub duplicate_percent: u32,
}

impl Default for StragglerSettings {
    fn default() -> Self {
        Self {
            tail_percent: 5,
            age_percent: 300,
            speed_percent: 50,
            duplicate_percent: 5,
        }
    }
}

/// A sample of the step, by group and index.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct SampleKey {
    pub group: u32,
    /// The index within the group.
    pub index: u32,
}

/// What the step's owner must do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StragglerAction {
    /// Sends a second request for a sample to another upstream.
    Duplicate(SampleKey),
    /// Raises the priority of a request.
    RaisePriority(RequestId, u8),
}

#[derive(Debug, Clone)]
struct AttemptState {
    request: RequestId,
    started: Moment,
    priority: u8,
    tokens: u64,
}

/// The open samples of one step and their attempts (`docs/design.md`, decision 12).
///
/// A group is usable only when it is complete, so members of nearly complete groups have priority.
/// Near the end of the step, a slow old attempt is duplicated on another upstream; the first result
/// is used and the other attempt is cancelled immediately. If the owner never calls
/// [`Self::record_progress`], old attempts are duplicated regardless of their speed.
#[derive(Debug, Clone)]
pub struct StragglerPolicy {
    settings: StragglerSettings,
    group_size: u32,
    total: u32,
    accepted: u32,
    duplicates: u32,
    open: BTreeMap<SampleKey, Vec<AttemptState>>,
    open_per_group: Vec<u32>,
    mean_ms: f64,
    mean_speed: f64,
}

impl StragglerPolicy {
    /// Creates the policy of a step whose samples are all open.
    pub fn new(settings: StragglerSettings, groups: u32, group_size: u32) -> Self {
        let members = (0..groups).flat_map(|group| {
            (0..group_size).map(move |index| (SampleKey { group, index }, Vec::new()))
        });
        Self {
            settings,
            group_size,
            total: groups.saturating_mul(group_size),
            accepted: 0,
            duplicates: 0,
            open: members.collect(),
            open_per_group: vec![group_size; groups as usize],
            mean_ms: 0.0,
            mean_speed: 0.0,
        }
    }

    /// Returns the priority of requests for members of `group`: from 0 for a group without results
    /// to 200 for the last member of a group.
    pub fn priority(&self, group: u32) -> u8 {
        let open = self
            .open_per_group
            .get(group as usize)
            .copied()
            .unwrap_or(0);
        let done = u64::from(self.group_size.saturating_sub(open));
        let last = u64::from(self.group_size.saturating_sub(1).max(1));
        u8::try_from((done * 200 / last).min(200)).unwrap_or(200)
    }

    /// Records that a request for a sample was sent.
    pub fn record_sent(&mut self, now: Moment, sample: SampleKey, request: RequestId) {
        let priority = self.priority(sample.group);
        if let Some(attempts) = self.open.get_mut(&sample) {
            attempts.push(AttemptState {
                request,
                started: now,
                priority,
                tokens: 0,
            });
        }
    }

    /// Records the number of tokens that a request has generated so far.
    pub fn record_progress(&mut self, sample: SampleKey, request: &RequestId, tokens: u64) {
        let attempts = self.open.get_mut(&sample).into_iter().flatten();
        for attempt in attempts.filter(|attempt| attempt.request == *request) {
            attempt.tokens = tokens;
        }
    }

    /// Records that a request ended without an acceptable result, and returns whether the sample
    /// has no attempt left.
    pub fn record_failure(&mut self, sample: SampleKey, request: &RequestId) -> bool {
        let Some(attempts) = self.open.get_mut(&sample) else {
            return false;
        };
        attempts.retain(|attempt| attempt.request != *request);
        attempts.is_empty()
    }

    /// Records that the ledger accepted a sample, and returns the requests to cancel.
    pub fn record_accepted(
        &mut self,
        now: Moment,
        sample: SampleKey,
        request: &RequestId,
    ) -> Vec<RequestId> {
        let Some(attempts) = self.open.remove(&sample) else {
            return Vec::new();
        };
        self.accepted += 1;
        if let Some(open) = self.open_per_group.get_mut(sample.group as usize) {
            *open = open.saturating_sub(1);
        }
        let won = |attempt: &&AttemptState| attempt.request == *request;
        if let Some(winner) = attempts.iter().find(won) {
            let duration = now.since(winner.started) as f64;
            // The plain mean over the step is robust enough, because only 1 % of samples are long.
            self.mean_ms += (duration - self.mean_ms) / f64::from(self.accepted);
            let speed = winner.tokens as f64 / duration.max(1.0);
            self.mean_speed += (speed - self.mean_speed) / f64::from(self.accepted);
        }
        let losers = attempts.iter().map(|attempt| attempt.request);
        losers.filter(|loser| loser != request).collect()
    }

    /// Returns the actions to take now; must be called about once a second.
    pub fn plan(&mut self, now: Moment) -> Vec<StragglerAction> {
        let mut actions = Vec::new();
        let priorities: Vec<u8> = (0..self.open_per_group.len())
            .map(|group| self.priority(u32::try_from(group).unwrap_or(u32::MAX)))
            .collect();
        for (sample, attempts) in &mut self.open {
            let priority = priorities.get(sample.group as usize).copied().unwrap_or(0);
            for attempt in attempts {
                // Small changes do not justify a message.
                if priority >= attempt.priority.saturating_add(50) {
                    attempt.priority = priority;
                    actions.push(StragglerAction::RaisePriority(attempt.request, priority));
                }
            }
        }
        self.plan_duplicates(now, &mut actions);
        actions
    }

    /// Returns the number of samples that are not accepted yet.
    pub fn open_count(&self) -> u32 {
        self.total - self.accepted
    }

    fn plan_duplicates(&mut self, now: Moment, actions: &mut Vec<StragglerAction>) {
        let percent = |part: u32| u64::from(self.total) * u64::from(part) / 100;
        if u64::from(self.open_count()) > percent(self.settings.tail_percent).max(1) {
            return;
        }
        let mut allowed = percent(self.settings.duplicate_percent).max(1);
        allowed = allowed.saturating_sub(u64::from(self.duplicates));
        let age_threshold_ms = self.mean_ms * self.settings.age_percent as f64 / 100.0;
        let speed_threshold = self.mean_speed * self.settings.speed_percent as f64 / 100.0;
        let stragglers = self.open.iter().filter(|(_, attempts)| {
            let [only] = attempts.as_slice() else {
                return false;
            };
            let age = now.since(only.started) as f64;
            let is_slow = only.tokens as f64 / age.max(1.0) < speed_threshold;
            age > age_threshold_ms && (is_slow || self.mean_speed == 0.0)
        });
        for (sample, _) in stragglers.take(usize::try_from(allowed).unwrap_or(usize::MAX)) {
            actions.push(StragglerAction::Duplicate(*sample));
            self.duplicates += 1;
        }
    }
}
