//! Injects random faults into agents and links, and compares the reported outcomes with what was
//! executed (`docs/design.md`, G11 to G13).

mod common;

use {
    catkindeck::{
        ErrorKind, ExecutionOutcome, ServiceError,
        id::RequestId,
        message::{ExecuteRequest, ExecutionState, PeerFrame, PeerRequest, WorkBody},
    },
    catkindeck_entry::forward::{ForwardError, ForwardWork},
    common::*,
    proptest::{prelude::*, test_runner::RngSeed},
    std::{
        collections::BTreeMap,
        env,
        sync::{Arc, Mutex},
    },
};

const TEXT: [&str; 4] = ["Carton ", "twelve ", "holds ", "deeds"];

/// The fault of an agent or its link during one execution.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AgentFault {
    /// The agent sends a complete response.
    None,
    /// The link reports that the request was not sent.
    NotSent,
    /// The link reports an unknown outcome, and the request was lost.
    LostBefore,
    /// The link reports an unknown outcome, and the agent queued the request.
    LostQueued,
    /// The agent refuses the request before starting it.
    Refused(ErrorKind),
    /// The connection is lost while the request is queued.
    DisconnectQueued,
    /// The connection is lost after the start and some chunks, and the request keeps running.
    DisconnectRunning(usize),
    /// The upstream crashes after some chunks.
    Crash(usize),
    /// The agent omits a chunk.
    MissingChunk,
    /// The agent sends a frame of another request.
    WrongRequest,
    /// The agent sends the end frame without the last chunk.
    MissingLastChunk,
}

/// The fault of an agent or its link during a revocation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RevokeFault {
    None,
    Unreachable,
    WrongRequest,
    LostResponse,
}

/// The actual state of a request at one agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestState {
    Queued,
    Started,
    Forbidden,
}

/// Tracks the actual state of each request at each agent.
#[derive(Default)]
struct Oracle {
    states: BTreeMap<(u16, RequestId), RequestState>,
}

impl Oracle {
    /// Returns the number of agents at which the request ran or, if it is queued, may still run.
    fn executions(&self, request: RequestId) -> usize {
        let matching = self.states.iter().filter(|((_, id), _)| *id == request);
        matching
            .filter(|(_, state)| **state != RequestState::Forbidden)
            .count()
    }
}

fn fault() -> impl Strategy<Value = AgentFault> {
    prop_oneof![
        2 => Just(AgentFault::None),
        1 => Just(AgentFault::NotSent),
        1 => Just(AgentFault::LostBefore),
        1 => Just(AgentFault::LostQueued),
        2 => prop_oneof![
            Just(ErrorKind::Overloaded),
            Just(ErrorKind::UpstreamLeaving),
            Just(ErrorKind::WrongIncarnation),
            Just(ErrorKind::ShuttingDown),
            Just(ErrorKind::DeadlineExceeded),
        ].prop_map(AgentFault::Refused),
        1 => Just(AgentFault::DisconnectQueued),
        1 => (0..4_usize).prop_map(AgentFault::DisconnectRunning),
        1 => (0..4_usize).prop_map(AgentFault::Crash),
        1 => Just(AgentFault::MissingChunk),
        1 => Just(AgentFault::WrongRequest),
        1 => Just(AgentFault::MissingLastChunk),
    ]
}

fn revoke_fault() -> impl Strategy<Value = RevokeFault> {
    prop_oneof![
        3 => Just(RevokeFault::None),
        1 => Just(RevokeFault::Unreachable),
        1 => Just(RevokeFault::WrongRequest),
        1 => Just(RevokeFault::LostResponse),
    ]
}

