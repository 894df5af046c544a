//! Tests of the owners of one run, with failovers, store faults and lost samples.

mod support;

use {
    catkindeck::{
        ErrorKind, ServiceError,
        config::RunRecord,
        log::discard_logger,
        message::{StepAction, StepAnswer, StepPlan},
        time::SystemClock,
        token::WeightVersion,
    },
    catkindeck_control::run::{
        owner::{OwnerParts, RunOwner},
        ports::OwnerLease,
    },
    std::{
        collections::BTreeSet,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        thread,
        time::Duration,
    },
    support::{
        MemoryStore, StoreFault,
        agents::{TestAgents, TestObserver, TestPublisher, plan, run},
    },
};

/// A lease that the test grants to an owner and ends.
struct TestLease {
    /// The fencing token, or zero while the lease is not held.
    fence: AtomicU64,
}

impl OwnerLease for TestLease {
    fn fence(&self) -> Result<u64, ServiceError> {
        match self.fence.load(Ordering::SeqCst) {
            0 => Err(ServiceError::not_run(ErrorKind::Fenced, "not held")),
            fence => Ok(fence),
        }
    }
}

struct TestSetup {
    store: Arc<MemoryStore>,
    agents: Arc<TestAgents>,
    publisher: Arc<TestPublisher>,
    observer: Arc<TestObserver>,
}

impl TestSetup {
    fn new() -> Self {
        Self {
            store: Arc::new(MemoryStore::default()),
            agents: Arc::new(TestAgents::default()),
            publisher: Arc::new(TestPublisher::default()),
            observer: Arc::new(TestObserver::default()),
        }
    }

    fn owner(&self, fence: u64) -> (RunOwner, Arc<TestLease>) {
        self.owner_of(run(), fence)
    }

    fn owner_of(&self, run: RunRecord, fence: u64) -> (RunOwner, Arc<TestLease>) {
        let lease = Arc::new(TestLease {
            fence: AtomicU64::new(fence),
        });
        let parts = OwnerParts {
            store: self.store.clone(),
            lease: lease.clone(),
            runner: self.agents.clone(),
            publisher: self.publisher.clone(),
            observer: self.observer.clone(),
            clock: Arc::new(SystemClock::new()),
            logger: discard_logger(),
        };
        (RunOwner::start(run, parts, 4).unwrap(), lease)
    }
}

/// Repeats a fetch until its result is not `Pending`, and fails after about 40 s, which is far more
/// than a busy machine needs.
fn fetch(owner: &RunOwner, step: u64, cursor: u32) -> StepAnswer {
    for _ in 0..20_000 {
        match owner.handle(&StepAction::Fetch { step, cursor }) {
            StepAnswer::Pending { .. } => thread::sleep(Duration::from_millis(2)),
            answer => return answer,
        }
    }
    panic!("batch {cursor} of step {step} is still pending");
}

/// Fetches all batches of a step from `cursor` on and checks that no sample is delivered twice.
fn fetch_all(owner: &RunOwner, step: u64, mut cursor: u32, seen: &mut BTreeSet<(u32, u32)>) -> u32 {
    loop {
        match fetch(owner, step, cursor) {
            StepAnswer::Batch { samples, last } => {
                for sample in samples {
                    assert!(
                        seen.insert((sample.id.group, sample.id.index)),
                        "{:?}",
                        sample.id
                    );
                }
                cursor += 1;
                if last {
                    return cursor;
                }
            }
            StepAnswer::Lost { .. } => cursor += 1,
            other => panic!("unexpected response {other:?}"),
        }
    }
}

/// Guards against missing or duplicate samples in a step of the target size without faults, and
/// against a step after which the next one cannot be opened.
#[test]
fn delivers_a_step_of_1024_samples_in_groups_of_8() {
    let setup = TestSetup::new();
    let (owner, _lease) = setup.owner(1);
    for step in [4, 5, 6] {
        assert_eq!(
            owner.handle(&StepAction::Open(plan(step, 128))),
            StepAnswer::Accepted
        );
        assert_eq!(
            owner.handle(&StepAction::Open(plan(step, 128))),
            StepAnswer::Accepted
        );
        let mut seen = BTreeSet::new();
        fetch_all(&owner, step, 0, &mut seen);
        assert_eq!(seen.len(), 1024);
    }
    owner.stop();
    // The counts for the service-level report match what the trainer received.
    assert_eq!(setup.observer.delivered.load(Ordering::SeqCst), 3 * 1024);
    assert_eq!(setup.observer.on_time_count.load(Ordering::SeqCst), 3);
    assert_eq!(setup.observer.late_count.load(Ordering::SeqCst), 0);
}

