//! Fuzzes the execution tables of two agents with retries, revocations, moves and restarts.
//!
//! Guards against a second execution of a non-idempotent request (G13), and against the error
//! outcome `not_run` for a request that ran (G12).

mod common;

use {
    catkindeck::{
        ErrorKind, ExecutionOutcome, Moment, ServiceError,
        id::{BootId, IncarnationId},
        message::ExecutionState,
        token::VersionLabels,
    },
    catkindeck_policy::{
        BeginDecision, ExecutionResult, ExecutionSettings, ExecutionTable, RecordHistory,
        RevokeOutcome,
    },
    common::{assert_fails, assert_holds, digest, execute, name, request},
    proptest::prelude::*,
    proptest_state_machine::{ReferenceStateMachine, StateMachineTest},
    std::collections::BTreeMap,
};

const RETENTION_MS: u64 = 100;
const LONGEST_REQUEST_MS: u64 = 40;

// The safeguard that a state machine leaves out.
const NONE: u8 = 0;
const NO_RESTART_CHECK: u8 = 1;
const NO_REVOCATION: u8 = 2;
const NO_FORMER_HOMES: u8 = 3;
const NO_RECORD_OF_KEYS: u8 = 4;
const NO_INCARNATION: u8 = 5;

#[derive(Debug, Clone)]
enum Event {
    Execute { id: u32, key: Option<u8>, body: u8 },
    Start(u32),
    Finish(u32, bool),
    Release(u32),
    Revoke(u32),
    Restart,
    Move,
    Drain,
    Advance(u64),
}

struct Events<const DISABLED: u8>;

impl<const DISABLED: u8> ReferenceStateMachine for Events<DISABLED> {
    type State = ();
    type Transition = Event;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_state: &()) -> BoxedStrategy<Event> {
        prop_oneof![
            6 => (0u32..10, proptest::option::of(0u8..3), 0u8..6)
                .prop_map(|(id, key, body)| Event::Execute { id, key, body: u8::from(body == 0) }),
            6 => (0u32..10).prop_map(Event::Start),
            4 => (0u32..10, any::<bool>()).prop_map(|(id, complete)| Event::Finish(id, complete)),
            1 => (0u32..10).prop_map(Event::Release),
            2 => (0u32..10).prop_map(Event::Revoke),
            1 => Just(Event::Restart),
            1 => Just(Event::Move),
            1 => Just(Event::Drain),
            4 => (1u64..30).prop_map(Event::Advance),
        ]
        .boxed()
    }

    fn apply(_state: (), _event: &Event) {}
}

/// A request as known to its entry.
#[derive(Debug, Clone)]
struct SentRequest {
    number: u32,
    first: Moment,
    agent: usize,
    incarnation: IncarnationId,
    key: Option<u8>,
    running: Option<Moment>,
    started: bool,
    proved_not_run: bool,
}

struct Simulation<const DISABLED: u8> {
    now: Moment,
    tables: [ExecutionTable; 2],
    incarnations: [IncarnationId; 2],
    next_incarnation: u8,
    home: usize,
    moved: bool,
    next_number: u32,
    /// The requests that are running or whose deadline has not passed. Entries send and revoke a
    /// request only before its deadline, and agents reject queued requests at the deadline.
    sent: BTreeMap<u32, SentRequest>,
    /// The latest time at which the last execution of each key can end.
    key_ends: BTreeMap<u8, Moment>,
}

fn table(incarnation: IncarnationId, now: Moment, history: RecordHistory) -> ExecutionTable {
    let settings = ExecutionSettings {
        retention_ms: RETENTION_MS,
        longest_request_ms: LONGEST_REQUEST_MS,
        record_limit: 1_000,
        response_limit: 8,
    };
    ExecutionTable::new(settings, incarnation, now, history)
}

impl<const DISABLED: u8> Simulation<DISABLED> {
    fn new() -> Self {
        let incarnations = [IncarnationId([1; 16]), IncarnationId([2; 16])];
        let first = |incarnation| table(incarnation, Moment(0), RecordHistory::Complete);
        Self {
            now: Moment(0),
            tables: incarnations.map(first),
            incarnations,
            next_incarnation: 3,
            home: 0,
            moved: false,
            next_number: 0,
            sent: BTreeMap::new(),
            key_ends: BTreeMap::new(),
        }
    }

