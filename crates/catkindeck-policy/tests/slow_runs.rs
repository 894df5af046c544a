//! Which runs move to another engine while all engines are under load.

use {
    catkindeck::{Moment, id::ObjectName, token::WeightVersion},
    catkindeck_policy::direct::{
        DiscoveredUpstream, EngineQuery, LimitHeader, RateLimits, RequestRate, UpstreamKey,
        UpstreamTable,
    },
};

/// The time between two events of an engine that runs one request, in microseconds.
const IDLE_GAP_US: u64 = 20_000;

fn name(text: &str) -> ObjectName {
    ObjectName::try_from(text).expect("the name is valid")
}

fn engine(number: usize) -> DiscoveredUpstream {
    DiscoveredUpstream {
        id: name(&format!("i-{number}")),
        service: name("engines"),
        zone: name("zone-a"),
        address: "127.0.0.1:1".parse().expect("the address is valid"),
        slots: 12,
        draining: false,
        cold_ms: 0,
        heartbeat: 1,
        born_ms: 1,
        software: "1".try_into().expect("the version is valid"),
        weights: Vec::new(),
    }
}

/// Returns the time between two events of an engine that runs `requests` requests and takes `slowdown`
/// times as long as usual.
fn gap_us(requests: u64, slowdown: u64) -> u64 {
    slowdown * (IDLE_GAP_US + IDLE_GAP_US * requests / 8)
}

/// Measures 39 engines: the first `idle` run one request and the others 11, and the last `slowed` take four
/// times as long. Returns which engines' runs of 10 events move.
fn moved(idle: usize, slowed: usize) -> Vec<usize> {
    let mut table = UpstreamTable::new();
    table.apply(Moment(1), (0..39).map(engine).collect());
    let gap = |number: usize| {
        let requests = if number < idle { 1 } else { 11 };
        gap_us(requests, if number >= 39 - slowed { 4 } else { 1 })
    };
    for number in 0..39 {
        let key = table
            .current(&name(&format!("i-{number}")))
            .expect("the engine is listed");
        for _ in 0..20 {
            table.get_mut(key).record_event_gap(gap(number));
        }
    }
    let typical = table.typical_event_gap(&name("engines"));
    let is_moved = |number: &usize| UpstreamTable::is_slow_run(typical, 10, 10 * gap(*number));
    (0..39).filter(is_moved).collect()
}

/// Guards against runs that move from one busy engine to another because a few engines are idle: 1,232 of 8,000
/// runs of a day were cut, each with a new connection and a prompt that was processed again.
#[test]
fn runs_on_busy_engines_do_not_move_because_others_are_idle() {
    for idle in [0, 1, 5, 19] {
        assert_eq!(moved(idle, 0), [0; 0], "{idle} idle engines");
    }
}

/// Guards against texts that stay on engines which turned slow, a fifth of all.
#[test]
fn runs_on_slow_engines_move() {
    for idle in [0, 5, 19] {
        assert_eq!(
            moved(idle, 8),
            (31..39).collect::<Vec<usize>>(),
            "{idle} idle engines"
        );
    }
}

/// Guards against a verdict from too few events, or before anything was measured.
#[test]
fn a_run_is_not_judged_by_its_first_events() {
    assert!(!UpstreamTable::is_slow_run(
        IDLE_GAP_US,
        3,
        30 * IDLE_GAP_US
    ));
    assert!(!UpstreamTable::is_slow_run(1, 50, 50 * IDLE_GAP_US));
}

/// Guards against runs that are cut although no other engine can take them: their items wait for the slot that
/// they had. On a day with ten of twelve engines limited, 155 runs were cut on the two others.
///
/// Load pattern: a few engines without a limit are full and far slower than the others, which stay idle for lack
/// of permits.
#[test]
fn a_slow_run_stays_while_no_other_engine_can_take_it() {
    let mut table = UpstreamTable::new();
    table.apply(Moment(1), (0..3).map(engine).collect());
    let keys: Vec<UpstreamKey> = table.iter().map(|(key, _)| key).collect();
    for key in &keys {
        let state = table.get_mut(*key);
        state.observe_version(&name("m0"), WeightVersion(1));
        state.record_event_gap(IDLE_GAP_US);
    }
    let now = Moment(2_000);
    for key in &keys[1..] {
        let limit = LimitHeader::Named(RequestRate { per_ks: 1_500 });
        let state = table.get_mut(*key);
        state.limit.observe(now, Moment(1_900), limit);
    }
    let (service, model, zone) = (name("engines"), name("m0"), name("zone-a"));
    let query = EngineQuery {
        service: &service,
        model: &model,
        least_version: WeightVersion(1),
        software: None,
        part: None,
        excluded: &[keys[0]],
        zone: &zone,
        last_resort: false,
        connected: &|_| false,
    };
    let speed = (IDLE_GAP_US, 10, 30 * IDLE_GAP_US);
    let should_move =
        |table: &UpstreamTable| table.should_move_run(now, &query, RateLimits::NONE, speed);
    assert!(!should_move(&table), "no permit");
    table.get_mut(keys[2]).permits.apply_grant(now, 1, 0);
    assert!(should_move(&table), "a permit");
    table.get_mut(keys[2]).in_flight = table.get(keys[2]).record.slots;
    assert!(!should_move(&table), "no slot");
}

/// Guards against long texts that start together on the engine that was fastest when it was idle: eight of a
/// step's longest texts ran on one engine and took 8 s, while engines in its neighbourhood ran one each.
///
/// Load pattern: the longest texts of a step start first, all at once, on engines of almost equal speed.
#[test]
fn long_texts_spread_over_engines_of_similar_speed() {
    let mut table = UpstreamTable::new();
    table.apply(Moment(1), (0..13).map(engine).collect());
    let keys: Vec<UpstreamKey> = table.iter().map(|(key, _)| key).collect();
    for (index, key) in keys.iter().enumerate() {
        let state = table.get_mut(*key);
        state.record_event_gap(IDLE_GAP_US + 500 * index as u64);
        state.observe_version(&name("m0"), WeightVersion(1));
    }
    let (service, model, zone) = (name("engines"), name("m0"), name("zone-a"));
    for _ in 0..26 {
        let query = EngineQuery {
            service: &service,
            model: &model,
            least_version: WeightVersion(1),
            software: None,
            part: None,
            excluded: &[],
            zone: &zone,
            last_resort: false,
            connected: &|_| false,
        };
        let chosen = table.select_engine(Moment(2), &query, RateLimits::NONE);
        table.get_mut(chosen.expect("slots are free")).in_flight += 1;
    }
    let highest = keys.iter().map(|key| table.get(*key).in_flight).max();
    assert!(
        highest <= Some(4),
        "{highest:?} of 26 texts run on one of 13 engines"
    );
}
