//! Tests that a request that crashes upstreams is refused soon, and that ordinary requests never are on days on which
//! many upstreams crash.

use {
    catkindeck::{
        Moment,
        id::{BodyDigest, ObjectName},
    },
    catkindeck_policy::direct::{
        BrokenRun, BrokenRuns, CrashChange, CrashEvidence, CrashNotice, CrashRegister, CrashedRun,
        DiscoveredUpstream, RunAdmission, SEQUENCE_LIMIT, UpstreamKey, UpstreamTable,
        request_digest,
    },
    proptest::prelude::*,
};

/// How long a request is refused after its last crash, as docs/design/crashing-requests.md says.
const REFUSED_MS: u64 = 600_000;

const GUILTY: BodyDigest = BodyDigest([7; 32]);

fn name(text: &str) -> ObjectName {
    ObjectName::try_from(text).expect("the name is valid")
}

/// A crash of a run that began and ended at these moments, as reported at `now`.
fn crash(
    digest: BodyDigest,
    upstream: usize,
    (begun, ended): (u64, u64),
    now: Moment,
) -> CrashNotice {
    CrashNotice::Crashed(CrashedRun {
        digest,
        upstream: name(&format!("desk-{upstream}")),
        born_ms: 1,
        begun_ago_ms: now.0 - begun,
        ended_ago_ms: now.0 - ended,
    })
}

/// Records a run of the guilty request that ends at `at`, by which it crashed an upstream.
fn crash_at(register: &mut CrashRegister, upstream: usize, at: u64) -> Option<CrashChange> {
    let now = Moment(at);
    register.record(now, &crash(GUILTY, upstream, (at - 20, at), now))
}

/// Returns a register that refuses the guilty request since 10.2 s.
fn quarantined() -> CrashRegister {
    let mut register = CrashRegister::default();
    for number in 0..SEQUENCE_LIMIT {
        crash_at(&mut register, number, 10_000 + 100 * number as u64);
    }
    register
}

/// Guards against a request that goes on to crash upstreams, however soon after one another.
#[test]
fn the_third_crash_in_sequence_refuses_a_request() {
    let mut register = CrashRegister::default();
    assert_eq!(
        crash_at(&mut register, 1, 10_000),
        Some(CrashChange::Suspected(1))
    );
    assert_eq!(
        crash_at(&mut register, 2, 10_030),
        Some(CrashChange::Suspected(2))
    );
    assert_eq!(
        register.admit(Moment(10_040), &GUILTY),
        RunAdmission::Suspected
    );
    assert_eq!(
        crash_at(&mut register, 3, 10_060),
        Some(CrashChange::Quarantined)
    );
    let admission = register.admit(Moment(10_060), &GUILTY);
    assert_eq!(admission, RunAdmission::Refused(REFUSED_MS));
    assert_eq!(
        crash_at(&mut register, 4, 10_100),
        Some(CrashChange::Extended)
    );
}

/// Guards against one crash that counts several times, because it is announced and reported again, with the delays of
/// messages.
#[test]
fn one_crash_counts_once() {
    let mut register = CrashRegister::default();
    assert!(crash_at(&mut register, 1, 10_000).is_some());
    let mut copy = CrashRegister::default();
    for delay in [0, 30, 900] {
        let now = Moment(10_000 + delay);
        for notice in register.notices(now) {
            assert_eq!(register.record(now + 40, &notice), None);
            copy.record(now + 40, &notice);
        }
    }
    assert_eq!(copy.admit(Moment(11_000), &GUILTY), RunAdmission::Suspected);
    assert_eq!(copy.notices(Moment(11_000)).len(), 1);
    // The same instance is known by its former start until the list can be read.
    assert_eq!(
        crash_at(&mut register, 1, 13_000),
        Some(CrashChange::Suspected(2))
    );
}

/// Guards against a frequent request that is refused because one fault ended many upstreams that ran copies of it.
#[test]
fn crashes_at_one_moment_count_once() {
    let mut register = CrashRegister::default();
    let now = Moment(10_400);
    for number in 0..8 {
        let notice = crash(GUILTY, number, (9_900, 10_000 + 40 * number as u64), now);
        register.record(now, &notice);
    }
    assert_eq!(register.admit(now, &GUILTY), RunAdmission::Suspected);
}

