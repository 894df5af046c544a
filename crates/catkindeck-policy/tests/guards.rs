//! Fuzzes the order fence, the crash quarantine and the retry budget against simple oracles.
//!
//! Guards against orders of a former lease holder (G7), against a request that crashes one upstream
//! after another, and against retry amplification.

mod common;

use {
    catkindeck::{
        Moment,
        config::ZoneState,
        message::{CrashReport, OrderKind, UpstreamOrder},
    },
    catkindeck_policy::{CrashQuarantine, FenceDecision, OrderFence, RetryBudget},
    common::{assert_fails, assert_holds, digest, name, request},
    proptest::prelude::*,
    proptest_state_machine::{ReferenceStateMachine, StateMachineTest},
    std::collections::BTreeMap,
};

const TEN_MINUTES_MS: u64 = 600_000;

#[derive(Debug, Clone)]
enum Event {
    Order { lease: u8, fence: u64, id: u32 },
    Crash { body: u8, upstream: u8 },
    Advance(u64),
    Request { customer: u8, failures: u8 },
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
            (0u8..2, 0u64..6, 0u32..12).prop_map(|(lease, fence, id)| Event::Order {
                lease,
                fence,
                id
            }),
            (0u8..4, 0u8..3).prop_map(|(body, upstream)| Event::Crash { body, upstream }),
            (1u64..200_000).prop_map(Event::Advance),
            (0u8..3, 0u8..4).prop_map(|(customer, failures)| Event::Request { customer, failures }),
        ]
        .boxed()
    }

    fn apply(_state: (), _event: &Event) {}
}

// The safeguard that a state machine leaves out.
const NONE: u8 = 0;
const NO_FENCE: u8 = 1;
const NO_DISTINCT_UPSTREAMS: u8 = 2;
const NO_QUARANTINE: u8 = 3;
const NO_BUDGET: u8 = 4;
const NO_STABLE_ORDER_IDS: u8 = 5;

struct Simulation<const DISABLED: u8> {
    now: Moment,
    fence: OrderFence,
    applied: Vec<(u8, u64, u32)>,
    quarantine: CrashQuarantine,
    crashes: Vec<(u8, u8, Moment)>,
    quarantined_until: BTreeMap<u8, Moment>,
    budget: RetryBudget,
    attempts: BTreeMap<u8, (u64, u64)>,
    unique: u32,
    unique_orders: u32,
}

impl<const DISABLED: u8> Simulation<DISABLED> {
    fn order(&mut self, lease: u8, fence: u64, id: u32) {
        if DISABLED == NO_STABLE_ORDER_IDS {
            self.unique_orders += 100;
        }
        let order = UpstreamOrder {
            order: request(id + self.unique_orders),
            lease: name(&format!("lease-{lease}")),
            fence,
            kind: OrderKind::SetZone(ZoneState::Out),
        };
        let decision = match DISABLED {
            NO_FENCE => Ok(FenceDecision::Apply),
            _ => self.fence.admit(&order),
        };
        if decision != Ok(FenceDecision::Apply) {
            return;
        }
        for (other, number, known) in &self.applied {
            let stale = *other == lease && *number > fence;
            assert!(!stale, "an order of a former lease holder is applied");
            let repeated = *other == lease && *known == id;
            assert!(!repeated, "an order is applied twice");
        }
        self.applied.push((lease, fence, id));
    }

    fn crash(&mut self, body: u8, upstream: u8) {
        self.unique += 1;
        let upstream_name = match DISABLED {
            NO_DISTINCT_UPSTREAMS => name(&format!("upstream-{upstream}-{}", self.unique)),
            _ => name(&format!("upstream-{upstream}")),
        };
        let report = CrashReport {
            digest: digest(body),
            upstream: upstream_name,
        };
        if DISABLED != NO_QUARANTINE {
            self.quarantine.report(self.now, &report);
        }
        self.crashes.push((body, upstream, self.now));
        // Crashes of two upstreams within ten minutes start a quarantine of ten minutes.
        let now = self.now;
        let elsewhere = self.crashes.iter().any(|(other, place, at)| {
            *other == body && *place != upstream && now.since(*at) < TEN_MINUTES_MS
        });
        if elsewhere {
            self.quarantined_until.insert(body, now + TEN_MINUTES_MS);
        }
    }

