//! Random faults of agents and links against an oracle of what ran (G11, G12, G13).

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

/// What an agent does with one execution.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AgentFault {
    /// It answers whole.
    None,
    /// The link reports that the request was not sent.
    NotSent,
    /// The link cannot tell, and the request never arrives.
    LostBefore,
    /// The link cannot tell, and the agent queues the request.
    LostQueued,
    /// The agent refuses before the start.
    Refused(ErrorKind),
    /// The connection is cut while the request is queued.
    DisconnectQueued,
    /// The connection is cut after the start and some chunks, and the request runs on.
    DisconnectRunning(usize),
    /// The upstream crashes after some chunks.
    Crash(usize),
    /// A chunk is left out.
    MissingChunk,
    /// A frame of another request comes in between.
    WrongRequest,
    /// The end comes without the last chunk.
    MissingLastChunk,
}

/// What an agent does when it is asked to revoke.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RevokeFault {
    None,
    Unreachable,
    WrongRequest,
    LostResponse,
}

/// What became of the request at one agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestState {
    Queued,
    Started,
    Forbidden,
}

/// The oracle: each agent's knowledge of each request.
#[derive(Default)]
struct Oracle {
    states: BTreeMap<(u16, RequestId), RequestState>,
}

impl Oracle {
    /// Counts the agents at which the request ran or, being queued, still may.
    fn executions(&self, request: RequestId) -> usize {
        let mine = self.states.iter().filter(|((_, id), _)| *id == request);
        mine.filter(|(_, state)| **state != RequestState::Forbidden)
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
    let note = |state| {
        let mut oracle = oracle.lock().expect("no panic");
        oracle.states.insert((number, request.request), state);
    };
    // A resumed completion goes on after the text that the caller has.
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
        AgentFault::NotSent => return AgentResponse::Unreachable(unreachable()),
        AgentFault::LostBefore => return AgentResponse::Unreachable(lost),
        AgentFault::LostQueued => {
            note(RequestState::Queued);
            return AgentResponse::Unreachable(lost);
        }
        AgentFault::Refused(kind) => {
            let error = ServiceError::not_run(kind, "refused");
            return AgentResponse::Answer(vec![refused(request, error, id)]);
        }
        AgentFault::DisconnectQueued => {
            note(RequestState::Queued);
            return AgentResponse::Answer(vec![ResponseStep::Disconnect]);
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
            steps.push(chunk(request, 1, "out of turn", 1));
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
    note(RequestState::Started);
    AgentResponse::Answer(steps)
}

fn revoke(
    number: u16,
    fault: RevokeFault,
    oracle: &Mutex<Oracle>,
    request: RequestId,
) -> AgentResponse {
    if fault == RevokeFault::Unreachable {
        return AgentResponse::Unreachable(unreachable());
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
        RevokeFault::LostResponse => AgentResponse::Answer(vec![ResponseStep::Disconnect]),
        RevokeFault::WrongRequest => {
            let request = RequestId::random();
            AgentResponse::Answer(vec![ResponseStep::Frame(PeerFrame::Revoked { request })])
        }
        _ => AgentResponse::Answer(vec![ResponseStep::Frame(frame)]),
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

/// Forwards `work` through agents that commit `faults` in turn, and checks the end by the oracle.
fn check(
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
    let (text, end) = fixture.forward(work);
    let whole = TEXT.concat();
    let executions = oracle.lock().expect("no panic").executions(work.request);

    prop_assert!(whole.starts_with(&text), "the caller got {text:?}");
    if !work.route.idempotent {
        prop_assert!(executions <= 1, "{executions} executions");
    }
    match end {
        Ok(delivered) => {
            prop_assert_eq!(&text, &whole);
            prop_assert_eq!(delivered.labels.token_count(), 4);
            prop_assert!(executions >= 1);
        }
        Err(ForwardError::Failed(error)) if error.execution == ExecutionOutcome::NotRun => {
            prop_assert_eq!(executions, 0, "{} but it ran", error);
            prop_assert_eq!(&text, "");
        }
        Err(ForwardError::Failed(_)) => {}
        Err(ForwardError::CallerDisconnected) => prop_assert!(false, "nobody left"),
    }
    Ok(())
}

/// Runs with a fixed seed, or with a random one and many cases if `CATKINDECK_FUZZ_CASES` is set.
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

    /// Guards against a second execution of work that must run once, against a `not_run` for work
    /// that ran or still may, and against a part that passes as whole.
    #[test]
    fn work_that_must_not_repeat_runs_at_most_once(
        faults in proptest::collection::vec(fault(), 0..5),
        revoke_faults in proptest::collection::vec(revoke_fault(), 0..3),
    ) {
        check(&call("desk", 1), &faults, &revoke_faults)?;
    }

    /// Guards against a part that passes as whole, against text that is repeated or left out by a
    /// resume, and against a `not_run` after an attempt that ran.
    #[test]
    fn completions_are_complete_or_fail(
        faults in proptest::collection::vec(fault(), 0..5),
        revoke_faults in proptest::collection::vec(revoke_fault(), 0..3),
    ) {
        check(&completion(1), &faults, &revoke_faults)?;
    }

    /// Guards against the same for plain calls that may be repeated.
    #[test]
    fn repeatable_calls_are_complete_or_fail(
        faults in proptest::collection::vec(fault(), 0..5),
        revoke_faults in proptest::collection::vec(revoke_fault(), 0..3),
    ) {
        check(&call("shelf", 1), &faults, &revoke_faults)?;
    }
}
