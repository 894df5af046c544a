//! Checks homes, subsets and routing, and fuzzes routing while zones leave and return.
//!
//! Guards against a home that another entry does not find, upstreams that no entry uses, hints that
//! overload an upstream, and work that starts in a zone seconds after it went out.

mod common;

use {
    catkindeck::{
        Moment,
        config::{ConfigRevision, UpstreamRecord, ZoneRecord, ZoneState},
        id::{BootId, IncarnationId, ObjectName},
        message::{LoadReport, WorkClass},
    },
    catkindeck_policy::{
        AdmissionAction, AdmissionQueue, AdmissionRequest, AdmissionSettings, FinishCause,
        HomeSelector, RouteQuery, RouterSettings, UpstreamRouter,
    },
    common::{assert_fails, assert_holds, fuzz_config, name, request},
    proptest::prelude::*,
    proptest_state_machine::{ReferenceStateMachine, StateMachineTest},
    std::collections::BTreeSet,
};

fn upstream(number: usize, zone: usize) -> UpstreamRecord {
    UpstreamRecord {
        name: name(&format!("engine-{number}")),
        service: name("drafts"),
        zone: name(&format!("zone-{zone}")),
        agent: ([127, 0, 0, 1], 9_000).into(),
        added_ms: 0,
        removed_ms: None,
    }
}

fn zone(number: usize, state: ZoneState) -> ZoneRecord {
    ZoneRecord {
        name: name(&format!("zone-{number}")),
        region: name("region"),
        state,
    }
}

fn report(limit: u32, in_flight: u32, closed: bool) -> LoadReport {
    LoadReport {
        incarnation: IncarnationId::default(),
        boot: BootId::default(),
        limit,
        in_flight,
        queued: 0,
        credits: limit.saturating_sub(in_flight),
        closed,
        version: None,
        revision: ConfigRevision(1),
        prefixes: Vec::new(),
    }
}

proptest! {
    #![proptest_config(fuzz_config(41))]

    /// Guards against an idempotency key whose earlier home is not asked (decision 4).
    #[test]
    fn every_home_of_the_look_back_is_known(
        lives in prop::collection::vec((0u64..2_000, proptest::option::of(0u64..2_000)), 2..8),
        key in "[a-z]{1,8}",
        now in 1_000u64..2_000,
    ) {
        let look_back = 500;
        let selector = HomeSelector::with_look_back(look_back);
        let as_known_at = |instant: u64| -> Vec<UpstreamRecord> {
            let lives = lives.iter().enumerate();
            lives
                .filter(|(_, (added, _))| *added <= instant)
                .map(|(number, (added, stay))| UpstreamRecord {
                    added_ms: *added,
                    removed_ms: stay.map(|stay| added + stay).filter(|end| *end <= instant),
                    ..upstream(number, 0)
                })
                .collect()
        };
        let choose = |instant| {
            selector.choose(instant, None, &key, &name("drafts"), &as_known_at(instant))
        };
        if let Some(choice) = choose(now) {
            for instant in now - look_back..=now {
                let Some(then) = choose(instant) else { continue };
                let asked = then.home == choice.home || choice.earlier.contains(&then.home);
                prop_assert!(asked, "{:?} was home at {}", then.home, instant);
            }
        }
    }

    /// Guards against a hint that sends work to an upstream above the load bound (decision 15).
    #[test]
    fn a_hint_never_overrides_the_load_bound(
        loads in prop::collection::vec(0u32..12, 2..20),
        prefix in any::<u64>(),
        holders in prop::collection::vec(any::<bool>(), 20),
        seed in any::<u64>(),
    ) {
        let mut router = UpstreamRouter::new(RouterSettings::default(), name("entry"), seed);
        let members: Vec<_> = (0..loads.len()).map(|number| upstream(number, 0)).collect();
        router.set_members(&members, &[], &[]);
        for (number, load) in loads.iter().enumerate() {
            let mut load = report(10, *load, false);
            if holders[number] {
                load.prefixes.push(prefix);
            }
            router.observe(Moment(5), &members[number].name, &load);
        }
        let query = RouteQuery { service: &name("drafts"), prefix: Some(prefix), excluded: &[] };
        let choice = router.route(Moment(5), &query).expect("all are open");
        if choice.hinted {
            let number = members.iter().position(|member| member.name == choice.upstream);
            let load = loads[number.expect("a member")];
            let mean = f64::from(loads.iter().sum::<u32>() + 1) / loads.len() as f64;
            prop_assert!(f64::from(load) <= 1.25 * mean && load < 10);
        }
    }

    /// Guards against work for excluded, closed and failed upstreams.
    #[test]
    fn avoided_upstreams_get_nothing(avoided in 0usize..6, how in 0u8..4, seed in any::<u64>()) {
        let mut router = UpstreamRouter::new(RouterSettings::default(), name("entry"), seed);
        let members: Vec<_> = (0..6).map(|number| upstream(number, number)).collect();
        router.set_members(&members, &[], &[]);
        let bad = members[avoided].name.clone();
        let mut excluded = Vec::new();
        match how {
            0 => excluded.push(bad.clone()),
            1 => router.observe(Moment(0), &bad, &report(4, 0, true)),
            2 => router.failed(Moment(0), &bad),
            _ => router.set_members(&members, &[zone(avoided, ZoneState::Out)], &[]),
        }
        for _ in 0..50 {
            let query = RouteQuery { service: &name("drafts"), prefix: None, excluded: &excluded };
            let choice = router.route(Moment(1), &query).expect("five are open");
            prop_assert_ne!(&choice.upstream, &bad);
            router.sent(&choice.upstream);
        }
    }
}

