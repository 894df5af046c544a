//! Scorer calls and callers at the places of a plain service, without a network.

mod common;

use {
    catkindeck::Moment,
    catkindeck_policy::direct::{
        DiscoveredUpstream, DuplicateBudget, MAX_SCORE_WAIT_MS, PlainPlaces, PlainQuery, PlainRoom,
        RateLimits, ScoreEnd, ScoreTicket, UpstreamKey, UpstreamTable,
    },
    common::{fuzz_config, name},
    proptest::prelude::*,
    std::collections::VecDeque,
};

/// The time of one call's work, in milliseconds.
const WORK_MS: u64 = 30;

/// The callers' target latency, in milliseconds.
const TARGET_MS: u64 = 150;

fn desk(number: usize, slots: u32) -> DiscoveredUpstream {
    DiscoveredUpstream {
        id: name(&format!("desk-{number}")),
        service: name("desks"),
        zone: name("zone-a"),
        address: "127.0.0.1:1".parse().expect("the address is valid"),
        slots,
        draining: false,
        cold_ms: 0,
        heartbeat: 1,
        born_ms: 1,
        software: "1".try_into().expect("the version is valid"),
        weights: Vec::new(),
    }
}

fn table(upstreams: usize, slots: u32) -> UpstreamTable {
    let mut table = UpstreamTable::new();
    let list = (0..upstreams).map(|number| desk(number, slots));
    table.apply(Moment(0), list.collect());
    table
}

fn select(table: &UpstreamTable, now: Moment, avoids_slow: bool) -> UpstreamKey {
    let query = PlainQuery {
        service: &name("desks"),
        avoids_slow,
        avoids_full: false,
        software: None,
        excluded: &[],
        zone: &name("zone-a"),
        connected: &|_| true,
    };
    let selected = table.select_plain(now, &query, RateLimits::NONE);
    selected.expect("an upstream is listed")
}

/// A request at an upstream.
#[derive(Clone, Copy)]
struct Visit {
    sent: Moment,
    ends: Moment,
    is_score: bool,
}

/// Plain upstreams with places and queues, as one process that sends scorer calls and one that
/// serves callers see them.
struct Desks {
    scorers: UpstreamTable,
    callers: UpstreamTable,
    running: Vec<Vec<Visit>>,
    queues: Vec<VecDeque<Visit>>,
    slots: usize,
    /// How much longer the work takes at each upstream.
    slowdown: Vec<u64>,
    caller_latencies: Vec<u64>,
    /// The number of requests that reached each upstream.
    visits: Vec<u64>,
}

impl Desks {
    fn new(upstreams: usize, slots: u32) -> Self {
        Self {
            scorers: table(upstreams, slots),
            callers: table(upstreams, slots),
            running: vec![Vec::new(); upstreams],
            queues: vec![VecDeque::new(); upstreams],
            slots: slots as usize,
            slowdown: vec![1; upstreams],
            caller_latencies: Vec::new(),
            visits: vec![0; upstreams],
        }
    }

    fn send(&mut self, now: Moment, is_score: bool, avoids_slow: bool) {
        let table = match is_score {
            true => &mut self.scorers,
            false => &mut self.callers,
        };
        let key = select(table, now, avoids_slow);
        table.get_mut(key).record_request(now);
        table.get_mut(key).plain.begin(now);
        self.visits[key.0 as usize] += 1;
        self.queues[key.0 as usize].push_back(Visit {
            sent: now,
            ends: now,
            is_score,
        });
    }

