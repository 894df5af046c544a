//! Simulates two lease holders, the store and two receivers of orders in virtual time.

mod common;

use {
    catkindeck::{Moment, platform::LeaseGrant},
    catkindeck_policy::lease::{LeaseCall, LeaseProof, LeaseState},
    proptest::prelude::*,
    proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine},
};

const TTL_MS: u64 = 10_000;
const MARGIN_MS: u64 = 1000;
const ORDER_MS: u64 = 3000;

/// How much slower each holder's clock runs, per mille; the margin must compensate for it.
const DRIFT_PERMILLE: [u64; 2] = [0, 50];

#[derive(Debug, Clone)]
enum Step {
    /// Advances time by this many milliseconds.
    Advance(u64),
    /// The holder polls its state for the next call.
    Poll(usize),
    /// The holder's call arrives at the store.
    DeliverCall(usize),
    /// The store's reply arrives at the holder.
    DeliverReply(usize),
    /// The holder's call or its reply is lost.
    Lose(usize),
    /// The holder checks its lease and sends an order, which arrives after this many milliseconds.
    SendOrder(usize, u64),
    /// The holder starts to drain, and restarts once it has drained.
    Restart(usize),
}

/// A reference machine without state, because the oracle is the store's lease in
/// [`LeaseSimulation`].
struct StepSource;

impl ReferenceStateMachine for StepSource {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_state: &()) -> BoxedStrategy<Step> {
        prop_oneof![
            2 => (1..400_u64).prop_map(Step::Advance),
            3 => (400..4000_u64).prop_map(Step::Advance),
            1 => (4000..15_000_u64).prop_map(Step::Advance),
            6 => (0..2_usize).prop_map(Step::Poll),
            6 => (0..2_usize).prop_map(Step::DeliverCall),
            5 => (0..2_usize).prop_map(Step::DeliverReply),
            1 => (0..2_usize).prop_map(Step::Lose),
            4 => (0..2_usize, 0..3000_u64).prop_map(|(index, delay_ms)| Step::SendOrder(index, delay_ms)),
            1 => (0..2_usize, 0..25_000_u64).prop_map(|(index, delay_ms)| Step::SendOrder(index, delay_ms)),
            1 => (0..2_usize).prop_map(Step::Restart),
        ]
        .boxed()
    }

    fn apply(_state: (), _step: &Step) {}
}

#[derive(Debug)]
struct Order {
    proof: LeaseProof,
    checked: u64,
    arrives: u64,
}

/// A call in flight and, once it has arrived at the store, the store's reply.
#[derive(Debug)]
struct InFlightCall {
    call: LeaseCall,
    reply: Option<Reply>,
}

#[derive(Debug)]
enum Reply {
    Granted(LeaseGrant),
    Held(u64),
    Fenced,
    Released,
}

struct LeaseSimulation {
    now: u64,
    holders: [LeaseState; 2],
    in_flight: [Option<InFlightCall>; 2],
    number: u64,
    owner: Option<usize>,
    expires: u64,
    orders: Vec<Order>,
    /// The highest fencing token that arrived at the receiver without fencing.
    highest_arrived: u64,
    /// The highest fencing token that the fencing receiver has accepted.
    highest_fenced: u64,
}

impl LeaseSimulation {
    fn new() -> Self {
        Self {
            now: 0,
            holders: [holder(), holder()],
            in_flight: [None, None],
            number: 0,
            owner: None,
            expires: 0,
            orders: Vec::new(),
            highest_arrived: 0,
            highest_fenced: 0,
        }
    }

    fn local_time(&self, index: usize) -> Moment {
        Moment(self.now * (1000 - DRIFT_PERMILLE[index]) / 1000)
    }

    fn advance(&mut self, ms: u64) {
        let end = self.now + ms;
        self.orders.sort_by_key(|order| order.arrives);
        while self
            .orders
            .first()
            .is_some_and(|order| order.arrives <= end)
        {
            let order = self.orders.remove(0);
            self.receive(&order);
        }
        self.now = end;
    }

