//! Tests jobs in the process that owns them: starting order under load, and a fuzz test with an
//! oracle.

mod common;

use {
    catkindeck::{Moment, id::ObjectName, token::WeightVersion},
    catkindeck_policy::direct::{
        ItemKey, ItemOutcome, ItemPhase, ItemProgress, JobItem, JobLimits, JobResult, JobSpec,
        ResultCommit, ResultState, RolloutJob, ScorerCall, SoftwareVersion, StartPriority,
        UpstreamKey,
    },
    proptest::prelude::*,
    std::{collections::BTreeMap, rc::Rc},
};

const UPSTREAM: UpstreamKey = UpstreamKey(0);

/// The number of failures that the scorer's route allows.
const SCORER_LIMIT: u32 = 4;

/// The maximum size of a commit in these tests, in bytes.
const COMMIT_BYTES: usize = 2_000;

fn name(text: &str) -> ObjectName {
    ObjectName::try_from(text).expect("the name is valid")
}

fn item(id: &str, group: &str, expected_tokens: u32) -> JobItem {
    JobItem {
        id: id.to_owned(),
        path: "/v1".to_owned(),
        headers: Vec::new(),
        body: Vec::new(),
        group: group.to_owned(),
        model: None,
        part: None,
        expected_tokens,
        scorer: None,
    }
}

fn spec(min_version: u64, items: Vec<JobItem>) -> Rc<JobSpec> {
    Rc::new(JobSpec {
        id: "job".to_owned(),
        customer: None,
        route: name("route"),
        host: "host".to_owned(),
        submitted_ms: 0,
        model: Some(name("model-a")),
        least_version: WeightVersion(min_version),
        wanted_groups: 0,
        items,
    })
}

fn limits(single_version: bool) -> JobLimits {
    JobLimits {
        attempts: 3,
        item_ttl_ms: 600_000,
        single_version,
    }
}

fn software(version: &str) -> SoftwareVersion {
    SoftwareVersion::try_from(version).expect("the version is valid")
}

/// Returns the waiting items of all priorities in starting order.
fn all_waiting(job: &RolloutJob) -> Vec<ItemKey> {
    let priorities = StartPriority::ALL.into_iter();
    priorities
        .flat_map(|priority| job.waiting(priority))
        .collect()
}

/// Simulates a step on `slots` slots and returns when the last item of `carried_over` completes.
fn group_finished_ms(
    job: &mut RolloutJob,
    slots: usize,
    carried_over: &[ItemKey],
    durations: &[u64],
) -> u64 {
    let mut running: Vec<(u64, ItemKey)> = Vec::new();
    let mut last = 0;
    let mut now = 0;
    loop {
        for key in all_waiting(job) {
            if running.len() == slots {
                break;
            }
            job.record_start(key, UPSTREAM);
            running.push((now + durations[key.0 as usize], key));
        }
        let Some(next) = running.iter().copied().min() else {
            return last;
        };
        now = next.0;
        running.retain(|run| *run != next);
        job.append(next.1, 1, "whole", (Some(WeightVersion(1)), &software("1")));
        job.record_run_end(Moment(now), next.1, ItemOutcome::Complete);
        if carried_over.contains(&next.1) {
            last = now;
        }
    }
}

/// Guards against late starts of a group that was incomplete in the previous step: such groups
/// started up to 1.1 s late and determined when their steps completed.
///
/// Load pattern: a trainer's step of 20 groups of 8 runs on engines with a third of the slots that
/// it needs. One text of the first group takes six times as long as the others, although the
/// caller's estimate of its length is short.
#[test]
fn a_group_from_an_earlier_step_starts_first() {
    let members = 8;
    let items: Vec<JobItem> = (0..20 * members)
        .map(|index| {
            let group = index / members;
            // The estimate for the carried-over group is the shortest of all.
            item(
                &format!("item-{index}"),
                &format!("group-{group}"),
                100 + group,
            )
        })
        .collect();
    let durations: Vec<u64> = (0..20 * members)
        .map(|index| if index == 3 { 6_000 } else { 1_000 })
        .collect();
    let carried_over: Vec<ItemKey> = (0..members).map(ItemKey).collect();

    let mut without_priority = RolloutJob::new(spec(1, items.clone()), limits(false));
    let finished_without = group_finished_ms(&mut without_priority, 54, &carried_over, &durations);
    let mut with_priority = RolloutJob::new(spec(1, items), limits(false));
    with_priority.prioritize_group(carried_over[3]);
    let finished_with = group_finished_ms(&mut with_priority, 54, &carried_over, &durations);

    assert_eq!(
        finished_with, 6_000,
        "the longest carried-over text starts immediately"
    );
    assert!(finished_without > finished_with, "{finished_without}");
}

