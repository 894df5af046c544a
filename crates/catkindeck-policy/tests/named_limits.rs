//! Limits that upstreams name for all processes together.
//!
//! Load pattern: every process sends to every limited upstream whenever it may, while leaders change and
//! processes lose contact with the leader.

use {
    catkindeck::{Moment, id::ObjectName},
    catkindeck_policy::direct::{
        DiscoveredUpstream, LimitHeader, PermitAllocator, PermitPool, PlainQuery, RateBucket,
        RateLimits, RequestRate, UpstreamKey, UpstreamLimit, UpstreamTable,
    },
    proptest::prelude::*,
};

/// The window of the users' rule, in milliseconds.
const WINDOW_MS: u64 = 4_000;

fn rate(per_ks: u32) -> RequestRate {
    RequestRate { per_ks }
}

fn name(text: &str) -> ObjectName {
    ObjectName::try_from(text).expect("the name is valid")
}

fn named(per_ks: u32) -> LimitHeader {
    LimitHeader::Named(rate(per_ks))
}

fn desk(id: &str) -> DiscoveredUpstream {
    DiscoveredUpstream {
        id: name(id),
        service: name("desks"),
        zone: name("zone-a"),
        address: "127.0.0.1:80".parse().expect("the address is valid"),
        slots: 4,
        draining: false,
        cold_ms: 0,
        heartbeat: 1,
        born_ms: 1,
        software: "1".try_into().expect("the version is valid"),
        weights: Vec::new(),
    }
}

#[test]
fn limits_are_decimal_numbers_that_are_not_negative() {
    let read = |text: &str| RequestRate::try_from(text).ok();
    assert_eq!(read("1.8"), Some(rate(1_800)));
    assert_eq!(read(" 12 "), Some(rate(12_000)));
    assert_eq!(read("0"), Some(rate(0)));
    assert_eq!(read("1e99"), Some(rate(u32::MAX)));
    for invalid in ["", "-1", "NaN", "inf", "ten", "1,5"] {
        assert_eq!(read(invalid), None, "{invalid}");
    }
}

/// Guards against a limit that a late response on another connection ends while it is still named.
#[test]
fn a_response_to_an_earlier_request_does_not_end_a_limit() {
    let mut limit = UpstreamLimit::default();
    assert!(limit.observe(Moment(1_000), Moment(900), named(2_000)));
    assert!(!limit.observe(Moment(1_050), Moment(950), LimitHeader::Absent));
    assert_eq!(limit.rate(), Some(rate(2_000)));
    assert!(!limit.observe(Moment(1_100), Moment(1_060), LimitHeader::Unreadable));
    assert!(limit.observe(Moment(1_200), Moment(1_100), LimitHeader::Absent));
    assert_eq!(limit.rate(), None);
}

/// Guards against an old announcement that replaces what a process has learned since.
#[test]
fn the_most_recent_evidence_decides() {
    let mut limit = UpstreamLimit::default();
    assert!(limit.apply(Moment(500), Some(rate(2_000))));
    assert!(limit.observe(Moment(900), Moment(800), LimitHeader::Absent));
    assert!(!limit.apply(Moment(700), Some(rate(2_000))));
    assert_eq!(limit.rate(), None);
    assert!(limit.apply(Moment(1_000), Some(rate(3_000))));
    assert_eq!(limit.rate(), Some(rate(3_000)));
}

/// Guards against an upstream that takes nothing and is never asked again.
#[test]
fn an_upstream_that_takes_nothing_is_still_probed() {
    let mut limit = UpstreamLimit::default();
    limit.observe(Moment(1_000), Moment(900), named(0));
    let (rate, since) = limit.in_force().expect("there is a limit");
    let mut bucket = RateBucket::empty(since, 1);
    let taken: u32 = (0..40)
        .map(|step| bucket.take(Moment(1_000 + step * 500), rate, 1))
        .sum();
    assert!((3..=6).contains(&taken), "{taken} probes in 20 s");
}

#[test]
fn a_charge_beyond_the_credit_delays_later_permits() {
    let mut bucket = RateBucket::empty(Moment(0), 1);
    bucket.charge(Moment(0), rate(1_000));
    assert_eq!(bucket.take(Moment(1_000), rate(1_000), 1), 0);
    assert_eq!(bucket.wait_ms(Moment(1_000), rate(1_000)), Some(1_000));
    assert_eq!(bucket.take(Moment(2_000), rate(1_000), 1), 1);
}

/// Guards against requests for an upstream whose permits are used up, and against waiting for permits while an
/// upstream without a limit is available.
#[test]
fn a_limited_upstream_is_selected_only_with_a_permit() {
    let mut table = UpstreamTable::new();
    table.apply(Moment(1), vec![desk("desk-1")]);
    let (service, zone) = (name("desks"), name("zone-a"));
    let query = PlainQuery {
        service: &service,
        avoids_slow: false,
        avoids_full: false,
        software: None,
        excluded: &[],
        zone: &zone,
        connected: &|_| false,
    };
    let now = Moment(1_000);
    let select = |table: &UpstreamTable| table.select_plain(now, &query, RateLimits::NONE);
    let key = select(&table).expect("the upstream has no limit");
    assert_eq!(
        table.select_limited_plain(now, &query, RateLimits::NONE),
        None
    );
    table
        .get_mut(key)
        .limit
        .observe(now, Moment(900), named(2_000));
    assert_eq!(select(&table), None);
    assert_eq!(
        table.select_limited_plain(now, &query, RateLimits::NONE),
        Some(key)
    );
    table.get_mut(key).permits.apply_grant(now, 1, 0);
    assert_eq!(select(&table), Some(key));
    table.get_mut(key).record_request(now);
    assert_eq!(select(&table), None);
    table.get_mut(key).permits.apply_grant(now, 0, 300);
    assert_eq!(
        table.select_limited_plain(now, &query, RateLimits::NONE),
        None
    );
    assert_eq!(table.next_permit(now, &service), Some(now + 300));
}

