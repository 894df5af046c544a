//! Tests of outcomes, retries and idempotency keys (`docs/design.md`, G12 and G13).

mod common;

use {
    catkindeck::{
        ErrorKind, ExecutionOutcome, Moment, ServiceError,
        config::ConfigSnapshot,
        id::BodyDigest,
        message::{CrashReport, ExecuteRequest, ExecutionState, PeerFrame, PeerRequest},
    },
    catkindeck_entry::forward::ForwardWork,
    catkindeck_policy::HomeSelector,
    common::*,
    std::{
        net::SocketAddr,
        sync::atomic::Ordering,
        time::{SystemTime, UNIX_EPOCH},
    },
};

const NOT_RUN: ExecutionOutcome = ExecutionOutcome::NotRun;
const UNKNOWN: ExecutionOutcome = ExecutionOutcome::Unknown;

/// Returns an agent that starts each request if `starts` is set, and then loses the connection; it
/// responds to `Revoke` with the result of `revoked`.
fn disconnecting_agent(
    starts: bool,
    revoked: impl Fn(&ExecuteRequest) -> AgentResponse + Send + Sync + 'static,
) -> impl Fn(&PeerRequest, usize) -> AgentResponse + Send + Sync + 'static {
    let last = std::sync::Mutex::new(None);
    move |request, _| match request {
        PeerRequest::Execute(request) => {
            *last.lock().expect("no panic") = Some((**request).clone());
            let mut steps = Vec::new();
            if starts {
                steps.push(started(request, 3));
            }
            steps.push(ResponseStep::Disconnect);
            AgentResponse::Stream(steps)
        }
        PeerRequest::Revoke { .. } => {
            let last = last.lock().expect("no panic");
            revoked(last.as_ref().expect("an earlier execution"))
        }
        other => default_response(other, 3),
    }
}

fn respond_with(frame: PeerFrame) -> AgentResponse {
    AgentResponse::Stream(vec![ResponseStep::Frame(frame)])
}

fn revocations(fixture: &Fixture) -> usize {
    let calls = fixture.link.calls();
    let revokes = calls
        .iter()
        .filter(|(_, request)| matches!(request, PeerRequest::Revoke { .. }));
    revokes.count()
}

/// Guards against a second execution of work that had started when its connection was lost (G13).
#[test]
fn started_work_is_not_run_again() {
    let fixture = Fixture::new();
    for number in [3, 4] {
        fixture.link.set(
            number,
            disconnecting_agent(true, |request| {
                let record = record(request, ExecutionState::Running, "");
                respond_with(PeerFrame::Execution(Some(Box::new(record))))
            }),
        );
    }
    let error = fixture.forward_expecting_error(&call("desk", 1));
    assert_eq!(error.execution, UNKNOWN);
    assert_eq!(fixture.link.executed().len(), 1);
    assert_eq!(revocations(&fixture), 1);
}

/// Guards against failing a request that is proved not to have run.
#[test]
fn revoked_work_is_retried_at_another_agent() {
    let fixture = Fixture::new();
    for number in [3, 4] {
        fixture.link.set(number, move |request, _| match request {
            PeerRequest::Execute(request) if request.attempt == 1 => {
                AgentResponse::Stream(vec![ResponseStep::Disconnect])
            }
            PeerRequest::Execute(request) => AgentResponse::Stream(vec![
                started(request, 3),
                chunk(request, 0, "sent", 1),
                finished(request, 1, 3),
            ]),
            other => default_response(other, 3),
        });
    }
    let (text, result) = fixture.forward(&call("desk", 1));
    assert_eq!(text, "sent");
    assert_eq!(result.expect("a complete response").attempts, 2);
    let executed = fixture.link.executed();
    assert_ne!(
        executed[0].0, executed[1].0,
        "the retry used the same agent"
    );
    assert_eq!(executed[0].1.request, executed[1].1.request);
}

/// Guards against a second execution when the agent cannot be queried about the first one (G13),
/// and against reporting `not_run` without proof (G12).
#[test]
fn work_at_unreachable_agent_has_unknown_outcome() {
    let fixture = Fixture::new();
    for number in [3, 4] {
        fixture.link.set(
            number,
            disconnecting_agent(false, |_| AgentResponse::Unreachable(unreachable_error())),
        );
    }
    let error = fixture.forward_expecting_error(&call("desk", 1));
    assert_eq!(error.execution, UNKNOWN);
    assert_eq!(fixture.link.executed().len(), 1);
}

