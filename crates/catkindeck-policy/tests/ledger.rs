//! Fuzzes the step ledger with a trainer, failing owners and a store that loses responses.
//!
//! Checks G1 to G3 of `docs/design.md`: labels are complete, no sample is older than the bound, and
//! each position of a step is delivered exactly once under an ID that is never reused.

use {
    catkindeck::{
        id::ObjectName,
        message::{SampleId, SampleRecord, StepPlan},
        token::{VersionLabels, WeightVersion},
    },
    catkindeck_policy::{
        batch::{FetchAction, SampleTask, StepConfig, StepEntry},
        ledger::StepLedger,
    },
    proptest::{prelude::*, test_runner::RngSeed},
    std::{collections::BTreeSet, env},
};

const GROUPS: usize = 5;
const GROUP_SIZE: u32 = 3;
const STALENESS_BOUND: u64 = 2;

/// The enabled safeguards of the ledger; tests disable one to show that the oracle detects it.
#[derive(Clone, Copy)]
struct Safeguards {
    /// Whether the staleness and labels of samples are checked.
    checks_enabled: bool,
    /// Whether the composition of a batch is stored before the batch is offered.
    batches_stored: bool,
    /// Whether an append requires that the store has no entry at the position.
    appends_compared: bool,
}

const ALL_SAFEGUARDS: Safeguards = Safeguards {
    checks_enabled: true,
    batches_stored: true,
    appends_compared: true,
};

#[derive(Debug, Clone)]
enum Operation {
    /// Finishes a running sample whose oldest token lags by this many versions or has no label.
    Finish {
        choice: usize,
        lag: Option<u64>,
    },
    /// Finishes a sample a second time, like a straggler's duplicate.
    FinishAgain {
        choice: usize,
    },
    Fail {
        choice: usize,
    },
    Announce {
        by: u64,
    },
    Fetch {
        write: WriteFault,
        response_lost: bool,
    },
    /// Kills the owner; a new one restores the ledger from the store and the samples that the
    /// agents still retain.
    FailOver {
        retained_mask: u64,
    },
    /// Lets the former owner, which assumes that it still owns the step, handle a fetch.
    FetchFromFormerOwner,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum WriteFault {
    None,
    LostBeforeEffect,
    LostAfterEffect,
}

struct Simulation {
    safeguards: Safeguards,
    ledger: StepLedger,
    former_ledger: Option<StepLedger>,
    store: Vec<StepEntry>,
    running: Vec<SampleTask>,
    retained: Vec<SampleRecord>,
    current: u64,
    cursor: u32,
    finished: bool,
    identities: BTreeSet<SampleId>,
    positions: BTreeSet<(u32, u32)>,
    serial: u32,
}

impl Simulation {
    fn new(safeguards: Safeguards) -> Self {
        let ledger = StepLedger::open(step_config(safeguards), plan(), WeightVersion(10)).unwrap();
        Self {
            safeguards,
            ledger,
            former_ledger: None,
            store: Vec::new(),
            running: Vec::new(),
            retained: Vec::new(),
            current: 10,
            cursor: 0,
            finished: false,
            identities: BTreeSet::new(),
            positions: BTreeSet::new(),
            serial: 0,
        }
    }

    fn apply(&mut self, operation: &Operation) {
        if self.running.is_empty() {
            self.running = self.ledger.take_tasks(6);
        }
        match operation {
            Operation::Finish { choice, lag } => {
                if let Some(task) = self.take_running(*choice) {
                    let oldest = lag.map(|lag| self.current.saturating_sub(lag));
                    self.finish(&task.id, oldest);
                }
            }
            Operation::FinishAgain { choice } => {
                if !self.retained.is_empty() {
                    let id = self.retained[choice % self.retained.len()].id.clone();
                    self.finish(&id, Some(self.current));
                }
            }
            Operation::Fail { choice } => {
                if let Some(task) = self.take_running(*choice) {
                    self.ledger.requeue(&task.id);
                }
            }
            Operation::Announce { by } => {
                self.current += by;
                self.ledger.announce(WeightVersion(self.current)).unwrap();
            }
            Operation::Fetch {
                write,
                response_lost,
            } => self.fetch(*write, *response_lost),
            Operation::FailOver { retained_mask } => self.fail_over(*retained_mask),
            Operation::FetchFromFormerOwner => self.fetch_from_former_owner(),
        }
    }

