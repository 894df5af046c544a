//! Fuzzes the hand-over of execution records from a draining home agent to the next one.
//!
//! Guards against a second execution of an idempotency key while the records are in transit, when
//! the draining agent crashes, and when it returns as a new incarnation (G13).

mod common;

use {
    catkindeck::{
        ErrorKind, Moment,
        id::{BootId, IncarnationId},
        message::{ExecutionRecord, ExecutionState},
        token::VersionLabels,
    },
    catkindeck_policy::{
        BeginDecision, ExecutionResult, ExecutionSettings, ExecutionTable, RecordHistory,
    },
    common::{assert_fails, assert_holds, execute, name, request},
    proptest::prelude::*,
    proptest_state_machine::{ReferenceStateMachine, StateMachineTest},
    std::collections::BTreeMap,
};

const RETENTION_MS: u64 = 100;
const LONGEST_REQUEST_MS: u64 = 40;
const KEYS: u8 = 3;

// The safeguard that a state machine leaves out.
const NONE: u8 = 0;
const NO_SHUTDOWN_CHECK: u8 = 1;
const NO_RESTART_CHECK: u8 = 2;

#[derive(Debug, Clone)]
enum Event {
    Execute(u8),
    Finish(usize, bool),
    HandOver,
    Deliver,
    Restart,
    Remove,
    Advance(u64),
}

struct Events;

impl ReferenceStateMachine for Events {
    type State = ();
    type Transition = Event;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_state: &()) -> BoxedStrategy<Event> {
        prop_oneof![
            8 => (0..KEYS).prop_map(Event::Execute),
            4 => (any::<usize>(), any::<bool>()).prop_map(|(choice, complete)| Event::Finish(choice, complete)),
            1 => Just(Event::HandOver),
            2 => Just(Event::Deliver),
            1 => Just(Event::Restart),
            1 => Just(Event::Remove),
            4 => (1u64..30).prop_map(Event::Advance),
        ]
        .boxed()
    }

    fn apply(_state: (), _event: &Event) {}
}

/// The home agent of all keys and the next agent, as seen by an entry.
struct Simulation<const DISABLED: u8> {
    now: Moment,
    home: ExecutionTable,
    next: ExecutionTable,
    /// Records that were handed over and have not reached the next agent.
    in_transit: Vec<ExecutionRecord>,
    /// Whether the configuration no longer contains the home agent.
    removed: bool,
    incarnations: u8,
    number: u32,
    /// The running executions: request, key, whether at the home agent, and start.
    running: Vec<(u32, u8, bool, Moment)>,
    key_ends: BTreeMap<u8, Moment>,
}

fn table(incarnation: u8, now: Moment, history: RecordHistory) -> ExecutionTable {
    let settings = ExecutionSettings {
        retention_ms: RETENTION_MS,
        longest_request_ms: LONGEST_REQUEST_MS,
        ..ExecutionSettings::default()
    };
    ExecutionTable::new(settings, IncarnationId([incarnation; 16]), now, history)
}

impl<const DISABLED: u8> Simulation<DISABLED> {
    /// Sends a request with an idempotency key as an entry does.
    fn execute(&mut self, key: u8) {
        self.number += 1;
        let work = execute(self.number, Some(key), 0, None);
        if !self.removed {
            match self.home.begin(self.now, &work) {
                Ok(BeginDecision::Run) => return self.start(key, true),
                Ok(BeginDecision::Replay(record)) => {
                    assert_eq!(record.state, ExecutionState::Finished);
                    return;
                }
                // Only an agent that handed over its records redirects callers to the next one.
                Err(error) if error.kind == ErrorKind::ShuttingDown => {}
                Err(_) if DISABLED == NO_SHUTDOWN_CHECK => {}
                Err(_) => return,
            }
        } else {
            let customer = name("court");
            let text = format!("key-{key}");
            let found = self
                .home
                .forbid(self.now, Some(&customer), &name("desk"), &text);
            if !found.is_ok_and(|record| record.state == ExecutionState::Forbidden) {
                return;
            }
        }
        if self.next.begin(self.now, &work) == Ok(BeginDecision::Run) {
            self.start(key, false);
        }
    }