/// Returns when enough groups of a step are complete, with items that start in the job's order on
/// `slots` slots.
fn step_finished_ms(job: &mut RolloutJob, slots: usize, durations: &[u64], wanted: usize) -> u64 {
    let members = 8;
    let mut left = vec![members; durations.len() / members];
    let mut running: Vec<(u64, ItemKey)> = Vec::new();
    let mut now = 0;
    let mut complete = 0;
    while complete < wanted {
        for key in all_waiting(job) {
            if running.len() == slots {
                break;
            }
            job.record_start(key, UPSTREAM);
            running.push((now + durations[key.0 as usize], key));
        }
        let next = running.iter().copied().min().expect("an item is running");
        now = next.0;
        running.retain(|run| *run != next);
        job.append(next.1, 1, "whole", (Some(WeightVersion(1)), &software("1")));
        job.record_run_end(Moment(now), next.1, ItemOutcome::Complete);
        let group = next.1.0 as usize / members;
        left[group] -= 1;
        complete += usize::from(left[group] == 0);
    }
    now
}

/// Guards against long texts that wait for the turn of their group while short texts of other groups
/// run. The slowest tenth of the texts waited 1.8 s for their first start, the others 0.6 s.
///
/// Load pattern: a step of 16 groups of 8 on a quarter of the slots that it needs. Each group has one
/// long text, and the estimates of the groups' longest texts are close to each other.
#[test]
fn long_texts_start_before_short_texts_of_other_groups() {
    let lengths: Vec<u32> = (0..128u32)
        .map(|index| match index % 8 {
            5 => 400 + index / 8,
            other => 20 + 3 * other,
        })
        .collect();
    let durations: Vec<u64> = lengths
        .iter()
        .map(|length| u64::from(*length) * 10)
        .collect();
    let draft = |hinted: bool| {
        let items = lengths.iter().enumerate().map(|(index, length)| {
            let group = format!("group-{}", index / 8);
            item(
                &format!("item-{index}"),
                &group,
                if hinted { *length } else { 0 },
            )
        });
        RolloutJob::new(spec(1, items.collect()), limits(false))
    };

    let finished = step_finished_ms(&mut draft(true), 32, &durations, 15);
    let in_group_order = step_finished_ms(&mut draft(false), 32, &durations, 15);

    // The longest text alone takes 4.15 s, so no order completes the step much sooner.
    assert!(finished <= 4_300, "{finished} ms");
    assert!(in_group_order > finished + 500, "{in_group_order} ms");
}

/// Guards against interrupted items that wait behind items which have not run yet.
///
/// Load pattern: a step is interrupted on several engines at once while other items wait for their
/// first run.
#[test]
fn interrupted_items_start_before_carried_over_and_new_ones() {
    let items = vec![
        item("new", "a", 900),
        item("carried-over", "b", 10),
        item("interrupted", "c", 10),
    ];
    let mut job = RolloutJob::new(spec(1, items), limits(false));
    job.prioritize_group(ItemKey(1));
    job.record_start(ItemKey(2), UPSTREAM);
    job.append(
        ItemKey(2),
        1,
        "half",
        (Some(WeightVersion(1)), &software("1")),
    );
    job.record_run_end(Moment(5), ItemKey(2), ItemOutcome::Interrupted);

    let order = all_waiting(&job);

    assert_eq!(order, [ItemKey(2), ItemKey(1), ItemKey(0)]);
}

