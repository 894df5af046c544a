//! A job: generations that are submitted together and whose results are listed at fixed positions.

use {
    super::{
        give_up::FailureEvidence,
        outcome::{ItemOutcome, ResultState},
        upstream::{SoftwareVersion, UpstreamKey},
    },
    catkindeck::{KeyArena, Moment, arena_key, id::ObjectName, message, token::WeightVersion},
    std::rc::Rc,
};

arena_key! {
    /// An item of one job, in order of submission.
    ItemKey
}

/// The maximum time that a finished result waits to be stored with others, in milliseconds.
///
/// Results are stored together because each store write has a cost. Only results of unfinished
/// groups wait this long: a trainer uses complete groups, so the result that completes a group
/// waits only [`GROUP_COMMIT_DELAY_MS`].
pub const RESULT_COMMIT_DELAY_MS: u64 = 1_000;

/// The time that the result that completes a group waits for other groups, in milliseconds. It is
/// short compared with the 500 ms between two reads of a trainer.
pub const GROUP_COMMIT_DELAY_MS: u64 = 100;

/// How long an item waits for an upstream of the software version of its text before the text is
/// discarded, in milliseconds. It is less than a text usually takes from its start.
const VERSION_WAIT_MS: u64 = 1_000;

/// A job as submitted.
#[message]
pub struct JobSpec {
    /// The ID chosen by the caller.
    pub id: String,
    pub customer: Option<ObjectName>,
    pub route: ObjectName,
    /// The host name of the caller's request.
    pub host: String,
    /// When the job was first submitted, in milliseconds since the Unix epoch.
    pub submitted_ms: u64,
    /// The model being trained, if a trainer submitted the job.
    pub model: Option<ObjectName>,
    /// The oldest weight version that may generate tokens of the job.
    pub least_version: WeightVersion,
    /// The number of complete groups that the trainer waits for, or zero without a trainer.
    pub wanted_groups: u32,
    pub items: Vec<JobItem>,
}

/// One generation of a job.
#[message]
pub struct JobItem {
    /// The ID chosen by the caller.
    pub id: String,
    /// The path at the upstream.
    pub path: String,
    /// The headers to send, as given by the caller.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// The name of the group, whose members share a prompt and are usable only together; empty for
    /// an item without a group.
    pub group: String,
    pub model: Option<ObjectName>,
    /// The digest of the prompt's shared parts.
    pub part: Option<u64>,
    /// The number of output tokens that the caller expects.
    pub expected_tokens: u32,
    pub scorer: Option<ScorerCall>,
}

/// The request that scores a finished text.
#[message]
pub struct ScorerCall {
    /// The ID chosen by the caller.
    pub id: String,
    /// The host name of the scorer's route.
    pub host: String,
    pub path: String,
    pub body: Vec<u8>,
}

/// A finished item as returned to readers.
#[message]
pub struct JobResult {
    /// The item's ID.
    pub id: String,
    pub state: ResultState,
    /// The data of all events, separated by line feeds.
    pub text: String,
    /// The weight versions that generated the events, in ascending order.
    pub versions: Vec<WeightVersion>,
    /// The scorer's result.
    pub score: Option<String>,
}

/// The progress of an unlisted item, from which another process can continue it.
#[message]
#[derive(Default)]
pub struct ItemProgress {
    /// The data of the events so far, separated by line feeds.
    pub text: String,
    /// The number of the last event.
    pub last_event: Option<u64>,
    /// The weight versions that generated these events, in ascending order.
    pub versions: Vec<WeightVersion>,
    /// The number of failed attempts.
    pub failures: u32,
    /// The number of responses stating that the item can never succeed.
    pub rejections: u32,
    /// How often the text was discarded and started again.
    pub restarts: u32,
    /// Whether the text is complete.
    pub complete: bool,
    /// The scorer's result, once known.
    pub score: Option<String>,
    /// The software version of the upstreams that generated the text; `None` without events.
    pub software: Option<SoftwareVersion>,
}

