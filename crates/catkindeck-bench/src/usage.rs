//! Measures the delay and the accuracy of usage reports.
//!
//! This is measure 4 (`docs/design.md`, section 1).

use {
    crate::{
        deployment::{Deployment, object_name},
        queue::{PolicyKind, customer_name},
        rng::SimRng,
    },
    catkindeck::{id::ObjectName, message::UsageLine},
    catkindeck_policy::{SealedWindow, UsageCollector},
    std::collections::BTreeMap,
};

/// The number of windows in which agents count usage; each lasts one minute.
const WINDOWS: u64 = 240;

/// The number of windows after the last count during which late counts are collected.
const LATE_COUNT_WINDOWS: u64 = 20;

/// The results of one run.
#[derive(Debug, Clone, Copy)]
pub struct UsageResults {
    /// The number of windows that were reported again with different content.
    pub changed_windows: f64,
    /// The difference between reported and counted tokens, in percent of the counted tokens.
    pub error_percent: f64,
    /// The tokens reported more than three windows after they were counted, in percent of the
    /// counted tokens.
    pub late_percent: f64,
}

/// An agent with the usage that has not been acknowledged yet.
#[derive(Debug, Default)]
struct SimAgent {
    lines: Vec<UsageLine>,
    unreachable_until: u64,
}

/// The receiver of usage reports, which keeps all reports of each window with the window in which
/// each was received.
#[derive(Debug, Default)]
struct UsageReportReceiver {
    reports: BTreeMap<u64, Vec<(u64, Vec<UsageLine>)>>,
}

/// Simulates agents that lose connections, two processes that hold the zone's lease in turn, and a
/// store with outages.
pub fn measure(deployment: Deployment, kind: PolicyKind, seed: u64) -> UsageResults {
    let mut rng = SimRng::new(seed, 80);
    let names: Vec<ObjectName> = (0..deployment.engines + deployment.service_upstreams)
        .map(|agent| object_name(&format!("agent-{agent:02}")))
        .collect();
    let mut agents: Vec<SimAgent> = names.iter().map(|_| SimAgent::default()).collect();
    let mut receiver = UsageReportReceiver::default();
    let mut counted = 0;
    let mut store: BTreeMap<u64, SealedWindow> = BTreeMap::new();
    let mut holders = [UsageCollector::default(), UsageCollector::default()];
    let mut store_down_until = 0;
    for current_window in 1..=WINDOWS + LATE_COUNT_WINDOWS {
        if current_window <= WINDOWS {
            for agent in &mut agents {
                counted += count_tokens(agent, current_window - 1, &mut rng);
                if rng.uniform() < 0.02 {
                    agent.unreachable_until = current_window + 1 + rng.below(6) as u64;
                }
            }
            if rng.uniform() < 0.02 {
                store_down_until = current_window + rng.below(8) as u64;
            }
        }
        // In one of ten windows the previous holder resumes from a suspension after the other one
        // has taken over, so both collect.
        let has_two_holders = rng.uniform() < 0.1;
        for holder in 0..1 + usize::from(has_two_holders) {
            // The second holder collects later, when other agents are reachable.
            let lost = |rng: &mut SimRng| rng.uniform() < 0.05;
            let holder = (current_window as usize / 10 + holder) % 2;
            for (agent, name) in agents.iter_mut().zip(&names) {
                if agent.unreachable_until > current_window || lost(&mut rng) {
                    continue;
                }
                let collector = &mut holders[holder];
                if let Some(sealed) = collector.sealed_through(name)
                    && kind == PolicyKind::Catkindeck
                {
                    agent.lines.retain(|line| line.window > sealed);
                }
                collector.record_collection(current_window, name, agent.lines.clone());
            }
            match kind {
                PolicyKind::Baseline => {
                    receiver.report_unsealed_window(current_window, &holders[holder])
                }
                _ if current_window < store_down_until => {}
                PolicyKind::Catkindeck | PolicyKind::FixedLimit => {
                    seal(
                        current_window,
                        &names,
                        &mut holders[holder],
                        &mut store,
                        &mut receiver,
                    );
                }
            }
        }
    }
    receiver.results(counted)
}

/// Adds the usage of a window to an agent and returns its number of tokens.
fn count_tokens(agent: &mut SimAgent, window: u64, rng: &mut SimRng) -> u64 {
    let mut sum = 0;
    for customer in 0..8 {
        let tokens = rng.below(5_000) as u64;
        sum += tokens;
        agent.lines.push(UsageLine {
            window,
            customer: Some(customer_name(customer)),
            service: object_name("drafts"),
            requests: 1 + tokens / 100,
            tokens,
        });
    }
    sum
}

/// Seals and reports all windows that are due; a window is always reported with its sealed content.
fn seal(
    current_window: u64,
    agents: &[ObjectName],
    holder: &mut UsageCollector,
    store: &mut BTreeMap<u64, SealedWindow>,
    receiver: &mut UsageReportReceiver,
) {
    if let Some((_, last)) = store.last_key_value() {
        holder.record_sealed(last);
    }
    while let Some(window) = holder.next_window_to_seal(current_window, agents) {
        // The first write wins; the other holder adopts its content.
        let content = store
            .entry(window)
            .or_insert_with(|| holder.compose(window))
            .clone();
        holder.record_sealed(&content);
        receiver
            .reports
            .entry(window)
            .or_default()
            .push((current_window, content.lines));
    }
}

impl UsageReportReceiver {
    /// Reports the last window with the usage collected so far, as a service without sealing does.
    fn report_unsealed_window(&mut self, current_window: u64, holder: &UsageCollector) {
        let Some(window) = current_window.checked_sub(1) else {
            return;
        };
        let mut lines = holder.compose(window).lines;
        lines.retain(|line| line.window == window);
        self.reports
            .entry(window)
            .or_default()
            .push((current_window, lines));
    }

    /// Compares the last report of each window, which is the billed one, with the counted tokens.
    fn results(&self, counted: u64) -> UsageResults {
        let (mut changed, mut reported, mut late) = (0, 0, 0);
        for reports in self.reports.values() {
            let differ = reports.windows(2).any(|pair| pair[0].1 != pair[1].1);
            changed += u32::from(differ);
            let Some((reported_in, lines)) = reports.last() else {
                continue;
            };
            for line in lines {
                reported += line.tokens;
                late += if *reported_in > line.window + 3 {
                    line.tokens
                } else {
                    0
                };
            }
        }
        let percent = |part: u64| 100.0 * part as f64 / counted as f64;
        UsageResults {
            changed_windows: f64::from(changed),
            error_percent: percent(counted.abs_diff(reported)),
            late_percent: percent(late),
        }
    }
}