/// Guards against copies that come in step at several processes, of which each round would count once: after the
/// third crash, at most three more upstreams crash.
#[test]
fn copies_in_step_are_refused_after_two_rounds() {
    let mut register = CrashRegister::default();
    for (round, refused) in [(0, 0), (1, 1)] {
        for copy in 0..3 {
            let now = Moment(10_000 + 20_000 * round);
            let upstream = 3 * round as usize + copy;
            register.record(now, &crash(GUILTY, upstream, (now.0 - 20, now.0), now));
        }
        assert_eq!(register.refused(Moment(10_000 + 20_000 * round)), refused);
    }
}

/// Guards against copies of a request that overlap all the time and never count.
#[test]
fn overlapping_runs_count_when_their_crashes_lie_apart() {
    let mut register = CrashRegister::default();
    for number in 0..3 {
        let now = Moment(11_000 + 1_000 * number as u64);
        register.record(now, &crash(GUILTY, number, (9_000, now.0), now));
    }
    assert_eq!(register.refused(Moment(13_000)), 1);
}

/// Guards against an innocent request that stays suspected, also at a process that hears of the answer before it
/// hears of a crash at the same time.
#[test]
fn an_answer_clears_a_request() {
    let mut register = quarantined();
    let answer = CrashNotice::Answered {
        digest: GUILTY,
        ago_ms: 100,
    };
    let change = register.record(Moment(10_600), &answer);
    assert_eq!(change, Some(CrashChange::Cleared));
    let admission = register.admit(Moment(10_600), &GUILTY);
    assert_eq!(admission, RunAdmission::Unsuspected);
    let late = crash(GUILTY, 5, (10_450, 10_550), Moment(10_700));
    assert_eq!(register.record(Moment(10_700), &late), None);
    let later = crash_at(&mut register, 5, 11_000);
    assert_eq!(later, Some(CrashChange::Suspected(1)));
}

/// Guards against a request that is refused because notices of crashes were held up on their way and look later than
/// the answer that followed them, also if the answer came before the first notice.
#[test]
fn crashes_in_late_notices_do_not_count_after_an_answer() {
    for was_suspected in [false, true] {
        let mut register = CrashRegister::default();
        if was_suspected {
            crash_at(&mut register, 9, 9_000);
        }
        let answer = CrashNotice::Answered {
            digest: GUILTY,
            ago_ms: 0,
        };
        register.record(Moment(10_000), &answer);
        for number in 0..SEQUENCE_LIMIT {
            // It took 1.5 s from the sender, where the age was measured.
            let sent = Moment(9_700 + 100 * number as u64);
            let notice = crash(GUILTY, number, (sent.0 - 40, sent.0 - 20), sent);
            let change = register.record_received(sent + 1_500, &notice);
            assert_eq!(change, None);
        }
        let admission = register.admit(Moment(12_000), &GUILTY);
        assert_eq!(admission, RunAdmission::Unsuspected);
    }
}

/// Guards against a request that is refused for ever, and against a trial that costs more than one upstream.
#[test]
fn one_trial_follows_the_refusal() {
    let mut register = quarantined();
    let due = Moment(10_200 + REFUSED_MS);
    let left = register.admit(due - 1, &GUILTY);
    assert_eq!(left, RunAdmission::Refused(1));
    assert_eq!(register.admit(due, &GUILTY), RunAdmission::Trial);
    let second = register.admit(due + 10, &GUILTY);
    assert!(matches!(second, RunAdmission::Refused(_)), "{second:?}");
    register.sweep(due + 50);
    let change = crash_at(&mut register, 9, due.0 + 60);
    assert!(matches!(
        change,
        Some(CrashChange::Extended | CrashChange::Quarantined)
    ));
    let refused = register.admit(due + 60_000, &GUILTY);
    assert!(matches!(refused, RunAdmission::Refused(_)), "{refused:?}");
    register.sweep(due + 60 + 2 * REFUSED_MS);
    assert!(register.is_empty());
}

/// Guards against requests of two customers, paths or bodies that are taken for one.
#[test]
fn the_identity_holds_all_that_is_sent_on() {
    let (vault, archive) = (name("vault"), name("archive"));
    let digest = |customer, target, body: &str| {
        request_digest(customer, ["POST", "deck.example", target], body.as_bytes())
    };
    let own = digest(Some(&vault), "/desk/read", "body");
    assert_eq!(own, digest(Some(&vault), "/desk/read", "body"));
    for other in [
        digest(Some(&archive), "/desk/read", "body"),
        digest(None, "/desk/read", "body"),
        digest(Some(&vault), "/desk/read?page=2", "body"),
        digest(Some(&vault), "/desk/read", "body2"),
    ] {
        assert_ne!(own, other);
    }
}