/// The text added to an item since an earlier state.
#[message]
pub struct TextPart {
    /// The number of bytes of text before this part.
    pub offset: u64,
    /// The current progress with only the added text.
    pub progress: ItemProgress,
}

impl ItemProgress {
    /// Returns whether the text is complete and scored.
    pub fn is_scored(&self) -> bool {
        self.complete && self.score.is_some()
    }

    /// Returns the part after `offset` bytes, or the whole text if `offset` is not a character
    /// boundary of it.
    pub fn part_from(&self, offset: usize) -> TextPart {
        let offset = match self.text.is_char_boundary(offset) {
            true => offset,
            false => 0,
        };
        TextPart {
            offset: offset as u64,
            progress: Self {
                text: self.text[offset..].to_owned(),
                ..self.clone()
            },
        }
    }

    /// Appends a part, or resets the progress if the part does not continue the text, which would
    /// then have a gap.
    pub fn apply_part(&mut self, part: &TextPart) {
        let mut text = match part.offset {
            0 => String::new(),
            _ => std::mem::take(&mut self.text),
        };
        let continues = part.offset == 0 || part.progress.restarts == self.restarts;
        if text.len() as u64 != part.offset || !continues {
            *self = Self::default();
            return;
        }
        text.push_str(&part.progress.text);
        *self = Self {
            text,
            ..part.progress.clone()
        };
    }

    /// Returns whether this is more recent than another copy of the same item.
    pub fn is_ahead_of(&self, other: &Self) -> bool {
        let rank = |progress: &Self| {
            let state = (progress.complete, progress.is_scored());
            (progress.restarts, progress.last_event, state)
        };
        rank(self) > rank(other)
    }
}

/// The phase of an item.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ItemPhase {
    Waiting,
    Running(UpstreamKey),
    /// The text is complete and waits for its score.
    Scoring,
    /// The result is final but not stored yet.
    Finished(ResultState),
    /// The result is stored at this position.
    Listed(u32),
}

#[derive(Debug, Clone)]
pub(super) struct ItemState {
    pub(super) phase: ItemPhase,
    pub(super) progress: ItemProgress,
    /// The number of the text's first event that this process received.
    first_event: Option<u64>,
    /// Whether the present run has brought an event, so that its request has reached the upstream.
    pub(super) has_run_event: bool,
    finished_at: Moment,
    /// When the last run ended.
    interrupted_at: Moment,
    scorer_called: bool,
    /// The number of calls that the scorer answered with a server failure. It is not copied to a new
    /// owner, which therefore calls the scorer at least as often as the route allows.
    scorer_failures: u32,
    /// The number of scorer failures that the scorer's route allows.
    scorer_limit: u32,
    pub(super) group: usize,
}

#[derive(Debug, Clone, Default)]
pub(super) struct GroupState {
    pub(super) members: u32,
    pub(super) unfinished: u32,
    pub(super) is_carried_over: bool,
    /// Whether an item of the group waited while others that are needed more got places.
    pub(super) has_yielded: bool,
    /// The oldest version at which texts of the group start, if it is newer than the job asks for.
    pub(super) held_version: Option<WeightVersion>,
}

/// The order in which waiting items start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StartPriority {
    /// A run of the item was interrupted and can be resumed.
    Interrupted,
    /// The item's group was incomplete in an earlier step. Such groups usually hold the longest
    /// texts, and the trainer cannot continue without them.
    CarriedOver,
    /// The item's group is new, and other groups can replace it.
    Fresh,
}

impl StartPriority {
    /// All priorities, in starting order.
    pub const ALL: [Self; 3] = [Self::Interrupted, Self::CarriedOver, Self::Fresh];
}

/// Results that are stored together at consecutive positions.
#[derive(Debug, Clone, PartialEq)]
pub struct ResultCommit {
    /// The position of the first result.
    pub first: u32,
    /// The items in order of their positions.
    pub items: Vec<ItemKey>,
    pub results: Vec<JobResult>,
    /// Whether this commit lists the last items of the job.
    pub is_last: bool,
}