    /// Sends a request as an entry does: it asks former home agents first, and sends each request
    /// id to one agent only.
    fn execute(&mut self, id: u32, key: Option<u8>, body: u8) {
        let other = 1 - self.home;
        if let (Some(key), true) = (key, self.moved && DISABLED != NO_FORMER_HOMES) {
            let text = format!("key-{key}");
            let customer = name("court");
            let found = self.tables[other].forbid(self.now, Some(&customer), &name("desk"), &text);
            match found {
                Ok(record) if record.state == ExecutionState::Forbidden => {}
                _ => return,
            }
        }
        let known = self.sent.get(&id).cloned();
        if known.as_ref().is_some_and(|sent| sent.proved_not_run) {
            return;
        }
        // A late duplicate is addressed to the agent and incarnation of the first delivery.
        let (agent, incarnation, key) = match &known {
            Some(sent) => (sent.agent, sent.incarnation, sent.key),
            None => (self.home, self.incarnations[self.home], key),
        };
        let number = known.map_or(self.next_number, |sent| sent.number);
        self.next_number = self.next_number.max(number + 1);
        let addressed = (DISABLED != NO_INCARNATION).then_some(incarnation);
        let decision = self.tables[agent].begin(self.now, &execute(number, key, body, addressed));
        match &decision {
            Ok(BeginDecision::Run) => {}
            Ok(BeginDecision::Replay(record)) => {
                assert_eq!(record.state, ExecutionState::Finished);
                assert_eq!(
                    record.digest,
                    digest(body),
                    "replayed the response to another body"
                );
            }
            Err(error) => self.check_refusal(id, error),
        }
        self.sent.entry(id).or_insert(SentRequest {
            number,
            first: self.now,
            agent,
            incarnation,
            key,
            running: None,
            started: false,
            proved_not_run: false,
        });
    }

    fn check_refusal(&self, id: u32, error: &ServiceError) {
        let started = self.sent.get(&id).is_some_and(|sent| sent.started);
        let duplicate_delivery = matches!(
            error.kind,
            ErrorKind::WrongIncarnation | ErrorKind::Conflict
        );
        if error.execution == ExecutionOutcome::NotRun && !duplicate_delivery {
            assert!(!started, "not_run is false for request {id}");
        }
    }

    fn start(&mut self, id: u32) {
        let Some(sent) = self.sent.get_mut(&id) else {
            return;
        };
        let boot = BootId("boot".to_owned());
        if self.tables[sent.agent]
            .start(&request(sent.number), &boot)
            .is_err()
        {
            return;
        }
        assert!(!sent.proved_not_run, "not_run is false for request {id}");
        assert!(!sent.started, "second execution of request {id}");
        sent.started = true;
        sent.running = Some(self.now);
        if let Some(key) = sent.key {
            let ended = self.key_ends.get(&key);
            let fresh = ended.is_none_or(|ended| self.now >= *ended + RETENTION_MS);
            assert!(fresh, "second execution of key {key}");
            self.key_ends.insert(key, self.now + LONGEST_REQUEST_MS);
        }
    }

    fn finish(&mut self, id: u32, complete: bool) {
        let Some(sent) = self.sent.get_mut(&id) else {
            return;
        };
        if sent.running.take().is_none() {
            return;
        }
        let result = ExecutionResult {
            complete,
            boot: BootId("boot".to_owned()),
            labels: VersionLabels::default(),
            status: 200,
            answer: vec![0; 3],
        };
        let record = self.tables[sent.agent].finish(self.now, &request(sent.number), result);
        let kept = record.is_some() || DISABLED == NO_RECORD_OF_KEYS;
        assert!(kept, "the record of a running request is lost");
        if let Some(key) = sent.key {
            self.key_ends.insert(key, self.now);
        }
        if DISABLED == NO_RECORD_OF_KEYS {
            self.tables[sent.agent] = table(sent.incarnation, self.now, RecordHistory::Complete);
        }
    }

    fn revoke(&mut self, id: u32) {
        let Some(sent) = self.sent.get_mut(&id) else {
            return;
        };
        if DISABLED == NO_REVOCATION {
            sent.proved_not_run = !sent.started;
            return;
        }
        let table = &mut self.tables[sent.agent];
        match table.revoke(self.now, &request(sent.number), &sent.incarnation) {
            Ok(RevokeOutcome::Revoked) => {
                assert!(!sent.started, "not_run is false for request {id}");
                sent.proved_not_run = true;
            }
            Ok(RevokeOutcome::Known(_)) => assert!(sent.started, "a queued request is not revoked"),
            Err(error) => assert_eq!(error.execution, ExecutionOutcome::Unknown),
        }
    }

    fn restart(&mut self) {
        let agent = self.home;
        let incarnation = IncarnationId([self.next_incarnation; 16]);
        self.next_incarnation += 1;
        self.incarnations[agent] = incarnation;
        let history = match DISABLED {
            NO_RESTART_CHECK => RecordHistory::Complete,
            _ => RecordHistory::MayBeIncomplete,
        };
        self.tables[agent] = table(incarnation, self.now, history);
        for sent in self.sent.values_mut().filter(|sent| sent.agent == agent) {
            sent.running = None;
        }
    }

