//! At-most-once execution under concurrent retries, revocations, forbidden keys and lost answers.

mod common;

use {
    catkindeck::{
        ExecutionOutcome,
        id::{BodyDigest, RequestId},
        link::PeerRole,
        message::{ExecuteRequest, ExecutionState, PeerFrame, PeerRequest},
    },
    catkindeck_fakes::{control::ControlTarget, service::FakeService},
    common::{TestAnswer, TestPeer, TestSite, call, name},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Mutex,
        thread,
        time::Duration,
    },
};

const CALLERS: u64 = 12;
const ROUNDS: u64 = 25;
const KEYS: u64 = 40;

/// A SplitMix64 generator, so that a failing seed can be run again.
struct Draw(u64);

impl Draw {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut value = self.0;
        value = (value ^ (value >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        value = (value ^ (value >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        (value ^ (value >> 31)) % bound
    }
}

/// What the callers were told.
#[derive(Default)]
struct Told {
    /// The key of each request.
    keys: BTreeMap<String, u64>,
    /// Requests of which it was claimed that they did not run and never will.
    not_run: BTreeSet<String>,
    /// Keys that were recorded as never starting.
    forbidden: BTreeSet<u64>,
    /// The answers of each key.
    answers: BTreeMap<u64, BTreeSet<Vec<u8>>>,
    finished: u64,
}

fn request(key: u64) -> ExecuteRequest {
    let mut request = call(
        &format!("/orders/{key}"),
        format!("carton {key}").as_bytes(),
    );
    request.request = RequestId::random();
    request.idempotency_key = Some(format!("order-{key}"));
    request.digest = BodyDigest([u8::try_from(key).unwrap(); 32]);
    request
}

/// Sends a request and reads its answer, drops the answer, or revokes the request meanwhile.
fn send(
    entry: &TestPeer,
    agent: &catkindeck_agent::AgentProcess,
    draw: &mut Draw,
    told: &Mutex<Told>,
) {
    let key = draw.below(KEYS);
    let request = request(key);
    let id = request.request.to_string();
    told.lock().unwrap().keys.insert(id.clone(), key);
    let incarnation = agent.core().incarnation();
    let stream = entry.open(agent, PeerRequest::Execute(Box::new(request.clone())));
    match draw.below(4) {
        0 => {
            thread::sleep(Duration::from_micros(draw.below(4000)));
            drop(stream);
            return;
        }
        1 => {
            thread::sleep(Duration::from_micros(draw.below(3000)));
            let revoke = PeerRequest::Revoke {
                request: request.request,
                incarnation,
            };
            if let PeerFrame::Revoked { .. } = entry.ask(agent, revoke) {
                told.lock().unwrap().not_run.insert(id.clone());
            }
        }
        _ => {}
    }
    let answer = TestAnswer::read(stream);
    let mut told = told.lock().unwrap();
    if let Some(error) = &answer.refused {
        if error.execution == ExecutionOutcome::NotRun {
            told.not_run.insert(id);
        }
        return;
    }
    let record = answer.finished.unwrap();
    assert_eq!(record.state, ExecutionState::Finished);
    assert_eq!(record.idempotency_key, request.idempotency_key);
    let bytes = match answer.bytes.is_empty() {
        true => record.answer,
        false => answer.bytes,
    };
    told.finished += 1;
    told.answers.entry(key).or_default().insert(bytes);
}

fn forbid(entry: &TestPeer, agent: &catkindeck_agent::AgentProcess, key: u64, told: &Mutex<Told>) {
    let request = PeerRequest::FindExecution {
        customer: Some(name("court")),
        route: name("drafts"),
        idempotency_key: format!("order-{key}"),
        forbid_start: true,
    };
    if let PeerFrame::Execution(Some(record)) = entry.ask(agent, request)
        && record.state == ExecutionState::Forbidden
    {
        told.lock().unwrap().forbidden.insert(key);
    }
}

/// Guards against a second run of a key (G13), against `not_run` for work that ran (G12), and
/// against replays that differ, while callers vanish, answers are lost and the queue is full.
#[test]
fn keyed_work_runs_at_most_once_and_refusals_are_true() {
    for seed in [1, 2, 3] {
        let service = FakeService::default();
        let address = service.spawn("127.0.0.1:0".parse().unwrap()).unwrap();
        let site = TestSite::new();
        let extra = "[limits]\nqueue = 4";
        let agent = site.start_agent("vault-a-1", "plain", address, extra);
        let entry = site.start_peer(PeerRole::Entry, "entry-1");
        entry.configure(&agent, 1, |config| {
            config.services[0].warm_limit = 4;
            config.services[0].cold_limit = 4;
        });
        service.set(|settings| settings.latency_ms = 2);
        let told = Mutex::new(Told::default());
        thread::scope(|scope| {
            for caller in 0..CALLERS {
                let (entry, agent, told, service) = (&entry, &agent, &told, &service);
                scope.spawn(move || {
                    let mut draw = Draw(seed * 1000 + caller);
                    for _ in 0..ROUNDS {
                        match draw.below(12) {
                            0 => service.set(|settings| settings.cut_after_run = 1),
                            1 => service.set(|settings| settings.cut_in_body = 1),
                            2 => forbid(entry, agent, draw.below(KEYS), told),
                            _ => send(entry, agent, &mut draw, told),
                        }
                    }
                });
            }
        });
        // Work without a caller runs on; nothing may be left at the end.
        common::wait_until("the agent is idle", || entry.load(&agent).in_flight == 0);

        let told = told.into_inner().unwrap();
        let state = service.state();
        let runs = state["runs"].as_object().unwrap();
        let mut by_key: BTreeMap<u64, u64> = BTreeMap::new();
        for (id, count) in runs {
            assert_eq!(count, 1, "seed {seed}: request {id} ran twice");
            assert!(
                !told.not_run.contains(id),
                "seed {seed}: {id} ran in spite of not_run"
            );
            *by_key.entry(told.keys[id]).or_default() += 1;
        }
        for (key, count) in &by_key {
            assert_eq!(*count, 1, "seed {seed}: key {key} ran {count} times");
            assert!(
                !told.forbidden.contains(key),
                "seed {seed}: key {key} was forbidden"
            );
        }
        for (key, answers) in &told.answers {
            assert_eq!(
                answers.len(),
                1,
                "seed {seed}: key {key} has several answers"
            );
        }
        // The run is worth something only if work was done and refused.
        assert!(told.finished > 20, "seed {seed}: {}", told.finished);
        assert!(
            !told.not_run.is_empty() && !told.forbidden.is_empty(),
            "seed {seed}"
        );
        assert!(state["max_running"].as_u64().unwrap() <= 4, "seed {seed}");
    }
}
