//! Fuzzes the admission queue against a model of the upstream and of every request.
//!
//! Guards against exceeding the limit of a cold upstream (G9), against accepting work while the
//! upstream is draining or its zone is out (G10, G14), and against requests that are lost, started
//! twice or started late.

mod common;

use {
    catkindeck::{Moment, id::BootId, message::WorkClass},
    catkindeck_policy::{
        AdmissionAction, AdmissionQueue, AdmissionRequest, AdmissionSettings, FinishCause,
        LimitSettings, WithdrawOutcome,
    },
    common::{assert_fails, assert_holds, name, request},
    proptest::prelude::*,
    proptest_state_machine::{ReferenceStateMachine, StateMachineTest},
    std::collections::BTreeMap,
};

const COLD_LIMIT: u32 = 2;
const WARM_LIMIT: u32 = 12;
const COLD_START_MS: u64 = 10_000;
const QUEUE_LIMIT: usize = 20;

// The safeguard that a state machine leaves out.
const NONE: u8 = 0;
const NO_BOOT_ID: u8 = 1;
const NO_CLOSE_ORDER: u8 = 2;
const NO_WORK_BASED_GROWTH: u8 = 3;
const NO_CREDIT_TOTAL: u8 = 4;

#[derive(Debug, Clone)]
enum Event {
    Offer {
        customer: u8,
        class: u8,
        priority: u8,
        timeout_ms: u64,
        entry: u8,
    },
    Poll,
    Finish(usize, u8),
    Withdraw(usize),
    Boot,
    Close(bool),
    Grant(u8),
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
            8 => (0u8..4, 0u8..3, 0u8..3, 50u64..20_000, 0u8..3).prop_map(
                |(customer, class, priority, timeout_ms, entry)| Event::Offer {
                    customer, class, priority, timeout_ms, entry,
                }
            ),
            6 => Just(Event::Poll),
            8 => (any::<usize>(), 0u8..8).prop_map(|(choice, cause)| Event::Finish(choice, cause)),
            1 => any::<usize>().prop_map(Event::Withdraw),
            1 => Just(Event::Boot),
            1 => any::<bool>().prop_map(Event::Close),
            2 => (0u8..3).prop_map(Event::Grant),
            4 => (1u64..2_000).prop_map(Event::Advance),
        ]
        .boxed()
    }

    fn apply(_state: (), _event: &Event) {}
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestState {
    Queued,
    Running,
    Over,
}

struct Simulation<const DISABLED: u8> {
    now: Moment,
    queue: AdmissionQueue,
    requests: Vec<(RequestState, Moment)>,
    boot_count: u32,
    booted_at: Moment,
    completions: u32,
    closed: bool,
    /// The unused credits of each entry and when they were granted.
    credits: BTreeMap<u8, (u32, Moment)>,
}

impl<const DISABLED: u8> Simulation<DISABLED> {
    fn new() -> Self {
        let settings = AdmissionSettings {
            limit: LimitSettings {
                cold: COLD_LIMIT,
                warm: WARM_LIMIT,
                cold_start_ms: COLD_START_MS,
                adaptive: true,
            },
            queue_limit: QUEUE_LIMIT,
            ..AdmissionSettings::default()
        };
        Self {
            now: Moment(0),
            queue: AdmissionQueue::new(settings, Moment(0)),
            requests: Vec::new(),
            boot_count: 0,
            booted_at: Moment(0),
            completions: 0,
            closed: false,
            credits: BTreeMap::new(),
        }
    }

    fn count(&self, state: RequestState) -> usize {
        let in_state = |(other, _): &&(RequestState, Moment)| *other == state;
        self.requests.iter().filter(in_state).count()
    }

    /// Returns the load that the upstream can handle; it grows with completed work, not with time
    /// alone.
    fn capacity(&self) -> u32 {
        let passed = self.now.since(self.booted_at).min(COLD_START_MS);
        let by_time = u64::from(WARM_LIMIT - COLD_LIMIT) * passed / COLD_START_MS;
        COLD_LIMIT + u32::try_from(by_time).expect("small").min(self.completions)
    }

    fn offer(&mut self, admission: AdmissionRequest, entry: u8) {
        let deadline = admission.deadline;
        if let Some((credits, _)) = self.credits.get_mut(&entry) {
            *credits = credits.saturating_sub(1);
        }
        let state = match self.queue.offer(self.now, admission) {
            Ok(()) => RequestState::Queued,
            Err(_) => RequestState::Over,
        };
        assert!(!self.closed || state == RequestState::Over || DISABLED == NO_CLOSE_ORDER);
        self.requests.push((state, deadline));
    }

