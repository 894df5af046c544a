//! Which groups of a step get the next places, and in which order their items start.

use {
    super::job::{GroupState, ItemKey, ItemPhase, ItemState, RolloutJob},
    catkindeck::message,
};

/// A group is nearly complete if at most one in this many of its members is unfinished.
const NEARLY_COMPLETE_DIVISOR: u32 = 4;

/// The share of a text's expected time by which it starts before others of the same step, in percent. Callers'
/// hints about lengths are rough, and texts that start much too early delay the steps that are due first.
const LENGTH_WEIGHT_PERCENT: u64 = 50;

/// How a group stands in its step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GroupStanding {
    /// All items are finished.
    Complete,
    /// The trainer waits for the group.
    Wanted,
    /// The trainer waits for the group although it cannot be complete in time, because it was carried over or
    /// too few others can be. It does not yield, since the trainer could not go on without it.
    Late,
    /// The trainer does not wait for the group, because enough others can be complete in time or are nearer to
    /// completion. It yields to all groups for which trainers of the same urgency wait.
    Surplus,
}

/// What the standing of a group depends on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct GroupOutline {
    pub members: u32,
    pub unfinished: u32,
    /// Whether the group was incomplete in an earlier step, so that the trainer waits for it in any case.
    pub is_carried_over: bool,
    /// The number of tokens that the longest unfinished text still needs.
    pub longest_tokens: u64,
}

impl GroupOutline {
    /// Returns whether only few members are missing, so that a place completes a group soon.
    pub fn is_nearly_complete(&self) -> bool {
        self.unfinished > 0 && self.unfinished <= self.members / NEARLY_COMPLETE_DIVISOR
    }

    /// Returns whether the group can be complete within `left_us` if all its items run now.
    fn is_possible(&self, left: Option<TokenTime>) -> bool {
        left.is_none_or(|left| self.longest_tokens.saturating_mul(left.token_us) <= left.left_us)
    }
}

/// The measured time for a token and the time until a step's results are due, in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenTime {
    pub token_us: u64,
    pub left_us: u64,
}

/// Returns the standing of each group of a step whose trainer waits for `wanted` groups; zero means for
/// all of them. Without `left`, all groups count as possible.
pub fn plan_groups(
    groups: &[GroupOutline],
    wanted: u32,
    left: Option<TokenTime>,
) -> Vec<GroupStanding> {
    let wanted = match wanted {
        0 => groups.len(),
        wanted => wanted as usize,
    };
    let is_certain = |group: &GroupOutline| group.unfinished == 0 || group.is_carried_over;
    let certain = groups.iter().filter(|group| is_certain(group)).count();
    let mut others: Vec<usize> = (0..groups.len())
        .filter(|index| !is_certain(&groups[*index]))
        .collect();
    others.sort_by_key(|index| {
        let group = &groups[*index];
        let is_started = group.unfinished < group.members;
        (
            !group.is_possible(left),
            !group.is_nearly_complete(),
            group.longest_tokens,
            !is_started,
            *index,
        )
    });
    let mut standings: Vec<GroupStanding> = groups
        .iter()
        .map(|group| match group.unfinished {
            0 => GroupStanding::Complete,
            _ if group.is_possible(left) => GroupStanding::Wanted,
            _ => GroupStanding::Late,
        })
        .collect();
    for (rank, index) in others.into_iter().enumerate() {
        if rank >= wanted.saturating_sub(certain) {
            standings[index] = GroupStanding::Surplus;
        }
    }
    standings
}

/// The times of a step that determine the order of its items.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StepClock {
    /// The current time, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
    /// The time from the submission until the results are due, in milliseconds; zero if there is no limit.
    pub deadline_ms: u64,
    /// How late the trainer was when it asked for the step, in milliseconds.
    pub lateness_ms: u64,
    /// The typical time between two events, in microseconds.
    pub event_gap_us: u64,
    /// The expected tokens and the events of texts that the trainer has received; zero if none are known.
    pub measured: (u64, u64),
}