fn execute(
    number: u16,
    fault: AgentFault,
    oracle: &Mutex<Oracle>,
    request: &ExecuteRequest,
) -> AgentResponse {
    let id = u8::try_from(number).expect("a small number");
    let record_state = |state| {
        let mut oracle = oracle.lock().expect("no panic");
        oracle.states.insert((number, request.request), state);
    };
    // A resumed completion continues after the text that the caller has received.
    let from = match &request.body {
        WorkBody::Completion(body) => body.resume_tokens as usize,
        WorkBody::Call(_) => 0,
    };
    let rest = &TEXT[from..];
    let chunks = |count: usize| {
        let texts = rest.iter().take(count).enumerate();
        let frames = texts.map(|(index, text)| {
            let sequence = u32::try_from(index).expect("few chunks");
            chunk(request, sequence, text, u64::from(number))
        });
        frames.collect::<Vec<_>>()
    };
    let count = u32::try_from(rest.len()).expect("few chunks");
    let lost = ServiceError::unknown(ErrorKind::PeerUnavailable, "lost");
    let mut steps = vec![started(request, id)];
    match fault {
        AgentFault::NotSent => return AgentResponse::Unreachable(unreachable_error()),
        AgentFault::LostBefore => return AgentResponse::Unreachable(lost),
        AgentFault::LostQueued => {
            record_state(RequestState::Queued);
            return AgentResponse::Unreachable(lost);
        }
        AgentFault::Refused(kind) => {
            let error = ServiceError::not_run(kind, "refused");
            return AgentResponse::Stream(vec![refused(request, error, id)]);
        }
        AgentFault::DisconnectQueued => {
            record_state(RequestState::Queued);
            return AgentResponse::Stream(vec![ResponseStep::Disconnect]);
        }
        AgentFault::None => {
            steps.extend(chunks(rest.len()));
            steps.push(finished(request, count, id));
        }
        AgentFault::DisconnectRunning(sent) => {
            steps.extend(chunks(sent));
            steps.push(ResponseStep::Disconnect);
        }
        AgentFault::Crash(sent) => {
            steps.extend(chunks(sent));
            steps.push(crashed(request, id));
        }
        AgentFault::MissingChunk => {
            steps.push(chunk(request, 1, "out of order", 1));
            steps.push(finished(request, 2, id));
        }
        AgentFault::WrongRequest => {
            let other = ExecuteRequest {
                request: RequestId::random(),
                ..request.clone()
            };
            steps.extend(chunks(1));
            steps.push(chunk(&other, 1, "another's", 1));
            steps.push(finished(request, 2, id));
        }
        AgentFault::MissingLastChunk => {
            steps.extend(chunks(rest.len().saturating_sub(1)));
            steps.push(finished(request, count, id));
        }
    }
    record_state(RequestState::Started);
    AgentResponse::Stream(steps)
}

fn revoke(
    number: u16,
    fault: RevokeFault,
    oracle: &Mutex<Oracle>,
    request: RequestId,
) -> AgentResponse {
    if fault == RevokeFault::Unreachable {
        return AgentResponse::Unreachable(unreachable_error());
    }
    let mut oracle = oracle.lock().expect("no panic");
    let state = oracle.states.get(&(number, request)).copied();
    let frame = match state {
        Some(RequestState::Started) => {
            let mut known = record_of_running(request);
            known.state = ExecutionState::Running;
            PeerFrame::Execution(Some(Box::new(known)))
        }
        _ => {
            oracle
                .states
                .insert((number, request), RequestState::Forbidden);
            PeerFrame::Revoked { request }
        }
    };
    match fault {
        RevokeFault::LostResponse => AgentResponse::Stream(vec![ResponseStep::Disconnect]),
        RevokeFault::WrongRequest => {
            let request = RequestId::random();
            AgentResponse::Stream(vec![ResponseStep::Frame(PeerFrame::Revoked { request })])
        }
        _ => AgentResponse::Stream(vec![ResponseStep::Frame(frame)]),
    }
}

fn record_of_running(request: RequestId) -> catkindeck::message::ExecutionRecord {
    let work = call("desk", 1);
    catkindeck::message::ExecutionRecord {
        request,
        customer: work.customer().cloned(),
        route: work.route.name.clone(),
        idempotency_key: None,
        digest: work.digest,
        state: ExecutionState::Running,
        boot: catkindeck::id::BootId("boot".to_owned()),
        labels: catkindeck::token::VersionLabels::default(),
        status: 200,
        headers: Vec::new(),
        answer: Vec::new(),
        answer_kept: false,
    }
}