    /// Advances to `now` and returns the latencies of the scorer calls that ended.
    fn advance(&mut self, now: Moment) -> Vec<u64> {
        let mut ended = Vec::new();
        for desk in 0..self.running.len() {
            let (done, running) = self.running[desk]
                .drain(..)
                .partition(|visit: &Visit| visit.ends <= now);
            self.running[desk] = running;
            for visit in done {
                let latency_ms = now.since(visit.sent);
                let table = match visit.is_score {
                    true => &mut self.scorers,
                    false => &mut self.callers,
                };
                let key = UpstreamKey(u32::try_from(desk).expect("few upstreams"));
                let state = table.get_mut(key);
                state.in_flight -= 1;
                state.record_latency(latency_ms * 1_000);
                state.plain.end(visit.sent);
                state.plain.record_latency(now, latency_ms * 1_000);
                match visit.is_score {
                    true => ended.push(latency_ms),
                    false => self.caller_latencies.push(latency_ms),
                }
            }
            while self.running[desk].len() < self.slots {
                let Some(visit) = self.queues[desk].pop_front() else {
                    break;
                };
                let ends = now + WORK_MS * self.slowdown[desk];
                self.running[desk].push(Visit { ends, ..visit });
            }
        }
        ended
    }

    /// Admits waiting scorer calls and returns their tickets.
    fn admit(
        &mut self,
        now: Moment,
        room: &mut PlainRoom,
        remaining: &dyn Fn(ScoreTicket) -> u32,
    ) -> Vec<ScoreTicket> {
        let places = self.scorers.plain_places(now, &name("desks"), &[]);
        let admitted = room.admit(now, places, remaining);
        for _ in &admitted {
            room.record_sent();
            self.send(now, true, true);
        }
        admitted
    }
}

/// Sends a burst of a hundred scorer calls beside a caller every 20 ms. Returns the longest latency
/// of a caller and when the last call ended.
fn run_burst(is_paced: bool) -> (u64, u64) {
    let mut desks = Desks::new(4, 1);
    let mut room = PlainRoom::default();
    let mut last_ms = 0;
    let mut left = 100;
    for ms in 0..3_000 {
        let now = Moment(ms);
        if ms == 100 {
            for _ in 0..100 {
                match is_paced {
                    true => _ = room.enqueue(now),
                    false => desks.send(now, true, false),
                }
            }
        }
        if ms % 20 == 0 {
            desks.send(now, false, is_paced);
        }
        for latency_ms in desks.advance(now) {
            left -= 1;
            last_ms = ms - 100;
            if is_paced {
                room.finish(now, ScoreEnd::Answered(latency_ms as f64));
            }
        }
        if is_paced {
            desks.admit(now, &mut room, &|_| 1);
        }
    }
    assert_eq!(left, 0, "not all scorer calls ended");
    let slowest = desks.caller_latencies.into_iter().max();
    (slowest.expect("callers were served"), last_ms)
}

/// Guards against a burst of scorer calls that fills the queues of the upstreams, behind which
/// callers of other processes wait: a hundred scores meet callers at four places.
#[test]
fn a_hundred_scores_meet_callers_at_four_places() {
    let (direct_ms, direct_end_ms) = run_burst(false);
    let (paced_ms, paced_end_ms) = run_burst(true);

    println!(
        "slowest caller {direct_ms} ms, paced {paced_ms} ms; scores {direct_end_ms} and {paced_end_ms} ms"
    );

    assert!(direct_ms > TARGET_MS, "the load harms no caller");
    assert!(paced_ms <= TARGET_MS, "a caller waited {paced_ms} ms");
    // The callers use one and a half of the four places, and the scores what is left.
    let ideal_ms = 100 * WORK_MS * 2 / 5;
    assert!(
        paced_end_ms <= ideal_ms * 5 / 4,
        "the scores took {paced_end_ms} ms, ideally {ideal_ms} ms"
    );
}

/// Guards against groups that stay incomplete for want of one score behind the scores of groups that
/// have just begun.
#[test]
fn the_last_scores_of_groups_come_first() {
    let mut room = PlainRoom::default();
    let places = PlainPlaces {
        total: 8,
        free: 8,
        spare: 8,
    };
    let tickets: Vec<ScoreTicket> = (0..40).map(|_| room.enqueue(Moment(0))).collect();
    // The last ten calls belong to groups of which only they are unfinished.
    let remaining = |ticket: ScoreTicket| if ticket >= tickets[30] { 1 } else { 8 };

    let mut admitted = Vec::new();
    while admitted.len() < 10 {
        let next = room.admit(Moment(1), places, &remaining);
        assert!(!next.is_empty(), "a free place stays unused");
        for _ in &next {
            room.record_sent();
            room.finish(Moment(1), ScoreEnd::Answered(30.0));
        }
        admitted.extend(next);
    }

    assert!(admitted[..10].iter().all(|ticket| *ticket >= tickets[30]));
}