    /// Drains the home agent, which hands over its records and stops being the home agent.
    fn drain(&mut self) {
        let agent = self.home;
        let busy = |sent: &SentRequest| sent.agent == agent && sent.running.is_some();
        if self.sent.values().any(busy) {
            return;
        }
        let records = self.tables[agent].hand_over(self.now);
        let adopted = self.tables[1 - agent].adopt(self.now, records);
        assert!(adopted.is_ok());
        self.move_home();
    }

    fn move_home(&mut self) {
        self.home = 1 - self.home;
        self.moved = true;
    }

    fn advance(&mut self, milliseconds: u64) {
        let late: Vec<u32> = self
            .sent
            .iter()
            .filter(|(_, sent)| {
                sent.running
                    .is_some_and(|from| self.now.since(from) + milliseconds > LONGEST_REQUEST_MS)
            })
            .map(|(id, _)| *id)
            .collect();
        late.into_iter().for_each(|id| self.finish(id, false));
        self.now = self.now + milliseconds;
        let now = self.now;
        for sent in self.sent.values().filter(|sent| sent.is_expired(now)) {
            self.tables[sent.agent].release(&request(sent.number));
        }
        self.sent.retain(|_, sent| !sent.is_expired(now));
    }
}

impl SentRequest {
    fn is_expired(&self, now: Moment) -> bool {
        self.running.is_none() && now.since(self.first) > LONGEST_REQUEST_MS
    }
}

struct Machine<const DISABLED: u8>;

impl<const DISABLED: u8> StateMachineTest for Machine<DISABLED> {
    type SystemUnderTest = Simulation<DISABLED>;
    type Reference = Events<DISABLED>;

    fn init_test(_state: &()) -> Simulation<DISABLED> {
        Simulation::new()
    }

    fn apply(
        mut simulation: Simulation<DISABLED>,
        _state: &(),
        event: Event,
    ) -> Simulation<DISABLED> {
        match event {
            Event::Execute { id, key, body } => simulation.execute(id, key, body),
            Event::Start(id) => simulation.start(id),
            Event::Finish(id, complete) => simulation.finish(id, complete),
            Event::Release(id) => {
                if let Some(sent) = simulation.sent.get(&id) {
                    simulation.tables[sent.agent].release(&request(sent.number));
                }
            }
            Event::Revoke(id) => simulation.revoke(id),
            Event::Restart => simulation.restart(),
            Event::Move => simulation.move_home(),
            Event::Drain => simulation.drain(),
            Event::Advance(milliseconds) => simulation.advance(milliseconds),
        }
        simulation
    }
}

#[test]
fn no_request_runs_twice_and_not_run_is_accurate() {
    assert_holds::<Machine<NONE>>(11, 120);
}

#[test]
fn a_missing_restart_check_is_detected() {
    assert_fails::<Machine<NO_RESTART_CHECK>>(12, 120, "second execution of key");
}

#[test]
fn an_unrecorded_revocation_is_detected() {
    assert_fails::<Machine<NO_REVOCATION>>(13, 120, "not_run is false");
}

#[test]
fn an_entry_that_skips_former_homes_is_detected() {
    assert_fails::<Machine<NO_FORMER_HOMES>>(14, 120, "second execution of key");
}

#[test]
fn a_table_that_drops_ended_requests_is_detected() {
    assert_fails::<Machine<NO_RECORD_OF_KEYS>>(15, 120, "execution of");
}

#[test]
fn a_missing_incarnation_check_is_detected() {
    assert_fails::<Machine<NO_INCARNATION>>(16, 120, "second execution of request");
}

/// Guards against treating a forbidden key as proof that it never ran, although the agent had lost
/// its records before it forbade the key.
#[test]
fn forbidding_a_key_twice_after_a_restart_proves_nothing() {
    let mut table = table(
        IncarnationId([1; 16]),
        Moment(0),
        RecordHistory::MayBeIncomplete,
    );
    let (customer, route) = (name("court"), name("desk"));
    for now in [Moment(1), Moment(2)] {
        let outcome = table.forbid(now, Some(&customer), &route, "key-2");
        let error = outcome.expect_err("the records of the former incarnation are lost");
        assert_eq!(error.execution, ExecutionOutcome::Unknown);
        assert!(table.find(now, Some(&customer), &route, "key-2").is_err());
    }
    let later = Moment(RETENTION_MS + LONGEST_REQUEST_MS);
    let record = table.forbid(later, Some(&customer), &route, "key-2");
    assert_eq!(
        record.map(|record| record.state),
        Ok(ExecutionState::Forbidden)
    );
}