/// Guards against a text that is joined from two software versions, in a run or across owners.
#[test]
fn a_text_continues_only_at_its_own_software_version() {
    let mut job = RolloutJob::new(spec(1, vec![item("one", "a", 10)]), limits(false));
    let key = ItemKey(0);
    let weights = Some(WeightVersion(1));
    assert_eq!(job.required_software(key), None);
    job.record_start(key, UPSTREAM);
    assert!(job.append(key, 1, "first", (weights, &software("v1"))));
    assert!(!job.append(key, 2, "second", (weights, &software("v2"))));
    job.record_run_end(Moment(5), key, ItemOutcome::Interrupted);
    assert_eq!(job.required_software(key), Some(&software("v1")));
    assert!(job.can_resume(key, weights, &software("v1")));
    assert!(!job.can_resume(key, weights, &software("v2")));

    let copy = job.progress(key).clone();
    let mut taken_over = RolloutJob::new(Rc::clone(job.spec()), limits(false));
    assert!(taken_over.adopt(Moment(9), key, copy));
    assert_eq!(taken_over.required_software(key), Some(&software("v1")));

    job.discard_text(key);
    assert!(job.can_resume(key, weights, &software("v2")));
    assert!(job.append(key, 1, "again", (weights, &software("v2"))));
    assert_eq!(job.required_software(key), Some(&software("v2")));
}

/// Guards against continuing a text of which nobody knows the version.
#[test]
fn a_text_without_a_known_version_starts_again() {
    let mut job = RolloutJob::new(spec(1, vec![item("one", "a", 10)]), limits(false));
    let unknown = ItemProgress {
        text: "first".to_owned(),
        last_event: Some(1),
        versions: vec![WeightVersion(1)],
        failures: 2,
        ..ItemProgress::default()
    };
    assert!(!job.adopt(Moment(9), ItemKey(0), unknown));
    let progress = job.progress(ItemKey(0));
    assert_eq!((progress.text.as_str(), progress.last_event), ("", None));
    assert_eq!(progress.failures, 2, "failures count across owners");
}

/// Guards against items that wait for a version that has left, or is full for long, while others serve.
#[test]
fn an_item_does_not_wait_long_for_its_version() {
    let mut job = RolloutJob::new(spec(1, vec![item("one", "a", 10)]), limits(false));
    let key = ItemKey(0);
    job.record_start(key, UPSTREAM);
    job.append(key, 1, "first", (Some(WeightVersion(1)), &software("v1")));
    job.record_run_end(Moment(5_000), key, ItemOutcome::Interrupted);
    assert!(!job.should_restart(Moment(5_500), key, true, true));
    assert!(job.should_restart(Moment(6_000), key, true, true));
    assert!(!job.should_restart(Moment(9_000), key, true, false));
    assert!(job.should_restart(Moment(5_001), key, false, false));
}

/// Guards against an older copy of a text that replaces a more recent one, because a peer's
/// response with the older copy arrives last.
#[test]
fn the_more_recent_copy_wins() {
    let copy = |last_event, restarts, complete| ItemProgress {
        last_event,
        restarts,
        complete,
        ..ItemProgress::default()
    };
    let none = copy(None, 0, false);
    let short = copy(Some(3), 0, false);
    let long = copy(Some(9), 0, false);
    let restarted = copy(Some(1), 1, false);
    let complete = copy(Some(9), 0, true);
    for (ahead, behind) in [
        (&short, &none),
        (&long, &short),
        (&restarted, &long),
        (&complete, &long),
    ] {
        assert!(ahead.is_ahead_of(behind), "{ahead:?} {behind:?}");
        assert!(!behind.is_ahead_of(ahead), "{ahead:?} {behind:?}");
    }
}

/// Guards against results that are listed after the end of a job. Another process may already serve
/// the results that were stored at the end, so its readers would see fewer results than others
/// (seen once in 24 runs).
#[test]
fn an_ended_job_lists_no_further_results() {
    let items = vec![item("one", "a", 10), item("two", "a", 10)];
    let mut job = RolloutJob::new(spec(1, items), limits(false));
    for key in [ItemKey(0), ItemKey(1)] {
        job.record_start(key, UPSTREAM);
        job.append(key, 1, "whole", (Some(WeightVersion(1)), &software("1")));
        job.record_run_end(Moment(0), key, ItemOutcome::Complete);
    }
    assert!(job.commit_at().is_some());

    job.end();

    assert_eq!(job.commit_at(), None);
    assert_eq!(job.next_commit(Moment(10_000), COMMIT_BYTES), None);
    assert!(job.is_done());
}

const ITEMS: usize = 6;
const EVENTS: u64 = 3;
const MIN_VERSION: u64 = 4;