/// Guards against memory that grows with the number of requests that shared an upstream with a crash, and against a
/// refused request that is forgotten among them.
#[test]
fn many_suspected_requests_do_not_displace_a_refused_one() {
    let mut register = quarantined();
    for number in 0..3_000_u32 {
        let mut digest = [0; 32];
        digest[..4].copy_from_slice(&number.to_le_bytes());
        let now = Moment(20_000 + u64::from(number));
        register.record(now, &crash(BodyDigest(digest), 1, (now.0 - 5, now.0), now));
    }
    assert!(register.notices(Moment(30_000)).len() <= 1_100);
    assert_eq!(register.refused(Moment(30_000)), 1);
}

/// Returns the keys of two upstreams.
fn two_upstreams() -> [UpstreamKey; 2] {
    let mut table = UpstreamTable::new();
    let list = ["desk-1", "desk-2"].map(|id| DiscoveredUpstream {
        id: name(id),
        service: name("desks"),
        zone: name("zone-a"),
        address: "127.0.0.1:7000".parse().expect("the address is valid"),
        slots: 4,
        draining: false,
        cold_ms: 0,
        heartbeat: 1,
        born_ms: 1,
        software: "1".try_into().expect("the version is valid"),
        weights: Vec::new(),
    });
    let changes = table.apply(Moment(1), list.to_vec());
    [changes.appeared[0], changes.appeared[1]]
}

/// Guards against resets, cut links and lost answers that count as crashes: the upstream answers a later request, or
/// nothing is heard of it in time.
#[test]
fn a_broken_run_is_no_crash_if_its_upstream_lives() {
    let [first, second] = two_upstreams();
    let run = |upstream, ended| broken_run(upstream, ended, CrashEvidence::Strong);
    let mut broken = BrokenRuns::default();
    broken.record(run(first, 1_000));
    broken.record(run(first, 1_001));
    broken.record(run(second, 1_000));
    // The response to a request that was sent before says nothing.
    broken.refute(first, Moment(990));
    broken.refute(second, Moment(1_010));
    assert_eq!(broken.confirm(Moment(2_000), first, false).len(), 2);
    assert!(broken.confirm(Moment(2_000), second, false).is_empty());
    broken.record(run(second, 3_000));
    for read in (3_500..12_000).step_by(750) {
        broken.observe_read(Moment(read), Moment(read));
    }
    assert!(
        broken.confirm(Moment(12_000), second, false).is_empty(),
        "too late"
    );
    broken.record(run(second, 70_000));
    broken.clear(&GUILTY);
    assert!(broken.is_empty());
}

/// Guards against a crash that is forgotten while the list cannot be read, and one that is taken for a live upstream
/// because its next instance answered before the list named it.
#[test]
fn a_crash_is_found_when_the_list_can_be_read_again() {
    let [first, second] = two_upstreams();
    let mut broken = BrokenRuns::default();
    broken.observe_read(Moment(900), Moment(900));
    broken.record(broken_run(first, 1_000, CrashEvidence::Strong));
    broken.record(broken_run(second, 1_000, CrashEvidence::Strong));
    broken.refute(second, Moment(3_000));
    let read = Moment(20_000);
    let found = broken.confirm(read, first, false);
    assert_eq!(found, [broken_run(first, 1_000, CrashEvidence::Strong)]);
    let found = broken.confirm(read, second, true);
    assert_eq!(found, [broken_run(second, 1_000, CrashEvidence::Weak)]);
}

fn broken_run(upstream: UpstreamKey, ended: u64, evidence: CrashEvidence) -> BrokenRun {
    BrokenRun {
        digest: GUILTY,
        upstream,
        begun: Moment(ended - 20),
        ended: Moment(ended),
        evidence,
    }
}

