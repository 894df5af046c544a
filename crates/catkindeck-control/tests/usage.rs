//! Property test of two sealers that run concurrently for one zone, with outages, lost responses
//! and restarts.

mod common;
mod support;

use {
    catkindeck::{
        ErrorKind, ServiceError,
        id::ObjectName,
        log::discard_logger,
        message::{USAGE_WINDOW_MS, UsageLine},
        platform::UsageSink,
    },
    catkindeck_control::{
        authority::ControlLease,
        usage::{AgentUsage, AgentWatermark, UsageCollector, UsageSealer, seal_window},
    },
    catkindeck_store::LeaseProof,
    proptest::prelude::*,
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex},
    },
    support::{MemoryStore, StoreFault},
};

/// A lease that both processes hold at the same time. Sealing must be safe even then.
struct AlwaysHeldLease;

impl ControlLease for AlwaysHeldLease {
    fn check(&self) -> Result<LeaseProof, ServiceError> {
        Ok(LeaseProof {
            number: 1,
            remaining_ms: 1000,
        })
    }
}

/// Two agents with counts by window. Those that are reachable report the windows that are not
/// sealed for them.
#[derive(Default)]
struct AgentCounts {
    state: Mutex<AgentState>,
}

#[derive(Default)]
struct AgentState {
    now_window: u64,
    counts: [BTreeMap<u64, u64>; 2],
    unreachable: [bool; 2],
    total: u64,
}

impl UsageCollector for AgentCounts {
    fn collect(&self, _zone: &ObjectName, marks: &[AgentWatermark]) -> Vec<AgentUsage> {
        let state = self.state.lock().unwrap();
        let mut collected = Vec::new();
        for agent in 0..2 {
            if state.unreachable[agent] {
                continue;
            }
            let host = agent_name(agent);
            let mark = marks.iter().find(|mark| mark.agent == host);
            let lines = state.counts[agent]
                .iter()
                .filter(|(window, _)| **window < state.now_window)
                .filter(|(window, _)| mark.is_none_or(|mark| **window > mark.sealed_through));
            collected.push(AgentUsage {
                agent: host,
                lines: lines.map(|(window, count)| line(*window, *count)).collect(),
            });
        }
        collected
    }
}

/// Records the content of all reports.
#[derive(Default)]
struct ReportLog {
    state: Mutex<ReportState>,
}

#[derive(Default)]
struct ReportState {
    attempts: BTreeMap<u64, Vec<Vec<u8>>>,
    down: bool,
    lose_responses: bool,
}

impl UsageSink for ReportLog {
    fn report(&self, _zone: &ObjectName, window: u64, sealed: &[u8]) -> Result<(), ServiceError> {
        let mut state = self.state.lock().unwrap();
        let lost = ServiceError::unknown(ErrorKind::PeerUnavailable, "injected by the test");
        if state.down {
            return Err(lost);
        }
        state
            .attempts
            .entry(window)
            .or_default()
            .push(sealed.to_vec());
        if state.lose_responses {
            Err(lost)
        } else {
            Ok(())
        }
    }
}

#[derive(Debug, Clone)]
enum Action {
    /// A sealer makes its next external call.
    Step(usize),
    /// A sealer's process restarts.
    Restart(usize),
    /// An agent counts requests in the current window.
    Count(usize, u64),
    /// The next window begins.
    NextWindow,
    /// Sets whether an agent is reachable.
    Reach(usize, bool),
    /// Sets the store's behavior.
    Store(u8),
    /// Sets the behavior of the usage interface.
    Sink(u8),
}

fn actions() -> impl Strategy<Value = Vec<Action>> {
    let action = prop_oneof![
        12 => (0..2_usize).prop_map(Action::Step),
        1 => (0..2_usize).prop_map(Action::Restart),
        4 => (0..2_usize, 1..9_u64).prop_map(|(agent, count)| Action::Count(agent, count)),
        2 => Just(Action::NextWindow),
        1 => (0..2_usize, any::<bool>()).prop_map(|(agent, up)| Action::Reach(agent, up)),
        1 => (0..4_u8).prop_map(Action::Store),
        1 => (0..4_u8).prop_map(Action::Sink),
    ];
    prop::collection::vec(action, 1..200)
}

struct UsageModel {
    store: Arc<MemoryStore>,
    sink: Arc<ReportLog>,
    agents: Arc<AgentCounts>,
    sealers: [UsageSealer; 2],
}

impl UsageModel {
    fn new() -> Self {
        let store = Arc::new(MemoryStore::default());
        let sink = Arc::new(ReportLog::default());
        let agents = Arc::new(AgentCounts::default());
        agents.state.lock().unwrap().now_window = 10;
        let sealers = [(); 2].map(|()| sealer(&store, &sink, &agents));
        Self {
            store,
            sink,
            agents,
            sealers,
        }
    }

    fn apply(&mut self, action: &Action) {
        match *action {
            Action::Step(who) => {
                let window = self.agents.state.lock().unwrap().now_window;
                // Errors come from the injected faults; the sealer recovers on its own.
                let _ = self.sealers[who].step(window * USAGE_WINDOW_MS + 6000);
            }
            Action::Restart(who) => {
                self.sealers[who] = sealer(&self.store, &self.sink, &self.agents);
            }
            Action::Count(agent, count) => {
                let mut state = self.agents.state.lock().unwrap();
                let window = state.now_window;
                *state.counts[agent].entry(window).or_default() += count;
                state.total += count;
            }
            Action::NextWindow => self.agents.state.lock().unwrap().now_window += 1,
            Action::Reach(agent, up) => {
                self.agents.state.lock().unwrap().unreachable[agent] = !up;
            }
            Action::Store(fault) => self.store.set_fault(match fault {
                0 => StoreFault::Outage,
                1 => StoreFault::ResponseLost,
                _ => StoreFault::None,
            }),
            Action::Sink(fault) => {
                let mut sink = self.sink.state.lock().unwrap();
                sink.down = fault == 0;
                sink.lose_responses = fault == 1;
            }
        }
    }