impl StepClock {
    /// Returns the measured time for a token, in microseconds; zero if nothing was measured.
    pub fn token_us(&self) -> u64 {
        let (tokens, events) = self.measured;
        match tokens {
            0 => 0,
            tokens => self.event_gap_us.saturating_mul(events) / tokens,
        }
    }

    /// Returns the number of expected tokens that `events` events make up.
    fn tokens_in(&self, events: u64) -> u64 {
        let (tokens, measured_events) = self.measured;
        events.saturating_mul(tokens) / measured_events.max(1)
    }
}

/// The rank of a waiting item among those of equally urgent jobs; the lowest starts first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ItemRank {
    /// Whether the trainer does not wait for the item's group.
    pub is_surplus: bool,
    /// Whether the item has no text yet. An interrupted text occupies memory until it goes on.
    pub is_fresh: bool,
    /// Whether more than a few members of the group are unfinished.
    pub is_far: bool,
    /// By when the item should start for the trainer to be on its schedule, in milliseconds since the Unix epoch.
    pub due_start_ms: u64,
    pub submitted_ms: u64,
    pub group: usize,
}

/// The groups of a step by standing, and its unfinished items by phase.
#[message]
#[derive(Copy, Default)]
pub struct StepCounts {
    pub complete_groups: u32,
    pub wanted_groups: u32,
    pub late_groups: u32,
    pub surplus_groups: u32,
    pub waiting_items: u32,
    pub running_items: u32,
    pub scoring_items: u32,
}

impl RolloutJob {
    /// Returns the number of unfinished members of an item's group, the item included. A trainer can
    /// use the group once it is zero.
    pub fn group_remaining(&self, key: ItemKey) -> u32 {
        self.groups[self.state(key).group].unfinished
    }

    /// Returns whether items wait for a place.
    pub fn has_waiting(&self) -> bool {
        let mut states = self.items.iter().map(|(_, state)| state);
        !self.ended && states.any(|state| state.phase == ItemPhase::Waiting)
    }

    /// Returns the waiting items with their ranks.
    ///
    /// Of the items for which trainers wait, interrupted ones come first, then the last ones of nearly complete
    /// groups, then those with the least time to spare: long texts and the steps of trainers that are behind.
    pub fn ranked(&self, clock: &StepClock) -> Vec<(ItemRank, ItemKey)> {
        if !self.has_waiting() {
            return Vec::new();
        }
        let waits = |state: &ItemState| state.phase == ItemPhase::Waiting;
        let outlines = self.outlines(clock);
        let standings = self.standings(&outlines, clock);
        let spec = self.spec();
        let due_ms = (spec.submitted_ms + clock.deadline_ms).saturating_sub(clock.lateness_ms);
        let token_us = self.order_token_us(clock);
        let waiting = self.items.iter().filter(|(_, state)| waits(state));
        let ranked = waiting.map(|(key, state)| {
            let remaining_ms = self.remaining_tokens(key, clock).saturating_mul(token_us) / 1_000;
            let early_ms = remaining_ms * LENGTH_WEIGHT_PERCENT / 100;
            let rank = ItemRank {
                is_surplus: standings[state.group] == GroupStanding::Surplus,
                is_fresh: state.progress.last_event.is_none(),
                is_far: !outlines[state.group].is_nearly_complete(),
                due_start_ms: due_ms.saturating_sub(early_ms),
                submitted_ms: spec.submitted_ms,
                group: state.group,
            };
            (rank, key)
        });
        ranked.collect()
    }