    fn poll(&mut self) {
        for action in self.queue.poll(self.now) {
            let (id, started) = match &action {
                AdmissionAction::Start(id) => (*id, true),
                AdmissionAction::Shed(id, _) => (*id, false),
            };
            let number = u32::from_be_bytes(id.0[..4].try_into().expect("four bytes"));
            let (state, deadline) = &mut self.requests[number as usize];
            assert_eq!(*state, RequestState::Queued, "a request has two outcomes");
            *state = if started {
                RequestState::Running
            } else {
                RequestState::Over
            };
            let in_time = !started || self.now < *deadline;
            assert!(in_time, "started after its deadline");
            assert!(!(started && self.closed), "started while closed");
        }
        let running = self.count(RequestState::Running);
        let within_capacity = running <= self.capacity() as usize;
        assert!(
            within_capacity,
            "{running} requests overload the cold upstream"
        );
    }

    fn finish(&mut self, choice: usize, cause: u8) {
        let Some(number) = self.choose_request(choice, RequestState::Running) else {
            return;
        };
        let cause = match cause {
            0 => FinishCause::UpstreamFailed,
            1 => FinishCause::Cancelled,
            _ => FinishCause::Completed,
        };
        let id = request(u32::try_from(number).expect("small"));
        self.queue.record_service(self.now, &id, 10);
        self.queue.finish(self.now, &id, cause);
        self.requests[number].0 = RequestState::Over;
        self.completions += u32::from(cause == FinishCause::Completed);
    }

    fn boot(&mut self) {
        // The requests at the upstream fail with it.
        while let Some(number) = self.choose_request(0, RequestState::Running) {
            let id = request(u32::try_from(number).expect("small"));
            self.queue
                .finish(self.now, &id, FinishCause::UpstreamFailed);
            self.requests[number].0 = RequestState::Over;
        }
        self.boot_count += 1;
        self.booted_at = self.now;
        self.completions = 0;
        self.credits.clear();
        if DISABLED != NO_BOOT_ID {
            let boot = BootId(self.boot_count.to_string());
            self.queue.observe_boot(self.now, &boot);
        }
    }

    fn close(&mut self, closed: bool) {
        if self.closed && !closed {
            // The upstream turned cold while its zone was out.
            self.booted_at = self.now;
            self.completions = 0;
            while let Some(number) = self.choose_request(0, RequestState::Running) {
                let id = request(u32::try_from(number).expect("small"));
                self.queue.finish(self.now, &id, FinishCause::Cancelled);
                self.requests[number].0 = RequestState::Over;
            }
        }
        self.closed = closed;
        if closed {
            self.credits.clear();
        }
        if DISABLED != NO_CLOSE_ORDER {
            self.queue.set_closed(self.now, closed);
        }
    }

    fn grant(&mut self, entry: u8) {
        let entry_name = name(&format!("entry-{entry}"));
        let now = self.now;
        self.credits.retain(|_, (_, at)| now.since(*at) < 2_000);
        let granted = match DISABLED {
            // Without the total, every entry is granted the whole free part of the limit.
            NO_CREDIT_TOTAL => {
                let counts = self.queue.counts();
                counts.limit.saturating_sub(counts.in_flight)
            }
            _ => self.queue.grant_credits(now, &entry_name),
        };
        self.credits.insert(entry, (granted, now));
        let counts = self.queue.counts();
        let sum: u32 = self.credits.values().map(|(credits, _)| credits).sum();
        // Outstanding credits cannot be revoked when the limit falls, but none may be added.
        let known = granted == 0 || (sum <= counts.limit && !self.closed);
        assert!(known, "{sum} credits exceed the limit");
    }

    fn choose_request(&self, choice: usize, state: RequestState) -> Option<usize> {
        let numbered = self.requests.iter().enumerate();
        let fitting: Vec<usize> = numbered
            .filter(|(_, (other, _))| *other == state)
            .map(|(number, _)| number)
            .collect();
        (!fitting.is_empty()).then(|| fitting[choice % fitting.len()])
    }
}

struct Machine<const DISABLED: u8>;

impl<const DISABLED: u8> StateMachineTest for Machine<DISABLED> {
    type SystemUnderTest = Simulation<DISABLED>;
    type Reference = Events;