/// Guards against requests that queue at the upstreams without a limit while the limited ones are idle.
///
/// Load pattern: callers press on a service of which some upstreams are limited; each request finds one that has
/// no limit, so that permits for the others would never be asked for.
#[test]
fn permits_are_requested_before_the_other_upstreams_are_full() {
    let mut table = UpstreamTable::new();
    table.apply(Moment(1), vec![desk("desk-1"), desk("desk-2")]);
    let (service, zone) = (name("desks"), name("zone-a"));
    let query = PlainQuery {
        service: &service,
        avoids_slow: false,
        avoids_full: false,
        software: None,
        excluded: &[],
        zone: &zone,
        connected: &|_| false,
    };
    let now = Moment(1_000);
    let [free, limited] = ["desk-1", "desk-2"].map(|id| table.current(&name(id)));
    let (free, limited) = (free.expect("it is listed"), limited.expect("it is listed"));
    table
        .get_mut(limited)
        .limit
        .observe(now, Moment(900), named(6_000));
    for in_flight in 0..4 {
        assert_eq!(
            table.select_plain(now, &query, RateLimits::NONE),
            Some(free)
        );
        assert_eq!(table.get(free).is_half_full(), in_flight >= 2);
        table.get_mut(free).record_request(now);
    }
    let wanted = table.select_limited_plain(now, &query, RateLimits::NONE);
    assert_eq!(wanted, Some(limited));
    table.get_mut(limited).permits.apply_grant(now, 1, 0);
    assert_eq!(
        table.select_plain(now, &query, RateLimits::NONE),
        Some(limited)
    );
}

/// What happens to the processes in a simulated day.
#[derive(Debug, Clone)]
enum Event {
    /// Another process becomes the leader.
    Elect(usize),
    /// A process loses or regains contact with the leader.
    Cut(usize, bool),
    /// A process restarts and has no permits.
    Restart(usize),
    Pass,
}

fn event(processes: usize) -> impl Strategy<Value = Event> {
    prop_oneof![
        1 => (0..processes).prop_map(Event::Elect),
        2 => (0..processes, any::<bool>()).prop_map(|(process, cut)| Event::Cut(process, cut)),
        1 => (0..processes).prop_map(Event::Restart),
        4 => Just(Event::Pass),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Guards against an excess over all processes while leaders change, processes are cut off and restart.
    #[test]
    fn all_processes_together_keep_within_a_limit(
        per_ks in 500_u32..30_000,
        processes in 1_usize..40,
        events in prop::collection::vec(event(40), 30),
    ) {
        let limit = (rate(per_ks), Moment(0));
        let key = UpstreamKey(0);
        let mut pools = vec![PermitPool::default(); processes];
        let mut cut = vec![false; processes];
        let mut allocators = vec![PermitAllocator::default(); processes];
        let mut leader = 0;
        allocators[leader].start(Moment(0));
        let mut stand_in = PermitAllocator::default();
        let mut sent: Vec<u64> = Vec::new();
        for now_ms in 1..30_000_u64 {
            let now = Moment(now_ms);
            if now_ms.is_multiple_of(1_000) {
                match &events[usize::try_from(now_ms / 1_000 - 1).expect("the index fits")] {
                    Event::Elect(process) if *process < processes => {
                        leader = *process;
                        allocators[leader].start(now);
                    }
                    Event::Cut(process, is_cut) if *process < processes => cut[*process] = *is_cut,
                    Event::Restart(process) if *process < processes => {
                        pools[*process] = PermitPool::default();
                    }
                    _ => {}
                }
            }
            allocators[leader].confirm(now + 300);
            for process in 0..processes {
                let pool = &mut pools[process];
                if pool.may_request(now) {
                    let allocator = match cut[process] {
                        true => &mut stand_in,
                        false => &mut allocators[leader],
                    };
                    allocator.stand_in(now);
                    let (count, wait_ms) = allocator.grant(now, key, limit, 2);
                    pool.apply_grant(now, count, wait_ms);
                }
                // A process uses a permit some time after it was granted.
                if pool.has_permit(now) && (now_ms + process as u64).is_multiple_of(3) {
                    pool.take(now);
                    sent.push(now_ms);
                }
            }
        }
        let allowed = u64::from(per_ks) * WINDOW_MS * 3 / 2 / 1_000_000 + 5;
        for (index, first) in sent.iter().enumerate() {
            let until = sent.partition_point(|at| *at < first + WINDOW_MS);
            let count = (until - index) as u64;
            prop_assert!(count <= allowed, "{count} requests in 4 s from {first} ms, allowed {allowed}");
        }
        let least = u64::from(per_ks) * 20 / 1_000 / 2;
        let attached = !cut.iter().any(|is_cut| *is_cut);
        prop_assert!(!attached || sent.len() as u64 >= least, "{} of at least {least}", sent.len());
    }
}
