//! A training run through separate processes, with its owner killed and suspended.

use {
    catkindeck_system::{
        DeploymentShape, TestDeployment,
        http::{HttpAnswer, PATIENCE, call, try_call},
        shape::{FIRST_KEY, SECOND_KEY},
    },
    serde_json::{Value, json},
    std::{
        collections::BTreeSet,
        thread,
        time::{Duration, Instant},
    },
};

const RUN: &str = "retrieval-ranker";

/// The trainer's side of a run.
struct Trainer<'a> {
    deployment: &'a TestDeployment,
    /// The entry that is asked next; a failed request goes on with the other.
    entry: usize,
    identities: BTreeSet<String>,
    positions: BTreeSet<(u64, u64)>,
    current: u64,
}

impl<'a> Trainer<'a> {
    fn new(deployment: &'a TestDeployment) -> Self {
        Self {
            deployment,
            entry: 0,
            identities: BTreeSet::new(),
            positions: BTreeSet::new(),
            current: 0,
        }
    }

    /// Repeats a request until it is answered, as a trainer does.
    fn ask(&mut self, method: &str, path: &str, body: &Value) -> Value {
        let started = Instant::now();
        loop {
            let answer = self.try_ask(method, path, body);
            match answer {
                Ok(answer) if answer.status < 300 => return answer.json(),
                Ok(answer) if answer.status == 410 => return answer.json(),
                Ok(answer) => {
                    let kind = answer.error().0;
                    let passing = [
                        "no_upstream",
                        "store_unavailable",
                        "peer_unavailable",
                        "fenced",
                        "stale_configuration",
                        "shutting_down",
                        "deadline_exceeded",
                    ];
                    assert!(
                        passing.contains(&kind.as_str()),
                        "{path}: {:?}",
                        answer.json()
                    );
                }
                Err(_) => self.entry = 1 - self.entry,
            }
            assert!(started.elapsed() < PATIENCE, "{path} was never answered");
            thread::sleep(Duration::from_millis(50));
        }
    }

    fn try_ask(&self, method: &str, path: &str, body: &Value) -> Result<HttpAnswer, String> {
        let url = format!(
            "{}/v1/runs/{RUN}/{path}",
            self.deployment.caller_url(self.entry)
        );
        let bearer = format!("Bearer {SECOND_KEY}");
        let headers = [
            ("authorization", bearer.as_str()),
            ("content-type", "application/json"),
        ];
        let bytes = if method == "GET" {
            Vec::new()
        } else {
            body.to_string().into_bytes()
        };
        try_call(method, &url, &headers, &bytes)
    }

    fn announce(&mut self, version: u64) {
        self.current = version;
        self.ask("POST", "weights", &json!({"version": version}));
    }

    fn open(&mut self, step: u64, groups: usize) {
        let groups: Vec<Value> = (0..groups)
            .map(|group| json!({"prompt": format!("step {step} group {group}")}))
            .collect();
        let body = json!({"step": step, "groups": groups, "group_size": 8, "max_tokens": 16});
        self.ask("POST", "steps", &body);
    }

    /// Fetches the batch at `cursor` until it is there; returns whether the step is whole.
    fn fetch(&mut self, step: u64, cursor: u32) -> bool {
        let path = format!("steps/{step}/samples?cursor={cursor}");
        let started = Instant::now();
        loop {
            let answer = self.ask("GET", &path, &Value::Null);
            if let Some(samples) = answer["samples"].as_array() {
                self.take(samples);
                return answer["last"] == json!(true);
            }
            if answer["error"]["kind"] == json!("batch_lost") {
                return false;
            }
            assert!(
                started.elapsed() < PATIENCE,
                "batch {cursor} never came: {answer}"
            );
            thread::sleep(Duration::from_millis(50));
        }
    }

    fn take(&mut self, samples: &[Value]) {
        for sample in samples {
            let number = |field: &str| sample[field].as_u64().expect("an identity has numbers");
            let identity = format!(
                "{}/{}/{}/{}",
                number("step"),
                number("group"),
                number("index"),
                number("generation")
            );
            assert!(self.identities.insert(identity), "G3: {sample} came twice");
            assert!(
                self.positions.insert((number("group"), number("index"))),
                "G3: {sample}"
            );
            let versions = sample["versions"].as_array().expect("a sample is labelled");
            assert!(!versions.is_empty(), "G1: {sample}");
            assert_eq!(
                versions.last().expect("not empty")["end"],
                16,
                "G1: {sample}"
            );
            for range in versions {
                let version = range["version"]
                    .as_u64()
                    .expect("G1: every token has a version");
                assert!(self.current.saturating_sub(version) <= 2, "G2: {sample}");
            }
        }
    }

    fn run_step(&mut self, step: u64, groups: usize) {
        self.positions.clear();
        self.open(step, groups);
        let mut cursor = 0;
        while !self.fetch(step, cursor) {
            cursor += 1;
        }
        assert_eq!(self.positions.len(), groups * 8, "G3: a sample is missing");
    }
}

/// Returns the entry that owns the run, by asking each for the lease that it logged last.
fn owner(deployment: &TestDeployment) -> usize {
    let granted = |log: &str| {
        log.lines()
            .filter(|line| line.contains("lease_granted") && line.contains(&format!("run/{RUN}")))
            .map(str::to_owned)
            .next_back()
    };
    let holders: Vec<Option<String>> = deployment
        .entries
        .iter()
        .map(|entry| granted(&entry.log_text()))
        .collect();
    let number = |line: &Option<String>| -> Option<u64> {
        let line: Value = serde_json::from_str(line.as_ref()?).ok()?;
        line["number"].as_u64()
    };
    (0..holders.len())
        .max_by_key(|entry| number(&holders[*entry]))
        .expect("there are entries")
}