/// Guards against ordinary requests that are refused after three crashes which say little of them, and against
/// guilty ones that these never refuse.
#[test]
fn weak_evidence_counts_less() {
    let mut register = CrashRegister::default();
    for number in 0..5 {
        let now = Moment(10_000 + 100 * number);
        assert_eq!(register.refused(now), 0, "after {number} crashes");
        let CrashNotice::Crashed(run) = crash(GUILTY, number as usize, (now.0 - 20, now.0), now)
        else {
            unreachable!("the notice is of a crash");
        };
        register.record(now, &CrashNotice::WeaklyCrashed(run));
    }
    assert_eq!(register.refused(Moment(10_400)), 1);
}

/// Guards against one crash that counts twice, as weak and as strong evidence.
#[test]
fn strong_evidence_replaces_weak_evidence_of_the_same_crash() {
    let mut register = CrashRegister::default();
    for number in 0..SEQUENCE_LIMIT {
        let now = Moment(10_000 + 100 * number as u64);
        let notice = crash(GUILTY, number, (now.0 - 20, now.0), now);
        let CrashNotice::Crashed(run) = notice.clone() else {
            unreachable!("the notice is of a crash");
        };
        register.record(now, &CrashNotice::WeaklyCrashed(run));
        assert!(register.record(now + 5, &notice).is_some());
        assert!(register.record(now + 5, &notice).is_none());
    }
    assert_eq!(register.refused(Moment(10_300)), 1);
    assert_eq!(register.notices(Moment(10_300)).len(), SEQUENCE_LIMIT);
}

/// A day on which upstreams crash for no reason of their requests: a sixth at a moment, a third as a zone does, and
/// single ones soon after each other, each with copies of frequent requests in progress.
#[derive(Debug, Clone)]
struct CrashDay {
    /// The times of the faults and how many of the upstreams each ends.
    faults: Vec<(u64, usize)>,
    /// The number of different requests, each of which is sent again and again.
    requests: u8,
    run_ms: u64,
}

const UPSTREAMS: usize = 36;

fn crash_days() -> impl Strategy<Value = CrashDay> {
    let fault = (
        50_u64..3_000,
        prop_oneof![Just(1), Just(UPSTREAMS / 6), Just(UPSTREAMS / 3)],
    );
    (proptest::collection::vec(fault, 5..40), 1_u8..30, 5_u64..50).prop_map(
        |(gaps, requests, run_ms)| {
            let mut at = 10_000;
            let faults = gaps.into_iter().map(|(gap, count)| {
                at += gap;
                (at, count)
            });
            CrashDay {
                faults: faults.collect(),
                requests,
                run_ms,
            }
        },
    )
}

proptest! {
    /// Guards against guilt by association: each request runs at several upstreams at any time, and some of its runs
    /// end with each fault. The next run of each ends before the next fault, since it takes less time than two
    /// faults lie apart.
    #[test]
    fn ordinary_requests_are_not_refused_on_a_day_with_many_crashes(day in crash_days()) {
        let mut register = CrashRegister::default();
        let mut restarts = 0;
        for (at, count) in &day.faults {
            for number in 0..*count {
                restarts += 1;
                let request = BodyDigest([(number % usize::from(day.requests)) as u8; 32]);
                // The runs of one moment began at different times and are reported a little apart.
                let begun = at - (number as u64 * 7) % day.run_ms - 1;
                let now = Moment(at + 3);
                register.record(now, &crash(request, restarts, (begun, *at), now));
                prop_assert!(!matches!(register.admit(now, &request), RunAdmission::Refused(_)));
            }
            for request in 0..day.requests {
                let answered = Moment(at + day.run_ms);
                let notice = CrashNotice::Answered { digest: BodyDigest([request; 32]), ago_ms: 0 };
                register.record(answered, &notice);
            }
        }
        prop_assert_eq!(register.refused(Moment(1_000_000)), 0);
    }

    /// Guards against registers that differ for longer than a message takes: they agree whatever the order in which
    /// notices arrive, and whichever arrive twice.
    #[test]
    fn the_order_of_notices_does_not_matter(
        order in Just((0..SEQUENCE_LIMIT + 2).collect::<Vec<usize>>()).prop_shuffle(),
    ) {
        let now = Moment(20_000);
        let mut register = CrashRegister::default();
        for number in order.iter().chain(&order) {
            let ended = 10_000 + 100 * *number as u64;
            register.record(now, &crash(GUILTY, *number, (ended - 20, ended), now));
        }
        prop_assert_eq!(register.refused(now), 1);
        prop_assert_eq!(register.notices(now).len(), SEQUENCE_LIMIT + 2);
    }
}