    /// Counts the groups by standing and the unfinished items by phase.
    pub fn step_counts(&self, clock: &StepClock) -> StepCounts {
        let mut counts = StepCounts::default();
        for standing in self.standings(&self.outlines(clock), clock) {
            match standing {
                GroupStanding::Complete => counts.complete_groups += 1,
                GroupStanding::Wanted => counts.wanted_groups += 1,
                GroupStanding::Late => counts.late_groups += 1,
                GroupStanding::Surplus => counts.surplus_groups += 1,
            }
        }
        for (_, state) in self.items.iter() {
            match state.phase {
                ItemPhase::Waiting => counts.waiting_items += 1,
                ItemPhase::Running(_) => counts.running_items += 1,
                ItemPhase::Scoring => counts.scoring_items += 1,
                ItemPhase::Finished(_) | ItemPhase::Listed(_) => {}
            }
        }
        counts
    }

    /// Returns the time until the longest text for which the trainer waits would be complete if all items
    /// ran now, in milliseconds; `None` if nothing was measured.
    pub fn expected_ms(&self, clock: &StepClock) -> Option<u64> {
        let outlines = self.outlines(clock);
        let standings = self.standings(&outlines, clock);
        let waited = outlines.iter().zip(&standings).filter(|(_, standing)| {
            matches!(standing, GroupStanding::Wanted | GroupStanding::Late)
        });
        let longest = waited.map(|(group, _)| group.longest_tokens).max();
        let tokens = longest.unwrap_or(0);
        (clock.token_us() > 0).then(|| tokens.saturating_mul(clock.token_us()) / 1_000)
    }

    /// Marks the group of an item as one that yielded its place, and returns whether it had not before.
    pub fn record_yield(&mut self, key: ItemKey) -> bool {
        let group = self.state(key).group;
        !std::mem::replace(&mut self.groups[group].has_yielded, true)
    }

    /// Returns the expected tokens and the events of the texts that were completed here, from which the
    /// tokens of an event are learned.
    pub fn measured_text(&self) -> (u64, u64) {
        self.measured
    }

    pub(super) fn standings(
        &self,
        outlines: &[GroupOutline],
        clock: &StepClock,
    ) -> Vec<GroupStanding> {
        let due_ms = self.spec().submitted_ms + clock.deadline_ms;
        let left = TokenTime {
            token_us: clock.token_us(),
            left_us: due_ms.saturating_sub(clock.unix_ms).saturating_mul(1_000),
        };
        let left = (clock.deadline_ms > 0 && clock.token_us() > 0).then_some(left);
        plan_groups(outlines, self.spec().wanted_groups, left)
    }

    pub(super) fn outlines(&self, clock: &StepClock) -> Vec<GroupOutline> {
        let outline = |group: &GroupState| GroupOutline {
            members: group.members,
            unfinished: group.unfinished,
            is_carried_over: group.is_carried_over,
            longest_tokens: 0,
        };
        let mut outlines: Vec<GroupOutline> = self.groups.iter().map(outline).collect();
        for (key, state) in self.items.iter() {
            let is_generated = matches!(state.phase, ItemPhase::Waiting | ItemPhase::Running(_));
            if is_generated {
                let longest = &mut outlines[state.group].longest_tokens;
                *longest = (*longest).max(self.remaining_tokens(key, clock));
            }
        }
        outlines
    }

    /// Returns the number of tokens that an item's text probably still needs.
    fn remaining_tokens(&self, key: ItemKey, clock: &StepClock) -> u64 {
        let expected = u64::from(self.item(key).expected_tokens);
        let events = self.progress(key).last_event.unwrap_or(0);
        expected.saturating_sub(clock.tokens_in(events))
    }

    /// Returns the time for a token by which items are ordered. Without a measurement, the longest text is
    /// taken to need the whole time until the results are due.
    fn order_token_us(&self, clock: &StepClock) -> u64 {
        if clock.token_us() > 0 {
            return clock.token_us();
        }
        let longest = self.spec().items.iter().map(|item| item.expected_tokens);
        let tokens = u64::from(longest.max().unwrap_or(0).max(1));
        clock.deadline_ms.saturating_mul(1_000) / tokens
    }
}