/// The limits of a job's route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JobLimits {
    /// The number of failed attempts after which an item is given up.
    pub attempts: u32,
    /// The time after submission at which an item is given up, in milliseconds.
    pub item_ttl_ms: u64,
    /// Whether a single weight version must generate the whole text.
    pub single_version: bool,
}

/// The state of one job in the process that owns it.
///
/// Results become visible only by a store write that is conditional on this process still owning
/// the job, so a former owner cannot change what readers have seen (`docs/platform.md`).
#[derive(Debug, Clone)]
pub struct RolloutJob {
    spec: Rc<JobSpec>,
    limits: JobLimits,
    pub(super) items: KeyArena<ItemKey, ItemState>,
    pub(super) groups: Vec<GroupState>,
    listed: Vec<ItemKey>,
    storing: bool,
    pub(super) ended: bool,
    /// The expected tokens and the events of the texts that were completed here.
    pub(super) measured: (u64, u64),
}

impl RolloutJob {
    /// Creates the state of a job that has not started.
    pub fn new(spec: Rc<JobSpec>, limits: JobLimits) -> Self {
        let mut names: Vec<&str> = Vec::new();
        let mut groups: Vec<GroupState> = Vec::new();
        let mut items = KeyArena::new();
        for item in &spec.items {
            let known = names.iter().position(|name| *name == item.group);
            // Each item without a group forms a group of its own.
            let group = known.filter(|_| !item.group.is_empty()).unwrap_or_else(|| {
                names.push(&item.group);
                groups.push(GroupState::default());
                groups.len() - 1
            });
            let state = &mut groups[group];
            state.members += 1;
            state.unfinished += 1;
            items.insert(ItemState {
                phase: ItemPhase::Waiting,
                progress: ItemProgress::default(),
                first_event: None,
                has_run_event: false,
                finished_at: Moment(0),
                interrupted_at: Moment(0),
                scorer_called: false,
                scorer_failures: 0,
                scorer_limit: 0,
                group,
            });
        }
        Self {
            spec,
            limits,
            items,
            groups,
            listed: Vec::new(),
            storing: false,
            ended: false,
            measured: (0, 0),
        }
    }

    /// Restores the results that are already stored.
    ///
    /// Results of unknown items are ignored, because this job cannot have listed them.
    pub fn restore(&mut self, results: &[JobResult]) {
        for result in results {
            let position = self.spec.items.iter().position(|item| item.id == result.id);
            let Some(position) = position else { continue };
            let key = ItemKey(u32::try_from(position).unwrap_or(u32::MAX));
            self.set_listed(key);
        }
    }

    /// Takes over the progress that a former owner or an earlier job made on an unlisted item.
    ///
    /// Progress with weight versions that this job does not allow is dropped. Returns whether the
    /// progress was taken over.
    pub fn adopt(&mut self, now: Moment, key: ItemKey, progress: ItemProgress) -> bool {
        let least_version = self.spec.least_version;
        let too_old = progress
            .versions
            .iter()
            .any(|version| *version < least_version);
        let mixed = self.limits.single_version && progress.versions.len() > 1;
        let needs_score = self.item(key).scorer.is_some();
        let state = self.state_mut(key);
        if too_old || mixed || state.phase != ItemPhase::Waiting {
            return false;
        }
        state.progress = progress;
        state.interrupted_at = now;
        let is_provable = state.progress.complete || state.progress.software.is_some();
        if state.progress.last_event.is_some() && !is_provable {
            self.discard_text(key);
            return false;
        }
        let state = self.state_mut(key);
        if state.progress.complete {
            match needs_score && state.progress.score.is_none() {
                true => state.phase = ItemPhase::Scoring,
                false => self.finish(now, key, ResultState::Completed),
            }
        }
        true
    }