/// Guards against accepting the revocation of another request as proof (G12).
#[test]
fn revoked_response_for_another_request_is_ignored() {
    let fixture = Fixture::new();
    for number in [3, 4] {
        fixture.link.set(
            number,
            disconnecting_agent(false, |_| {
                let request = catkindeck::id::RequestId::random();
                respond_with(PeerFrame::Revoked { request })
            }),
        );
    }
    assert_eq!(
        fixture.forward_expecting_error(&call("desk", 1)).execution,
        UNKNOWN
    );
    assert_eq!(fixture.link.executed().len(), 1);
}

/// Guards against reporting `not_run` because of the last attempt, although an earlier attempt may
/// have run (G12).
#[test]
fn refused_retry_does_not_make_outcome_not_run() {
    let fixture = Fixture::new();
    for number in [3, 4] {
        fixture.link.set(
            number,
            agent(3, |request, _| match request.attempt {
                1 => vec![started(request, 3), ResponseStep::Disconnect],
                _ => {
                    let error = ServiceError::not_run(ErrorKind::Overloaded, "full");
                    vec![refused(request, error, 3)]
                }
            }),
        );
    }
    assert_eq!(
        fixture.forward_expecting_error(&call("shelf", 1)).execution,
        UNKNOWN
    );
    assert_eq!(fixture.link.executed().len(), 2);
}

/// Guards against reporting `unknown` for a request that every agent refused, because callers
/// cannot retry it safely.
#[test]
fn request_refused_by_every_agent_is_not_run() {
    let fixture = Fixture::new();
    for number in [3, 4] {
        fixture.link.set(
            number,
            agent(3, |request, _| {
                let error = ServiceError::not_run(ErrorKind::Overloaded, "full");
                vec![refused(request, error, 3)]
            }),
        );
    }
    assert_eq!(
        fixture.forward_expecting_error(&call("desk", 1)).execution,
        NOT_RUN
    );
}

/// Guards against work that reaches a restarted agent under its previous incarnation, where no
/// record protects it, and against a failed request after every restart.
#[test]
fn restarted_agent_gets_work_under_its_new_incarnation() {
    let mut snapshot = snapshot();
    snapshot
        .upstreams
        .retain(|upstream| upstream.name != name("desk-4"));
    for customer in &mut snapshot.customers {
        customer.retry_percent = 0;
    }
    let fixture = Fixture::with_snapshot(snapshot);
    fixture.link.set(3, succeeding_agent(3, "first"));
    fixture
        .forward(&call("desk", 1))
        .1
        .expect("a complete response");
    fixture.link.set(
        3,
        agent(9, |request, _| {
            if request.incarnation != Some(incarnation(9)) {
                let detail = "addressed to an earlier incarnation";
                let error = ServiceError::not_run(ErrorKind::WrongIncarnation, detail);
                return vec![refused(request, error, 9)];
            }
            vec![
                started(request, 9),
                chunk(request, 0, "second", 1),
                finished(request, 1, 9),
            ]
        }),
    );
    let (text, result) = fixture.forward(&call("desk", 2));
    result.expect("a complete response");
    assert_eq!(text, "second");
    let executed = fixture.link.executed();
    let addressed: Vec<_> = executed
        .iter()
        .map(|(_, request)| request.incarnation)
        .collect();
    let (old, new) = (Some(incarnation(3)), Some(incarnation(9)));
    assert_eq!(addressed, [old, old, new]);
}

/// Guards against retries that amplify the load when every attempt fails (`docs/design.md`,
/// decision 5).
#[test]
fn retries_stay_within_the_budget() {
    let mut snapshot = snapshot();
    for customer in &mut snapshot.customers {
        customer.retry_percent = 10;
    }
    let fixture = Fixture::with_snapshot(snapshot);
    for number in [3, 4] {
        fixture.link.set(
            number,
            agent(3, |request, _| {
                let error = ServiceError::not_run(ErrorKind::Overloaded, "full");
                vec![refused(request, error, 3)]
            }),
        );
    }
    for _ in 0..200 {
        assert_eq!(
            fixture.forward_expecting_error(&call("shelf", 1)).execution,
            NOT_RUN
        );
    }
    assert!(
        fixture.link.executed().len() <= 220,
        "amplification exceeds 1.1"
    );
}

/// Guards against attempts after the caller's deadline.
#[test]
fn no_attempt_after_the_deadline() {
    let fixture = Fixture::new();
    let clock = fixture.clock.clone();
    for number in [3, 4] {
        let clock = clock.clone();
        fixture.link.set(
            number,
            agent(3, move |request, _| {
                clock.0.store(20_000, Ordering::SeqCst);
                let error = ServiceError::not_run(ErrorKind::Overloaded, "full");
                vec![refused(request, error, 3)]
            }),
        );
    }
    let error = fixture.forward_expecting_error(&call("shelf", 1));
    assert_eq!(error.kind, ErrorKind::DeadlineExceeded);
    assert_eq!(fixture.link.executed().len(), 1);
}

