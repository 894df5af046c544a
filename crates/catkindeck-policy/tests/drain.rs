//! Fuzzes routing and admission while zones go out and return and upstreams drain.
//!
//! Guards against work that starts in a zone, or at an upstream, more than two seconds after it had
//! to drain (G10, G14).

mod common;

use {
    catkindeck::{Moment, config::UpstreamRecord, message::WorkClass},
    catkindeck_policy::{
        AdmissionAction, AdmissionQueue, AdmissionRequest, AdmissionSettings, FinishCause,
        RouteQuery, RouterSettings, UpstreamRouter,
    },
    common::{assert_fails, assert_holds, name, request, upstream},
    proptest::prelude::*,
    proptest_state_machine::{ReferenceStateMachine, StateMachineTest},
};

// The safeguard that a state machine leaves out.
const NONE: u8 = 0;
const NO_ZONE_ORDER: u8 = 1;
const NO_DRAIN_ORDER: u8 = 2;

/// The maximum time that an order takes to reach the agents, in milliseconds.
const ORDER_DELAY_MS: u64 = 1_500;
/// The bound of G10 and G14, in milliseconds.
const DRAIN_BOUND_MS: u64 = 2_000;

#[derive(Debug, Clone)]
enum Event {
    Zone(usize, bool),
    Drain(usize),
    Request,
    Tick(u64),
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
            1 => (0usize..3, any::<bool>()).prop_map(|(zone, out)| Event::Zone(zone, out)),
            1 => (0usize..6).prop_map(Event::Drain),
            8 => Just(Event::Request),
            6 => (10u64..500).prop_map(Event::Tick),
        ]
        .boxed()
    }

    fn apply(_state: (), _event: &Event) {}
}

/// An entry with an outdated view, so that only the agents can keep the bound.
struct Simulation<const DISABLED: u8> {
    now: Moment,
    router: UpstreamRouter,
    members: Vec<UpstreamRecord>,
    agents: Vec<AdmissionQueue>,
    running: Vec<Vec<(u32, Moment)>>,
    closed_since: Vec<Option<Moment>>,
    draining: Vec<bool>,
    zones_out: [bool; 3],
    next: u32,
}

impl<const DISABLED: u8> Simulation<DISABLED> {
    fn update_closed(&mut self) {
        for agent in 0..self.agents.len() {
            let out = self.zones_out[agent % 3];
            let closed = out || self.draining[agent];
            let since = self.closed_since[agent].unwrap_or(self.now);
            self.closed_since[agent] = closed.then_some(since);
        }
    }

    fn tick(&mut self, milliseconds: u64) {
        self.now = self.now + milliseconds;
        for agent in 0..self.agents.len() {
            let told = self.closed_since[agent];
            let mut closed = told.is_some_and(|since| self.now.since(since) >= ORDER_DELAY_MS);
            closed &= DISABLED != NO_ZONE_ORDER || self.draining[agent];
            closed &= DISABLED != NO_DRAIN_ORDER || self.zones_out[agent % 3];
            self.agents[agent].set_closed(self.now, closed);
            let now = self.now;
            for (id, started) in std::mem::take(&mut self.running[agent]) {
                if now.since(started) < 300 {
                    self.running[agent].push((id, started));
                    continue;
                }
                self.agents[agent].finish(now, &request(id), FinishCause::Completed);
            }
            self.poll(agent);
        }
    }

    fn poll(&mut self, agent: usize) {
        for action in self.agents[agent].poll(self.now) {
            let AdmissionAction::Start(id) = action else {
                continue;
            };
            let since = self.closed_since[agent];
            let late = since.is_some_and(|since| self.now.since(since) >= DRAIN_BOUND_MS);
            assert!(!late, "work starts 2 s after the upstream had to drain");
            let number = u32::from_be_bytes(id.0[..4].try_into().expect("four bytes"));
            self.running[agent].push((number, self.now));
        }
    }

    fn request(&mut self) {
        let service = name("drafts");
        let query = RouteQuery {
            service: &service,
            prefix: None,
            excluded: &[],
        };
        let Ok(choice) = self.router.route(self.now, &query) else {
            return;
        };
        self.router.record_sent(&choice.upstream);
        self.router.record_end(&choice.upstream);
        let chosen = |member: &UpstreamRecord| member.name == choice.upstream;
        let agent = self.members.iter().position(chosen).expect("a member");
        self.next += 1;
        let admission = AdmissionRequest {
            request: request(self.next),
            customer: None,
            class: WorkClass::Interactive,
            priority: 0,
            deadline: self.now + 10_000,
            service_limit: 10,
            entry: None,
        };
        let _ = self.agents[agent].offer(self.now, admission);
        self.poll(agent);
    }
}

struct Machine<const DISABLED: u8>;

impl<const DISABLED: u8> StateMachineTest for Machine<DISABLED> {
    type SystemUnderTest = Simulation<DISABLED>;
    type Reference = Events;

    fn init_test(_state: &()) -> Simulation<DISABLED> {
        let members: Vec<_> = (0..6).map(|number| upstream(number, number % 3)).collect();
        let mut router = UpstreamRouter::new(RouterSettings::default(), name("entry"), 7);
        router.set_members(&members, &[], &[]);
        let agent = || AdmissionQueue::new(AdmissionSettings::default(), Moment(0));
        Simulation {
            now: Moment(0),
            router,
            agents: members.iter().map(|_| agent()).collect(),
            running: vec![Vec::new(); members.len()],
            closed_since: vec![None; members.len()],
            draining: vec![false; members.len()],
            zones_out: [false; 3],
            next: 0,
            members,
        }
    }

    fn apply(
        mut simulation: Simulation<DISABLED>,
        _state: &(),
        event: Event,
    ) -> Simulation<DISABLED> {
        match event {
            Event::Zone(zone, out) => simulation.zones_out[zone] = out,
            Event::Drain(agent) => simulation.draining[agent] = true,
            Event::Request => simulation.request(),
            Event::Tick(milliseconds) => simulation.tick(milliseconds),
        }
        simulation.update_closed();
        simulation
    }
}

#[test]
fn a_draining_upstream_starts_nothing_after_the_bound() {
    assert_holds::<Machine<NONE>>(42, 150);
}

#[test]
fn a_missing_zone_order_is_detected() {
    assert_fails::<Machine<NO_ZONE_ORDER>>(43, 150, "had to drain");
}

#[test]
fn a_missing_drain_order_is_detected() {
    assert_fails::<Machine<NO_DRAIN_ORDER>>(44, 150, "had to drain");
}