    /// Checks that all reports of a window have the same content, and returns the total number of
    /// reported requests.
    fn reported(&self) -> Result<u64, TestCaseError> {
        let state = self.sink.state.lock().unwrap();
        let mut total = 0;
        for (window, reports) in &state.attempts {
            for report in reports {
                prop_assert_eq!(report, &reports[0], "window {} differs", window);
            }
            let content: catkindeck_control::usage::SealedUsage =
                serde_json::from_slice(&reports[0]).expect("the report is sealed usage");
            prop_assert_eq!(content.window, *window);
            total += content.lines.iter().map(|line| line.requests).sum::<u64>();
        }
        Ok(total)
    }
}

fn sealer(
    store: &Arc<MemoryStore>,
    sink: &Arc<ReportLog>,
    agents: &Arc<AgentCounts>,
) -> UsageSealer {
    UsageSealer::new(
        name("vault-a"),
        store.clone(),
        sink.clone(),
        agents.clone(),
        Arc::new(AlwaysHeldLease),
        discard_logger(),
    )
}

fn name(text: &str) -> ObjectName {
    ObjectName::try_from(text).expect("a valid name")
}

fn agent_name(agent: usize) -> ObjectName {
    name(["agent-0", "agent-1"][agent])
}

fn line(window: u64, requests: u64) -> UsageLine {
    UsageLine {
        window,
        customer: Some(name("customer")),
        service: name("service"),
        requests,
        tokens: requests * 10,
    }
}

proptest! {
    #![proptest_config(common::fuzz_config(300))]

    /// Guards against reports of a window with different content, and against counts that are
    /// reported twice or never.
    #[test]
    fn window_is_always_reported_with_the_same_content(actions in actions()) {
        let mut model = UsageModel::new();
        for action in &actions {
            model.apply(action);
            let counted = model.agents.state.lock().unwrap().total;
            prop_assert!(model.reported()? <= counted, "counts were reported twice");
        }
        // After all faults have ended, all counts are reported exactly once.
        for action in [
            Action::Store(3),
            Action::Sink(3),
            Action::Reach(0, true),
            Action::Reach(1, true),
            Action::NextWindow,
            Action::NextWindow,
        ] {
            model.apply(&action);
        }
        for _ in 0..1000 {
            model.apply(&Action::Step(0));
        }
        let counted = model.agents.state.lock().unwrap().total;
        prop_assert_eq!(model.reported()?, counted);
    }
}

/// Guards against late counts that are dropped or added to the counts of the later window.
#[test]
fn late_counts_are_reported_under_their_own_window() {
    let marks = [AgentWatermark {
        agent: agent_name(0),
        sealed_through: 4,
    }];
    let collected = [
        AgentUsage {
            agent: agent_name(0),
            lines: vec![line(4, 100), line(6, 1)],
        },
        AgentUsage {
            agent: agent_name(1),
            lines: vec![line(5, 2), line(6, 3)],
        },
    ];
    let sealed = seal_window(&name("vault-a"), 6, &marks, &collected);
    assert_eq!(sealed.lines, vec![line(5, 2), line(6, 4)]);
    assert!(sealed.marks.iter().all(|mark| mark.sealed_through == 6));
}

/// A collector during whose collection another sealer seals the same window.
struct RacingCollector {
    inner: Arc<AgentCounts>,
    other: Mutex<Option<UsageSealer>>,
}

impl UsageCollector for RacingCollector {
    fn collect(&self, zone: &ObjectName, marks: &[AgentWatermark]) -> Vec<AgentUsage> {
        let collected = self.inner.collect(zone, marks);
        if let Some(mut other) = self.other.lock().unwrap().take() {
            // The other sealer reaches one agent fewer, so its content differs.
            self.inner.state.lock().unwrap().unreachable[1] = true;
            for _ in 0..4 {
                other
                    .step(12 * USAGE_WINDOW_MS + 6000)
                    .expect("the store responds");
            }
        }
        collected
    }
}

/// Guards against a sealer that reports its own counts although another one sealed the window while
/// it collected them.
#[test]
fn sealer_that_lost_the_swap_reports_the_sealed_window() {
    let mut model = UsageModel::new();
    model.apply(&Action::Step(0));
    for action in [Action::Count(0, 3), Action::Count(1, 4), Action::NextWindow] {
        model.apply(&action);
    }
    model.apply(&Action::NextWindow);
    let [first, other] = model.sealers;
    drop(first);
    let racing = RacingCollector {
        inner: model.agents.clone(),
        other: Mutex::new(Some(other)),
    };
    let mut sealer = UsageSealer::new(
        name("vault-a"),
        model.store.clone(),
        model.sink.clone(),
        Arc::new(racing),
        Arc::new(AlwaysHeldLease),
        discard_logger(),
    );
    for _ in 0..4 {
        sealer
            .step(12 * USAGE_WINDOW_MS + 6000)
            .expect("the store responds");
    }
    let state = model.sink.state.lock().unwrap();
    let reports = state
        .attempts
        .values()
        .next()
        .expect("a window is reported");
    assert_eq!(reports.len(), 2, "both sealers report the window");
    assert_eq!(reports[0], reports[1]);
}
