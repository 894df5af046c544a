//! The last tenant, and with it the last key, is taken away.

use {
    crate::{
        Case, Verdict, http,
        node::Deployment,
        store::Store,
        wait_for,
        worker::{Worker, WorkerSettings},
    },
    std::{
        thread,
        time::{Duration, Instant},
    },
};

const KEY: &str = "2b9wu3fexd9dnn2ctnfz";
const STRANGER: &str = "nobody3fexd9dnn2ctnf";

fn config(version: u64, tenants: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-desk\",\"host\":\"desk.example\",\"prefix\":\"/desk/\",\
         \"kind\":\"safe\",\"timeout_ms\":2000,\"target_latency_ms\":400,\"priority\":2,\"service\":\"desk\",\
         \"max_attempts\":2,\"auth_exempt\":false}}],\"services\":[{{\"name\":\"desk\",\"health_path\":\"/health\",\
         \"max_connections\":100,\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":33554432,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\"tenants\":[{tenants}]}}"
    )
}

pub fn run(case: &Case) -> Verdict {
    let record = &case.record;
    let store = Store::new();
    let tenant = format!("{{\"name\":\"huka270\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}");
    store.put("op/config", &config(3, &tenant));
    let worker = Worker::start(
        WorkerSettings {
            id: "i-desk-1".to_owned(),
            service: "desk".to_owned(),
            zone: "vault-a".to_owned(),
            slots: 6,
            model: None,
            work: Duration::from_millis(20),
            events: 0,
            crash_rate: None,
        },
        &store,
        record,
    );
    let deployment = Deployment::new(&store, record, &case.folder);
    let standby = deployment.start("storage-vault-a-1", 21, "vault-a", false);
    let entries = [
        deployment.start("edge-vault-a-1", 11, "vault-a", true),
        deployment.start("edge-vault-b-1", 12, "vault-b", true),
    ];
    if !wait_for(|| entries.iter().all(|entry| entry.is_ready())) {
        return Verdict::Failed("the entries are not ready".to_owned());
    }
    let send = |id: &str, entry: usize, key: &str| {
        let headers = [
            ("Host", "desk.example"),
            ("Attempt-Id", id),
            ("Deadline-Ms", "2000"),
            ("Credential", key),
        ];
        let response = http::call(entries[entry].front, "POST", "/desk/1", &headers, b"x");
        let status = response.map_or(0, |response| response.status);
        record.say(&format!(
            "client sends {id} to {} with key {key}: {status}",
            entries[entry].name
        ));
        status
    };
    for entry in 0..2 {
        if send(&format!("before{entry}"), entry, KEY) != 200 {
            return Verdict::Failed("a request with a valid key is not served".to_owned());
        }
        if send(&format!("stranger{entry}"), entry, STRANGER) != 401 {
            return Verdict::Failed("a request with an unknown key is not refused".to_owned());
        }
    }
    // The operator takes the only tenant away with its keys. Without trouble, the tenant stays and loses its key.
    let rest = match case.has_trouble {
        true => String::new(),
        false => "{\"name\":\"huka270\",\"api_keys\":[],\"priority\":1}".to_owned(),
    };
    store.put("op/config", &config(9, &rest));
    let confirmed = Instant::now();
    record.say("the store confirms version 9, which holds no key");
    thread::sleep(Duration::from_millis(5_000 + 1_500));
    let sent = confirmed.elapsed().as_millis();
    let mut ran = Vec::new();
    for entry in 0..2 {
        for (id, key) in [("revoked", KEY), ("unknown", STRANGER)] {
            let id = format!("{id}{entry}");
            send(&id, entry, key);
            let runs = worker.runs.lock().unwrap();
            if let Some(run) = runs.iter().find(|run| run.request == id) {
                ran.push(format!(
                    "{id} (tenant {})",
                    run.tenant.as_deref().unwrap_or("none")
                ));
            }
        }
    }
    drop((standby, entries));
    match ran.is_empty() {
        true => Verdict::Held("no request ran after its key was taken away".to_owned()),
        false => Verdict::Broken(format!(
            "sent {sent} ms after the confirmation (revoke_ms 5000) and run: {}",
            ran.join(", ")
        )),
    }
}