    fn take_running(&mut self, choice: usize) -> Option<SampleTask> {
        if self.running.is_empty() {
            return None;
        }
        Some(self.running.swap_remove(choice % self.running.len()))
    }

    fn finish(&mut self, id: &SampleId, oldest: Option<u64>) {
        self.serial += 1;
        let mut labels = VersionLabels::default();
        labels.push(2, oldest.map(WeightVersion));
        labels.push(1, Some(WeightVersion(self.current)));
        let text = format!("text {}", self.serial);
        let record = SampleRecord {
            id: id.clone(),
            text,
            labels,
        };
        self.retained.push(record.clone());
        let _ = self.ledger.complete(record);
    }

    fn fetch(&mut self, write: WriteFault, response_lost: bool) {
        for _ in 0..3 {
            match self.ledger.fetch(self.cursor) {
                FetchAction::Persist(entry) => {
                    if !self.append(&entry, write) {
                        return;
                    }
                    let released = self.ledger.confirm(entry).unwrap();
                    self.retained
                        .retain(|record| !released.contains(&record.id));
                }
                FetchAction::Offer { samples, last } => {
                    if !response_lost {
                        self.deliver(&samples, last);
                    }
                    return;
                }
                FetchAction::Lost(_) => {
                    self.cursor += 1;
                    return;
                }
                FetchAction::Pending | FetchAction::Refuse(_) => return,
            }
        }
    }

    /// Creates the next key of the log and returns whether the owner knows that the store holds
    /// `entry` there. On a conflict the owner restores the ledger from the store.
    fn append(&mut self, entry: &StepEntry, fault: WriteFault) -> bool {
        if !self.safeguards.batches_stored {
            return true;
        }
        if fault == WriteFault::LostBeforeEffect {
            return false;
        }
        let position = self.ledger.log_position() as usize;
        match self.store.get(position) {
            None => {
                assert_eq!(
                    position,
                    self.store.len(),
                    "the log is appended without gaps"
                );
                self.store.push(entry.clone());
            }
            Some(stored) if stored == entry => {}
            Some(_) => {
                self.restore();
                return false;
            }
        }
        fault == WriteFault::None
    }

    /// Replaces the ledger by one restored from the store and the retained samples.
    fn restore(&mut self) {
        let successor = StepLedger::restore(
            step_config(self.safeguards),
            plan(),
            WeightVersion(self.current),
            self.store.clone(),
            self.retained.clone(),
        );
        self.former_ledger = Some(std::mem::replace(&mut self.ledger, successor.unwrap()));
        self.running.clear();
    }

    fn deliver(&mut self, samples: &[SampleRecord], last: bool) {
        for sample in samples {
            let oldest = sample
                .labels
                .oldest()
                .expect("G1: a token's version is unknown");
            assert!(
                self.current - oldest.0.min(self.current) <= STALENESS_BOUND,
                "G2: a sample is too old"
            );
            assert!(
                self.identities.insert(sample.id.clone()),
                "G3: an identity was delivered twice"
            );
            let position = (sample.id.group, sample.id.index);
            assert!(
                self.positions.insert(position),
                "G3: a position was delivered twice"
            );
        }
        self.cursor += 1;
        self.finished = last && self.positions.len() == GROUPS * GROUP_SIZE as usize;
    }

    fn fail_over(&mut self, retained_mask: u64) {
        let mut index = 0;
        self.retained.retain(|_| {
            index += 1;
            retained_mask >> (index % 64) & 1 == 1
        });
        self.restore();
    }

    /// The former owner may compute and write, but must not offer without its lease.
    fn fetch_from_former_owner(&mut self) {
        let Some(mut former_ledger) = self.former_ledger.take() else {
            return;
        };
        if let FetchAction::Persist(entry) = former_ledger.fetch(self.cursor)
            && (self.store.len() == former_ledger.log_position() as usize
                || !self.safeguards.appends_compared)
        {
            self.store.push(entry);
        }
    }

