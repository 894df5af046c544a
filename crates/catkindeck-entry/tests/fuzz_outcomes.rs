//! Random faults of agents and links against an oracle of what ran (G11, G12, G13).

mod common;

use {
    catkindeck::{
        ErrorKind, ExecutionOutcome, ServiceError,
        id::RequestId,
        message::{ExecuteRequest, ExecutionState, PeerFrame, PeerRequest, WorkBody},
    },
    catkindeck_entry::forward::{ForwardEnd, ForwardWork},
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
enum Fault {
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
    CutQueued,
    /// The connection is cut after the start and some chunks, and the request runs on.
    CutRunning(usize),
    /// The upstream crashes after some chunks.
    Crash(usize),
    /// A chunk is left out.
    Gap,
    /// A frame of another request comes in between.
    Crossed,
    /// The end comes without the last chunk.
    Short,
}

/// What an agent does when it is asked to revoke.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RevokeFault {
    None,
    Unreachable,
    Crossed,
    LostAnswer,
}

/// What became of the request at one agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Truth {
    Queued,
    Started,
    Forbidden,
}

/// The oracle: each agent's knowledge of each request.
#[derive(Default)]
struct World {
    truths: BTreeMap<(u16, RequestId), Truth>,
}

impl World {
    /// Counts the agents at which the request ran or, being queued, still may.
    fn executions(&self, request: RequestId) -> usize {
        let mine = self.truths.iter().filter(|((_, id), _)| *id == request);
        mine.filter(|(_, truth)| **truth != Truth::Forbidden)
            .count()
    }
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        2 => Just(Fault::None),
        1 => Just(Fault::NotSent),
        1 => Just(Fault::LostBefore),
        1 => Just(Fault::LostQueued),
        2 => prop_oneof![
            Just(ErrorKind::Overloaded),
            Just(ErrorKind::UpstreamLeaving),
            Just(ErrorKind::WrongIncarnation),
            Just(ErrorKind::ShuttingDown),
            Just(ErrorKind::DeadlineExceeded),
        ].prop_map(Fault::Refused),
        1 => Just(Fault::CutQueued),
        1 => (0..4_usize).prop_map(Fault::CutRunning),
        1 => (0..4_usize).prop_map(Fault::Crash),
        1 => Just(Fault::Gap),
        1 => Just(Fault::Crossed),
        1 => Just(Fault::Short),
    ]
}

fn revoke_fault() -> impl Strategy<Value = RevokeFault> {
    prop_oneof![
        3 => Just(RevokeFault::None),
        1 => Just(RevokeFault::Unreachable),
        1 => Just(RevokeFault::Crossed),
        1 => Just(RevokeFault::LostAnswer),
    ]
}

fn execute(number: u16, fault: Fault, world: &Mutex<World>, request: &ExecuteRequest) -> Reaction {
    let id = u8::try_from(number).expect("a small number");
    let note = |truth| {
        let mut world = world.lock().expect("no panic");
        world.truths.insert((number, request.request), truth);
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
        Fault::NotSent => return Reaction::Unreachable(unreachable()),
        Fault::LostBefore => return Reaction::Unreachable(lost),
        Fault::LostQueued => {
            note(Truth::Queued);
            return Reaction::Unreachable(lost);
        }
        Fault::Refused(kind) => {
            let error = ServiceError::not_run(kind, "refused");
            return Reaction::Answer(vec![refused(request, error, id)]);
        }
        Fault::CutQueued => {
            note(Truth::Queued);
            return Reaction::Answer(vec![Step::Cut]);
        }
        Fault::None => {
            steps.extend(chunks(rest.len()));
            steps.push(finished(request, count, id));
        }
        Fault::CutRunning(sent) => {
            steps.extend(chunks(sent));
            steps.push(Step::Cut);
        }
        Fault::Crash(sent) => {
            steps.extend(chunks(sent));
            steps.push(crashed(request, id));
        }
        Fault::Gap => {
            steps.push(chunk(request, 1, "out of turn", 1));
            steps.push(finished(request, 2, id));
        }
        Fault::Crossed => {
            let other = ExecuteRequest {
                request: RequestId::random(),
                ..request.clone()
            };
            steps.extend(chunks(1));
            steps.push(chunk(&other, 1, "another's", 1));
            steps.push(finished(request, 2, id));
        }
        Fault::Short => {
            steps.extend(chunks(rest.len().saturating_sub(1)));
            steps.push(finished(request, count, id));
        }
    }
    note(Truth::Started);
    Reaction::Answer(steps)
}

fn revoke(number: u16, fault: RevokeFault, world: &Mutex<World>, request: RequestId) -> Reaction {
    if fault == RevokeFault::Unreachable {
        return Reaction::Unreachable(unreachable());
    }
    let mut world = world.lock().expect("no panic");
    let truth = world.truths.get(&(number, request)).copied();
    let frame = match truth {
        Some(Truth::Started) => {
            let mut known = record_of_running(request);
            known.state = ExecutionState::Running;
            PeerFrame::Execution(Some(Box::new(known)))
        }
        _ => {
            world.truths.insert((number, request), Truth::Forbidden);
            PeerFrame::Revoked { request }
        }
    };
    match fault {
        RevokeFault::LostAnswer => Reaction::Answer(vec![Step::Cut]),
        RevokeFault::Crossed => {
            let request = RequestId::random();
            Reaction::Answer(vec![Step::Frame(PeerFrame::Revoked { request })])
        }
        _ => Reaction::Answer(vec![Step::Frame(frame)]),
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
    faults: &[Fault],
    revoke_faults: &[RevokeFault],
) -> Result<(), TestCaseError> {
    let bench = Bench::new();
    let world = Arc::new(Mutex::new(World::default()));
    let (faults, revoke_faults) = (Vec::from(faults), Vec::from(revoke_faults));
    let turns = Arc::new(Mutex::new((faults.into_iter(), revoke_faults.into_iter())));
    for number in 1..=4 {
        let (world, turns) = (world.clone(), turns.clone());
        bench.link.set(number, move |request, _| match request {
            PeerRequest::Execute(request) => {
                let fault = turns.lock().expect("no panic").0.next();
                execute(number, fault.unwrap_or(Fault::None), &world, request)
            }
            PeerRequest::Revoke { request, .. } => {
                let fault = turns.lock().expect("no panic").1.next();
                revoke(number, fault.unwrap_or(RevokeFault::None), &world, *request)
            }
            other => ordinary(other, u8::try_from(number).expect("a small number")),
        });
    }
    let (text, end) = bench.forward(work);
    let whole = TEXT.concat();
    let executions = world.lock().expect("no panic").executions(work.request);

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
        Err(ForwardEnd::Failed(error)) if error.execution == ExecutionOutcome::NotRun => {
            prop_assert_eq!(executions, 0, "{} but it ran", error);
            prop_assert_eq!(&text, "");
        }
        Err(ForwardEnd::Failed(_)) => {}
        Err(ForwardEnd::CallerGone) => prop_assert!(false, "nobody left"),
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
    fn completions_are_whole_or_fail(
        faults in proptest::collection::vec(fault(), 0..5),
        revoke_faults in proptest::collection::vec(revoke_fault(), 0..3),
    ) {
        check(&completion(1), &faults, &revoke_faults)?;
    }

    /// Guards against the same for plain calls that may be repeated.
    #[test]
    fn repeatable_calls_are_whole_or_fail(
        faults in proptest::collection::vec(fault(), 0..5),
        revoke_faults in proptest::collection::vec(revoke_fault(), 0..3),
    ) {
        check(&call("shelf", 1), &faults, &revoke_faults)?;
    }
}
