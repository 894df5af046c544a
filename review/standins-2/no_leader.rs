//! The operator has the leading standby emptied, and right after that the store answers with 503 for a moment. Later
//! another standby is lost for good; the jobs that it ran must go on elsewhere.

use crate::{
    Verdict,
    deployment::{Deployment, Desired, Item},
    record::Record,
    worker::Run,
};
use std::{
    sync::{Arc, atomic::Ordering},
    thread::sleep,
    time::{Duration, Instant},
};

/// When the operator's write is confirmed after a renewal of the leader's lease, when the store's outage begins after
/// that, and how long it lasts.
const OUTAGE: (Duration, Duration, Duration) = (
    Duration::from_millis(360),
    Duration::from_millis(40),
    Duration::from_millis(1_300),
);

/// How long the operator waits for the report that the standby is empty.
const RETIREMENT: Duration = Duration::from_millis(8_400);

/// When the results of the step are due after its submission, and how much longer its trainer waits.
const STEP: (u64, Duration) = (20_000, Duration::from_millis(21_500));

/// How long after the loss of a machine nothing is judged: `contact_ms` and `catch_up_s`.
const UNSTEADY: Duration = Duration::from_millis(3_000 + 4_400);

/// How long an item may be at no worker in steady state.
const ALLOWED: Duration = Duration::from_secs(5);

pub fn run(has_trouble: bool, record: &Arc<Record>) -> Verdict {
    let desired = Desired {
        result_deadline_ms: STEP.0,
        ..Desired::default()
    };
    let mut deployment = Deployment::start(record, 3, &desired);
    deployment.add_standby("standby-b", "zone-b");
    sleep(Duration::from_secs(5));
    let leader = || {
        let value = deployment.store.get("ckd/control").unwrap_or_default();
        ["standby-a", "standby-b", "entry-a", "entry-b"]
            .into_iter()
            .find(|name| value.contains(name))
    };
    assert_eq!(leader(), Some("standby-a"));
    let renewed = || {
        deployment
            .store
            .renewed("ckd/control")
            .map_or(Duration::ZERO, |at| at.elapsed())
    };
    deployment.wait_for("a renewal", 5, || renewed() < Duration::from_millis(40));
    sleep(OUTAGE.0.saturating_sub(renewed()));
    deployment.store.put("op/retire/standby-a", "{\"ramp_s\":8.4}");
    record.line("the operator has standby-a, the leader, emptied");
    sleep(OUTAGE.1);
    if has_trouble {
        record.line("the store answers with 503");
        deployment.store.is_busy.store(true, Ordering::SeqCst);
        sleep(OUTAGE.2);
        deployment.store.is_busy.store(false, Ordering::SeqCst);
        record.line("the store works again");
    }
    sleep(RETIREMENT);
    let status = deployment.store.get("status/retire/standby-a");
    record.line(&format!(
        "status/retire/standby-a: {status:?}; the leader is {:?}",
        leader()
    ));
    if status.is_some_and(|status| status.contains("completed")) {
        deployment.lose_standby("standby-a");
    }
    sleep(Duration::from_secs(4));

    let items = (0..8).map(|number| Item::new(&format!("item-{number}"), &format!("group-{}", number / 4), (200, 20)));
    let items: Vec<Item> = items.collect();
    let submitted = Instant::now();
    assert_eq!(
        deployment.submit(&deployment.entries[0], "lot-1", (1, 1, 2), &items),
        202
    );
    sleep(Duration::from_secs(1));
    deployment.lose_standby("standby-b");
    let lost = Instant::now();
    sleep(Duration::from_secs(2));
    deployment.add_standby("standby-c", "zone-b");
    let listed = || {
        let results = deployment.results(&deployment.entries[1], "lot-1");
        results.map_or(0, |results| results.len())
    };
    while submitted.elapsed() < STEP.1 && listed() < items.len() {
        sleep(Duration::from_millis(200));
    }
    record.line(&format!(
        "{} of {} results after {:.1?}",
        listed(),
        items.len(),
        submitted.elapsed()
    ));
    let now = Instant::now();
    let runs: Vec<Run> = deployment.engines.iter().flat_map(|engine| engine.runs()).collect();
    let has_begun = |id: &str| runs.iter().any(|run| run.id == id);
    let mut verdict = Verdict::Held;
    for item in &items {
        let own: Vec<&Run> = runs.iter().filter(|run| run.id == item.id).collect();
        let others = items.iter().any(|other| other.id != item.id && has_begun(&other.id));
        let left = own
            .iter()
            .map(|run| run.last_event.unwrap_or(run.arrived))
            .max()
            .unwrap_or(submitted);
        let steady = now.saturating_duration_since(left.max(lost + UNSTEADY));
        let is_finished = own.iter().any(|run| run.is_finished);
        if submitted.elapsed() >= STEP.1 && !is_finished && others && steady > ALLOWED {
            let detail = format!(
                "the step's time is up, and {} has been at no worker for {:.1?}, {steady:.1?} of it steady",
                item.id,
                now - left
            );
            record.line(&detail);
            verdict = Verdict::Broken(detail);
        }
    }
    verdict
}
