//! Tests at-most-once execution with concurrent retries, revocations, forbidden keys and lost
//! responses.

mod common;

use {
    catkindeck::{
        ExecutionOutcome,
        id::{BodyDigest, RequestId},
        link::PeerRole,
        message::{ExecuteRequest, ExecutionState, PeerFrame, PeerRequest},
    },
    catkindeck_fakes::{control::ControlTarget, service::FakeService},
    common::{TestPeer, TestResponse, TestSetup, call, name},
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

/// A SplitMix64 generator with a fixed seed, so that the choices of a caller can be reproduced.
struct SeededRandom(u64);

impl SeededRandom {
    fn next_below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut value = self.0;
        value = (value ^ (value >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        value = (value ^ (value >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        (value ^ (value >> 31)) % bound
    }
}

/// The outcomes that the agent reported to the callers.
#[derive(Default)]
struct ReportedOutcomes {
    /// The key of each request ID.
    keys: BTreeMap<String, u64>,
    /// The requests that were reported as `not_run`. They must not have run before and must not run
    /// later.
    not_run: BTreeSet<String>,
    /// The keys whose records state that no request will start.
    forbidden: BTreeSet<u64>,
    /// The distinct response bodies of each key.
    responses: BTreeMap<u64, BTreeSet<Vec<u8>>>,
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

/// Sends a request and reads its response. At random, drops the stream instead, or revokes the
/// request before it reads the response.
fn send(
    entry: &TestPeer,
    agent: &catkindeck_agent::AgentProcess,
    random: &mut SeededRandom,
    reported: &Mutex<ReportedOutcomes>,
) {
    let key = random.next_below(KEYS);
    let request = request(key);
    let id = request.request.to_string();
    reported.lock().unwrap().keys.insert(id.clone(), key);
    let incarnation = agent.core().incarnation();
    let stream = entry.open(agent, PeerRequest::Execute(Box::new(request.clone())));
    match random.next_below(4) {
        0 => {
            thread::sleep(Duration::from_micros(random.next_below(4000)));
            drop(stream);
            return;
        }
        1 => {
            thread::sleep(Duration::from_micros(random.next_below(3000)));
            let revoke = PeerRequest::Revoke {
                request: request.request,
                incarnation,
            };
            if let PeerFrame::Revoked { .. } = entry.query(agent, revoke) {
                reported.lock().unwrap().not_run.insert(id.clone());
            }
        }
        _ => {}
    }
    let response = TestResponse::read(stream);
    let mut reported = reported.lock().unwrap();
    if let Some(error) = &response.refused {
        if error.execution == ExecutionOutcome::NotRun {
            reported.not_run.insert(id);
        }
        return;
    }
    let record = response.finished.unwrap();
    assert_eq!(record.state, ExecutionState::Finished);
    assert_eq!(record.idempotency_key, request.idempotency_key);
    let bytes = match response.bytes.is_empty() {
        true => record.answer,
        false => response.bytes,
    };
    reported.finished += 1;
    reported.responses.entry(key).or_default().insert(bytes);
}

fn forbid(
    entry: &TestPeer,
    agent: &catkindeck_agent::AgentProcess,
    key: u64,
    reported: &Mutex<ReportedOutcomes>,
) {
    let request = PeerRequest::FindExecution {
        customer: Some(name("court")),
        route: name("drafts"),
        idempotency_key: format!("order-{key}"),
        forbid_start: true,
    };
    if let PeerFrame::Execution(Some(record)) = entry.query(agent, request)
        && record.state == ExecutionState::Forbidden
    {
        reported.lock().unwrap().forbidden.insert(key);
    }
}

/// Guards against a second run for an idempotency key (G13), against reporting `not_run` for a
/// request that ran (G12), and against replays that differ, while callers disconnect, responses are
/// lost and the queue is full.
#[test]
fn keyed_requests_run_at_most_once_and_rejections_are_accurate() {
    for seed in [1, 2, 3] {
        let service = FakeService::default();
        let address = service.spawn("127.0.0.1:0".parse().unwrap()).unwrap();
        let setup = TestSetup::new();
        let extra = "[limits]\nqueue = 4";
        let agent = setup.start_agent("vault-a-1", "plain", address, extra);
        let entry = setup.start_peer(PeerRole::Entry, "entry-1");
        entry.configure(&agent, 1, |config| {
            config.services[0].warm_limit = 4;
            config.services[0].cold_limit = 4;
        });
        service.update_settings(|settings| settings.latency_ms = 2);
        let reported = Mutex::new(ReportedOutcomes::default());
        thread::scope(|scope| {
            for caller in 0..CALLERS {
                let (entry, agent, reported, service) = (&entry, &agent, &reported, &service);
                scope.spawn(move || {
                    let mut random = SeededRandom(seed * 1000 + caller);
                    for _ in 0..ROUNDS {
                        match random.next_below(12) {
                            0 => service.update_settings(|settings| settings.cut_after_run = 1),
                            1 => service.update_settings(|settings| settings.cut_in_body = 1),
                            2 => forbid(entry, agent, random.next_below(KEYS), reported),
                            _ => send(entry, agent, &mut random, reported),
                        }
                    }
                });
            }
        });
        // Requests whose callers disconnected continue, and all of them must finish.
        common::wait_until("the agent is idle", || entry.load(&agent).in_flight == 0);

        let reported = reported.into_inner().unwrap();
        let state = service.state();
        let runs = state["runs"].as_object().unwrap();
        let mut runs_by_key: BTreeMap<u64, u64> = BTreeMap::new();
        for (id, count) in runs {
            assert_eq!(count, 1, "seed {seed}: request {id} ran twice");
            assert!(
                !reported.not_run.contains(id),
                "seed {seed}: {id} ran although it was reported as not_run"
            );
            *runs_by_key.entry(reported.keys[id]).or_default() += 1;
        }
        for (key, count) in &runs_by_key {
            assert_eq!(*count, 1, "seed {seed}: key {key} ran {count} times");
            assert!(
                !reported.forbidden.contains(key),
                "seed {seed}: key {key} was forbidden"
            );
        }
        for (key, responses) in &reported.responses {
            assert_eq!(
                responses.len(),
                1,
                "seed {seed}: key {key} has several response bodies"
            );
        }
        // The test is only meaningful if some requests finished and some were rejected.
        assert!(reported.finished > 20, "seed {seed}: {}", reported.finished);
        assert!(
            !reported.not_run.is_empty() && !reported.forbidden.is_empty(),
            "seed {seed}"
        );
        assert!(state["max_running"].as_u64().unwrap() <= 4, "seed {seed}");
    }
}
