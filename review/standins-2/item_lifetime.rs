//! The operator raises a route's `item_ttl_s` while a batch is open. Its items must not be given up at the former one.

use crate::{
    Verdict,
    deployment::{Deployment, Desired, Item},
    record::Record,
};
use std::{
    sync::Arc,
    thread::sleep,
    time::{Duration, Instant},
};

const FORMER_TTL_S: u64 = 12;
const LATER_TTL_S: u64 = 60;

pub fn run(has_trouble: bool, record: &Arc<Record>) -> Verdict {
    let desired = Desired {
        item_ttl_s: FORMER_TTL_S,
        ..Desired::default()
    };
    let deployment = Deployment::start(record, 1, &desired);
    let [first, second] = &deployment.entries[..] else {
        unreachable!()
    };
    // The engine runs 8 items at once, and each takes 8 s.
    let items = (0..20).map(|number| Item::new(&format!("i{number}"), &format!("g{}", number / 4), (400, 20)));
    let items: Vec<Item> = items.collect();
    let submitted = Instant::now();
    assert_eq!(deployment.submit(first, "lot-1", (1, 1, 5), &items), 202);
    sleep(Duration::from_secs(2));
    if has_trouble {
        deployment.write_desired(&Desired {
            version: 8,
            item_ttl_s: LATER_TTL_S,
            ..desired
        });
    }
    let mut seen = 0;
    let mut verdict = Verdict::Held;
    while submitted.elapsed() < Duration::from_secs(40) && seen < items.len() {
        sleep(Duration::from_millis(500));
        let results = deployment.results(second, "lot-1").unwrap_or_default();
        let age_s = submitted.elapsed().as_secs_f64();
        for result in results.iter().skip(seen) {
            let (id, state) = (result.get("id").text(), result.get("state").text());
            record.line(&format!("{id} is listed as {state} at an age of {age_s:.1} s"));
            let limit_s = if has_trouble { LATER_TTL_S } else { FORMER_TTL_S };
            if state == "aborted" && age_s < limit_s as f64 {
                verdict = Verdict::Broken(format!(
                    "{id} was given up at an age of {age_s:.1} s; {limit_s} s are in force, and no worker failed it"
                ));
            }
        }
        seen = results.len().max(seen);
    }
    verdict
}