    /// Returns the job as submitted.
    pub fn spec(&self) -> &Rc<JobSpec> {
        &self.spec
    }

    pub fn limits(&self) -> JobLimits {
        self.limits
    }

    /// Replaces the limits after a change of the route.
    pub fn set_limits(&mut self, limits: JobLimits) {
        self.limits = limits;
    }

    /// Returns an item as submitted.
    pub fn item(&self, key: ItemKey) -> &JobItem {
        &self.spec.items[key.0 as usize]
    }

    pub fn phase(&self, key: ItemKey) -> ItemPhase {
        self.state(key).phase
    }

    pub fn progress(&self, key: ItemKey) -> &ItemProgress {
        &self.state(key).progress
    }

    /// Records that an item is carried over from an earlier step, so the trainer waits for its
    /// group no matter how many other groups are complete.
    pub fn prioritize_group(&mut self, key: ItemKey) {
        let group = self.state(key).group;
        self.groups[group].is_carried_over = true;
    }

    /// Returns the waiting items of a priority in the order in which they should start.
    ///
    /// The longest expected texts start first, because they determine when their groups and thus the
    /// step complete; short texts fit into the time that is left. A prompt that several upstreams
    /// process costs a few milliseconds, a long text that waits for its group's turn costs seconds.
    pub fn waiting(&self, priority: StartPriority) -> Vec<ItemKey> {
        if self.ended {
            return Vec::new();
        }
        let waits = |state: &ItemState| {
            state.phase == ItemPhase::Waiting && self.start_priority(state) == priority
        };
        let mut waiting: Vec<ItemKey> = self
            .items
            .iter()
            .filter(|(_, state)| waits(state))
            .map(|(key, _)| key)
            .collect();
        waiting.sort_by_key(|key| {
            let longest = std::cmp::Reverse(self.item(*key).expected_tokens);
            (longest, self.state(*key).group, *key)
        });
        waiting
    }

    fn start_priority(&self, state: &ItemState) -> StartPriority {
        if state.progress.last_event.is_some() {
            return StartPriority::Interrupted;
        }
        match self.groups[state.group].is_carried_over {
            true => StartPriority::CarriedOver,
            false => StartPriority::Fresh,
        }
    }

    /// Returns the items to be scored; each item is returned once.
    pub fn take_unscored(&mut self) -> Vec<ItemKey> {
        let mut unscored = Vec::new();
        for (key, state) in self.items.iter_mut() {
            if state.phase == ItemPhase::Scoring && !state.scorer_called {
                state.scorer_called = true;
                unscored.push(key);
            }
        }
        unscored
    }

    /// Returns the running items with their upstreams.
    pub fn running(&self) -> Vec<(ItemKey, UpstreamKey)> {
        let running = self
            .items
            .iter()
            .filter_map(|(key, state)| match state.phase {
                ItemPhase::Running(upstream) => Some((key, upstream)),
                _ => None,
            });
        running.collect()
    }

    /// Records that an item was sent to an upstream.
    pub fn record_start(&mut self, key: ItemKey, upstream: UpstreamKey) {
        let state = self.state_mut(key);
        state.phase = ItemPhase::Running(upstream);
        state.has_run_event = false;
    }

    /// Discards the text of an item because the next run cannot resume it.
    pub fn discard_text(&mut self, key: ItemKey) {
        let state = self.state_mut(key);
        state.first_event = None;
        let progress = &mut state.progress;
        progress.text.clear();
        progress.last_event = None;
        progress.versions.clear();
        progress.software = None;
        progress.restarts += 1;
    }

    /// Returns the software version that must continue an item's text, if the item has one.
    pub fn required_software(&self, key: ItemKey) -> Option<&SoftwareVersion> {
        let progress = self.progress(key);
        progress
            .software
            .as_ref()
            .filter(|_| progress.last_event.is_some())
    }

