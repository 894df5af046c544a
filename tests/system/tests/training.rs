//! Tests a training run through separate processes, including failures of the entry that owns it.
//!
//! Numbers such as G5 refer to the guarantees in `docs/proofs.md`.

use {
    catkindeck_system::{
        DeploymentSpec, TestDeployment,
        http::{HttpResponse, WAIT_TIMEOUT, send, try_send},
        spec::{DESK_KEY, LAB_KEY},
    },
    serde_json::{Value, json},
    std::{
        collections::BTreeSet,
        thread,
        time::{Duration, Instant},
    },
};

const RUN_NAME: &str = "retrieval-ranker";

/// A trainer that checks every sample it receives.
struct TrainerClient<'a> {
    deployment: &'a TestDeployment,
    /// The entry that receives the next request; after a connection error it is the other one.
    entry: usize,
    sample_ids: BTreeSet<String>,
    sample_positions: BTreeSet<(u64, u64)>,
    current_version: u64,
}

impl<'a> TrainerClient<'a> {
    fn new(deployment: &'a TestDeployment) -> Self {
        Self {
            deployment,
            entry: 0,
            sample_ids: BTreeSet::new(),
            sample_positions: BTreeSet::new(),
            current_version: 0,
        }
    }

    /// Repeats a request until it succeeds or the batch is lost, as a trainer does.
    fn request(&mut self, method: &str, path: &str, body: &Value) -> Value {
        let started = Instant::now();
        loop {
            let response = self.try_request(method, path, body);
            match response {
                Ok(response) if response.status < 300 => return response.json(),
                Ok(response) if response.status == 410 => return response.json(),
                Ok(response) => {
                    let kind = response.error().0;
                    let transient = [
                        "no_upstream",
                        "store_unavailable",
                        "peer_unavailable",
                        "fenced",
                        "stale_configuration",
                        "shutting_down",
                        "deadline_exceeded",
                    ];
                    assert!(
                        transient.contains(&kind.as_str()),
                        "{path}: {:?}",
                        response.json()
                    );
                }
                Err(_) => self.entry = 1 - self.entry,
            }
            assert!(
                started.elapsed() < WAIT_TIMEOUT,
                "{path}: no successful response in time"
            );
            thread::sleep(Duration::from_millis(50));
        }
    }

    fn try_request(&self, method: &str, path: &str, body: &Value) -> Result<HttpResponse, String> {
        let url = format!(
            "{}/v1/runs/{RUN_NAME}/{path}",
            self.deployment.caller_url(self.entry)
        );
        let bearer = format!("Bearer {LAB_KEY}");
        let headers = [
            ("authorization", bearer.as_str()),
            ("content-type", "application/json"),
        ];
        let bytes = if method == "GET" {
            Vec::new()
        } else {
            body.to_string().into_bytes()
        };
        try_send(method, &url, &headers, &bytes)
    }

    fn announce_weights(&mut self, version: u64) {
        self.current_version = version;
        self.request("POST", "weights", &json!({"version": version}));
    }

    fn open_step(&mut self, step: u64, groups: usize) {
        let groups: Vec<Value> = (0..groups)
            .map(|group| json!({"prompt": format!("step {step} group {group}")}))
            .collect();
        let body = json!({"step": step, "groups": groups, "group_size": 8, "max_tokens": 16});
        self.request("POST", "steps", &body);
    }

    /// Polls the batch at `cursor` until it is available or lost; returns whether it was the last
    /// one of the step.
    fn fetch_batch(&mut self, step: u64, cursor: u32) -> bool {
        let path = format!("steps/{step}/samples?cursor={cursor}");
        let started = Instant::now();
        loop {
            let response = self.request("GET", &path, &Value::Null);
            if let Some(samples) = response["samples"].as_array() {
                self.check_samples(samples);
                return response["last"] == json!(true);
            }
            if response["error"]["kind"] == json!("batch_lost") {
                return false;
            }
            assert!(
                started.elapsed() < WAIT_TIMEOUT,
                "batch {cursor} was not delivered in time: {response}"
            );
            thread::sleep(Duration::from_millis(50));
        }
    }