/// Guards against a sample that is missing because an attempt failed.
#[test]
fn failed_attempts_are_retried() {
    let setup = TestSetup::new();
    setup.agents.fail_every.store(5, Ordering::SeqCst);
    let (owner, _lease) = setup.owner(1);
    assert_eq!(
        owner.handle(&StepAction::Open(plan(1, 4))),
        StepAnswer::Accepted
    );
    let mut seen = BTreeSet::new();
    fetch_all(&owner, 1, 0, &mut seen);
    assert_eq!(seen.len(), 32);
    owner.stop();
}

/// Guards against a new owner that drops or duplicates samples of a batch that its predecessor
/// offered. The trainer did not receive the response to its first fetch, and fetches the same
/// cursor from the new owner.
#[test]
fn successor_offers_the_same_batch_again() {
    let setup = TestSetup::new();
    let (former, lease) = setup.owner(1);
    former.handle(&StepAction::Open(plan(1, 4)));
    let StepAnswer::Batch { samples: first, .. } = fetch(&former, 1, 0) else {
        panic!()
    };
    lease.fence.store(0, Ordering::SeqCst);

    let (successor, _lease) = setup.owner(2);
    let StepAnswer::Batch {
        samples: again,
        last,
    } = fetch(&successor, 1, 0)
    else {
        panic!()
    };
    assert_eq!(first, again);
    let mut seen: BTreeSet<_> = again.iter().map(|s| (s.id.group, s.id.index)).collect();
    if !last {
        fetch_all(&successor, 1, 1, &mut seen);
    }
    assert_eq!(seen.len(), 32);
    let StepAnswer::Refused(error) = former.handle(&StepAction::Fetch { step: 1, cursor: 0 })
    else {
        panic!("the former owner handled a request without its lease");
    };
    assert_eq!(error.kind, ErrorKind::Fenced);
    former.stop();
    successor.stop();
}

/// Guards against samples that are lost without a report. The samples of an offered batch are lost
/// with the former owner and its agents, so the batch is reported as lost and its samples are
/// generated again.
#[test]
fn lost_batch_is_reported_and_replaced() {
    let setup = TestSetup::new();
    let (former, lease) = setup.owner(1);
    former.handle(&StepAction::Open(plan(1, 2)));
    let StepAnswer::Batch { samples: first, .. } = fetch(&former, 1, 0) else {
        panic!()
    };
    lease.fence.store(0, Ordering::SeqCst);
    former.stop();
    setup.agents.retained.lock().unwrap().clear();

    let (successor, _lease) = setup.owner(2);
    let StepAnswer::Lost { samples } = fetch(&successor, 1, 0) else {
        panic!("the batch is not reported as lost")
    };
    let offered: BTreeSet<_> = first.iter().map(|sample| sample.id.clone()).collect();
    assert_eq!(samples.into_iter().collect::<BTreeSet<_>>(), offered);
    let mut seen = BTreeSet::new();
    fetch_all(&successor, 1, 1, &mut seen);
    assert_eq!(seen.len(), 16);
    successor.stop();
}

/// Guards against a batch whose composition changes because the response to its write to the store
/// was lost.
#[test]
fn batch_survives_a_lost_store_response() {
    let setup = TestSetup::new();
    let (owner, _lease) = setup.owner(1);
    owner.handle(&StepAction::Open(plan(1, 2)));
    setup.store.set_fault(StoreFault::ResponseLost);
    let StepAnswer::Refused(error) = fetch(&owner, 1, 0) else {
        panic!("a batch was offered without being stored")
    };
    assert_eq!(error.kind, ErrorKind::StoreUnavailable);
    setup.store.set_fault(StoreFault::None);
    let mut seen = BTreeSet::new();
    fetch_all(&owner, 1, 0, &mut seen);
    assert_eq!(seen.len(), 16);
    owner.stop();
}