    /// Returns whether an item has waited so long for an upstream of the software version of its text that it
    /// should start again at any version. `is_served` tells whether any upstream of that version accepts work,
    /// and `has_other` whether one of another version could start the item now.
    pub fn should_restart(
        &self,
        now: Moment,
        key: ItemKey,
        is_served: bool,
        has_other: bool,
    ) -> bool {
        let waited_ms = now.since(self.state(key).interrupted_at);
        !is_served || has_other && waited_ms >= VERSION_WAIT_MS
    }

    /// Returns whether a run under `version` of the weights at an upstream with `software` may resume the
    /// item's text.
    pub fn can_resume(
        &self,
        key: ItemKey,
        version: Option<WeightVersion>,
        software: &SoftwareVersion,
    ) -> bool {
        if self
            .required_software(key)
            .is_some_and(|own| own != software)
        {
            return false;
        }
        let progress = self.progress(key);
        let Some(last) = progress.versions.last() else {
            return true;
        };
        !self.limits.single_version || Some(*last) == version
    }

    /// Appends an event and returns whether it was accepted: it must have the next number, an allowed
    /// weight version, and the software version of the text.
    pub fn append(
        &mut self,
        key: ItemKey,
        event: u64,
        data: &str,
        (version, software): (Option<WeightVersion>, &SoftwareVersion),
    ) -> bool {
        let least_version = self.spec.least_version;
        let single = self.limits.single_version;
        let state = self.state_mut(key);
        let progress = &mut state.progress;
        let Some(version) = version.filter(|version| *version >= least_version) else {
            return false;
        };
        if progress.last_event.is_some_and(|last| event != last + 1) {
            return false;
        }
        if progress
            .software
            .as_ref()
            .is_some_and(|own| own != software)
        {
            return false;
        }
        if let Err(index) = progress.versions.binary_search(&version) {
            if single && !progress.versions.is_empty() {
                return false;
            }
            progress.versions.insert(index, version);
        }
        if progress.last_event.is_some() {
            progress.text.push('\n');
        }
        progress.text.push_str(data);
        progress.last_event = Some(event);
        state.first_event.get_or_insert(event);
        state.has_run_event = true;
        progress.software.get_or_insert_with(|| software.clone());
        true
    }

    /// Returns the number of events that an item's text would have with an event, as far as this process received it.
    /// It does not count those that a former owner received.
    pub fn text_events(&self, key: ItemKey, event: u64) -> u64 {
        let first = self.state(key).first_event.unwrap_or(event);
        event.saturating_sub(first) + 1
    }

    /// Records how a run ended.
    pub fn record_run_end(&mut self, now: Moment, key: ItemKey, outcome: ItemOutcome) {
        let has_scorer = self.item(key).scorer.is_some();
        let expected_tokens = u64::from(self.item(key).expected_tokens);
        let state = self.state_mut(key);
        if !matches!(state.phase, ItemPhase::Running(_)) {
            return;
        }
        state.phase = ItemPhase::Waiting;
        state.interrupted_at = now;
        match outcome {
            ItemOutcome::Complete => {
                state.progress.complete = true;
                state.phase = ItemPhase::Scoring;
                let events = state.progress.last_event.unwrap_or(0);
                self.measured.0 += expected_tokens;
                self.measured.1 += events;
                if !has_scorer {
                    self.finish(now, key, ResultState::Completed);
                }
            }
            ItemOutcome::Interrupted | ItemOutcome::Stale => {}
            ItemOutcome::Failed => {
                state.progress.failures += 1;
                self.give_up_if_justified(now, key, 0);
            }
            ItemOutcome::Impossible => {
                state.progress.rejections += 1;
                self.give_up_if_justified(now, key, 0);
            }
        }
    }

    /// Records the score of an item.
    pub fn record_score(&mut self, now: Moment, key: ItemKey, score: String) {
        if self.phase(key) != ItemPhase::Scoring {
            return;
        }
        self.state_mut(key).progress.score = Some(score);
        self.finish(now, key, ResultState::Completed);
    }

