//! Load of a deployment on the platform's store during an outage, without a network.

use {catkindeck::Moment, catkindeck_policy::direct::OutageBackoff};

/// How long the simulated outage lasts, in milliseconds.
const OUTAGE_MS: u64 = 4_000;

/// The time between two calls that the tasks of one process want to make, in milliseconds: reads of
/// the configuration and of the upstreams, renewals of the lease, and claims of leadership.
const WANTED_INTERVAL_MS: u64 = 60;

/// The outcome of an outage.
struct OutageLoad {
    /// The number of calls that reached the store during the outage.
    calls: u64,
    /// When the last process reached the store after its return, in milliseconds.
    last_recovery_ms: u64,
}

/// Simulates an outage of the store for a deployment in which `essential` processes run jobs.
fn simulate(processes: usize, essential: usize) -> OutageLoad {
    let mut states: Vec<OutageBackoff> = (0..processes as u64).map(OutageBackoff::new).collect();
    let mut load = OutageLoad {
        calls: 0,
        last_recovery_ms: 0,
    };
    let mut recovered = vec![false; processes];
    for ms in 0..OUTAGE_MS + 5_000 {
        for (index, state) in states.iter_mut().enumerate() {
            let wants = (ms + index as u64).is_multiple_of(WANTED_INTERVAL_MS);
            if !wants || recovered[index] || !state.allows_call(Moment(ms)) {
                continue;
            }
            if ms < OUTAGE_MS {
                load.calls += 1;
                state.record_failure(Moment(ms), processes, index < essential);
                continue;
            }
            state.record_success();
            recovered[index] = true;
            load.last_recovery_ms = load.last_recovery_ms.max(ms - OUTAGE_MS);
        }
    }
    assert!(recovered.iter().all(|recovered| *recovered));
    load
}

/// Guards against an outage of the store that multiplies the calls by the number of processes. 93
/// processes made 21,000 calls on a day with an outage of four seconds, six times as many as on a
/// day without one.
#[test]
fn an_outage_adds_few_calls_in_a_large_deployment() {
    let without_pause = 93 * OUTAGE_MS / WANTED_INTERVAL_MS;
    let load = simulate(93, 5);
    // A day without an outage has about 3,300 calls, and an outage may add a quarter.
    assert!(load.calls < 825, "{} calls", load.calls);
    assert!(load.calls * 5 < without_pause);
}

/// Guards against processes that notice the return of the store too late to renew their leases,
/// which live two seconds on hosts that run jobs.
#[test]
fn every_process_notices_the_return_of_the_store_within_its_lease() {
    for processes in [7, 30, 93, 300, 1_000] {
        let load = simulate(processes, processes);
        assert!(
            load.last_recovery_ms <= 310,
            "{processes}: {} ms",
            load.last_recovery_ms
        );
        let load = simulate(processes, 0);
        assert!(
            load.last_recovery_ms <= 2_060,
            "{processes}: {} ms",
            load.last_recovery_ms
        );
    }
}

/// Guards against load that grows in proportion to the number of processes.
#[test]
fn the_load_of_an_outage_grows_more_slowly_than_the_deployment() {
    let (small, large) = (simulate(30, 3), simulate(300, 3));
    assert!(
        large.calls < small.calls * 10 * 6 / 10,
        "{} and {}",
        small.calls,
        large.calls
    );
}

/// Guards against processes that call the store at the same moment after it returned.
#[test]
fn trial_calls_of_different_processes_do_not_coincide() {
    let mut delays: Vec<u64> = (0..50)
        .map(|seed| {
            let mut state = OutageBackoff::new(seed);
            for _ in 0..6 {
                state.record_failure(Moment(0), 93, false);
            }
            state.remaining_ms(Moment(0))
        })
        .collect();
    delays.sort_unstable();
    delays.dedup();
    assert!(delays.len() > 35, "{delays:?}");
}

/// Guards against a process that never calls the store again because a trial call was dropped before
/// it had an outcome.
#[test]
fn a_trial_call_without_outcome_does_not_block_later_ones() {
    let mut state = OutageBackoff::new(1);
    state.record_failure(Moment(0), 93, false);
    assert!(state.allows_call(Moment(1_000)));
    assert!(!state.allows_call(Moment(1_001)));
    assert!(state.allows_call(Moment(4_000)));
}

/// Guards against callers who are told to return after the time in which a trial call is given up, while the trial
/// that is under way shows within a moment whether the store is back.
#[test]
fn a_trial_under_way_is_not_waited_for_until_it_would_be_given_up() {
    let mut outage = OutageBackoff::new(1);
    outage.record_failure(Moment(1_000), 1, true);
    let trial = Moment(1_000 + outage.remaining_ms(Moment(1_000)));
    assert!(outage.allows_call(trial));
    assert!(outage.remaining_ms(trial) <= 100);
    assert!(!outage.allows_call(trial + 100));
    outage.record_failure(trial + 20, 1, true);
    assert!(outage.remaining_ms(trial + 20) <= 250);
    assert!(outage.remaining_ms(trial + 20) > 0);
}
