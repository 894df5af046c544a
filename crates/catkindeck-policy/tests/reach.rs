//! Tests the choice of peers for copies and relayed calls during network partitions.

use {
    catkindeck::{Moment, id::IncarnationId},
    catkindeck_policy::direct::PeerReachability,
};

fn peers(count: usize) -> Vec<IncarnationId> {
    (0..count).map(|_| IncarnationId::random()).collect()
}

/// Simulates a process that copies its texts every 300 ms, while the peers for which
/// `is_partitioned` returns true do not answer. Returns the number of rounds in which no peer took
/// the copy.
fn rounds_without_copy(
    ranked: &[IncarnationId],
    is_partitioned: impl Fn(usize, u64) -> bool,
) -> usize {
    let mut reachability = PeerReachability::default();
    let mut lost_count = 0;
    for round in 0..40 {
        let now = round * 300;
        let mut stored = false;
        while let Some(peer) = reachability.choose(Moment(now), ranked) {
            let index = ranked.iter().position(|other| *other == peer);
            if !is_partitioned(index.expect("the peer is one of the ranked"), now) {
                stored = true;
                break;
            }
            reachability.record_failure(Moment(now), peer);
        }
        lost_count += usize::from(!stored);
    }
    lost_count
}

/// Guards against copies that are sent to unreachable peers again and again: when both processes
/// that ran items lost power while the best-ranked peers were partitioned from them, no text had a
/// copy.
#[test]
fn unreachable_peers_are_skipped() {
    let ranked = peers(6);
    assert_eq!(rounds_without_copy(&ranked, |index, _| index < 3), 0);
    // The four best-ranked peers become unreachable one after another, one per second.
    let in_turn = |index: usize, now: u64| index < 4 && now >= 1_000 * index as u64;
    assert_eq!(rounds_without_copy(&ranked, in_turn), 0);
}

#[test]
fn a_peer_is_chosen_again_after_the_backoff() {
    let ranked = peers(2);
    let mut reachability = PeerReachability::default();
    reachability.record_failure(Moment(0), ranked[0]);
    assert_eq!(reachability.choose(Moment(4_999), &ranked), Some(ranked[1]));
    assert_eq!(reachability.choose(Moment(5_000), &ranked), Some(ranked[0]));
}

#[test]
fn no_peer_is_chosen_if_none_answers() {
    let ranked = peers(2);
    assert_eq!(rounds_without_copy(&ranked, |_, _| true), 40);
    assert_eq!(rounds_without_copy(&[], |_, _| false), 40);
}

/// Simulates an entry that calls the owner of a job twice a second for ten seconds, while
/// `is_partitioned` tells which links are down. Index 0 is the entry, 1 the owner, and the others
/// are possible relays. Returns the number of failed calls and of attempts on links that are down.
fn calls_to_owner(
    peers: &[IncarnationId],
    is_partitioned: impl Fn(usize, usize) -> bool,
) -> (usize, usize) {
    let mut reachability = PeerReachability::default();
    let index = |peer: IncarnationId| peers.iter().position(|other| *other == peer);
    let (mut failed, mut failed_attempts) = (0, 0);
    for round in 0..20 {
        let now = Moment(round * 500);
        if !reachability.in_backoff(now, peers[1]) {
            if !is_partitioned(0, 1) {
                continue;
            }
            failed_attempts += 1;
            reachability.record_failure(now, peers[1]);
        }
        let mut is_answered = false;
        for helper in reachability.relays(now, peers[1], &peers[1..]) {
            let relay_index = index(helper).expect("the relay is one of the peers");
            if is_partitioned(0, relay_index) {
                failed_attempts += 1;
                reachability.record_failure(now, helper);
                continue;
            }
            if is_partitioned(relay_index, 1) {
                break;
            }
            reachability.record_relay(helper);
            is_answered = true;
            break;
        }
        failed += usize::from(!is_answered);
    }
    (failed, failed_attempts)
}

/// Guards against jobs that run at slow entries because their owner seems unreachable. When a third
/// of the entries was partitioned from all hosts with a disk for 12 s, while three trainers
/// submitted and read steps, jobs ran at entries with a tenth of a core, and steps of 6 s took
/// 8.5 s and 9.1 s.
#[test]
fn an_unreachable_owner_is_reached_through_a_relay() {
    let peers = peers(6);
    // The entry reaches entries 3, 4 and 5, but neither the owner nor the other standby.
    let (failed, failed_attempts) = calls_to_owner(&peers, |from, to| from == 0 && to <= 2);
    assert_eq!(failed, 0);
    // The direct link is tried again after five seconds, and the other standby only once.
    assert!(
        failed_attempts <= 4,
        "{failed_attempts} attempts on links that are down"
    );
}

/// Guards against callers that wait for several relays although no process reaches the owner.
#[test]
fn a_lost_owner_costs_one_relay_attempt_per_call() {
    let peers = peers(6);
    let (failed, failed_attempts) = calls_to_owner(&peers, |_, to| to == 1);
    assert_eq!(failed, 20);
    assert_eq!(
        failed_attempts, 2,
        "the direct link is tried once in five seconds"
    );
}
