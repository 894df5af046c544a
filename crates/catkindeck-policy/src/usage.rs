//! Collection of usage counts into sealed windows.

use {
    catkindeck::{SortedMap, id::ObjectName, message, message::UsageLine},
    std::collections::BTreeMap,
};

/// The number of windows for which the collector waits for agents that do not answer.
///
/// Reports must not wait for a lost host; its counts go into a later window.
pub const USAGE_GRACE_WINDOWS: u64 = 2;

/// The number of windows after which an agent that does not answer is forgotten; one day.
const AGENT_EXPIRY_WINDOWS: u64 = 1_440;

/// The content of one window of a zone, written by compare-and-swap before it is reported.
#[message]
pub struct SealedWindow {
    pub window: u64,
    /// The sorted counts; a line with an earlier window arrived late.
    pub lines: Vec<UsageLine>,
    /// The last window sealed for each agent, after which the next collector continues.
    pub through: Vec<(ObjectName, u64)>,
}

/// Collects the counts of a zone's agents (`docs/design.md`, decision 19 and G8).
///
/// A window is composed once and never changes. What was sealed for an agent is tracked by the
/// windows of its lines rather than by a clock, because an agent whose clock is behind may still
/// count into a window that the collector considers closed.
#[derive(Debug, Clone, Default)]
pub struct UsageCollector {
    sealed: Option<u64>,
    through: SortedMap<ObjectName, u64>,
    pending: SortedMap<ObjectName, AgentUsage>,
}

#[derive(Debug, Clone)]
struct AgentUsage {
    /// The window during which the agent last answered.
    collected_in: u64,
    lines: Vec<UsageLine>,
}

impl UsageCollector {
    /// Continues after the last sealed window, whichever holder of the zone's lease sealed it.
    pub fn restore(last: Option<&SealedWindow>) -> Self {
        let mut collector = Self::default();
        if let Some(last) = last {
            collector.record_sealed(last);
        }
        collector
    }

    /// Returns the last window sealed for an agent, which the next collection acknowledges.
    pub fn sealed_through(&self, agent: &ObjectName) -> Option<u64> {
        self.through.get(agent).copied()
    }

    /// Records an agent's response, which replaces its earlier one.
    pub fn record_collection(
        &mut self,
        current_window: u64,
        agent: &ObjectName,
        lines: Vec<UsageLine>,
    ) {
        let usage = AgentUsage {
            collected_in: current_window,
            lines,
        };
        self.pending.insert(agent.clone(), usage);
    }

    /// Returns the next window to seal, if it has ended and either all agents have answered since
    /// or the grace time has passed.
    pub fn next_window_to_seal(&self, current_window: u64, agents: &[ObjectName]) -> Option<u64> {
        let next = match self.sealed {
            Some(sealed) => sealed + 1,
            None => current_window.checked_sub(1)?,
        };
        if next >= current_window {
            return None;
        }
        let answered = |agent: &ObjectName| {
            let usage = self.pending.get(agent);
            usage.is_some_and(|usage| usage.collected_in > next)
        };
        let waited = current_window > next + USAGE_GRACE_WINDOWS;
        (waited || agents.iter().all(answered)).then_some(next)
    }

    /// Composes a window from the collected lines, including late lines of earlier windows.
    pub fn compose(&self, window: u64) -> SealedWindow {
        let mut sums: BTreeMap<(u64, Option<ObjectName>, ObjectName), (u64, u64)> = BTreeMap::new();
        let mut through = self.through.clone();
        for (agent, usage) in self.pending.iter() {
            let sealed = self.sealed_through(agent);
            let new = |line: &&UsageLine| {
                line.window <= window && sealed.is_none_or(|sealed| line.window > sealed)
            };
            for line in usage.lines.iter().filter(new) {
                let key = (line.window, line.customer.clone(), line.service.clone());
                let sum = sums.entry(key).or_default();
                *sum = (sum.0 + line.requests, sum.1 + line.tokens);
                let last = through.get_or_insert_with(agent.clone(), || line.window);
                *last = (*last).max(line.window);
            }
        }
        through.retain(|_, last| *last + AGENT_EXPIRY_WINDOWS > window);
        let lines =
            sums.into_iter().map(
                |((window, customer, service), (requests, tokens))| UsageLine {
                    window,
                    customer,
                    service,
                    requests,
                    tokens,
                },
            );
        SealedWindow {
            window,
            lines: lines.collect(),
            through: through
                .iter()
                .map(|(agent, last)| (agent.clone(), *last))
                .collect(),
        }
    }

    /// Records what the store holds for a window, whether this collector or another composed it.
    pub fn record_sealed(&mut self, window: &SealedWindow) {
        self.sealed = self.sealed.max(Some(window.window));
        for (agent, last) in &window.through {
            let known = self.through.get_or_insert_with(agent.clone(), || *last);
            *known = (*known).max(*last);
        }
    }
}