/// Guards against one body that crashes upstream after upstream (`docs/design.md`, decision 6).
#[test]
fn crashing_body_is_quarantined_and_reported() {
    let fixture = Fixture::new();
    for number in [1, 2] {
        fixture.link.set(
            number,
            agent(1, |request, _| {
                if request.digest == BodyDigest([66; 32]) {
                    return vec![started(request, 1), crashed(request, 1)];
                }
                vec![
                    started(request, 1),
                    chunk(request, 0, "fine", 1),
                    finished(request, 1, 1),
                ]
            }),
        );
    }
    fixture
        .link
        .set(100, |request, _| default_response(request, 100));
    let error = fixture.forward_expecting_error(&completion(66));
    assert_eq!(
        (error.kind, error.execution),
        (ErrorKind::Quarantined, UNKNOWN)
    );
    assert_eq!(fixture.link.executed().len(), 2);

    // The caller repeats the request, which reaches no upstream.
    let error = fixture.forward_expecting_error(&completion(66));
    assert_eq!(
        (error.kind, error.execution),
        (ErrorKind::Quarantined, NOT_RUN)
    );
    assert_eq!(fixture.link.executed().len(), 2);
    fixture.link.wait_for(|to, request| {
        *to == address(100) && matches!(request, PeerRequest::ReportCrashes { .. })
    });

    // Other requests of the customer run, once the backoff of the crashed upstreams has passed.
    fixture.clock.0.store(15_000, Ordering::SeqCst);
    let other = fixture.forward(&completion(5));
    assert_eq!(other.0, "fine");
}

/// Guards against quarantining bodies whose upstreams only return errors.
#[test]
fn error_response_does_not_quarantine_the_body() {
    let fixture = Fixture::new();
    for number in [1, 2] {
        fixture.link.set(
            number,
            agent(1, |request, _| {
                let error = ServiceError::unknown(ErrorKind::UpstreamFailed, "answered 500");
                vec![started(request, 1), refused(request, error, 1)]
            }),
        );
    }
    for _ in 0..2 {
        assert_eq!(
            fixture.forward_expecting_error(&completion(66)).kind,
            ErrorKind::UpstreamFailed
        );
    }
}

/// Guards against a body that crashes two more upstreams through each entry.
#[test]
fn crashes_reported_by_peers_quarantine_the_body() {
    let fixture = Fixture::new();
    for number in [1, 2] {
        fixture.link.set(number, succeeding_agent(1, "fine"));
    }
    let crash = |upstream: &str| CrashReport {
        digest: BodyDigest([66; 32]),
        upstream: name(upstream),
    };
    fixture
        .forwarder
        .record_crashes(&[crash("draft-1"), crash("draft-1")]);
    fixture
        .forward(&completion(66))
        .1
        .expect("crashes of one upstream do not quarantine the body");
    fixture
        .forwarder
        .record_crashes(&[crash("draft-1"), crash("draft-2")]);
    assert_eq!(
        fixture.forward_expecting_error(&completion(66)).kind,
        ErrorKind::Quarantined
    );
}

fn keyed_call(route: &str, key: &str) -> ForwardWork {
    ForwardWork {
        idempotency_key: Some(key.to_owned()),
        ..call(route, 1)
    }
}

fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    let elapsed = elapsed.expect("the clock is past 1970").as_millis();
    u64::try_from(elapsed).expect("a plausible clock")
}

/// Returns a configuration from which the home of the key was removed a minute ago, and the
/// addresses of the old and the new home.
fn moved_home(key: &str) -> (ConfigSnapshot, SocketAddr, SocketAddr) {
    let mut snapshot = snapshot();
    let customer = name("archive");
    let choose = |snapshot: &ConfigSnapshot| {
        HomeSelector::new()
            .choose(
                unix_ms(),
                Some(&customer),
                key,
                &name("desk"),
                &snapshot.upstreams,
            )
            .expect("a home")
    };
    let old = choose(&snapshot).home;
    for upstream in &mut snapshot.upstreams {
        if upstream.name == old {
            upstream.removed_ms = Some(unix_ms() - 60_000);
        }
    }
    let choice = choose(&snapshot);
    assert_eq!(choice.earlier, std::slice::from_ref(&old));
    let agent = |name| snapshot.upstream(name).expect("listed").agent;
    let (old, new) = (agent(&old), agent(&choice.home));
    (snapshot, old, new)
}

