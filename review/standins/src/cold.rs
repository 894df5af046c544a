//! A worker becomes cold again while several entries send to it.

use {
    crate::{
        Case, Verdict,
        http::Connection,
        node::{Deployment, Node},
        store::Store,
        wait_for,
        worker::{Worker, WorkerSettings},
    },
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

const KEY: &str = "2b9wu3fexd9dnn2ctnfz";
/// `cold_per_s` x `cold_overshoot` + `cold_slack` = 18 x 1.5 + 5.
const BOUND: usize = 32;
/// Twice `cold_per_s`, which is well above it.
const CRASH_RATE: usize = 36;
const COLD: Duration = Duration::from_secs(3);
const CLIENTS: u64 = 24;
/// 24 clients send 150 requests a second.
const PAUSE: Duration = Duration::from_millis(140);

const CONFIG: &str = "{\"version\":3,\"routes\":[\
    {\"name\":\"r-desk\",\"host\":\"desk.example\",\"prefix\":\"/desk/\",\"kind\":\"safe\",\"timeout_ms\":2000,\
    \"target_latency_ms\":400,\"priority\":2,\"service\":\"desk\",\"max_attempts\":2,\"auth_exempt\":false},\
    {\"name\":\"r-once\",\"host\":\"desk.example\",\"prefix\":\"/once/\",\"kind\":\"unsafe\",\"timeout_ms\":2000,\
    \"target_latency_ms\":400,\"priority\":2,\"service\":\"desk\",\"max_attempts\":2,\"auth_exempt\":false}],\
    \"services\":[{\"name\":\"desk\",\"health_path\":\"/health\",\"max_connections\":140,\"protocol\":\"h1\",\
    \"tls\":false,\"cold_start_s\":3.0,\"cold_per_s\":18.0}],\
    \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":33554432,\"header_timeout_ms\":3000,\
    \"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"huka270\",\"api_keys\":[\"2b9wu3fexd9dnn2ctnfz\"],\
    \"priority\":1}]}";

pub fn run(case: &Case) -> Verdict {
    let record = &case.record;
    let store = Store::new();
    store.put("op/config", CONFIG);
    let workers: Vec<Arc<Worker>> = ["vault-a", "vault-b", "vault-c"]
        .iter()
        .map(|zone| {
            let settings = WorkerSettings {
                id: format!("i-desk-{zone}"),
                service: "desk".to_owned(),
                zone: (*zone).to_owned(),
                slots: 8,
                model: None,
                work: Duration::from_millis(20),
                events: 0,
                crash_rate: Some(CRASH_RATE),
            };
            Worker::start(settings, &store, record)
        })
        .collect();
    let deployment = Deployment::new(&store, record, &case.folder);
    let standby = deployment.start("storage-vault-a-1", 21, "vault-a", false);
    let entries = [
        deployment.start("edge-vault-a-1", 11, "vault-a", true),
        deployment.start("edge-vault-a-2", 12, "vault-a", true),
        deployment.start("edge-vault-b-1", 13, "vault-b", true),
        deployment.start("edge-vault-c-1", 14, "vault-c", true),
    ];
    if !wait_for(|| entries.iter().all(Node::is_ready)) {
        return Verdict::Failed("the entries are not ready".to_owned());
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let counts: Arc<[AtomicU64; 3]> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let front = entries[client as usize % 4].front;
            let (is_over, counts) = (Arc::clone(&is_over), Arc::clone(&counts));
            let record = Arc::clone(record);
            // Half of the clients send requests that may run once at most.
            let path = match client / 4 % 2 {
                0 => "/desk/1",
                _ => "/once/1",
            };
            thread::spawn(move || {
                let mut connection = None;
                let mut number = 0;
                thread::sleep(PAUSE * client as u32 / CLIENTS as u32);
                while !is_over.load(Ordering::SeqCst) {
                    number += 1;
                    let id = format!("c{client}n{number}");
                    let headers = [
                        ("Host", "desk.example"),
                        ("Attempt-Id", id.as_str()),
                        ("Deadline-Ms", "2000"),
                        ("Credential", KEY),
                    ];
                    let opened = match connection.take() {
                        Some(opened) => Some(opened),
                        None => Connection::open(front).ok(),
                    };
                    let Some(mut opened) = opened else { continue };
                    let response = opened.call("POST", path, &headers, id.as_bytes());
                    let status = response.as_ref().map_or(0, |response| response.status);
                    // Those that were refused as not run were not accepted.
                    let index = match status {
                        200 => 0,
                        429 | 503 => 1,
                        _ => {
                            record.line(&format!("client: {id} {path} ended with {status}"));
                            2
                        }
                    };
                    counts[index].fetch_add(1, Ordering::SeqCst);
                    if response.is_ok() {
                        connection = Some(opened);
                    }
                    thread::sleep(PAUSE);
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(4_300));
    let begun = Instant::now();
    if case.has_trouble {
        *workers[0].cold.lock().unwrap() = Some((begun, begun + COLD));
        record.say("i-desk-vault-a becomes cold for 3 s; its next beats say so");
    }
    thread::sleep(COLD);
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let runs = workers[0].runs.lock().unwrap();
    let times: Vec<Duration> = runs
        .iter()
        .filter(|run| run.at >= begun && run.at < begun + COLD)
        .map(|run| run.at.duration_since(begun))
        .collect();
    let most = times.iter().enumerate().map(|(index, first)| {
        let second = times[index..].iter();
        second
            .take_while(|at| **at < *first + Duration::from_secs(1))
            .count()
    });
    let most = most.max().unwrap_or(0);
    let last = times.last().map_or(0.0, Duration::as_secs_f64);
    record.say(&format!(
        "requests at i-desk-vault-a in these 3 s: {}, the last after {last:.2} s, at most {most} in a second; of all \
         requests {} were served, {} refused as not run, {} lost",
        times.len(),
        counts[0].load(Ordering::SeqCst),
        counts[1].load(Ordering::SeqCst),
        counts[2].load(Ordering::SeqCst)
    ));
    let lost = counts[2].load(Ordering::SeqCst);
    drop((standby, entries));
    match case.has_trouble && most > BOUND {
        true => Verdict::Broken(format!(
            "a cold worker got {most} requests in one second, {BOUND} are allowed; {lost} requests were lost with it"
        )),
        false => Verdict::Held(format!("at most {most} requests in a second")),
    }
}