    fn start(&mut self, key: u8, at_home: bool) {
        let table = if at_home {
            &mut self.home
        } else {
            &mut self.next
        };
        let boot = BootId("boot".to_owned());
        table
            .start(&request(self.number), &boot)
            .expect("the request is queued");
        let ended = self.key_ends.get(&key);
        let fresh = ended.is_none_or(|ended| self.now >= *ended + RETENTION_MS);
        assert!(fresh, "second execution of key {key}");
        self.key_ends.insert(key, self.now + LONGEST_REQUEST_MS);
        self.running.push((self.number, key, at_home, self.now));
    }

    fn finish(&mut self, index: usize, complete: bool) {
        let (number, key, at_home, _) = self.running.swap_remove(index);
        let table = if at_home {
            &mut self.home
        } else {
            &mut self.next
        };
        let result = ExecutionResult {
            complete,
            boot: BootId("boot".to_owned()),
            labels: VersionLabels::default(),
            status: 200,
            answer: vec![1],
        };
        table.finish(self.now, &request(number), result);
        self.key_ends.insert(key, self.now);
    }

    fn hand_over(&mut self) {
        // The agent hands over only when no request is in flight.
        if !self.running.iter().any(|(_, _, at_home, _)| *at_home) && !self.removed {
            self.in_transit = self.home.hand_over(self.now);
        }
    }

    fn restart(&mut self) {
        self.incarnations += 1;
        let history = match DISABLED {
            NO_RESTART_CHECK => RecordHistory::Complete,
            _ => RecordHistory::MayBeIncomplete,
        };
        self.home = table(self.incarnations, self.now, history);
        self.in_transit.clear();
        self.running.retain(|(_, _, at_home, _)| !at_home);
    }

    fn advance(&mut self, milliseconds: u64) {
        while let Some(index) = self
            .running
            .iter()
            .position(|(_, _, _, from)| self.now.since(*from) + milliseconds > LONGEST_REQUEST_MS)
        {
            self.finish(index, false);
        }
        self.now = self.now + milliseconds;
    }
}

struct Machine<const DISABLED: u8>;

impl<const DISABLED: u8> StateMachineTest for Machine<DISABLED> {
    type SystemUnderTest = Simulation<DISABLED>;
    type Reference = Events;

    fn init_test(_state: &()) -> Simulation<DISABLED> {
        Simulation {
            now: Moment(0),
            home: table(1, Moment(0), RecordHistory::Complete),
            next: table(2, Moment(0), RecordHistory::Complete),
            in_transit: Vec::new(),
            removed: false,
            incarnations: 2,
            number: 0,
            running: Vec::new(),
            key_ends: BTreeMap::new(),
        }
    }

    fn apply(
        mut simulation: Simulation<DISABLED>,
        _state: &(),
        event: Event,
    ) -> Simulation<DISABLED> {
        match event {
            Event::Execute(key) => simulation.execute(key),
            Event::Finish(choice, complete) if !simulation.running.is_empty() => {
                simulation.finish(choice % simulation.running.len(), complete);
            }
            Event::Finish(..) => {}
            Event::HandOver => simulation.hand_over(),
            Event::Deliver => {
                let records = std::mem::take(&mut simulation.in_transit);
                assert!(simulation.next.adopt(simulation.now, records).is_ok());
            }
            Event::Restart => simulation.restart(),
            Event::Remove => simulation.removed = true,
            Event::Advance(milliseconds) => simulation.advance(milliseconds),
        }
        simulation
    }
}

#[test]
fn a_handover_runs_no_key_twice() {
    assert_holds::<Machine<NONE>>(71, 150);
}

#[test]
fn failover_after_any_error_is_detected() {
    assert_fails::<Machine<NO_SHUTDOWN_CHECK>>(72, 150, "second execution of key");
}

#[test]
fn a_missing_restart_check_is_detected() {
    assert_fails::<Machine<NO_RESTART_CHECK>>(73, 150, "second execution of key");
}