/// Forwards `work` with the given faults in order, and checks the result against the oracle.
fn check_outcome(
    work: &ForwardWork,
    faults: &[AgentFault],
    revoke_faults: &[RevokeFault],
) -> Result<(), TestCaseError> {
    let fixture = Fixture::new();
    let oracle = Arc::new(Mutex::new(Oracle::default()));
    let (faults, revoke_faults) = (Vec::from(faults), Vec::from(revoke_faults));
    let fault_queues = Arc::new(Mutex::new((faults.into_iter(), revoke_faults.into_iter())));
    for number in 1..=4 {
        let (oracle, fault_queues) = (oracle.clone(), fault_queues.clone());
        fixture.link.set(number, move |request, _| match request {
            PeerRequest::Execute(request) => {
                let fault = fault_queues.lock().expect("no panic").0.next();
                execute(number, fault.unwrap_or(AgentFault::None), &oracle, request)
            }
            PeerRequest::Revoke { request, .. } => {
                let fault = fault_queues.lock().expect("no panic").1.next();
                revoke(
                    number,
                    fault.unwrap_or(RevokeFault::None),
                    &oracle,
                    *request,
                )
            }
            other => default_response(other, u8::try_from(number).expect("a small number")),
        });
    }
    let (text, result) = fixture.forward(work);
    let complete = TEXT.concat();
    let executions = oracle.lock().expect("no panic").executions(work.request);

    prop_assert!(complete.starts_with(&text), "the caller received {text:?}");
    if !work.route.idempotent {
        prop_assert!(executions <= 1, "{executions} executions");
    }
    match result {
        Ok(delivered) => {
            prop_assert_eq!(&text, &complete);
            prop_assert_eq!(delivered.labels.token_count(), 4);
            prop_assert!(executions >= 1);
        }
        Err(ForwardError::Failed(error)) if error.execution == ExecutionOutcome::NotRun => {
            prop_assert_eq!(executions, 0, "{}, but the request ran", error);
            prop_assert_eq!(&text, "");
        }
        Err(ForwardError::Failed(_)) => {}
        Err(ForwardError::CallerDisconnected) => {
            prop_assert!(false, "reported a disconnect of a connected caller")
        }
    }
    Ok(())
}

/// Returns a configuration with a fixed seed, or with a random one if `CATKINDECK_FUZZ_CASES` sets
/// the number of cases.
fn config() -> ProptestConfig {
    let cases = env::var("CATKINDECK_FUZZ_CASES").ok();
    let cases = cases.and_then(|text| text.parse().ok());
    ProptestConfig {
        cases: cases.unwrap_or(400),
        rng_seed: match cases {
            Some(_) => RngSeed::Random,
            None => RngSeed::Fixed(20_261_204),
        },
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against a second execution of work that is not idempotent, against reporting
    /// `not_run` for work that ran or may still run, and against a partial response that appears
    /// complete.
    #[test]
    fn non_idempotent_work_runs_at_most_once(
        faults in proptest::collection::vec(fault(), 0..5),
        revoke_faults in proptest::collection::vec(revoke_fault(), 0..3),
    ) {
        check_outcome(&call("desk", 1), &faults, &revoke_faults)?;
    }

    /// Guards against a partial response that appears complete, against text repeated or omitted
    /// when resuming, and against reporting `not_run` after an attempt that ran.
    #[test]
    fn completions_are_complete_or_fail(
        faults in proptest::collection::vec(fault(), 0..5),
        revoke_faults in proptest::collection::vec(revoke_fault(), 0..3),
    ) {
        check_outcome(&completion(1), &faults, &revoke_faults)?;
    }

    /// Guards against the same faults for idempotent plain calls.
    #[test]
    fn idempotent_calls_are_complete_or_fail(
        faults in proptest::collection::vec(fault(), 0..5),
        revoke_faults in proptest::collection::vec(revoke_fault(), 0..3),
    ) {
        check_outcome(&call("shelf", 1), &faults, &revoke_faults)?;
    }
}