    /// Records that the scorer answered `failures` calls with a server failure; its route allows
    /// `limit`. Gives the item up if that is enough.
    pub fn record_scorer_failures(&mut self, now: Moment, key: ItemKey, failures: u32, limit: u32) {
        if self.phase(key) != ItemPhase::Scoring {
            return;
        }
        let state = self.state_mut(key);
        state.scorer_failures += failures;
        state.scorer_limit = limit;
        self.give_up_if_justified(now, key, 0);
    }

    /// Makes [`Self::take_unscored`] return an item again, after its scorer call ended without a
    /// result.
    pub fn retry_score(&mut self, key: ItemKey) {
        self.state_mut(key).scorer_called = false;
    }

    /// Gives up the unfinished items that are not running if the job's time to live has passed;
    /// `age_ms` is the time since its submission.
    pub fn expire(&mut self, now: Moment, age_ms: u64) {
        if age_ms < self.limits.item_ttl_ms {
            return;
        }
        let keys: Vec<ItemKey> = self.items.iter().map(|(key, _)| key).collect();
        for key in keys {
            if matches!(self.phase(key), ItemPhase::Waiting | ItemPhase::Scoring) {
                self.give_up_if_justified(now, key, age_ms);
            }
        }
    }

    /// Finishes an item as aborted, if the evidence against it justifies that.
    fn give_up_if_justified(&mut self, now: Moment, key: ItemKey, age_ms: u64) {
        let state = self.state(key);
        let evidence = FailureEvidence {
            failures: state.progress.failures,
            rejections: state.progress.rejections,
            scorer_failures: state.scorer_failures,
            scorer_limit: state.scorer_limit,
            age_ms,
        };
        if evidence.justifies_abort(&self.limits) {
            self.finish(now, key, ResultState::Aborted);
        }
    }

    /// Ends the job: nothing else starts, and unstored results are not listed.
    pub fn end(&mut self) {
        self.ended = true;
    }

    pub fn is_ended(&self) -> bool {
        self.ended
    }

    /// Returns whether every item is listed.
    pub fn is_complete(&self) -> bool {
        self.listed.len() == self.items.len()
    }

    /// Returns whether nothing is left to run, score or store.
    pub fn is_done(&self) -> bool {
        self.is_complete() || (self.ended && !self.storing)
    }

    /// Returns the listed items in order of their positions.
    pub fn listed(&self) -> &[ItemKey] {
        &self.listed
    }

    /// Returns the results to store now; [`Self::confirm_commit`] or [`Self::abandon_commit`] must
    /// follow.
    ///
    /// Only one commit is in progress at a time, which keeps the positions in order.
    pub fn next_commit(&mut self, now: Moment, size_limit: usize) -> Option<ResultCommit> {
        if self.commit_at().is_none_or(|due| due > now) {
            return None;
        }
        let finished = self.finished();
        let mut commit = ResultCommit {
            first: u32::try_from(self.listed.len()).unwrap_or(u32::MAX),
            items: Vec::new(),
            results: Vec::new(),
            is_last: false,
        };
        let mut size = 0;
        for key in finished {
            let result = self.result(key);
            size += result.text.len() + RESULT_OVERHEAD;
            if size > size_limit && !commit.items.is_empty() {
                break;
            }
            commit.items.push(key);
            commit.results.push(result);
        }
        commit.is_last = self.listed.len() + commit.items.len() == self.items.len();
        self.storing = true;
        Some(commit)
    }

    /// Records that results were stored.
    pub fn confirm_commit(&mut self, commit: &ResultCommit) {
        self.storing = false;
        for key in &commit.items {
            self.set_listed(*key);
        }
    }

    /// Records that results were not stored and never will be.
    pub fn abandon_commit(&mut self) {
        self.storing = false;
    }