    fn init_test(_state: &()) -> Simulation<DISABLED> {
        Simulation::new()
    }

    fn apply(
        mut simulation: Simulation<DISABLED>,
        _state: &(),
        event: Event,
    ) -> Simulation<DISABLED> {
        match event {
            Event::Offer {
                customer,
                class,
                priority,
                timeout_ms,
                entry,
            } => {
                let classes = [WorkClass::Interactive, WorkClass::Rollout, WorkClass::Batch];
                let number = u32::try_from(simulation.requests.len()).expect("small");
                let admission = AdmissionRequest {
                    request: request(number),
                    customer: (customer > 0).then(|| name(&format!("customer-{customer}"))),
                    class: classes[usize::from(class)],
                    priority,
                    deadline: simulation.now + timeout_ms,
                    service_limit: 100,
                    entry: Some(name(&format!("entry-{entry}"))),
                };
                simulation.offer(admission, entry);
            }
            Event::Poll => simulation.poll(),
            Event::Finish(choice, cause) => simulation.finish(choice, cause),
            Event::Withdraw(choice) => {
                if let Some(number) = simulation.choose_request(choice, RequestState::Queued) {
                    let id = request(u32::try_from(number).expect("small"));
                    assert_eq!(simulation.queue.withdraw(&id), WithdrawOutcome::Removed);
                    simulation.requests[number].0 = RequestState::Over;
                }
            }
            Event::Boot => simulation.boot(),
            Event::Close(closed) => simulation.close(closed),
            Event::Grant(entry) => simulation.grant(entry),
            Event::Advance(milliseconds) => {
                // With the safeguard disabled, completions of unknown requests are reported, so
                // that the limit grows although no work was done; the oracle must detect this.
                if DISABLED == NO_WORK_BASED_GROWTH {
                    let id = request(u32::MAX);
                    simulation
                        .queue
                        .finish(simulation.now, &id, FinishCause::Completed);
                    for _ in 0..WARM_LIMIT {
                        simulation.warm_without_work();
                    }
                }
                simulation.now = simulation.now + milliseconds;
            }
        }
        simulation
    }

    fn check_invariants(simulation: &Simulation<DISABLED>, _state: &()) {
        let counts = simulation.queue.counts();
        assert_eq!(
            counts.in_flight as usize,
            simulation.count(RequestState::Running)
        );
        // Evicted requests are rejected by the next poll.
        assert!(counts.queued as usize <= simulation.count(RequestState::Queued));
        assert!(
            counts.queued as usize <= QUEUE_LIMIT,
            "the queue exceeds its limit"
        );
        assert!((1..=WARM_LIMIT).contains(&counts.limit));
    }
}

impl<const DISABLED: u8> Simulation<DISABLED> {
    /// Completes a request that the oracle does not count as work.
    fn warm_without_work(&mut self) {
        let id = request(u32::MAX);
        let admission = AdmissionRequest {
            request: id,
            customer: None,
            class: WorkClass::Interactive,
            priority: u8::MAX,
            deadline: self.now + 1_000_000,
            service_limit: 1,
            entry: None,
        };
        if self.count(RequestState::Queued) > 0 || self.queue.offer(self.now, admission).is_err() {
            return;
        }
        match self.queue.poll(self.now).as_slice() {
            [] => assert_eq!(self.queue.withdraw(&id), WithdrawOutcome::Removed),
            _ => self.queue.finish(self.now, &id, FinishCause::Completed),
        }
    }
}

#[test]
fn the_queue_protects_the_upstream_and_loses_no_request() {
    assert_holds::<Machine<NONE>>(21, 200);
}

#[test]
fn a_queue_that_ignores_the_boot_id_is_detected() {
    assert_fails::<Machine<NO_BOOT_ID>>(22, 200, "overload the cold upstream");
}

#[test]
fn a_queue_that_stays_open_is_detected() {
    assert_fails::<Machine<NO_CLOSE_ORDER>>(23, 200, "started while closed");
}

#[test]
fn a_limit_that_grows_without_work_is_detected() {
    assert_fails::<Machine<NO_WORK_BASED_GROWTH>>(24, 200, "overload the cold upstream");
}

#[test]
fn an_unlimited_credit_total_is_detected() {
    assert_fails::<Machine<NO_CREDIT_TOTAL>>(25, 200, "credits exceed the limit");
}