    fn receive(&mut self, order: &Order) {
        let number = order.proof.number;
        // Without fencing, a receiver is safe exactly if the order arrives within its proof's
        // validity.
        if order.arrives - order.checked <= order.proof.remaining_ms {
            assert!(
                number >= self.highest_arrived,
                "order {number} arrived in time but after order {}",
                self.highest_arrived
            );
        }
        self.highest_arrived = self.highest_arrived.max(number);
        // A fencing receiver rejects orders of a former holder after one of its successor.
        if number >= self.highest_fenced {
            self.highest_fenced = number;
        }
    }

    fn deliver_call(&mut self, index: usize) {
        let now = self.now;
        let held = now < self.expires;
        let Some(flight) = self.in_flight[index]
            .as_mut()
            .filter(|flight| flight.reply.is_none())
        else {
            return;
        };
        let reply = match flight.call {
            LeaseCall::Acquire if held && self.owner != Some(index) => {
                Reply::Held(self.expires - now)
            }
            LeaseCall::Acquire => {
                self.number += 1;
                self.owner = Some(index);
                self.expires = now + TTL_MS;
                Reply::Granted(grant(self.number))
            }
            LeaseCall::Renew(number) if held && number == self.number => {
                self.expires = now + TTL_MS;
                Reply::Granted(grant(number))
            }
            LeaseCall::Release(number) if held && number == self.number => {
                self.expires = now;
                Reply::Released
            }
            LeaseCall::Renew(_) | LeaseCall::Release(_) => Reply::Fenced,
        };
        flight.reply = Some(reply);
    }

    fn deliver_reply(&mut self, index: usize) {
        let now = self.local_time(index);
        let delivered = self.in_flight[index].take_if(|flight| flight.reply.is_some());
        let Some(flight) = delivered else {
            return;
        };
        let holder = &mut self.holders[index];
        match (flight.call, flight.reply) {
            (LeaseCall::Release(_), _) => holder.on_released(),
            (_, Some(Reply::Granted(grant))) => holder.on_granted(&grant),
            (_, Some(Reply::Held(remaining_ms))) => holder.on_held(remaining_ms, now),
            _ => holder.on_fenced(now),
        }
    }

    fn send_order(&mut self, index: usize, delay_ms: u64) {
        let now = self.local_time(index);
        if let Some(proof) = self.holders[index].check(now) {
            self.orders.push(Order {
                proof,
                checked: self.now,
                arrives: self.now + delay_ms,
            });
        }
    }

    fn check(&self) {
        for index in 0..2 {
            let Some(proof) = self.holders[index].clone().check(self.local_time(index)) else {
                continue;
            };
            assert_eq!(
                proof.number, self.number,
                "a former holder passes its check"
            );
            assert!(
                self.now + proof.remaining_ms <= self.expires,
                "holder {index} treats its lease as valid for longer than the store grants it"
            );
        }
    }
}

impl StateMachineTest for LeaseSimulation {
    type SystemUnderTest = Self;
    type Reference = StepSource;

    fn init_test(_state: &()) -> Self {
        Self::new()
    }

    fn apply(mut simulation: Self, _state: &(), step: Step) -> Self {
        match step {
            Step::Advance(ms) => simulation.advance(ms),
            Step::Poll(index) => {
                let now = simulation.local_time(index);
                if let Some(call) = simulation.holders[index].poll(now) {
                    simulation.in_flight[index] = Some(InFlightCall { call, reply: None });
                }
            }
            Step::DeliverCall(index) => simulation.deliver_call(index),
            Step::DeliverReply(index) => simulation.deliver_reply(index),
            Step::Lose(index) => {
                if let Some(flight) = simulation.in_flight[index].take() {
                    let now = simulation.local_time(index);
                    match flight.call {
                        LeaseCall::Release(_) => simulation.holders[index].on_released(),
                        _ => simulation.holders[index].on_unavailable(now),
                    }
                }
            }
            Step::SendOrder(index, delay_ms) => simulation.send_order(index, delay_ms),
            Step::Restart(index) => {
                simulation.holders[index].drain();
                let now = simulation.local_time(index);
                assert!(simulation.holders[index].check(now).is_none());
                if simulation.holders[index].is_drained() {
                    simulation.holders[index] = holder();
                }
            }
        }
        simulation
    }

