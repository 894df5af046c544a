//! Measure 4: usage reports that are late or inaccurate.

use {
    crate::{
        deployment::{Deployment, object_name},
        gate::{PolicyKind, customer_name},
        random::ModelRandom,
    },
    catkindeck::{id::ObjectName, message::UsageLine},
    catkindeck_policy::{SealedWindow, UsageCollector},
    std::collections::BTreeMap,
};

/// The windows in which agents count; one minute each.
const WINDOWS: u64 = 240;

/// The windows after that in which late counts still arrive.
const SETTLING: u64 = 20;

/// The figures of one run.
#[derive(Debug, Clone, Copy)]
pub struct UsageFigures {
    /// Windows that were reported again with other figures.
    pub changed_windows: f64,
    /// The difference between reported and counted tokens, in percent of those counted.
    pub error_percent: f64,
    /// Tokens that were reported later than three windows after they were counted, in percent.
    pub late_percent: f64,
}

/// An agent's counts that were not acknowledged.
#[derive(Debug, Default)]
struct ModelAgent {
    lines: Vec<UsageLine>,
    unreachable_until: u64,
}

/// The sink of reports: for each window the bytes of all reports.
#[derive(Debug, Default)]
struct ModelSink {
    reports: BTreeMap<u64, Vec<(u64, Vec<UsageLine>)>>,
}

/// Runs agents, two holders of the zone's lease and a store with outages.
pub fn measure(deployment: Deployment, kind: PolicyKind, seed: u64) -> UsageFigures {
    let mut random = ModelRandom::new(seed, 80);
    let names: Vec<ObjectName> = (0..deployment.engines + deployment.desks)
        .map(|agent| object_name(&format!("agent-{agent:02}")))
        .collect();
    let mut agents: Vec<ModelAgent> = names.iter().map(|_| ModelAgent::default()).collect();
    let mut sink = ModelSink::default();
    let mut counted = 0;
    let mut store: BTreeMap<u64, SealedWindow> = BTreeMap::new();
    let mut holders = [UsageCollector::default(), UsageCollector::default()];
    let mut store_down_until = 0;
    for present in 1..=WINDOWS + SETTLING {
        if present <= WINDOWS {
            for agent in &mut agents {
                counted += count(agent, present - 1, &mut random);
                if random.unit() < 0.02 {
                    agent.unreachable_until = present + 1 + random.below(6) as u64;
                }
            }
            if random.unit() < 0.02 {
                store_down_until = present + random.below(8) as u64;
            }
        }
        // One holder in ten windows is paused and finds another one when it wakes up.
        let both = random.unit() < 0.1;
        for holder in 0..1 + usize::from(both) {
            // The second holder asks later, when other agents answer.
            let lost = |random: &mut ModelRandom| random.unit() < 0.05;
            let holder = (present as usize / 10 + holder) % 2;
            for (agent, name) in agents.iter_mut().zip(&names) {
                if agent.unreachable_until > present || lost(&mut random) {
                    continue;
                }
                let collector = &mut holders[holder];
                if let Some(sealed) = collector.sealed_through(name)
                    && kind == PolicyKind::Catkindeck
                {
                    agent.lines.retain(|line| line.window > sealed);
                }
                collector.record_collection(present, name, agent.lines.clone());
            }
            match kind {
                PolicyKind::Baseline => sink.report_open(present, &holders[holder]),
                _ if present < store_down_until => {}
                PolicyKind::Catkindeck | PolicyKind::FixedLimit => {
                    seal(present, &names, &mut holders[holder], &mut store, &mut sink);
                }
            }
        }
    }
    sink.figures(counted)
}

/// Counts a window at an agent and returns its tokens.
fn count(agent: &mut ModelAgent, window: u64, random: &mut ModelRandom) -> u64 {
    let mut sum = 0;
    for customer in 0..8 {
        let tokens = random.below(5_000) as u64;
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

/// Seals what is due and reports it; a report whose answer is lost is sent again unchanged.
fn seal(
    present: u64,
    agents: &[ObjectName],
    holder: &mut UsageCollector,
    store: &mut BTreeMap<u64, SealedWindow>,
    sink: &mut ModelSink,
) {
    if let Some((_, last)) = store.last_key_value() {
        holder.record_sealed(last);
    }
    while let Some(window) = holder.next_window_to_seal(present, agents) {
        // The first write wins; whoever loses takes the other's content.
        let content = store
            .entry(window)
            .or_insert_with(|| holder.compose(window))
            .clone();
        holder.record_sealed(&content);
        sink.reports
            .entry(window)
            .or_default()
            .push((present, content.lines));
    }
}

impl ModelSink {
    /// Reports the last window from whatever was collected, as a service without seals does.
    fn report_open(&mut self, present: u64, holder: &UsageCollector) {
        let Some(window) = present.checked_sub(1) else {
            return;
        };
        let mut lines = holder.compose(window).lines;
        lines.retain(|line| line.window == window);
        self.reports
            .entry(window)
            .or_default()
            .push((present, lines));
    }

    /// Compares the last report of each window, which is the one that is billed, with the counts.
    fn figures(&self, counted: u64) -> UsageFigures {
        let (mut changed, mut reported, mut late) = (0, 0, 0);
        for reports in self.reports.values() {
            let differ = reports.windows(2).any(|pair| pair[0].1 != pair[1].1);
            changed += u32::from(differ);
            let Some((present, lines)) = reports.last() else {
                continue;
            };
            for line in lines {
                reported += line.tokens;
                late += if *present > line.window + 3 {
                    line.tokens
                } else {
                    0
                };
            }
        }
        let percent = |part: u64| 100.0 * part as f64 / counted as f64;
        UsageFigures {
            changed_windows: f64::from(changed),
            error_percent: percent(counted.abs_diff(reported)),
            late_percent: percent(late),
        }
    }
}