/// Sends twelve scorer calls every 100 ms to five upstreams, of which the first two take six times
/// as long from 2 s to 6 s. Returns the requests that reached the slow ones in each second.
fn visits_of_slow(avoids_slow: bool) -> Vec<u64> {
    let mut desks = Desks::new(5, 6);
    let mut visits = Vec::new();
    let mut before = 0;
    for ms in 0..10_000 {
        let now = Moment(ms);
        let is_slow = (2_000..6_000).contains(&ms);
        for slowdown in &mut desks.slowdown[..2] {
            *slowdown = if is_slow { 6 } else { 1 };
        }
        if ms % 100 == 0 {
            for _ in 0..12 {
                desks.send(now, true, avoids_slow);
            }
        }
        desks.advance(now);
        if ms % 1_000 == 999 {
            let total = desks.visits[0] + desks.visits[1];
            visits.push(total - before);
            before = total;
        }
    }
    visits
}

/// Guards against work for upstreams that are several times slower than the others, and against
/// avoiding them for good: two of five plain upstreams turn six times slower.
#[test]
fn two_of_five_plain_upstreams_turn_six_times_slower() {
    let visits = visits_of_slow(true);
    let before = visits_of_slow(false);
    println!("requests at the slow upstreams by second: {visits:?}, before: {before:?}");

    assert!(
        visits[1] >= 30,
        "sound upstreams share the work: {visits:?}"
    );
    // At most one request a second shows at each of them whether it is still slow.
    assert!(visits[3..6].iter().all(|count| *count <= 4), "{visits:?}");
    assert!(visits[8] >= 30, "recovered upstreams get work: {visits:?}");
}

/// Guards against hedges that double the load of a service that is full, or as a whole slow.
#[test]
fn a_full_or_slow_service_has_no_room_for_hedges() {
    let mut desks = Desks::new(2, 2);
    let spare = |desks: &Desks, ms: u64| {
        let places = desks.scorers.plain_places(Moment(ms), &name("desks"), &[]);
        places.spare
    };
    assert_eq!(spare(&desks, 0), 4);
    for _ in 0..4 {
        desks.send(Moment(0), true, true);
    }
    assert_eq!(spare(&desks, 1), 0, "all places are taken");
    desks.advance(Moment(0));
    desks.advance(Moment(WORK_MS));
    assert_eq!(spare(&desks, WORK_MS), 4);

    desks.slowdown = vec![6, 6];
    desks.send(Moment(100), true, true);
    desks.send(Moment(100), true, true);
    desks.advance(Moment(100));
    let late = 100 + WORK_MS * 4;
    assert_eq!(spare(&desks, late), 0, "both upstreams are slow");
    let places = desks
        .scorers
        .plain_places(Moment(late), &name("desks"), &[]);
    assert_eq!(places.free, 2, "work that cannot wait still gets places");
}

/// Guards against an upstream that gets work again and again because it never answers, so that no
/// latency of it is known.
#[test]
fn an_upstream_that_never_answers_is_slow() {
    let mut table = table(2, 4);
    table
        .get_mut(UpstreamKey(1))
        .plain
        .record_latency(Moment(0), 20_000);
    let plain = &mut table.get_mut(UpstreamKey(0)).plain;
    plain.begin(Moment(100));
    plain.abandon(Moment(300), Moment(100));
    assert_eq!(select(&table, Moment(310), true), UpstreamKey(1));
}