    fn check_samples(&mut self, samples: &[Value]) {
        for sample in samples {
            let number = |field: &str| sample[field].as_u64().expect("a sample id has numbers");
            let sample_id = format!(
                "{}/{}/{}/{}",
                number("step"),
                number("group"),
                number("index"),
                number("generation")
            );
            assert!(
                self.sample_ids.insert(sample_id),
                "G3: sample {sample} was delivered twice"
            );
            assert!(
                self.sample_positions
                    .insert((number("group"), number("index"))),
                "G3: two samples have the group and index of {sample}"
            );
            let versions = sample["versions"]
                .as_array()
                .expect("a sample lists its versions");
            assert!(
                !versions.is_empty(),
                "G1: sample {sample} lists no weight versions"
            );
            assert_eq!(
                versions.last().expect("not empty")["end"],
                16,
                "G1: the versions of sample {sample} do not cover all 16 tokens"
            );
            for range in versions {
                let version = range["version"]
                    .as_u64()
                    .expect("G1: every token has a version");
                assert!(
                    self.current_version.saturating_sub(version) <= 2,
                    "G2: sample {sample} lags behind version {} by more than 2",
                    self.current_version
                );
            }
        }
    }

    fn run_step(&mut self, step: u64, groups: usize) {
        self.sample_positions.clear();
        self.open_step(step, groups);
        let mut cursor = 0;
        while !self.fetch_batch(step, cursor) {
            cursor += 1;
        }
        assert_eq!(
            self.sample_positions.len(),
            groups * 8,
            "G3: a sample is missing"
        );
    }
}

/// Returns the index of the entry that owns the run: the one that logged the lease grant with the
/// highest fencing token.
fn run_owner(deployment: &TestDeployment) -> usize {
    let last_lease_grant = |log: &str| {
        log.lines()
            .filter(|line| {
                line.contains("lease_granted") && line.contains(&format!("run/{RUN_NAME}"))
            })
            .map(str::to_owned)
            .next_back()
    };
    let last_grants: Vec<Option<String>> = deployment
        .entries
        .iter()
        .map(|entry| last_lease_grant(&entry.log_text()))
        .collect();
    let fencing_token = |line: &Option<String>| -> Option<u64> {
        let line: Value = serde_json::from_str(line.as_ref()?).ok()?;
        line["number"].as_u64()
    };
    (0..last_grants.len())
        .max_by_key(|entry| fencing_token(&last_grants[*entry]))
        .expect("there are entries")
}

/// A step of 1,024 samples in groups of 8, the size that the design targets, must be delivered with
/// weight versions and without duplicates, and the next step must run through the other entry.
#[test]
fn a_step_of_1024_samples_is_delivered() {
    let deployment = TestDeployment::start(DeploymentSpec::two_zones_with_platform());
    let mut trainer = TrainerClient::new(&deployment);
    trainer.announce_weights(1);
    trainer.run_step(1, 128);
    trainer.entry = 1;
    trainer.run_step(2, 4);

    // The service-level report counts both steps and all samples from the entries' metrics.
    let count = |name: &str| -> f64 {
        let metrics = (0..2).map(|entry| {
            let url = format!("http://{}/metrics", deployment.entry_health(entry));
            String::from_utf8(send("GET", &url, &[], b"").body).expect("metrics are text")
        });
        let lines: Vec<String> = metrics
            .flat_map(|text| {
                let found = text
                    .lines()
                    .filter(|line| line.starts_with(name))
                    .map(str::to_owned);
                found.collect::<Vec<_>>()
            })
            .collect();
        lines
            .iter()
            .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
            .sum()
    };
    let run = format!("run=\"{RUN_NAME}\"");
    let steps = format!("catkindeck_run_steps_total{{on_time=\"true\",{run}}}");
    let samples = format!("catkindeck_run_samples_total{{fresh=\"true\",{run}}}");
    assert_eq!((count(&steps), count(&samples)), (2.0, 1056.0));

    // Another customer's key has no access to the run.
    let url = format!(
        "{}/v1/runs/{RUN_NAME}/steps/2/samples?cursor=0",
        deployment.caller_url(0)
    );
    let bearer = format!("Bearer {DESK_KEY}");
    let rejected = send("GET", &url, &[("authorization", &bearer)], b"");
    assert_eq!(rejected.status, 403, "{:?}", rejected.json());
}

