//! A client ends a batch submission while the store machine that runs it stands still.

use {
    crate::{
        Case, Verdict, http,
        json::Json,
        node::{Deployment, Node, SIGCONT, SIGSTOP},
        store::Store,
        wait_for,
        worker::{Worker, WorkerSettings},
    },
    std::{
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

const KEY: &str = "2b9wu3fexd9dnn2ctnfz";
const JOB: &str = "7c41e09b52d6a3f8";
const ITEMS: usize = 480;

/// How long the machine stands still; the site's days have up to 3.2 s.
const FREEZE: Duration = Duration::from_millis(3_000);
/// When the client ends the batch submission, after the freeze began.
const END_AFTER: Duration = Duration::from_millis(1_100);
const CANCEL: Duration = Duration::from_millis(3_000);
const CONTACT: Duration = Duration::from_millis(3_000);

const CONFIG: &str = "{\"version\":3,\"routes\":[\
    {\"name\":\"r-desk\",\"host\":\"desk.example\",\"prefix\":\"/desk/\",\"kind\":\"safe\",\"timeout_ms\":2000,\
    \"target_latency_ms\":400,\"priority\":2,\"service\":\"desk\",\"max_attempts\":4,\"auth_exempt\":true},\
    {\"name\":\"r-draft\",\"host\":\"desk.example\",\"prefix\":\"/draft/\",\"kind\":\"rollout\",\
    \"timeout_ms\":10000,\"target_latency_ms\":400,\"priority\":1,\"service\":\"models\",\"max_attempts\":3,\
    \"result_deadline_ms\":60000,\"item_ttl_s\":100,\"session_affinity\":true,\"resumable\":true,\
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
    let models = [
        worker("i-model-1", "models", Some("m0"), 50, 20),
        worker("i-model-2", "models", Some("m0"), 50, 20),
    ];
    let _desk = worker("i-desk-1", "desk", None, 20, 0);
    let deployment = Deployment::new(&store, record, &case.folder);
    let standbys = Arc::new([
        deployment.start("storage-vault-a-1", 21, "vault-a", false),
        deployment.start("storage-vault-b-1", 22, "vault-b", false),
        deployment.start("storage-vault-c-1", 23, "vault-c", false),
    ]);
    let entries = [
        deployment.start("edge-vault-a-1", 11, "vault-a", true),
        deployment.start("edge-vault-b-1", 12, "vault-b", true),
    ];
    if !wait_for(|| entries.iter().all(Node::is_ready)) {
        return Verdict::Failed("the entries are not ready".to_owned());
    }
    thread::sleep(Duration::from_millis(2_000));
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
    // Clients of the same tenant read about twice a second at both entries.
    let is_over = Arc::new(AtomicBool::new(false));
    for reader in 0..6 {
        let (front, is_over) = (entries[reader % 2].front, Arc::clone(&is_over));
        let record = Arc::clone(record);
        thread::spawn(move || {
            let mut after = 0;
            thread::sleep(Duration::from_millis(80 * reader as u64));
            while !is_over.load(Ordering::SeqCst) {
                let target = format!("/catkindeck/lots/{JOB}?after={after}");
                let id = format!("read{reader}");
                let begun = Instant::now();
                let response = http::call(front, "GET", &target, &headers(&id), b"");
                let (status, next) = match &response {
                    Ok(response) => {
                        let next =
                            Json::parse(&response.text()).map(|body| body.get("next").number());
                        (response.status, next)
                    }
                    Err(_) => (0, None),
                };
                let took = begun.elapsed().as_millis();
                record.line(&format!(
                    "client: reader {reader} after {after}: {status} next {next:?} in {took} ms"
                ));
                if status == 200 {
                    after = next.unwrap_or(after);
                }
                thread::sleep(Duration::from_millis(450));
            }
        });
    }
    thread::sleep(Duration::from_millis(4_000));
    // The store carries out one write of results and its answer is lost; then the machine that wrote stands still.
    let frozen: Arc<Mutex<Option<(usize, Instant)>>> = Arc::default();
    let hook = {
        let (frozen, standbys, record) = (
            Arc::clone(&frozen),
            Arc::clone(&standbys),
            Arc::clone(record),
        );
        let has_trouble = case.has_trouble;
        Box::new(move |node: &str, keys: &[String]| {
            let is_result = keys.iter().any(|key| key.contains("/results/"));
            let index = standbys.iter().position(|standby| standby.name == node);
            let mut frozen = frozen.lock().unwrap();
            if let Some(index) = index.filter(|_| is_result && frozen.is_none()) {
                if has_trouble {
                    standbys[index].signal(SIGSTOP);
                }
                record.line(&format!(
                    "store: {node} wrote {keys:?}; frozen {has_trouble}"
                ));
                *frozen = Some((index, Instant::now()));
                return has_trouble;
            }
            false
        })
    };
    store.set_hook(Some(hook));
    if !wait_for(|| frozen.lock().unwrap().is_some()) {
        return Verdict::Failed("no standby writes results".to_owned());
    }
    let (index, since) = frozen.lock().unwrap().expect("it was set");
    record.say(&format!(
        "{} stands still; the answer to its write of results is lost",
        standbys[index].name
    ));
    thread::sleep(END_AFTER.saturating_sub(since.elapsed()));
    let mut confirmed = None;
    for attempt in 0..4 {
        let entry = &entries[attempt % 2];
        let target = format!("/catkindeck/lots/{JOB}");
        let response = http::call(entry.front, "DELETE", &target, &headers("end1"), b"");
        let status = response.map_or(0, |response| response.status);
        record.say(&format!(
            "client: ends the batch submission at {}: {status}, {:.3} s after the freeze began",
            entry.name,
            since.elapsed().as_secs_f64()
        ));
        if status == 200 {
            confirmed = Some(Instant::now());
            break;
        }
    }
    let Some(confirmed) = confirmed else {
        return Verdict::Failed("the end is not confirmed".to_owned());
    };
    thread::sleep(FREEZE.saturating_sub(since.elapsed()));
    standbys[index].signal(SIGCONT);
    let thawed = Instant::now();
    record.say(&format!("{} goes on", standbys[index].name));
    // Items that reach a worker later than this count: the end is older than `cancel_ms`, and the machine is in touch
    // again for `contact_ms`.
    let counted = (confirmed + CANCEL).max(thawed + CONTACT) + Duration::from_millis(100);
    thread::sleep(counted.duration_since(Instant::now()) + Duration::from_millis(4_000));
    is_over.store(true, Ordering::SeqCst);
    let mut late = Vec::new();
    for model in &models {
        let runs = model.runs.lock().unwrap();
        late.extend(runs.iter().filter(|run| run.at > counted).cloned());
    }
    late.sort_by_key(|run| run.at);
    let first = late
        .first()
        .map(|run| run.at.duration_since(confirmed).as_millis());
    store.set_hook(None);
    drop((standbys, entries));
    match first {
        None => Verdict::Held("no item was run after its batch submission was ended".to_owned()),
        Some(first) => Verdict::Broken(format!(
            "{} items of the ended batch submission reached a worker and were run, the first counted one {first} ms \
             after the confirmation (cancel_ms 3000), the last {} ms after it",
            late.len(),
            late.last()
                .map_or(0, |run| run.at.duration_since(confirmed).as_millis())
        )),
    }
}