    /// Runs without faults until the step is complete and checks that it is.
    fn run_to_end(&mut self) {
        for _ in 0..200 {
            if self.finished {
                break;
            }
            self.running.extend(self.ledger.take_tasks(1000));
            while let Some(task) = self.take_running(0) {
                self.finish(&task.id, Some(self.current));
            }
            self.fetch(WriteFault::None, false);
        }
        assert_eq!(
            self.positions.len(),
            GROUPS * GROUP_SIZE as usize,
            "G3: a position was not delivered"
        );
    }
}

fn step_config(safeguards: Safeguards) -> StepConfig {
    let run = ObjectName::try_from("tagging").unwrap();
    StepConfig {
        run,
        staleness_bound: STALENESS_BOUND,
        checks_enabled: safeguards.checks_enabled,
    }
}

fn plan() -> StepPlan {
    let prompts = (0..GROUPS).map(|group| format!("prompt {group}")).collect();
    StepPlan {
        step: 7,
        prompts,
        group_size: GROUP_SIZE,
        max_tokens: 16,
    }
}

fn operation() -> impl Strategy<Value = Operation> {
    let lag = prop_oneof![6 => (0u64..=3).prop_map(Some), 1 => Just(None)];
    let write = prop_oneof![
        4 => Just(WriteFault::None),
        1 => Just(WriteFault::LostBeforeEffect),
        1 => Just(WriteFault::LostAfterEffect),
    ];
    prop_oneof![
        12 => (any::<usize>(), lag).prop_map(|(choice, lag)| Operation::Finish { choice, lag }),
        2 => any::<usize>().prop_map(|choice| Operation::FinishAgain { choice }),
        2 => any::<usize>().prop_map(|choice| Operation::Fail { choice }),
        2 => (1u64..=2).prop_map(|by| Operation::Announce { by }),
        6 => (write, prop::bool::weighted(0.3))
            .prop_map(|(write, response_lost)| Operation::Fetch { write, response_lost }),
        1 => any::<u64>().prop_map(|retained_mask| Operation::FailOver { retained_mask }),
        1 => Just(Operation::FetchFromFormerOwner),
    ]
}

/// Returns a configuration with a fixed seed, or with a random one if `CATKINDECK_FUZZ_CASES` is
/// set.
fn fuzz_config() -> ProptestConfig {
    let cases = env::var("CATKINDECK_FUZZ_CASES")
        .ok()
        .and_then(|text| text.parse().ok());
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

fn run(safeguards: Safeguards, operations: &[Operation]) {
    let mut simulation = Simulation::new(safeguards);
    for operation in operations {
        simulation.apply(operation);
    }
    simulation.run_to_end();
}

proptest! {
    #![proptest_config(fuzz_config())]

    /// Guards against repeated, missing, stale and unlabelled samples under all faults combined.
    #[test]
    fn delivers_each_position_once(operations in prop::collection::vec(operation(), 0..120)) {
        run(ALL_SAFEGUARDS, &operations);
    }
}

/// Checks that the oracle detects stale or unlabelled samples, which the ledger does not discard
/// here.
#[test]
fn a_missing_staleness_check_is_detected() {
    let weakened = Safeguards {
        checks_enabled: false,
        ..ALL_SAFEGUARDS
    };
    assert!(
        oracle_detects(weakened),
        "the oracle missed unchecked samples"
    );
}

/// Checks that the oracle detects positions that are delivered twice because the compositions of
/// batches are not stored.
#[test]
fn a_missing_batch_store_is_detected() {
    let weakened = Safeguards {
        batches_stored: false,
        ..ALL_SAFEGUARDS
    };
    assert!(
        oracle_detects(weakened),
        "the oracle missed a repeated delivery"
    );
}

/// Checks that the oracle detects a former owner that appends without comparing its position with
/// the length of the log. It could complete a step whose first batch its successor had declared
/// lost, so that some samples would never be delivered.
#[test]
fn an_unconditional_append_is_detected() {
    let weakened = Safeguards {
        appends_compared: false,
        ..ALL_SAFEGUARDS
    };
    assert!(
        oracle_detects(weakened),
        "the oracle missed the former owner's entry"
    );
}

fn oracle_detects(safeguards: Safeguards) -> bool {
    let mut runner = proptest::test_runner::TestRunner::new(ProptestConfig {
        max_shrink_iters: 0,
        cases: 4000,
        ..fuzz_config()
    });
    let strategy = prop::collection::vec(operation(), 0..120);
    runner
        .run(&strategy, |operations| {
            run(safeguards, &operations);
            Ok(())
        })
        .is_err()
}