fn agent_number(address: SocketAddr) -> u16 {
    address.port() - 20_000
}

/// Guards against two entries that send the same key to two agents (G13).
#[test]
fn key_has_one_home_on_every_entry() {
    for key in ["slip-1", "slip-2", "slip-3", "slip-4", "slip-5", "slip-6"] {
        let homes: Vec<SocketAddr> = (0..2)
            .map(|_| {
                let fixture = Fixture::new();
                for number in [3, 4] {
                    fixture.link.set(number, succeeding_agent(3, "sent"));
                }
                fixture
                    .forward(&keyed_call("desk", key))
                    .1
                    .expect("a complete response");
                fixture.link.executed()[0].0
            })
            .collect();
        assert_eq!(homes[0], homes[1]);
    }
}

/// Guards against a second execution at the new home after the upstreams changed (G13).
#[test]
fn earlier_home_forbids_key_before_new_home_runs_it() {
    let (snapshot, old, new) = moved_home("slip-1");
    let fixture = Fixture::with_snapshot(snapshot);
    for number in [3, 4] {
        fixture.link.set(number, succeeding_agent(3, "sent"));
    }
    fixture
        .forward(&keyed_call("desk", "slip-1"))
        .1
        .expect("a complete response");
    let calls = fixture.link.calls();
    let forbidden = calls.iter().position(|(to, request)| {
        *to == old
            && matches!(request, PeerRequest::FindExecution { forbid_start: true, idempotency_key, .. }
                if idempotency_key == "slip-1")
    });
    let executed = calls
        .iter()
        .position(|(to, request)| *to == new && matches!(request, PeerRequest::Execute(_)));
    assert!(
        forbidden.expect("the earlier home forbids the key") < executed.expect("the request runs")
    );
}

/// Guards against a second execution when the earlier home cannot be queried (G13).
#[test]
fn keyed_request_with_unreachable_earlier_home_has_unknown_outcome() {
    let (snapshot, old, new) = moved_home("slip-1");
    let fixture = Fixture::with_snapshot(snapshot);
    fixture
        .link
        .set(agent_number(new), succeeding_agent(3, "sent"));
    fixture.link.set(agent_number(old), |_, _| {
        AgentResponse::Unreachable(unreachable_error())
    });
    let error = fixture.forward_expecting_error(&keyed_call("desk", "slip-1"));
    assert_eq!(
        (error.kind, error.execution),
        (ErrorKind::OutcomeUnknown, UNKNOWN)
    );
    assert!(fixture.link.executed().is_empty());
}

/// Guards against running a request again whose response is stored at the earlier home of its
/// idempotency key (`docs/proofs.md`, G13).
#[test]
fn earlier_home_replays_its_response() {
    let (snapshot, old, new) = moved_home("slip-1");
    let fixture = Fixture::with_snapshot(snapshot);
    let work = keyed_call("desk", "slip-1");
    let request = ExecuteRequest {
        request: catkindeck::id::RequestId::random(),
        incarnation: None,
        customer: work.customer().cloned(),
        route: work.route.name.clone(),
        service: work.route.service.clone(),
        class: work.class,
        priority: 0,
        attempt: 1,
        deadline_ms: 1000,
        idempotent: false,
        idempotency_key: work.idempotency_key.clone(),
        digest: work.digest,
        sample: None,
        body: work.body.clone(),
    };
    let stored = record(&request, ExecutionState::Finished, "sent before");
    fixture
        .link
        .set(agent_number(new), succeeding_agent(3, "sent again"));
    fixture
        .link
        .set(agent_number(old), move |request, _| match request {
            PeerRequest::FindExecution { .. } => {
                respond_with(PeerFrame::Execution(Some(Box::new(stored.clone()))))
            }
            other => default_response(other, 3),
        });
    let (text, result) = fixture.forward(&work);
    result.expect("a complete response");
    assert_eq!(text, "sent before");

    // Reusing the key for another body is a caller error, and no stored response is returned.
    let error = fixture.forward_expecting_error(&ForwardWork {
        digest: BodyDigest([2; 32]),
        ..work
    });
    assert_eq!(error.kind, ErrorKind::Conflict);
    assert!(fixture.link.executed().is_empty());
}

/// Guards against reporting `not_run` for a key whose home is unreachable, because an earlier
/// request with the key may have run there (G12).
#[test]
fn keyed_request_with_unreachable_home_has_unknown_outcome() {
    let fixture = Fixture::new();
    let error = fixture.forward_expecting_error(&keyed_call("desk", "slip-1"));
    assert_eq!(
        (error.kind, error.execution),
        (ErrorKind::OutcomeUnknown, UNKNOWN)
    );
    assert!(fixture.link.executed().is_empty());
}