    /// Returns when [`Self::next_commit`] has results to store, or `None` if that requires further
    /// events.
    ///
    /// An ended job lists no further results, because other processes already serve the results
    /// that were stored when it ended.
    pub fn commit_at(&self) -> Option<Moment> {
        if self.storing || self.ended {
            return None;
        }
        let finished = self.finished();
        let count = finished.len();
        let due = finished.iter().map(|key| self.due_at(*key, count));
        due.min()
    }

    /// Returns the indices of the unlisted items in ascending order.
    pub fn unlisted(&self) -> Vec<u32> {
        let unlisted = |state: &ItemState| !matches!(state.phase, ItemPhase::Listed(_));
        let items = self.items.iter().filter(|(_, state)| unlisted(state));
        items.map(|(key, _)| key.0).collect()
    }

    /// Returns the progress of all unlisted items that have text, for a new owner.
    pub fn unlisted_texts(&self) -> impl Iterator<Item = (ItemKey, &ItemProgress)> {
        let unlisted = self.items.iter().filter(|(_, state)| {
            !matches!(state.phase, ItemPhase::Listed(_)) && state.progress.last_event.is_some()
        });
        unlisted.map(|(key, state)| (key, &state.progress))
    }

    fn finished(&self) -> Vec<ItemKey> {
        let finished = |state: &ItemState| matches!(state.phase, ItemPhase::Finished(_));
        let items = self.items.iter().filter(|(_, state)| finished(state));
        items.map(|(key, _)| key).collect()
    }

    /// Returns when a result stops waiting for others to be stored with it.
    fn due_at(&self, key: ItemKey, finished: usize) -> Moment {
        let state = self.state(key);
        let group_done = self.groups[state.group].unfinished == 0;
        let all_done = self.listed.len() + finished == self.items.len();
        match (all_done, group_done) {
            (true, _) => state.finished_at,
            (false, true) => state.finished_at + GROUP_COMMIT_DELAY_MS,
            (false, false) => state.finished_at + RESULT_COMMIT_DELAY_MS,
        }
    }

    fn finish(&mut self, now: Moment, key: ItemKey, result: ResultState) {
        let state = self.state_mut(key);
        state.phase = ItemPhase::Finished(result);
        state.finished_at = now;
        let group = state.group;
        let group = &mut self.groups[group];
        group.unfinished = group.unfinished.saturating_sub(1);
    }

    fn set_listed(&mut self, key: ItemKey) {
        let position = u32::try_from(self.listed.len()).unwrap_or(u32::MAX);
        let Some(state) = self.items.get_mut(key) else {
            return;
        };
        if matches!(state.phase, ItemPhase::Listed(_)) {
            return;
        }
        let was_open = !matches!(state.phase, ItemPhase::Finished(_));
        state.phase = ItemPhase::Listed(position);
        state.progress = ItemProgress::default();
        let group = state.group;
        self.listed.push(key);
        if was_open {
            self.groups[group].unfinished = self.groups[group].unfinished.saturating_sub(1);
        }
    }

    fn result(&self, key: ItemKey) -> JobResult {
        let state = self.state(key);
        let completed = state.phase == ItemPhase::Finished(ResultState::Completed);
        let progress = &state.progress;
        JobResult {
            id: self.item(key).id.clone(),
            state: match completed {
                true => ResultState::Completed,
                false => ResultState::Aborted,
            },
            // The text of an item that was given up is incomplete and useless.
            text: match completed {
                true => progress.text.clone(),
                false => String::new(),
            },
            versions: match completed {
                true => progress.versions.clone(),
                false => Vec::new(),
            },
            score: progress.score.clone(),
        }
    }

    pub(super) fn state(&self, key: ItemKey) -> &ItemState {
        self.items
            .get(key)
            .expect("the item key belongs to this job")
    }

    fn state_mut(&mut self, key: ItemKey) -> &mut ItemState {
        let state = self.items.get_mut(key);
        state.expect("the item key belongs to this job")
    }
}

/// The maximum size of a stored result without its text, in bytes.
const RESULT_OVERHEAD: usize = 256;
