//! Fuzzes usage collection with two holders of the zone's lease and agents with slow clocks.
//!
//! Guards against a window that is sealed twice with different counts (G8), and against counts that
//! are lost or reported twice.

mod common;

use {
    catkindeck::{id::ObjectName, message::UsageLine},
    catkindeck_policy::{SealedWindow, USAGE_GRACE_WINDOWS, UsageCollector},
    common::{assert_fails, assert_holds, name},
    proptest::prelude::*,
    proptest_state_machine::{ReferenceStateMachine, StateMachineTest},
    std::collections::BTreeMap,
};

const AGENTS: usize = 3;

// The safeguard that a state machine leaves out.
const NONE: u8 = 0;
const NO_COMPARE_AND_SWAP: u8 = 1;
const NO_PER_AGENT_ACKNOWLEDGEMENT: u8 = 2;

#[derive(Debug, Clone)]
enum Event {
    Count(usize, u64),
    Collect { holder: usize, agent: usize },
    Seal(usize),
    NextWindow,
    Restart(usize),
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
            6 => (0..AGENTS, 1u64..1_000).prop_map(|(agent, tokens)| Event::Count(agent, tokens)),
            6 => (0usize..2, 0..AGENTS).prop_map(|(holder, agent)| Event::Collect { holder, agent }),
            4 => (0usize..2).prop_map(Event::Seal),
            2 => Just(Event::NextWindow),
            1 => (0usize..2).prop_map(Event::Restart),
        ]
        .boxed()
    }

    fn apply(_state: (), _event: &Event) {}
}

struct Simulation<const DISABLED: u8> {
    present: u64,
    /// The unacknowledged lines of each agent; agent `n` lags by `n` windows.
    lines: Vec<BTreeMap<u64, u64>>,
    /// The first window of each agent that no collector has seen.
    open_from: Vec<u64>,
    holders: [UsageCollector; 2],
    store: BTreeMap<u64, SealedWindow>,
    counted: u64,
}

fn agent_name(agent: usize) -> ObjectName {
    name(&format!("agent-{agent}"))
}

impl<const DISABLED: u8> Simulation<DISABLED> {
    fn window_of(&self, agent: usize) -> u64 {
        (self.present - agent as u64).max(self.open_from[agent])
    }

    fn count(&mut self, agent: usize, tokens: u64) {
        let window = self.window_of(agent);
        *self.lines[agent].entry(window).or_default() += tokens;
        self.counted += tokens;
    }

    fn collect(&mut self, holder: usize, agent: usize) {
        let collector = &mut self.holders[holder];
        let own = agent_name(agent);
        let acknowledged = match DISABLED {
            NO_PER_AGENT_ACKNOWLEDGEMENT => self.store.keys().last().copied(),
            _ => collector.sealed_through(&own),
        };
        if let Some(sealed) = acknowledged {
            self.lines[agent].retain(|window, _| *window > sealed);
        }
        let closed_before = (self.present - agent as u64).max(self.open_from[agent]);
        let closed = self.lines[agent].range(..closed_before);
        let lines: Vec<UsageLine> = closed
            .map(|(window, tokens)| UsageLine {
                window: *window,
                customer: None,
                service: name("drafts"),
                requests: 1,
                tokens: *tokens,
            })
            .collect();
        self.open_from[agent] = closed_before;
        collector.record_collection(self.present, &own, lines);
    }

    fn seal(&mut self, holder: usize) {
        let agents: Vec<ObjectName> = (0..AGENTS).map(agent_name).collect();
        let collector = &mut self.holders[holder];
        if DISABLED != NO_COMPARE_AND_SWAP
            && let Some((_, last)) = self.store.last_key_value()
        {
            collector.record_sealed(last);
        }
        while let Some(window) = collector.next_window_to_seal(self.present, &agents) {
            let content = collector.compose(window);
            let kept = self.store.entry(window).or_insert_with(|| content.clone());
            if DISABLED == NO_COMPARE_AND_SWAP {
                assert_eq!(*kept, content, "a window is reported with other counts");
            }
            let kept = kept.clone();
            collector.record_sealed(&kept);
        }
    }

    /// Collects and seals until nothing is left, and compares the sums with the counts.
    fn seal_everything(&mut self) {
        for _ in 0..USAGE_GRACE_WINDOWS + AGENTS as u64 + 2 {
            self.present += 1;
            (0..AGENTS).for_each(|agent| self.collect(0, agent));
            self.seal(0);
        }
        let lines = self.store.values().flat_map(|window| &window.lines);
        let sealed: u64 = lines.map(|line| line.tokens).sum();
        assert_eq!(sealed, self.counted, "counts are lost or reported twice");
    }
}

struct Machine<const DISABLED: u8>;

impl<const DISABLED: u8> StateMachineTest for Machine<DISABLED> {
    type SystemUnderTest = Simulation<DISABLED>;
    type Reference = Events;

    fn init_test(_state: &()) -> Simulation<DISABLED> {
        Simulation {
            present: 10,
            lines: vec![BTreeMap::new(); AGENTS],
            open_from: vec![0; AGENTS],
            holders: [UsageCollector::default(), UsageCollector::default()],
            store: BTreeMap::new(),
            counted: 0,
        }
    }

    fn apply(
        mut simulation: Simulation<DISABLED>,
        _state: &(),
        event: Event,
    ) -> Simulation<DISABLED> {
        match event {
            Event::Count(agent, tokens) => simulation.count(agent, tokens),
            Event::Collect { holder, agent } => simulation.collect(holder, agent),
            Event::Seal(holder) => simulation.seal(holder),
            Event::NextWindow => simulation.present += 1,
            Event::Restart(holder) => {
                let last = simulation.store.values().last();
                simulation.holders[holder] = UsageCollector::restore(last);
            }
        }
        simulation
    }

    fn teardown(mut simulation: Simulation<DISABLED>, _state: ()) {
        if DISABLED != NO_COMPARE_AND_SWAP {
            simulation.seal_everything();
        }
    }
}

#[test]
fn every_count_is_sealed_once() {
    assert_holds::<Machine<NONE>>(61, 120);
}

#[test]
fn sealing_without_compare_and_swap_is_detected() {
    assert_fails::<Machine<NO_COMPARE_AND_SWAP>>(62, 120, "with other counts");
}

#[test]
fn acknowledgement_by_the_clock_is_detected() {
    assert_fails::<Machine<NO_PER_AGENT_ACKNOWLEDGEMENT>>(63, 120, "lost or reported twice");
}