/// Guards the whole way of a step of the target size: 1,024 samples in groups of 8 are delivered
/// once each with labels, through either entry, and the next step follows.
#[test]
fn a_step_of_1024_samples_is_delivered() {
    let deployment = TestDeployment::start(DeploymentShape::two_zones_on_platform());
    let mut trainer = Trainer::new(&deployment);
    trainer.announce(1);
    trainer.run_step(1, 128);
    trainer.entry = 1;
    trainer.run_step(2, 4);

    // The service-level report finds both steps and all samples in the entries' metrics.
    let count = |name: &str| -> f64 {
        let metrics = (0..2).map(|entry| {
            let url = format!("http://{}/metrics", deployment.entry_health(entry));
            String::from_utf8(call("GET", &url, &[], b"").body).expect("metrics are text")
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
    let run = format!("run=\"{RUN}\"");
    let steps = format!("catkindeck_run_steps_total{{on_time=\"true\",{run}}}");
    let samples = format!("catkindeck_run_samples_total{{fresh=\"true\",{run}}}");
    assert_eq!((count(&steps), count(&samples)), (2.0, 1056.0));

    // Another customer's key does not reach the run.
    let url = format!(
        "{}/v1/runs/{RUN}/steps/2/samples?cursor=0",
        deployment.caller_url(0)
    );
    let bearer = format!("Bearer {FIRST_KEY}");
    let refused = call("GET", &url, &[("authorization", &bearer)], b"");
    assert_eq!(refused.status, 403, "{:?}", refused.json());
}

/// Guards G1 to G3 and G7: the entry that owns the run is killed in the middle of a step; the other
/// entry takes over and delivers the rest, while new weights are announced.
#[test]
fn a_killed_owner_is_followed_by_another() {
    let mut deployment = TestDeployment::start(DeploymentShape::two_zones_on_platform());
    let mut trainer = Trainer::new(&deployment);
    trainer.announce(1);
    trainer.run_step(1, 2);
    trainer.positions.clear();
    trainer.open(2, 16);
    trainer.fetch(2, 0);
    let (identities, positions, current) = (
        trainer.identities.clone(),
        trainer.positions.clone(),
        trainer.current,
    );

    let owner = owner(&deployment);
    deployment.entries[owner].kill();
    let mut trainer = Trainer {
        deployment: &deployment,
        entry: 1 - owner,
        identities,
        positions,
        current,
    };
    let mut cursor = 1;
    let mut whole = false;
    while !whole {
        whole = trainer.fetch(2, cursor);
        cursor += 1;
    }
    assert_eq!(trainer.positions.len(), 128);
    trainer.announce(2);
    trainer.run_step(3, 2);
}

/// Guards G7: the owner is suspended past its lease and wakes up; it neither offers nor orders
/// anything, and the step is delivered once.
#[test]
fn a_suspended_owner_does_not_go_on() {
    let deployment = TestDeployment::start(DeploymentShape::two_zones_on_platform());
    let mut trainer = Trainer::new(&deployment);
    trainer.announce(1);
    trainer.open(1, 16);
    trainer.fetch(1, 0);
    let owner = owner(&deployment);
    deployment.entries[owner].pause();
    trainer.entry = 1 - owner;
    let mut whole = trainer.fetch(1, 1);
    deployment.entries[owner].resume();

    // Both entries are asked in turn; the one that woke up forwards or refuses.
    let mut cursor = 2;
    while !whole {
        trainer.entry = usize::try_from(cursor % 2).expect("it is small");
        whole = trainer.fetch(1, cursor);
        cursor += 1;
    }
    assert_eq!(trainer.positions.len(), 128);
}

/// Guards G3 and G7 under three failures together: the store fails in the middle of a step, the
/// owner is suspended past its lease meanwhile, and an engine restarts. After the outage the step is
/// delivered once.
#[test]
fn an_outage_with_a_suspended_owner_repeats_nothing() {
    let deployment = TestDeployment::start(DeploymentShape::two_zones_on_platform());
    let mut trainer = Trainer::new(&deployment);
    trainer.announce(1);
    trainer.open(1, 16);
    let mut whole = trainer.fetch(1, 0);
    let owner = owner(&deployment);

    deployment
        .platform()
        .set_faults("store", &json!({"outage": true}));
    deployment.entries[owner].pause();
    deployment.upstream_control(deployment.upstream_index("draft-a1"), "crash", &json!({}));
    // The lease of 10 s lapses while its holder is suspended and nobody can renew or take it.
    thread::sleep(Duration::from_secs(11));
    deployment.entries[owner].resume();
    let during = trainer.try_ask("GET", "steps/1/samples?cursor=1", &Value::Null);
    if let Ok(answer) = during {
        assert!(
            answer.json()["samples"].as_array().is_none(),
            "offered without the store"
        );
    }
    deployment.platform().set_faults("store", &json!({}));

    let mut cursor = 1;
    while !whole {
        trainer.entry = usize::try_from(cursor % 2).expect("it is small");
        whole = trainer.fetch(1, cursor);
        cursor += 1;
    }
    assert_eq!(trainer.positions.len(), 128);
}
