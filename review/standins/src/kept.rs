//! A batch submission becomes complete late, after an outage of the store, and is read again.

use {
    crate::{
        Case, Verdict, http,
        json::Json,
        node::{Deployment, Node},
        store::Store,
        wait_for,
        worker::{Worker, WorkerSettings},
    },
    std::{
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
};

const KEY: &str = "2b9wu3fexd9dnn2ctnfz";
const JOB: &str = "7c41e09b52d6a3f8";
const ITEMS: usize = 64;

/// The bound of the settings; a script may not last as long as the 120 s of the sheets.
const STATUS_S: u32 = 60;
/// When the store goes down, after the submission, and for how long; the site's days have up to 6.6 s.
const DOWN_AT: Duration = Duration::from_millis(63_600);
const DOWN_FOR: Duration = Duration::from_millis(6_600);
/// When the results are read again from the start, after the last one was read.
const READ_AGAIN: Duration = Duration::from_millis(3_500);

const CONFIG: &str = "{\"version\":3,\"routes\":[\
    {\"name\":\"r-desk\",\"host\":\"desk.example\",\"prefix\":\"/desk/\",\"kind\":\"safe\",\"timeout_ms\":2000,\
    \"target_latency_ms\":400,\"priority\":2,\"service\":\"desk\",\"max_attempts\":4,\"auth_exempt\":true},\
    {\"name\":\"r-draft\",\"host\":\"desk.example\",\"prefix\":\"/draft/\",\"kind\":\"rollout\",\
    \"timeout_ms\":10000,\"target_latency_ms\":400,\"priority\":1,\"service\":\"models\",\"max_attempts\":3,\
    \"result_deadline_ms\":90000,\"item_ttl_s\":100,\"session_affinity\":true,\"resumable\":true,\
    \"auth_exempt\":false}],\
    \"services\":[{\"name\":\"desk\",\"health_path\":\"/health\",\"max_connections\":100,\"protocol\":\"h1\",\
    \"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0},{\"name\":\"models\",\"health_path\":\"/health\",\
    \"max_connections\":140,\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":3.0,\"cold_per_s\":18.0,\
    \"engine\":{\"slots\":8,\"kv_cache_tokens\":103939,\"models\":[{\"name\":\"m0\"}]}}],\
    \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":33554432,\"header_timeout_ms\":3000,\
    \"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"huka270\",\"api_keys\":[\"2b9wu3fexd9dnn2ctnfz\"],\
    \"priority\":1}]}";

fn submission() -> String {
    let items: Vec<String> = (0..ITEMS)
        .map(|index| {
            format!(
                "{{\"id\":\"item{index:04}\",\"path\":\"/draft/1\",\"headers\":{{\"Model\":\"m0\",\
                 \"Token-Count\":\"60,400\",\"Prompt-Prefix\":\"9c2e{group:04}:40,5d{index:06}:20\"}},\
                 \"body\":\"q83vEjRWeJA=\",\"tokens\":460,\"group\":\"g{group:04}\",\"scorer\":{{\
                 \"id\":\"score{index:04}\",\"host\":\"desk.example\",\"path\":\"/desk/score\",\"body\":\"3q2+7w==\"}}}}",
                group = index / 4
            )
        })
        .collect();
    format!(
        "{{\"step\":0,\"model\":\"m0\",\"min_version\":1,\"desired_count\":{},\"items\":[{}]}}",
        ITEMS / 4,
        items.join(",")
    )
}

fn headers(attempt: &str) -> Vec<(&str, &str)> {
    vec![
        ("Host", "desk.example"),
        ("Credential", KEY),
        ("Attempt-Id", attempt),
        ("Content-Type", "application/json"),
    ]
}

pub fn run(case: &Case) -> Verdict {
    let record = &case.record;
    let store = Store::new();
    store.put("op/config", CONFIG);
    let worker = |id: &str, service: &str, model: Option<&str>, work, events| {
        let settings = WorkerSettings {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: "vault-a".to_owned(),
            slots: 8,
            model: model.map(str::to_owned),
            work: Duration::from_millis(work),
            events,
            crash_rate: None,
        };
        Worker::start(settings, &store, record)
    };
    // 64 items of 8 s at 8 slots take about 65 s.
    let _models = worker("i-model-1", "models", Some("m0"), 50, 160);
    let _desk = worker("i-desk-1", "desk", None, 20, 0);
    let mut deployment = Deployment::new(&store, record, &case.folder);
    deployment.status_s = STATUS_S;
    let standbys = [
        deployment.start("storage-vault-a-1", 21, "vault-a", false),
        deployment.start("storage-vault-b-1", 22, "vault-b", false),
    ];
    let entries = [
        deployment.start("edge-vault-a-1", 11, "vault-a", true),
        deployment.start("edge-vault-b-1", 12, "vault-b", true),
    ];
    if !wait_for(|| entries.iter().all(Node::is_ready)) {
        return Verdict::Failed("the entries are not ready".to_owned());
    }
    thread::sleep(Duration::from_millis(1_500));
    let target = format!("/draft/{JOB}");
    let response = http::call(
        entries[0].front,
        "POST",
        &target,
        &headers(JOB),
        submission().as_bytes(),
    );
    match response {
        Ok(response) if response.status == 202 => {
            record.say("client: the batch submission is accepted (202)")
        }
        other => return Verdict::Failed(format!("the submission is not accepted: {other:?}")),
    }
    let accepted = Instant::now();
    if case.has_trouble {
        let (store, record) = (Arc::clone(&store), Arc::clone(record));
        thread::spawn(move || {
            thread::sleep(DOWN_AT.saturating_sub(accepted.elapsed()));
            store.set_down(true);
            record.say(&format!(
                "the store is down, {:.1} s after the 202",
                accepted.elapsed().as_secs_f64()
            ));
            thread::sleep(DOWN_FOR);
            store.set_down(false);
            record.say(&format!(
                "the store is back, {:.1} s after the 202",
                accepted.elapsed().as_secs_f64()
            ));
        });
    }
    let read = |entry: usize, after: u64| {
        let target = format!("/catkindeck/lots/{JOB}?after={after}");
        let response = http::call(entries[entry].front, "GET", &target, &headers("read1"), b"");
        let (status, body) = response.map_or((0, Json::Null), |response| {
            (
                response.status,
                Json::parse(&response.text()).unwrap_or(Json::Null),
            )
        });
        let count = body.get("results").list().len();
        record.line(&format!(
            "client: reads after {after} at {}, {:.1} s after the 202: {status}, {count} results",
            entries[entry].name,
            accepted.elapsed().as_secs_f64()
        ));
        (status, body)
    };
    // The client reads about twice a second until it has all results.
    let (mut after, mut round) = (0, 0);
    while after < ITEMS as u64 {
        if accepted.elapsed() > Duration::from_secs(85) {
            return Verdict::Failed(format!("only {after} of {ITEMS} results were listed"));
        }
        let (status, body) = read(round % 2, after);
        if status == 200 {
            after = body.get("next").number();
        }
        round += 1;
        thread::sleep(Duration::from_millis(450));
    }
    record.say(&format!(
        "client: all results were read, {:.1} s after the 202",
        accepted.elapsed().as_secs_f64()
    ));
    thread::sleep(READ_AGAIN);
    // The batch submission was not ended, so it is open.
    let mut lost = Vec::new();
    for entry in 0..2 {
        let (status, body) = read(entry, 0);
        let count = body.get("results").list().len();
        let text = format!("{}: {status}, {count} results", entries[entry].name);
        record.say(&format!("client: reads again from the start at {text}"));
        if status == 404 || status == 410 || status == 200 && count == 0 {
            lost.push(text);
        }
    }
    let keys = store.keys(&format!("ckd/jobs/{JOB}/")).len();
    record.say(&format!(
        "keys of the batch submission in the store: {keys}"
    ));
    drop((standbys, entries));
    match lost.is_empty() {
        true => Verdict::Held("all results that had been read came again".to_owned()),
        false => Verdict::Broken(format!(
            "results that were read {:.1} s before, of a batch submission that nobody ended, are gone: {}",
            READ_AGAIN.as_secs_f64(),
            lost.join("; ")
        )),
    }
}
