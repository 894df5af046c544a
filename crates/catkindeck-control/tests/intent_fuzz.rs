//! Property test of concurrent operators with lost responses and slow nodes. Reported outcomes are
//! checked against what was actually written.

mod memory_config;

use {
    catkindeck::{
        config::{ConfigSnapshot, ZoneRecord, ZoneState},
        id::ObjectName,
    },
    catkindeck_control::intent::{
        ApplyOutcome, ConfigStore, IntentApplier, IntentPatch, IntentUpdate, LoadView, PlanId,
    },
    memory_config::{MemoryConfigStore, StoreFault},
    proptest::{
        prelude::{Just, ProptestConfig, Strategy, any, prop_oneof, proptest},
        test_runner::RngSeed,
    },
};

const ZONES: [&str; 2] = ["vault-a", "vault-b"];

#[derive(Debug, Clone)]
enum Step {
    /// An operator plans a change of a zone's state and records the plan.
    Plan { zone: usize, out: bool },
    /// An operator applies a recorded plan, whether or not it was applied before.
    Apply {
        plan: usize,
        fault: StoreFault,
        waiting: bool,
    },
    /// An operator requests the outcome of a recorded plan.
    Outcome { plan: usize },
}

fn initial_store() -> MemoryConfigStore {
    let zones = ZONES.map(|zone| ZoneRecord {
        name: ObjectName::try_from(zone).unwrap(),
        region: ObjectName::try_from("tvm").unwrap(),
        state: ZoneState::In,
    });
    MemoryConfigStore::new(vec![ConfigSnapshot {
        zones: zones.to_vec(),
        ..ConfigSnapshot::default()
    }])
}

fn applier(store: &MemoryConfigStore) -> IntentApplier<'_> {
    IntentApplier {
        store,
        announcer: None,
        view: LoadView::default(),
        now_ms: 0,
    }
}

/// Returns the revisions that were written for a plan.
fn revisions_of(store: &MemoryConfigStore, id: &PlanId) -> Vec<u64> {
    let revisions = store.revisions.lock().unwrap();
    let written = revisions
        .iter()
        .filter(|(_, plan)| plan.as_ref() == Some(id));
    written.map(|(snapshot, _)| snapshot.revision.0).collect()
}

/// A plan with the last known outcome that its operator received.
struct RecordedPlan {
    id: PlanId,
    update: IntentUpdate,
    is_empty: bool,
    reported: Option<ApplyOutcome>,
}

/// Checks an outcome against what was written and against the outcome that was reported before.
fn check(store: &MemoryConfigStore, plan: &mut RecordedPlan, outcome: ApplyOutcome) {
    let written = revisions_of(store, &plan.id);
    assert!(written.len() <= 1, "a plan was applied twice");
    let head = store.head().unwrap().revision;
    match &outcome {
        ApplyOutcome::Accepted { revision } if plan.is_empty => assert_eq!(*revision, plan.id.base),
        ApplyOutcome::Accepted { revision } => {
            // An identical plan of another operator has the same ID and content.
            assert_eq!(written, [revision.0]);
            assert_eq!(revision.0, plan.id.base.0 + 1);
        }
        ApplyOutcome::Refused { changed, .. } => {
            assert!(written.is_empty(), "an applied plan is reported as refused");
            assert!(head > plan.id.base);
            let reverted = store.read_revision(plan.id.base).unwrap().unwrap() == {
                let mut now = store.head().unwrap();
                now.revision = plan.id.base;
                now
            };
            assert_eq!(changed.is_empty(), reverted, "the changes are not reported");
        }
        ApplyOutcome::NotApplied { .. } => {
            assert!(
                written.is_empty(),
                "an applied plan is reported as not applied"
            );
            assert_eq!(head, plan.id.base);
        }
        ApplyOutcome::Unknown { .. } => return,
    }
    // `Accepted` and `Refused` are final.
    match &plan.reported {
        Some(ApplyOutcome::Accepted { .. }) => assert_eq!(plan.reported.as_ref(), Some(&outcome)),
        Some(ApplyOutcome::Refused { .. }) => {
            assert!(matches!(outcome, ApplyOutcome::Refused { .. }));
        }
        _ => {}
    }
    plan.reported = Some(outcome);
}

fn step() -> impl Strategy<Value = Step> {
    let fault = prop_oneof![
        3 => Just(StoreFault::None),
        1 => Just(StoreFault::LostBeforeWrite),
        1 => Just(StoreFault::LostAfterWrite),
    ];
    prop_oneof![
        (0..ZONES.len(), any::<bool>()).prop_map(|(zone, out)| Step::Plan { zone, out }),
        (any::<usize>(), fault, any::<bool>()).prop_map(|(plan, fault, waiting)| Step::Apply {
            plan,
            fault,
            waiting
        }),
        any::<usize>().prop_map(|plan| Step::Outcome { plan }),
    ]
}

/// Uses a fixed seed, or a random one and the given number of cases if `CATKINDECK_FUZZ_CASES` is
/// set.
fn config() -> ProptestConfig {
    let cases = std::env::var("CATKINDECK_FUZZ_CASES").ok();
    let cases: Option<u32> = cases.and_then(|text| text.parse().ok());
    let rng_seed = if cases.is_some() {
        RngSeed::Random
    } else {
        RngSeed::Fixed(20_261_204)
    };
    ProptestConfig {
        cases: cases.unwrap_or(400),
        rng_seed,
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against a plan that is applied twice or silently undone, and against a reported
    /// outcome that is wrong or changes later.
    #[test]
    fn every_outcome_matches_what_was_written(
        steps in proptest::collection::vec(step(), 1..40),
    ) {
        let store = initial_store();
        let mut plans: Vec<RecordedPlan> = Vec::new();
        for step in steps {
            let count = plans.len().max(1);
            match step {
                Step::Plan { zone, out } => {
                    let update = IntentUpdate::Amendment(IntentPatch::SetZone {
                        zone: ObjectName::try_from(ZONES[zone]).unwrap(),
                        state: if out { ZoneState::Out } else { ZoneState::In },
                    });
                    let planned = applier(&store).plan(&update).unwrap();
                    plans.push(RecordedPlan {
                        id: planned.id,
                        update,
                        is_empty: planned.changes.is_empty(),
                        reported: None,
                    });
                }
                Step::Apply { plan, fault, waiting } => {
                    let Some(recorded) = plans.get_mut(plan % count) else { continue };
                    *store.fault.lock().unwrap() = fault;
                    *store.waiting.lock().unwrap() = waiting;
                    let outcome = applier(&store).apply(&recorded.update, &recorded.id, true).unwrap();
                    check(&store, recorded, outcome);
                    *store.waiting.lock().unwrap() = false;
                }
                Step::Outcome { plan } => {
                    let Some(recorded) = plans.get_mut(plan % count) else { continue };
                    let outcome = applier(&store).outcome(&recorded.id).unwrap();
                    check(&store, recorded, outcome);
                }
            }
        }
        // When the store and all nodes are available, the outcome of each plan can be determined.
        for recorded in &mut plans {
            let outcome = applier(&store).outcome(&recorded.id).unwrap();
            let settled = !matches!(outcome, ApplyOutcome::Unknown { .. });
            assert!(settled, "an outcome remains unknown");
            check(&store, recorded, outcome);
        }
    }
}