    /// Sends a request whose first `failures` attempts fail.
    fn request(&mut self, customer: u8, failures: u8) {
        let (customer_name, route) = (name(&format!("customer-{customer}")), name("desk"));
        let (requests, attempts) = self.attempts.entry(customer).or_default();
        *requests += 1;
        *attempts += 1;
        self.budget
            .deposit(self.now, Some(&customer_name), &route, 10);
        for _ in 0..failures {
            let spent = self.budget.spend(self.now, Some(&customer_name), &route);
            if spent.is_err() && DISABLED != NO_BUDGET {
                break;
            }
            *attempts += 1;
        }
        let bounded = *attempts * 10 <= *requests * 11;
        assert!(bounded, "more than 1.1 attempts per request");
    }
}

struct Machine<const DISABLED: u8>;

impl<const DISABLED: u8> StateMachineTest for Machine<DISABLED> {
    type SystemUnderTest = Simulation<DISABLED>;
    type Reference = Events;

    fn init_test(_state: &()) -> Simulation<DISABLED> {
        Simulation {
            now: Moment(0),
            fence: OrderFence::new(),
            applied: Vec::new(),
            quarantine: CrashQuarantine::new(),
            crashes: Vec::new(),
            quarantined_until: BTreeMap::new(),
            budget: RetryBudget::new(),
            attempts: BTreeMap::new(),
            unique: 0,
            unique_orders: 0,
        }
    }

    fn apply(
        mut simulation: Simulation<DISABLED>,
        _state: &(),
        event: Event,
    ) -> Simulation<DISABLED> {
        match event {
            Event::Order { lease, fence, id } => simulation.order(lease, fence, id),
            Event::Crash { body, upstream } => simulation.crash(body, upstream),
            Event::Advance(milliseconds) => {
                simulation.now = simulation.now + milliseconds;
                simulation.quarantine.sweep(simulation.now);
                simulation.budget.sweep(simulation.now);
            }
            Event::Request { customer, failures } => simulation.request(customer, failures),
        }
        simulation
    }

    fn check_invariants(simulation: &Simulation<DISABLED>, _state: &()) {
        for body in 0..4 {
            let until = simulation.quarantined_until.get(&body);
            let expected = until.is_some_and(|until| simulation.now < *until);
            let refused = simulation
                .quarantine
                .check(simulation.now, &digest(body))
                .is_err();
            assert_eq!(refused, expected, "quarantine of body {body}");
        }
    }
}

#[test]
fn fence_quarantine_and_retry_budget_keep_their_guarantees() {
    assert_holds::<Machine<NONE>>(31, 150);
}

#[test]
fn a_missing_fence_is_detected() {
    assert_fails::<Machine<NO_FENCE>>(32, 150, "former lease holder");
}

#[test]
fn repeated_orders_with_new_ids_are_detected() {
    assert_fails::<Machine<NO_STABLE_ORDER_IDS>>(33, 150, "applied twice");
}

#[test]
fn counting_crashes_of_one_upstream_twice_is_detected() {
    assert_fails::<Machine<NO_DISTINCT_UPSTREAMS>>(34, 150, "quarantine of body");
}

#[test]
fn a_missing_quarantine_is_detected() {
    assert_fails::<Machine<NO_QUARANTINE>>(35, 150, "quarantine of body");
}

#[test]
fn a_missing_retry_budget_is_detected() {
    assert_fails::<Machine<NO_BUDGET>>(36, 150, "1.1 attempts");
}

/// Guards against rejecting a body that only shared an upstream with the crashing one.
#[test]
fn a_body_that_ends_normally_is_not_quarantined() {
    let mut quarantine = CrashQuarantine::new();
    let crash = |upstream: &str| CrashReport {
        digest: digest(1),
        upstream: name(upstream),
    };
    quarantine.report(Moment(0), &crash("a"));
    quarantine.clear(Moment(1), &digest(1));
    assert!(!quarantine.report(Moment(2), &crash("b")));
    assert!(quarantine.report(Moment(3), &crash("c")));
    quarantine.clear(Moment(4), &digest(1));
    assert!(quarantine.check(Moment(5), &digest(1)).is_err());
}

/// Guards against a retry that is ignored although the upstream rejected the order before.
#[test]
fn a_forgotten_order_is_applied_when_it_is_repeated() {
    let mut fence = OrderFence::new();
    let order = UpstreamOrder {
        order: request(1),
        lease: name("run"),
        fence: 3,
        kind: OrderKind::Leave,
    };
    assert_eq!(fence.admit(&order), Ok(FenceDecision::Apply));
    assert_eq!(fence.admit(&order), Ok(FenceDecision::Repeat));
    fence.forget(&order);
    assert_eq!(fence.admit(&order), Ok(FenceDecision::Apply));
}