/// Guards against offering a batch that is not stored because the store is down, which a new owner
/// could not know about.
#[test]
fn nothing_is_offered_during_a_store_outage() {
    let setup = TestSetup::new();
    let (owner, _lease) = setup.owner(1);
    owner.handle(&StepAction::Open(plan(1, 1)));
    setup.store.set_fault(StoreFault::Outage);
    let StepAnswer::Refused(error) = fetch(&owner, 1, 0) else {
        panic!("a batch was offered without being stored")
    };
    assert_eq!(error.kind, ErrorKind::StoreUnavailable);
    owner.stop();
}

/// Guards against delivering samples beyond the staleness bound of 1. The samples were generated
/// with version 1, and the trainer announces version 3 before it fetches the batch again.
#[test]
fn stale_samples_are_generated_again() {
    let setup = TestSetup::new();
    setup.agents.version.store(1, Ordering::SeqCst);
    let (owner, _lease) = setup.owner(7);
    owner.handle(&StepAction::Announce(WeightVersion(1)));
    owner.handle(&StepAction::Open(plan(1, 1)));
    let StepAnswer::Batch { .. } = fetch(&owner, 1, 0) else {
        panic!()
    };
    setup.agents.version.store(3, Ordering::SeqCst);
    assert_eq!(
        owner.handle(&StepAction::Announce(WeightVersion(3))),
        StepAnswer::Accepted
    );
    let StepAnswer::Lost { samples } = fetch(&owner, 1, 0) else {
        panic!("a stale batch was offered")
    };
    assert_eq!(samples.len(), 8);
    let StepAnswer::Batch { samples, last } = fetch(&owner, 1, 1) else {
        panic!()
    };
    assert!(last);
    assert!(
        samples
            .iter()
            .all(|s| s.labels.oldest() == Some(WeightVersion(3)))
    );
    assert_eq!(
        *setup.publisher.published.lock().unwrap(),
        [(WeightVersion(1), 7), (WeightVersion(3), 7)]
    );
    let StepAnswer::Refused(error) = owner.handle(&StepAction::Announce(WeightVersion(2))) else {
        panic!("an older version was accepted");
    };
    assert_eq!(error.kind, ErrorKind::Conflict);
    owner.stop();
}

/// Guards against opening a step with an invalid plan, and against damage to the open step by such
/// an attempt.
#[test]
fn unusable_plans_are_refused_and_lose_nothing() {
    let setup = TestSetup::new();
    let (owner, _lease) = setup.owner(1);
    owner.handle(&StepAction::Open(plan(1, 1)));
    let huge = StepPlan {
        prompts: vec!["x".repeat(5 << 20)],
        ..plan(2, 1)
    };
    for (bad, kind) in [
        (
            StepPlan {
                group_size: 0,
                ..plan(2, 1)
            },
            ErrorKind::Conflict,
        ),
        (
            StepPlan {
                max_tokens: 9,
                ..plan(1, 1)
            },
            ErrorKind::Conflict,
        ),
    ] {
        let StepAnswer::Refused(error) = owner.handle(&StepAction::Open(bad)) else {
            panic!()
        };
        assert_eq!(error.kind, kind);
    }
    let mut seen = BTreeSet::new();
    fetch_all(&owner, 1, 0, &mut seen);
    assert_eq!(seen.len(), 8);
    for (bad, kind) in [
        (
            StepPlan {
                group_size: 0,
                ..plan(2, 1)
            },
            ErrorKind::BadRequest,
        ),
        (huge, ErrorKind::TooLarge),
    ] {
        let StepAnswer::Refused(error) = owner.handle(&StepAction::Open(bad)) else {
            panic!()
        };
        assert_eq!(error.kind, kind);
    }
    owner.stop();
}

/// Guards against a deadline that restarts with each owner, so that late steps would be reported as
/// on time. The deadline of 500 ms has passed when the new owner takes over.
#[test]
fn a_successor_keeps_the_deadline() {
    let setup = TestSetup::new();
    let (former, lease) = setup.owner(1);
    former.handle(&StepAction::Open(plan(1, 1)));
    lease.fence.store(0, Ordering::SeqCst);
    former.stop();
    thread::sleep(Duration::from_millis(600));

    let late_run = RunRecord {
        step_deadline_ms: 500,
        ..run()
    };
    let (successor, _lease) = setup.owner_of(late_run, 2);
    let mut seen = BTreeSet::new();
    fetch_all(&successor, 1, 0, &mut seen);
    assert_eq!(setup.observer.late_count.load(Ordering::SeqCst), 1);
    assert_eq!(setup.observer.on_time_count.load(Ordering::SeqCst), 0);
    successor.stop();
}
