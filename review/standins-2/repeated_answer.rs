//! A plain worker sends one of its answers a second time, late. That of a reward call must not score the text that the
//! item got in a later step.

use crate::{
    Verdict,
    deployment::{Deployment, Desired, Item},
    record::Record,
    worker::Run,
};
use std::{sync::Arc, thread::sleep, time::Duration};

/// The requests of clients at the worker beside the reward calls, so that one answer is less than 3% of all.
const OTHER_REQUESTS: u64 = 60;

pub fn run(has_trouble: bool, record: &Arc<Record>) -> Verdict {
    let deployment = Deployment::start(record, 3, &Desired::default());
    let [first, second] = &deployment.entries[..] else {
        unreachable!()
    };
    let desk = &deployment.desk;
    if has_trouble {
        desk.behaviour.lock().unwrap().repeated = Some(("reward-x".into(), 1));
    }
    for number in 0..OTHER_REQUESTS {
        let node = &deployment.entries[number as usize % 2];
        let id = format!("request-{number}");
        let headers = [("attempt-id", id.as_str()), ("deadline-ms", "800")];
        let answer = deployment.send(node, "POST", &format!("/desk/{number}"), &headers, b"body");
        assert_eq!(answer.map(|answer| answer.status), Some(200), "a request is served");
    }
    // The trainer waits for one of two groups. The other has a short and a long item.
    let step = [
        Item::new("p", "group-1", (5, 20)),
        Item::new("q", "group-1", (5, 20)),
        Item::new("x", "group-2", (25, 20)),
        Item::new("y", "group-2", (400, 20)),
    ];
    assert_eq!(deployment.submit(first, "lot-1", (1, 1, 1), &step), 202);
    deployment.wait_for("group-1 and the score of x", 10, || {
        let listed = deployment.results(second, "lot-1").map_or(0, |results| results.len());
        let runs = desk.runs();
        listed >= 2 && runs.iter().any(|run| run.id == "reward-x")
    });
    sleep(Duration::from_millis(200));
    record.line(&format!("the plain worker has given {} answers", desk.answers()));
    assert_eq!(deployment.end(first, "lot-1"), 200);
    deployment.name_version(2);
    deployment.wait_for("version 2", 20, || {
        let entries = deployment.store.keys("servers/engine-").into_iter();
        let entries = entries.filter_map(|key| deployment.store.get(&key));
        entries.filter(|entry| entry.contains("\"version\":2,")).count() >= 2
    });
    sleep(Duration::from_millis(1_500));
    // The group that was not complete comes again, with a step that no longer allows version 1.
    let step = [
        Item::new("x", "group-2", (25, 20)),
        Item::new("y", "group-2", (60, 20)),
        Item::new("u", "group-3", (60, 20)),
        Item::new("v", "group-3", (60, 20)),
    ];
    assert_eq!(deployment.submit(first, "lot-2", (2, 2, 2), &step), 202);
    deployment.wait_for("the results of lot-2", 30, || {
        deployment
            .results(second, "lot-2")
            .is_some_and(|results| results.len() == 4)
    });
    let results = deployment.results(second, "lot-2").expect("the results were read");
    let mut verdict = Verdict::Held;
    for result in &results {
        let (id, score) = (result.get("id").text(), result.get("score").text());
        let texts: Vec<Run> = deployment.engines.iter().flat_map(|engine| engine.runs()).collect();
        let texts = texts.iter().filter(|run| run.id == id && run.version == 2);
        let made = texts.filter_map(|run| run.last_event).max().expect("the text was made");
        let calls = desk.runs();
        let Some(call) = calls.iter().find(|run| run.stamp == score) else {
            verdict = Verdict::Broken(format!("the score {score} of {id} is no digest of an answer"));
            continue;
        };
        let versions: Vec<u64> = result
            .get("versions")
            .list()
            .iter()
            .map(|version| version.number())
            .collect();
        let is_early = call.arrived < made;
        record.line(&format!(
            "{id}: versions {versions:?}, score {score}, of the call {}, which arrived {} the last event of the text",
            call.id,
            if is_early { "BEFORE" } else { "after" }
        ));
        if is_early {
            let lead = made - call.arrived;
            verdict = Verdict::Broken(format!(
                "the score {score} of {id} is that of a call which arrived {lead:?} before the last event of its text"
            ));
        }
    }
    verdict
}