#[derive(Debug, Clone)]
enum Operation {
    Start,
    /// Delivers the next event, or one that is `skip` further. Its version may be too old or
    /// missing.
    Event {
        choice: usize,
        skip: u64,
        version: Option<u64>,
    },
    End {
        choice: usize,
        outcome: ItemOutcome,
    },
    Score {
        choice: usize,
        scored: bool,
    },
    Store {
        fault: StoreFault,
    },
    /// Replaces the owner by one that continues from the store and possibly from copies.
    TakeOver {
        copies: bool,
    },
    Advance {
        ms: u64,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StoreFault {
    None,
    /// The write took effect but its response is lost, so it is sent again.
    ResponseLost,
    /// The write had no effect, because another process owns the job.
    Rejected,
}

fn operation() -> impl Strategy<Value = Operation> {
    let outcome = prop_oneof![
        6 => Just(ItemOutcome::Complete),
        3 => Just(ItemOutcome::Interrupted),
        1 => Just(ItemOutcome::Failed),
        1 => Just(ItemOutcome::Impossible),
        1 => Just(ItemOutcome::Stale),
    ];
    let version = prop_oneof![
        8 => (MIN_VERSION..MIN_VERSION + 2).prop_map(Some),
        1 => Just(Some(MIN_VERSION - 1)),
        1 => Just(None),
    ];
    let skip = prop_oneof![9 => Just(0u64), 1 => 1..3u64];
    let fault = prop_oneof![
        4 => Just(StoreFault::None),
        1 => Just(StoreFault::ResponseLost),
        1 => Just(StoreFault::Rejected),
    ];
    prop_oneof![
        4 => Just(Operation::Start),
        10 => (0..ITEMS, skip, version)
            .prop_map(|(choice, skip, version)| Operation::Event { choice, skip, version }),
        4 => (0..ITEMS, outcome).prop_map(|(choice, outcome)| Operation::End { choice, outcome }),
        3 => (0..ITEMS, prop::bool::weighted(0.9))
            .prop_map(|(choice, scored)| Operation::Score { choice, scored }),
        3 => fault.prop_map(|fault| Operation::Store { fault }),
        1 => any::<bool>().prop_map(|copies| Operation::TakeOver { copies }),
        2 => (1..1_500u64).prop_map(|ms| Operation::Advance { ms }),
    ]
}

/// The contents of the store and the events of the upstreams, against which each result is checked.
struct JobOracle {
    single_version: bool,
    /// The stored results by position, which never change.
    stored: BTreeMap<u32, JobResult>,
    /// The accepted events of each item's current text with their versions.
    taken: Vec<Vec<(u64, u64)>>,
    /// The scores given by the scorer.
    scores: Vec<Option<String>>,
    /// The answers of the upstreams that state a failure of their own, since an item's last takeover
    /// without a copy.
    failures: Vec<u32>,
    /// The answers of the upstreams stating that an item can never succeed.
    rejections: Vec<u32>,
    /// The scorer's answers that state a failure of its own, since the last takeover.
    scorer_failures: Vec<u32>,
}

impl JobOracle {
    fn new(single_version: bool) -> Self {
        Self {
            single_version,
            stored: BTreeMap::new(),
            taken: vec![Vec::new(); ITEMS],
            scores: vec![None; ITEMS],
            failures: vec![0; ITEMS],
            rejections: vec![0; ITEMS],
            scorer_failures: vec![0; ITEMS],
        }
    }

    /// Stores results on condition that their positions are free.
    fn write(&mut self, commit: &ResultCommit) {
        for (position, result) in (commit.first..).zip(&commit.results) {
            assert!(
                !self.stored.contains_key(&position),
                "position {position} is written twice"
            );
            assert!(
                self.stored.values().all(|other| other.id != result.id),
                "{} is listed twice",
                result.id
            );
            self.check(result);
            self.stored.insert(position, result.clone());
        }
    }

    /// Checks a result against the accepted events.
    fn check(&self, result: &JobResult) {
        let index = index_of(&result.id);
        if result.state == ResultState::Aborted {
            assert!(result.text.is_empty() && result.versions.is_empty());
            assert!(
                self.failures[index] >= limits(false).attempts
                    || self.rejections[index] > 0
                    || self.scorer_failures[index] >= SCORER_LIMIT,
                "{} was given up after {} failures, {} rejections and {} failures of its scorer",
                result.id,
                self.failures[index],
                self.rejections[index],
                self.scorer_failures[index]
            );
            return;
        }
        let taken = &self.taken[index];
        let text: Vec<String> = taken.iter().map(|(event, _)| event_text(*event)).collect();
        assert_eq!(result.text, text.join("\n"), "{}", result.id);
        let numbers: Vec<u64> = taken.iter().map(|(event, _)| *event).collect();
        assert_eq!(numbers, (1..=EVENTS).collect::<Vec<u64>>(), "{}", result.id);
        let mut versions: Vec<WeightVersion> = taken
            .iter()
            .map(|(_, version)| WeightVersion(*version))
            .collect();
        versions.sort_unstable();
        versions.dedup();
        assert_eq!(result.versions, versions, "{}", result.id);
        assert!(
            versions
                .iter()
                .all(|version| *version >= WeightVersion(MIN_VERSION))
        );
        assert!(!self.single_version || versions.len() == 1);
        assert_eq!(result.score, self.scores[index], "{}", result.id);
        assert!(result.score.is_some(), "{} has no score", result.id);
    }

    fn listed(&self) -> Vec<JobResult> {
        let positions: Vec<u32> = self.stored.keys().copied().collect();
        let expected: Vec<u32> = (0..).take(positions.len()).collect();
        assert_eq!(positions, expected, "positions have a gap");
        self.stored.values().cloned().collect()
    }
}

fn event_text(event: u64) -> String {
    format!("data-{event}")
}

fn index_of(id: &str) -> usize {
    let number = id.strip_prefix("item-").expect("the test chose the id");
    number.parse().expect("the test chose the id")
}

fn new_job(single_version: bool) -> RolloutJob {
    let items = (0..ITEMS)
        .map(|index| JobItem {
            scorer: Some(ScorerCall {
                id: format!("score-{index}"),
                host: "host".to_owned(),
                path: "/score".to_owned(),
                body: Vec::new(),
            }),
            ..item(
                &format!("item-{index}"),
                &format!("group-{}", index / 2),
                10,
            )
        })
        .collect();
    RolloutJob::new(spec(MIN_VERSION, items), limits(single_version))
}

fn is_running(job: &RolloutJob, key: ItemKey) -> bool {
    job.running().iter().any(|(other, _)| *other == key)
}

/// Applies one operation to the job and the oracle.
fn apply_operation(
    job: &mut RolloutJob,
    oracle: &mut JobOracle,
    now: &mut u64,
    operation: &Operation,
) {
    match operation {
        Operation::Start => {
            for key in all_waiting(job) {
                job.record_start(key, UPSTREAM);
            }
        }
        Operation::Event {
            choice,
            skip,
            version,
        } => {
            let key = ItemKey(u32::try_from(*choice).expect("few items"));
            let taken = &mut oracle.taken[*choice];
            if !is_running(job, key) || taken.len() as u64 == EVENTS {
                return;
            }
            // A text begins with its first event; the caller of `append` never sends another one
            // first.
            let skip = if taken.is_empty() { 0 } else { *skip };
            let event = taken.len() as u64 + 1 + skip;
            let data = event_text(event);
            if job.append(
                key,
                event,
                &data,
                (version.map(WeightVersion), &software("1")),
            ) {
                taken.push((
                    event,
                    version.expect("an event without a version was accepted"),
                ));
                assert_eq!(skip, 0, "an event was skipped");
            }
        }
        Operation::End { choice, outcome } => {
            let key = ItemKey(u32::try_from(*choice).expect("few items"));
            if !is_running(job, key) {
                return;
            }
            let is_complete = oracle.taken[*choice].len() as u64 == EVENTS;
            let outcome = match outcome {
                ItemOutcome::Complete if !is_complete => ItemOutcome::Interrupted,
                outcome => *outcome,
            };
            match outcome {
                ItemOutcome::Failed => oracle.failures[*choice] += 1,
                ItemOutcome::Impossible => oracle.rejections[*choice] += 1,
                _ => {}
            }
            job.record_run_end(Moment(*now), key, outcome);
            if job.progress(key).last_event.is_none() {
                oracle.taken[*choice].clear();
            }
        }
        Operation::Score { choice, scored } => {
            let key = ItemKey(u32::try_from(*choice).expect("few items"));
            apply_score(job, oracle, *now, key, *scored);
        }
        Operation::Store { fault } => {
            let Some(commit) = job.next_commit(Moment(*now), COMMIT_BYTES) else {
                return;
            };
            assert!(
                job.next_commit(Moment(*now), COMMIT_BYTES).is_none(),
                "two commits are in progress"
            );
            match fault {
                StoreFault::Rejected => job.abandon_commit(),
                // After a lost response the stored value shows that the write took effect, so both
                // cases are handled alike.
                StoreFault::None | StoreFault::ResponseLost => {
                    oracle.write(&commit);
                    job.confirm_commit(&commit);
                }
            }
        }
        Operation::TakeOver { copies } => take_over(job, oracle, *now, *copies),
        Operation::Advance { ms } => *now += ms,
    }
}

/// Records an answer of the scorers of all items that wait for their first call, and of one item.
fn apply_score(job: &mut RolloutJob, oracle: &mut JobOracle, now: u64, key: ItemKey, scored: bool) {
    for key in job.take_unscored().into_iter().chain([key]) {
        if job.phase(key) != ItemPhase::Scoring {
            continue;
        }
        let index = key.0 as usize;
        if scored {
            let score = format!("stamp-{}-{now}", key.0);
            oracle.scores[index] = Some(score.clone());
            job.record_score(Moment(now), key, score);
        } else {
            oracle.scorer_failures[index] += 1;
            job.record_scorer_failures(Moment(now), key, 1, SCORER_LIMIT);
        }
    }
}

fn take_over(job: &mut RolloutJob, oracle: &mut JobOracle, now: u64, copies: bool) {
    let texts: Vec<(ItemKey, ItemProgress)> = job
        .unlisted_texts()
        .map(|(key, progress)| (key, progress.clone()))
        .collect();
    let mut next = new_job(oracle.single_version);
    next.restore(&oracle.listed());
    assert_eq!(next.listed().len(), oracle.stored.len());
    let mut kept = Vec::new();
    if copies {
        for (key, progress) in texts {
            if next.adopt(Moment(now), key, progress) {
                kept.push(key.0 as usize);
            }
        }
    }
    for index in 0..ITEMS {
        if !kept.contains(&index) {
            oracle.taken[index].clear();
            oracle.scores[index] = None;
            oracle.failures[index] = 0;
            oracle.rejections[index] = 0;
        }
        oracle.scorer_failures[index] = 0;
    }
    *job = next;
}

/// Guards against results that change position, are listed twice, or differ from what the upstreams
/// sent under allowed versions, with interrupted runs, takeovers with and without copies, and lost
/// or rejected writes. In the end every item must be finished.
#[test]
fn results_agree_with_the_oracle() {
    let strategy = (any::<bool>(), prop::collection::vec(operation(), 1..120));
    let mut runner = proptest::test_runner::TestRunner::new(common::fuzz_config(0x0b5e));
    let outcome = runner.run(&strategy, |(single_version, operations)| {
        let mut job = new_job(single_version);
        let mut oracle = JobOracle::new(single_version);
        let mut now = 0;
        for operation in &operations {
            apply_operation(&mut job, &mut oracle, &mut now, operation);
            assert_eq!(job.listed().len(), oracle.stored.len());
        }
        finish(&mut job, &mut oracle, &mut now);
        Ok(())
    });
    if let Err(error) = outcome {
        panic!("{error}");
    }
}

/// Runs the remaining items without faults and checks that the job completes.
fn finish(job: &mut RolloutJob, oracle: &mut JobOracle, now: &mut u64) {
    for _ in 0..4 * ITEMS {
        *now += 2_000;
        apply_operation(job, oracle, now, &Operation::Start);
        for choice in 0..ITEMS {
            for _ in 0..EVENTS {
                // With a single version, a text continues only under the version of its first
                // event.
                let version = oracle.taken[choice]
                    .first()
                    .map_or(MIN_VERSION, |(_, first)| *first);
                let event = Operation::Event {
                    choice,
                    skip: 0,
                    version: Some(version),
                };
                apply_operation(job, oracle, now, &event);
            }
            let outcome = ItemOutcome::Complete;
            apply_operation(job, oracle, now, &Operation::End { choice, outcome });
        }
        for choice in 0..ITEMS {
            let scored = true;
            apply_operation(job, oracle, now, &Operation::Score { choice, scored });
        }
        *now += 2_000;
        let store = Operation::Store {
            fault: StoreFault::None,
        };
        apply_operation(job, oracle, now, &store);
    }
    assert!(
        job.is_complete(),
        "{} of {ITEMS} listed",
        job.listed().len()
    );
    assert_eq!(oracle.listed().len(), ITEMS);
}