/// Guards against a slow service that gets twice its load, and against a process with few requests
/// that may hedge none of them.
#[test]
fn duplicates_stay_below_half_of_the_requests() {
    let mut budget = DuplicateBudget::default();
    let mut duplicates = 0;
    for requests in 1..=1_000 {
        budget.record_request();
        while budget.spend() {
            duplicates += 1;
        }
        assert!(duplicates <= 4 + requests / 2, "{duplicates} of {requests}");
    }
    assert!(duplicates >= 500);
}

/// Guards against requests that wait until their deadline at a service that is known to answer later,
/// and against refusals on the strength of an old measurement.
#[test]
fn what_cannot_be_answered_in_time_is_known_at_once() {
    let mut table = table(2, 2);
    let (service, now) = (name("desks"), Moment(5_000));
    assert_eq!(
        table.plain_wait_us(now, &service),
        None,
        "nothing is measured"
    );
    for (number, latency_us) in [(0, 400_000), (1, 900_000)] {
        let plain = &mut table.get_mut(UpstreamKey(number)).plain;
        plain.record_latency(now, latency_us);
    }
    assert_eq!(table.plain_wait_us(now + 10, &service), Some(400_000));
    for _ in 0..4 {
        table.get_mut(UpstreamKey(0)).record_request(now);
    }
    // The third in line at the faster upstream waits longer than the first at the other one.
    assert_eq!(table.plain_wait_us(now + 10, &service), Some(900_000));
    assert_eq!(table.plain_wait_us(now + 1_500, &service), None);
}

/// Guards against scores that stop for good while upstreams refuse them or while all places are
/// taken by callers.
#[test]
fn one_score_is_always_under_way() {
    let mut room = PlainRoom::default();
    room.enqueue(Moment(0));
    room.enqueue(Moment(0));
    let full = PlainPlaces::default();
    for ms in 1..100 {
        let admitted = room.admit(Moment(ms), full, &|_| 1);
        assert_eq!(admitted.len(), 1, "nothing is under way at {ms} ms");
        assert!(room.admit(Moment(ms), full, &|_| 1).is_empty());
        room.record_sent();
        room.finish(Moment(ms), ScoreEnd::Refused);
        room.enqueue(Moment(ms));
    }
}

proptest! {
    #![proptest_config(fuzz_config(26))]

    /// Guards against a score that waits without bound behind those of groups nearer to completion.
    #[test]
    fn no_score_waits_without_bound(
        arrivals in prop::collection::vec((0u64..2_000, 1u32..16), 1..200),
        slots in 1u32..8,
    ) {
        let mut room = PlainRoom::default();
        let mut arrivals = arrivals;
        arrivals.sort_unstable();
        let mut ranks: Vec<u32> = Vec::new();
        let mut since: Vec<u64> = Vec::new();
        let mut ends: Vec<u64> = Vec::new();
        for ms in 0..40_000 {
            let now = Moment(ms);
            while arrivals.first().is_some_and(|(at, _)| *at <= ms) {
                ranks.push(arrivals.remove(0).1);
                since.push(ms);
                room.enqueue(now);
            }
            ends.retain(|end| {
                let is_over = *end <= ms;
                if is_over {
                    room.finish(now, ScoreEnd::Answered(WORK_MS as f64));
                }
                !is_over
            });
            let running = u32::try_from(ends.len()).expect("few calls");
            let places = PlainPlaces { total: slots, free: slots - running.min(slots), spare: 0 };
            for ticket in room.admit(now, places, &|ticket| ranks[ticket.0 as usize]) {
                room.record_sent();
                ends.push(ms + WORK_MS);
                // Once it precedes the newer ones, a call waits at most for those before it.
                let own = ticket.0 as usize;
                let before = since.iter().filter(|at| **at <= since[own]).count() as u64;
                let bound = MAX_SCORE_WAIT_MS + (before + 1) * WORK_MS;
                prop_assert!(ms - since[own] <= bound, "waited {} ms", ms - since[own]);
            }
        }
        prop_assert_eq!(room.waiting(), 0);
    }
}