/// Guards against upstreams that no entry uses at target size, and against subsets that are not
/// bounded.
#[test]
fn every_upstream_is_used_by_two_entries() {
    let upstreams: Vec<_> = (0..1_000)
        .map(|number| upstream(number, number % 12))
        .collect();
    let entries: Vec<_> = (0..100)
        .map(|number| name(&format!("entry-{number}")))
        .collect();
    let mut uses = vec![0u32; upstreams.len()];
    for entry in &entries {
        let mut router = UpstreamRouter::new(RouterSettings::default(), entry.clone(), 1);
        router.set_members(&upstreams, &[], &entries);
        let members = router.members(&name("drafts"));
        assert!(
            (8..=60).contains(&members.len()),
            "{} members",
            members.len()
        );
        let zones: BTreeSet<&ObjectName> = upstreams
            .iter()
            .filter(|upstream| members.contains(&upstream.name))
            .map(|upstream| &upstream.zone)
            .collect();
        assert!(zones.len() >= 4, "a subset in {} zones", zones.len());
        for (number, upstream) in upstreams.iter().enumerate() {
            uses[number] += u32::from(members.contains(&upstream.name));
        }
    }
    assert!(uses.iter().all(|uses| *uses >= 2));
}

const NONE: u8 = 0;
const NO_ORDER_TO_AGENTS: u8 = 1;
const NO_LEAVING_ORDER: u8 = 2;

/// How long an order takes to reach the agents at most, in milliseconds.
const ORDER_DELAY: u64 = 1_500;
/// The bound of G10 and G14, in milliseconds.
const DRAIN_BOUND: u64 = 2_000;

#[derive(Debug, Clone)]
enum Event {
    Zone(usize, bool),
    Leave(usize),
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
            1 => (0usize..6).prop_map(Event::Leave),
            8 => Just(Event::Request),
            6 => (10u64..500).prop_map(Event::Tick),
        ]
        .boxed()
    }

    fn apply(_state: (), _event: &Event) {}
}

/// An entry whose view is never refreshed, so that only the agents keep the bound.
struct World<const OFF: u8> {
    now: Moment,
    router: UpstreamRouter,
    members: Vec<UpstreamRecord>,
    agents: Vec<AdmissionQueue>,
    running: Vec<Vec<(u32, Moment)>>,
    closed_since: Vec<Option<Moment>>,
    leaving: Vec<bool>,
    zones_out: [bool; 3],
    next: u32,
}

impl<const OFF: u8> World<OFF> {
    fn update_closed(&mut self) {
        for agent in 0..self.agents.len() {
            let out = self.zones_out[agent % 3];
            let closed = out || self.leaving[agent];
            let since = self.closed_since[agent].unwrap_or(self.now);
            self.closed_since[agent] = closed.then_some(since);
        }
    }

    fn tick(&mut self, milliseconds: u64) {
        self.now = self.now + milliseconds;
        for agent in 0..self.agents.len() {
            let told = self.closed_since[agent];
            let mut closed = told.is_some_and(|since| self.now.since(since) >= ORDER_DELAY);
            closed &= OFF != NO_ORDER_TO_AGENTS || self.leaving[agent];
            closed &= OFF != NO_LEAVING_ORDER || self.zones_out[agent % 3];
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
            let late = since.is_some_and(|since| self.now.since(since) >= DRAIN_BOUND);
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
        self.router.sent(&choice.upstream);
        self.router.answered(&choice.upstream);
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

struct Machine<const OFF: u8>;

impl<const OFF: u8> StateMachineTest for Machine<OFF> {
    type SystemUnderTest = World<OFF>;
    type Reference = Events;

    fn init_test(_state: &()) -> World<OFF> {
        let members: Vec<_> = (0..6).map(|number| upstream(number, number % 3)).collect();
        let mut router = UpstreamRouter::new(RouterSettings::default(), name("entry"), 7);
        router.set_members(&members, &[], &[]);
        let agent = || AdmissionQueue::new(AdmissionSettings::default(), Moment(0));
        World {
            now: Moment(0),
            router,
            agents: members.iter().map(|_| agent()).collect(),
            running: vec![Vec::new(); members.len()],
            closed_since: vec![None; members.len()],
            leaving: vec![false; members.len()],
            zones_out: [false; 3],
            next: 0,
            members,
        }
    }

    fn apply(mut world: World<OFF>, _state: &(), event: Event) -> World<OFF> {
        match event {
            Event::Zone(zone, out) => world.zones_out[zone] = out,
            Event::Leave(agent) => world.leaving[agent] = true,
            Event::Request => world.request(),
            Event::Tick(milliseconds) => world.tick(milliseconds),
        }
        world.update_closed();
        world
    }
}

#[test]
fn a_draining_upstream_starts_nothing_after_the_bound() {
    assert_holds::<Machine<NONE>>(42, 150);
}

#[test]
fn agents_that_do_not_hear_of_their_zone_are_found() {
    assert_fails::<Machine<NO_ORDER_TO_AGENTS>>(43, 150, "had to drain");
}

#[test]
fn agents_that_do_not_hear_that_they_leave_are_found() {
    assert_fails::<Machine<NO_LEAVING_ORDER>>(44, 150, "had to drain");
}
