//! While the system starts, the store loses the answers to some writes and carries these out late. Long after that, jobs
//! of an entry must not be taken from it while it runs them.

use crate::{
    Verdict,
    deployment::{Deployment, Desired, Item},
    record::Record,
    worker::Run,
};
use std::{
    sync::Arc,
    thread::sleep,
    time::{Duration, Instant},
};

/// How long after the machines traffic starts.
const LEAD: Duration = Duration::from_secs(10);

/// How long the worker before may still be at work on a request that goes on at another.
const OVERLAP: Duration = Duration::from_millis(400);

pub fn run(has_trouble: bool, record: &Arc<Record>) -> Verdict {
    let late_keys: &[&str] = match has_trouble {
        true => &["ckd/members/standby-a", "ckd/members/entry-a"],
        false => &[],
    };
    let started = Instant::now();
    let deployment = Deployment::launch(record, 3, &Desired::default(), late_keys);
    let [first, second] = &deployment.entries[..] else {
        unreachable!()
    };
    sleep(LEAD.saturating_sub(started.elapsed()));
    let (writes, late) = deployment.store.late_writes();
    record.line(&format!(
        "{late} of {writes} writes were late, the last of them seconds ago"
    ));
    record.line(&format!("registered: {:?}", deployment.store.keys("ckd/members/")));
    sleep(Duration::from_secs(2));
    let mut verdict = Verdict::Held;
    let mut longest = OVERLAP;
    for lot in ["lot-1", "lot-2"] {
        let items =
            (0..8).map(|number| Item::new(&format!("{lot}-{number}"), &format!("{lot}-g{}", number / 4), (300, 20)));
        let items: Vec<Item> = items.collect();
        assert_eq!(deployment.submit(first, lot, (1, 1, 2), &items), 202);
        deployment.wait_for("the results", 30, || {
            deployment
                .results(second, lot)
                .is_some_and(|results| results.len() == items.len())
        });
        let runs = deployment.engines.iter().flat_map(|engine| {
            let runs = engine.runs().into_iter();
            runs.map(|run| (engine.id.clone(), run))
        });
        let runs: Vec<(String, Run)> = runs.collect();
        for (worker, run) in &runs {
            for (other, next) in &runs {
                let goes_on =
                    next.id == run.id && worker != other && next.after.is_some() && next.arrived > run.arrived;
                let Some(last) = run.last_event.filter(|_| goes_on) else {
                    continue;
                };
                let overlap = last.saturating_duration_since(next.arrived);
                if overlap > OVERLAP {
                    let detail = format!(
                        "{} went on at {other} after event {}, and {worker} still worked on it {overlap:.1?} later",
                        run.id,
                        next.after.unwrap_or(0)
                    );
                    record.line(&detail);
                    if overlap > longest {
                        longest = overlap;
                        verdict = Verdict::Broken(detail);
                    }
                }
            }
        }
    }
    verdict
}