    fn check_invariants(simulation: &Self, _state: &()) {
        simulation.check();
    }
}

fn holder() -> LeaseState {
    LeaseState::new(TTL_MS, MARGIN_MS, ORDER_MS)
}

fn grant(number: u64) -> LeaseGrant {
    LeaseGrant {
        number,
        ttl_ms: TTL_MS,
    }
}

prop_state_machine! {
    #![proptest_config(common::fuzz_config(400))]

    /// Guards against a holder that treats an expired lease as valid, and against an order that
    /// arrives within its proof's validity but after an order of the next holder.
    #[test]
    fn holders_never_overlap(sequential 1..120 => LeaseSimulation);
}

/// Shows the limit of lease proofs: if a process pauses between its check and the system call for
/// longer than the proof is valid, its order arrives after one of its successor. A receiver without
/// fencing accepts it; a fencing receiver rejects it.
#[test]
fn a_pause_longer_than_the_proof_requires_fencing() {
    let mut simulation = LeaseSimulation::new();
    for step in [
        Step::Poll(0),
        Step::DeliverCall(0),
        Step::DeliverReply(0),
        Step::SendOrder(0, 10_001),
    ] {
        simulation = LeaseSimulation::apply(simulation, &(), step);
    }
    simulation.advance(10_000);
    for step in [
        Step::Poll(1),
        Step::DeliverCall(1),
        Step::DeliverReply(1),
        Step::SendOrder(1, 0),
    ] {
        simulation = LeaseSimulation::apply(simulation, &(), step);
    }
    assert_eq!(
        simulation.orders.len(),
        2,
        "both holders passed their check"
    );
    let late = &simulation.orders[0];
    assert_eq!(late.proof.remaining_ms, ORDER_MS);
    simulation.advance(1);
    assert_eq!(simulation.highest_arrived, 2);
    assert_eq!(
        simulation.highest_fenced, 2,
        "the fencing receiver kept the successor's fencing token"
    );
}

/// Guards against calls for one lease that grow in proportion to the number of hosts.
#[test]
fn calls_of_contenders_grow_sublinearly() {
    let mut previous = 0;
    for hosts in [1_u32, 10, 100, 600] {
        let calls = count_contender_calls(hosts);
        println!("lease: {hosts} hosts make {calls} calls an hour for one lease");
        assert!(
            calls <= previous + 4 * 720,
            "{hosts} hosts make {calls} calls"
        );
        previous = calls;
    }
}

/// Returns the number of calls in an hour during which the host of rank zero holds the lease.
fn count_contender_calls(hosts: u32) -> u64 {
    let mut calls = 0;
    let mut states: Vec<LeaseState> = (0..hosts)
        .map(|rank| {
            let mut state = holder();
            state.set_rank(rank);
            state
        })
        .collect();
    for now in (0..3_600_000).step_by(100) {
        for (rank, state) in states.iter_mut().enumerate() {
            if state.poll(Moment(now)).is_some() {
                calls += 1;
                if rank == 0 {
                    state.on_granted(&grant(1));
                } else {
                    state.on_held(TTL_MS * 2 / 3, Moment(now));
                }
            }
        }
    }
    calls
}

/// Guards against a lease that is released while an order is in flight, after which the
/// successor's order can arrive first. Found by `holders_never_overlap` with 20,000 cases.
#[test]
fn release_waits_for_orders_in_flight() {
    let mut state = holder();
    assert_eq!(state.poll(Moment(0)), Some(LeaseCall::Acquire));
    state.on_granted(&grant(1));
    assert!(state.check(Moment(100)).is_some());
    state.drain();
    assert_eq!(state.poll(Moment(100 + ORDER_MS - 1)), None);
    assert!(!state.is_drained());
    assert_eq!(
        state.poll(Moment(100 + ORDER_MS)),
        Some(LeaseCall::Release(1))
    );
}
