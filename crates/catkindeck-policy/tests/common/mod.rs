//! Shared fixtures, and runs of state machines with fixed or random seeds.
//!
//! `CATKINDECK_FUZZ_CASES=100000 cargo test -p catkindeck-policy` runs that many cases with a
//! random seed, which is printed; `CATKINDECK_FUZZ_SEED` repeats a run with a given seed.

#![allow(dead_code)]

use {
    catkindeck::{
        config::UpstreamRecord,
        id::{BodyDigest, IncarnationId, ObjectName, RequestId},
        message::{CallBody, ExecuteRequest, WorkBody, WorkClass},
    },
    proptest::test_runner::{Config, RngSeed, TestError, TestRunner},
    proptest_state_machine::{ReferenceStateMachine, StateMachineTest},
    std::{
        collections::hash_map::RandomState,
        env,
        hash::{BuildHasher, Hasher},
    },
};

/// Returns the configuration of a run, whose seed is fixed unless set by the environment.
pub fn fuzz_config(fixed_seed: u64) -> Config {
    let number = |name: &str| env::var(name).ok().and_then(|text| text.parse().ok());
    let cases = number("CATKINDECK_FUZZ_CASES");
    let seed = match (number("CATKINDECK_FUZZ_SEED"), cases) {
        (Some(seed), _) => seed,
        (None, Some(_)) => RandomState::new().build_hasher().finish(),
        (None, None) => fixed_seed,
    };
    println!("seed {seed}, cases {}", cases.unwrap_or(256));
    Config {
        cases: u32::try_from(cases.unwrap_or(256)).expect("the number of cases fits"),
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: 20_000,
        ..Config::default()
    }
}

/// Runs a state machine and returns the first failure.
pub fn run_machine<M>(fixed_seed: u64, steps: usize) -> Result<(), String>
where
    M: StateMachineTest,
{
    let config = fuzz_config(fixed_seed);
    let mut runner = TestRunner::new(config.clone());
    let strategy = M::Reference::sequential_strategy(1..steps);
    let result = runner.run(&strategy, |(state, transitions, seen)| {
        M::test_sequential(config.clone(), state, transitions, seen);
        Ok(())
    });
    result.map_err(|error| match error {
        TestError::Fail(reason, (_, transitions, _)) => format!("{reason}\n{transitions:#?}"),
        TestError::Abort(reason) => format!("aborted: {reason}"),
    })
}

/// Asserts that a state machine runs without failure.
pub fn assert_holds<M: StateMachineTest>(fixed_seed: u64, steps: usize) {
    if let Err(failure) = run_machine::<M>(fixed_seed, steps) {
        panic!("{failure}");
    }
}

/// Asserts that a state machine with one safeguard disabled fails with `message`.
pub fn assert_fails<M: StateMachineTest>(fixed_seed: u64, steps: usize, message: &str) {
    let failure = run_machine::<M>(fixed_seed, steps).expect_err("the check detects nothing");
    assert!(
        failure.contains(message),
        "failed with another message: {failure}"
    );
}

pub fn name(text: &str) -> ObjectName {
    ObjectName::try_from(text).expect("the name is valid")
}

pub fn request(number: u32) -> RequestId {
    let mut bytes = [0; 16];
    bytes[..4].copy_from_slice(&number.to_be_bytes());
    bytes[15] = 1;
    RequestId(bytes)
}

pub fn digest(number: u8) -> BodyDigest {
    BodyDigest([number; 32])
}

/// Returns a call that must not run twice.
pub fn execute(
    id: u32,
    key: Option<u8>,
    body: u8,
    incarnation: Option<IncarnationId>,
) -> ExecuteRequest {
    ExecuteRequest {
        request: request(id),
        incarnation,
        customer: Some(name("court")),
        route: name("desk"),
        service: name("desk"),
        class: WorkClass::Interactive,
        priority: 0,
        attempt: 1,
        deadline_ms: 40,
        idempotent: false,
        idempotency_key: key.map(|key| format!("key-{key}")),
        digest: digest(body),
        sample: None,
        body: WorkBody::Call(CallBody {
            method: "POST".to_owned(),
            path: "/".to_owned(),
            headers: Vec::new(),
            bytes: Vec::new(),
        }),
    }
}

pub fn upstream(number: usize, zone: usize) -> UpstreamRecord {
    UpstreamRecord {
        name: name(&format!("engine-{number}")),
        service: name("drafts"),
        zone: name(&format!("zone-{zone}")),
        agent: ([127, 0, 0, 1], 9_000).into(),
        added_ms: 0,
        removed_ms: None,
    }
}