/// Guarantees G1, G2, G3 and G7 (docs/proofs.md): if the entry that owns a run is killed in the
/// middle of a step, the other entry takes over and delivers the remaining batches without
/// duplicates, with weight versions and within the staleness bound.
///
/// It must then accept new weights and another step.
#[test]
fn another_entry_takes_over_from_a_killed_owner() {
    let mut deployment = TestDeployment::start(DeploymentSpec::two_zones_with_platform());
    let mut trainer = TrainerClient::new(&deployment);
    trainer.announce_weights(1);
    trainer.run_step(1, 2);
    trainer.sample_positions.clear();
    trainer.open_step(2, 16);
    trainer.fetch_batch(2, 0);
    let (sample_ids, sample_positions, current_version) = (
        trainer.sample_ids.clone(),
        trainer.sample_positions.clone(),
        trainer.current_version,
    );

    let owner = run_owner(&deployment);
    deployment.entries[owner].kill();
    let mut trainer = TrainerClient {
        deployment: &deployment,
        entry: 1 - owner,
        sample_ids,
        sample_positions,
        current_version,
    };
    let mut cursor = 1;
    let mut complete = false;
    while !complete {
        complete = trainer.fetch_batch(2, cursor);
        cursor += 1;
    }
    assert_eq!(trainer.sample_positions.len(), 128);
    trainer.announce_weights(2);
    trainer.run_step(3, 2);
}

/// Guarantee G7 (docs/proofs.md): an owner that is suspended until its lease has expired and is
/// then resumed no longer acts as the owner, and the step is delivered without duplicates.
#[test]
fn a_suspended_owner_does_not_go_on() {
    let deployment = TestDeployment::start(DeploymentSpec::two_zones_with_platform());
    let mut trainer = TrainerClient::new(&deployment);
    trainer.announce_weights(1);
    trainer.open_step(1, 16);
    trainer.fetch_batch(1, 0);
    let owner = run_owner(&deployment);
    deployment.entries[owner].suspend();
    trainer.entry = 1 - owner;
    let mut complete = trainer.fetch_batch(1, 1);
    deployment.entries[owner].resume();

    // Requests alternate between the entries; the resumed one forwards or rejects them.
    let mut cursor = 2;
    while !complete {
        trainer.entry = usize::try_from(cursor % 2).expect("it is small");
        complete = trainer.fetch_batch(1, cursor);
        cursor += 1;
    }
    assert_eq!(trainer.sample_positions.len(), 128);
}

/// Guarantees G3 and G7 (docs/proofs.md): a step is delivered without duplicates after three
/// simultaneous failures.
///
/// The store fails in the middle of the step, the owner is suspended until its lease has expired,
/// and an engine crashes.
#[test]
fn an_outage_with_a_suspended_owner_repeats_nothing() {
    let deployment = TestDeployment::start(DeploymentSpec::two_zones_with_platform());
    let mut trainer = TrainerClient::new(&deployment);
    trainer.announce_weights(1);
    trainer.open_step(1, 16);
    let mut complete = trainer.fetch_batch(1, 0);
    let owner = run_owner(&deployment);

    deployment
        .platform()
        .set_faults("store", &json!({"outage": true}));
    deployment.entries[owner].suspend();
    deployment.control_upstream(deployment.upstream_index("draft-a1"), "crash", &json!({}));
    // The lease of 10 s expires while its holder is suspended and the store is unavailable, so that
    // nobody can renew or acquire it.
    thread::sleep(Duration::from_secs(11));
    deployment.entries[owner].resume();
    let outage_result = trainer.try_request("GET", "steps/1/samples?cursor=1", &Value::Null);
    if let Ok(response) = outage_result {
        assert!(
            response.json()["samples"].as_array().is_none(),
            "samples were delivered during the store outage"
        );
    }
    deployment.platform().set_faults("store", &json!({}));

    let mut cursor = 1;
    while !complete {
        trainer.entry = usize::try_from(cursor % 2).expect("it is small");
        complete = trainer.fetch_batch(1, cursor);
        cursor += 1;
    }
    assert_eq!(trainer.sample_positions.len(), 128);
}