/// Guards against a key that leaves its home when the home is only overloaded (G13), and against a
/// key that cannot move after its home has handed over its records.
#[test]
fn key_moves_only_after_a_handover() {
    for (kind, homes) in [(ErrorKind::Overloaded, 1), (ErrorKind::ShuttingDown, 2)] {
        let fixture = Fixture::new();
        for number in [3, 4] {
            fixture.link.set(
                number,
                agent(3, move |request, _| {
                    if request.attempt == 1 {
                        return vec![refused(request, ServiceError::not_run(kind, "no"), 3)];
                    }
                    vec![
                        started(request, 3),
                        chunk(request, 0, "sent", 1),
                        finished(request, 1, 3),
                    ]
                }),
            );
        }
        fixture.forward(&keyed_call("desk", "slip-1")).1.ok();
        let mut used: Vec<SocketAddr> = fixture.link.executed().iter().map(|(to, _)| *to).collect();
        used.dedup();
        assert_eq!(used.len(), homes, "{kind}");
    }
}

/// Guards against losing the response of a keyed request that the agent finished and stored.
#[test]
fn stored_response_completes_an_interrupted_one() {
    let fixture = Fixture::new();
    for number in [3, 4] {
        fixture.link.set(number, |request, _| match request {
            PeerRequest::Execute(request) => AgentResponse::Stream(vec![
                started(request, 3),
                chunk(request, 0, "sent to ", 1),
                ResponseStep::Disconnect,
            ]),
            PeerRequest::Revoke { request, .. } => {
                let mut kept = record_of(*request);
                kept.answer = b"sent to rack 7".to_vec();
                kept.answer_kept = true;
                respond_with(PeerFrame::Execution(Some(Box::new(kept))))
            }
            other => default_response(other, 3),
        });
    }
    let (text, result) = fixture.forward(&keyed_call("desk", "slip-1"));
    result.expect("a complete response");
    assert_eq!(text, "sent to rack 7");
    assert_eq!(fixture.link.executed().len(), 1);
}

fn record_of(request: catkindeck::id::RequestId) -> catkindeck::message::ExecutionRecord {
    let work = keyed_call("desk", "slip-1");
    catkindeck::message::ExecutionRecord {
        request,
        customer: work.customer().cloned(),
        route: work.route.name.clone(),
        idempotency_key: work.idempotency_key.clone(),
        digest: work.digest,
        state: ExecutionState::Finished,
        boot: catkindeck::id::BootId("boot".to_owned()),
        labels: catkindeck::token::VersionLabels::default(),
        status: 200,
        headers: Vec::new(),
        answer: Vec::new(),
        answer_kept: false,
    }
}

/// Guards against queued work that starts after the caller's deadline.
#[test]
fn deadline_revokes_queued_work() {
    let fixture = Fixture::new();
    let clock = fixture.clock.clone();
    for number in [3, 4] {
        let clock = clock.clone();
        fixture.link.set(
            number,
            agent(3, move |_, _| {
                let clock = clock.clone();
                let (_, never) = crossbeam::channel::bounded(0);
                vec![
                    ResponseStep::Run(Box::new(move || clock.0.store(20_000, Ordering::SeqCst))),
                    ResponseStep::Wait(never),
                ]
            }),
        );
    }
    let error = fixture.forward_expecting_error(&call("desk", 1));
    assert_eq!(
        (error.kind, error.execution),
        (ErrorKind::DeadlineExceeded, NOT_RUN)
    );
    assert_eq!(revocations(&fixture), 1);
    assert_eq!(fixture.forwarder.now(), Moment(20_000));
}

/// Guards against reporting `not_run` at the deadline for a key that an earlier request may have
/// run; the revocation of this request proves nothing about the earlier one (G12).
#[test]
fn expired_request_with_idempotency_key_has_unknown_outcome() {
    let fixture = Fixture::new();
    let clock = fixture.clock.clone();
    for number in [3, 4] {
        let clock = clock.clone();
        fixture.link.set(
            number,
            agent(3, move |_, _| {
                let clock = clock.clone();
                let (_, never) = crossbeam::channel::bounded(0);
                vec![
                    ResponseStep::Run(Box::new(move || clock.0.store(20_000, Ordering::SeqCst))),
                    ResponseStep::Wait(never),
                ]
            }),
        );
    }
    let error = fixture.forward_expecting_error(&keyed_call("desk", "slip-1"));
    assert_eq!(
        (error.kind, error.execution),
        (ErrorKind::DeadlineExceeded, UNKNOWN)
    );
    assert_eq!(revocations(&fixture), 1);
}
