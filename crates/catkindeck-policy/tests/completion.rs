//! Where texts start and when they move, by the predicted time of their completion.

use {
    catkindeck::{Moment, id::ObjectName, token::WeightVersion},
    catkindeck_policy::direct::{
        DiscoveredUpstream, EngineQuery, RateLimits, TextDemand, UpstreamKey, UpstreamTable,
    },
    std::collections::BTreeMap,
};

const SLOTS: u32 = 6;

/// The time between two events of a fast engine, in milliseconds.
const FAST_GAP_MS: u64 = 43;

/// The time between two events of a slow engine, in milliseconds.
const SLOW_GAP_MS: u64 = 56;

fn name(text: &str) -> ObjectName {
    ObjectName::try_from(text).expect("the name is valid")
}

fn engine(number: usize, born_ms: u64) -> DiscoveredUpstream {
    DiscoveredUpstream {
        id: name(&format!("i-{number:02}")),
        service: name("engines"),
        zone: name("zone-a"),
        address: "127.0.0.1:1".parse().expect("the address is valid"),
        slots: SLOTS,
        draining: false,
        cold_ms: 0,
        heartbeat: 1,
        born_ms,
        software: "1".try_into().expect("the version is valid"),
        weights: Vec::new(),
    }
}

fn text(expected_tokens: u32, events: u64) -> TextDemand {
    TextDemand {
        expected_tokens,
        events,
    }
}

/// The names that a query refers to.
struct QueryNames {
    service: ObjectName,
    model: ObjectName,
    zone: ObjectName,
}

impl QueryNames {
    fn new() -> Self {
        Self {
            service: name("engines"),
            model: name("m0"),
            zone: name("zone-a"),
        }
    }

    fn query<'a>(&'a self, excluded: &'a [UpstreamKey]) -> EngineQuery<'a> {
        EngineQuery {
            service: &self.service,
            model: &self.model,
            least_version: WeightVersion(1),
            software: None,
            part: None,
            excluded,
            zone: &self.zone,
            last_resort: false,
            connected: &|_| true,
        }
    }
}

/// Returns a table with as many engines as `gaps_ms` has times between events.
fn table(gaps_ms: &[u64]) -> (UpstreamTable, Vec<UpstreamKey>) {
    let mut table = UpstreamTable::new();
    let list = (0..gaps_ms.len()).map(|number| engine(number, 1)).collect();
    table.apply(Moment(0), list);
    let keys: Vec<UpstreamKey> = table.iter().map(|(key, _)| key).collect();
    for key in &keys {
        table
            .get_mut(*key)
            .observe_version(&name("m0"), WeightVersion(1));
    }
    (table, keys)
}

/// Records what engines with these times between events show within two seconds, at `load` requests
/// each, and 20 complete texts whose estimates are right. Returns the time after it.
fn measure(table: &mut UpstreamTable, keys: &[UpstreamKey], gaps_ms: &[u64], load: u32) -> Moment {
    for (key, gap_ms) in keys.iter().zip(gaps_ms) {
        table.get_mut(*key).in_flight = load;
        for at in (0..2_000).step_by(100) {
            table.record_event_gap(Moment(at), *key, gap_ms * 1_000);
        }
        table.get_mut(*key).in_flight = 0;
    }
    for events in 1..=20 {
        table.record_text(
            keys[0],
            text(79 * u32::try_from(events).expect("small"), events),
        );
    }
    // The range of speeds is updated at most every 100 ms.
    table.record_event_gap(Moment(2_000), keys[0], gaps_ms[0] * 1_000);
    Moment(2_001)
}

/// Guards against long texts on slow engines: a third of the engines took 1.3 times as long, and a step
/// took 8 s instead of 6 s whenever its longest text ran there.
///
/// Load pattern: steps decided by their longest texts on engines of two speeds. The short texts of an
/// earlier step have started before the longest texts of the next one.
#[test]
fn long_texts_get_fast_engines_and_short_ones_the_rest() {
    let gaps = [SLOW_GAP_MS, FAST_GAP_MS, FAST_GAP_MS].repeat(3);
    let (mut table, keys) = table(&gaps);
    let now = measure(&mut table, &keys, &gaps, 1);
    let names = QueryNames::new();
    let mut placed = BTreeMap::new();
    for expected_tokens in [79; 42].into_iter().chain([79 * 19; 12]) {
        let query = names.query(&[]);
        let chosen = table
            .select_engine_for_text(now, &query, text(expected_tokens, 0), RateLimits::NONE)
            .expect("slots are free");
        table.get_mut(chosen).in_flight += 1;
        let index = keys.iter().position(|key| *key == chosen);
        let is_slow = gaps[index.expect("it is in the table")] == SLOW_GAP_MS;
        *placed.entry((expected_tokens, is_slow)).or_insert(0) += 1;
    }
    let expected = [((79, false), 24), ((79, true), 18), ((79 * 19, false), 12)];
    assert_eq!(placed, BTreeMap::from(expected));
}

/// Guards against slots that stay empty for long texts while short ones wait.
#[test]
fn short_texts_use_kept_slots_if_there_are_no_others() {
    let gaps = [SLOW_GAP_MS, FAST_GAP_MS, FAST_GAP_MS];
    let (mut table, keys) = table(&gaps);
    let now = measure(&mut table, &keys, &gaps, 1);
    let names = QueryNames::new();
    for _ in 0..18 {
        let query = names.query(&[]);
        let chosen = table.select_engine_for_text(now, &query, text(79, 0), RateLimits::NONE);
        table.get_mut(chosen.expect("slots are free")).in_flight += 1;
    }
    assert!(keys.iter().all(|key| table.get(*key).in_flight == SLOTS));
}

/// Guards against overfilled engines where speed depends on load: with a fixed order of speeds, the
/// fastest engine is filled first and becomes the slowest.
///
/// Load pattern: engines that take three times as long when they are full.
#[test]
fn texts_spread_where_load_slows_engines() {
    let gaps = [40, 44, 48, 52];
    let (mut table, keys) = table(&gaps);
    for round in 0..400_u64 {
        for (key, gap_ms) in keys.iter().zip(gaps) {
            let load = u32::try_from((round / 4) % 6 + 1).expect("small");
            table.get_mut(*key).in_flight = load;
            let gap_us = gap_ms * 1_000 * (u64::from(SLOTS) + 2 * u64::from(load)) / 6;
            table.record_event_gap(Moment(round * 100), *key, gap_us);
        }
    }
    let mut now = Moment(40_000);
    let slope = |table: &UpstreamTable| {
        let speed = table.service_speed(&name("engines"));
        speed.expect("speeds are measured").load_slope()
    };
    assert!((slope(&table) - 2.0).abs() < 0.5, "{}", slope(&table));
    for key in &keys {
        table.get_mut(*key).in_flight = 0;
    }
    for events in 1..=20 {
        table.record_text(
            keys[0],
            text(79 * u32::try_from(events).expect("small"), events),
        );
    }
    now = now + 1;
    let names = QueryNames::new();
    for _ in 0..12 {
        let query = names.query(&[]);
        let chosen = table.select_engine_for_text(now, &query, text(79 * 10, 0), RateLimits::NONE);
        table.get_mut(chosen.expect("slots are free")).in_flight += 1;
    }
    let highest = keys.iter().map(|key| table.get(*key).in_flight).max();
    assert!(highest <= Some(4), "{highest:?} of 12 on one of 4 engines");
}

/// Guards against a slope that comes from different speeds: fast engines run more requests, which looks
/// as if load made engines faster, or slow ones do, which looks as if load slowed them.
#[test]
fn different_speeds_at_different_loads_are_no_effect_of_load() {
    let gaps = [SLOW_GAP_MS, FAST_GAP_MS];
    let (mut table, keys) = table(&gaps);
    for at in (0..30_000).step_by(100) {
        for (index, key) in keys.iter().enumerate() {
            let busy = u32::from(index == 0) * 4 + u32::from(at % 1_000 < 500);
            table.get_mut(*key).in_flight = busy;
            table.record_event_gap(Moment(at), *key, gaps[index] * 1_000);
        }
    }
    let speed = table.service_speed(&name("engines"));
    let slope = speed.expect("speeds are measured").load_slope();
    assert!(slope < 0.3, "{slope}");
}

/// Guards against runs that are cut in a slow phase of half a second: 450 of 4,800 runs of a day were
/// cut, most of them just before their engines were fast again, each with a prompt that was read again.
///
/// Load pattern: engines that are 2.5 times slower for 0.6 s, at 15 % of the time.
#[test]
fn a_short_slow_phase_does_not_move_runs() {
    let gaps = [FAST_GAP_MS; 3];
    let (mut table, keys) = table(&gaps);
    let now = measure(&mut table, &keys, &gaps, 1);
    let names = QueryNames::new();
    let excluded = [keys[0]];
    table.get_mut(keys[0]).in_flight = 1;
    let mut now = now;
    for events in 4..10 {
        let gap_ms = FAST_GAP_MS * 5 / 2;
        now = now + gap_ms;
        table.record_event_gap(now, keys[0], gap_ms * 1_000);
        let query = names.query(&excluded);
        let rest = (text(79 * 19, events), events);
        let chosen = table.move_for_text(now, keys[0], &query, rest, RateLimits::NONE);
        assert_eq!(chosen, None, "after {events} events");
    }
}

/// Guards against texts that stay on an engine that turned slow for seconds.
///
/// Load pattern: a few engines become 3.5 times slower for several seconds. A third of the time that the
/// text has left is enough to notice it.
#[test]
fn a_long_text_leaves_an_engine_that_stays_slow() {
    let gaps = [FAST_GAP_MS; 3];
    let (mut table, keys) = table(&gaps);
    let mut now = measure(&mut table, &keys, &gaps, 1);
    for events in 21..=140_u64 {
        let tokens = 79 * u32::try_from(events).expect("small");
        table.record_text(keys[0], text(tokens, events));
    }
    let names = QueryNames::new();
    let excluded = [keys[0]];
    table.get_mut(keys[0]).in_flight = 1;
    let gap_ms = FAST_GAP_MS * 7 / 2;
    let mut moved_after = None;
    for events in 10..40 {
        now = now + gap_ms;
        table.record_event_gap(now, keys[0], gap_ms * 1_000);
        let query = names.query(&excluded);
        let rest = (text(79 * 140, events), events);
        let chosen = table.move_for_text(now, keys[0], &query, rest, RateLimits::NONE);
        if let Some(chosen) = chosen {
            assert!(chosen.there_ms < chosen.here_ms);
            moved_after = Some(events - 9);
            break;
        }
    }
    let is_soon = |events: u64| events * gap_ms <= 130 * FAST_GAP_MS / 3;
    assert!(moved_after.is_some_and(is_soon), "{moved_after:?}");
}

/// Returns how often a text of 140 events would move while an engine shows these gaps, each at the time
/// after the one before, in milliseconds.
fn moves_after(pauses_and_gaps_ms: &[(u64, u64)]) -> usize {
    let gaps = [FAST_GAP_MS; 3];
    let (mut table, keys) = table(&gaps);
    let mut now = measure(&mut table, &keys, &gaps, 1);
    for events in 21..=140_u64 {
        let tokens = 79 * u32::try_from(events).expect("small");
        table.record_text(keys[0], text(tokens, events));
    }
    let names = QueryNames::new();
    let excluded = [keys[0]];
    let query = names.query(&excluded);
    let mut moves = 0;
    for (pause_ms, gap_ms) in pauses_and_gaps_ms {
        now = now + (pause_ms + gap_ms);
        table.record_event_gap(now, keys[0], gap_ms * 1_000);
        let rest = (text(79 * 140, 10), 10);
        let chosen = table.move_for_text(now, keys[0], &query, rest, RateLimits::NONE);
        moves += usize::from(chosen.is_some());
    }
    moves
}

/// Guards against slow phases that seem to last while an engine is idle: on a quiet day 252 of 2,805 runs
/// were cut, many of them at engines whose streams had not been slow.
///
/// Load pattern: engines that are idle for seconds between the steps of a trainer.
#[test]
fn a_slow_phase_does_not_outlast_idle_time() {
    let slow_ms = FAST_GAP_MS * 5 / 2;
    let mut gaps = vec![(0, slow_ms); 5];
    gaps.push((4_000, FAST_GAP_MS));
    gaps.extend([(0, FAST_GAP_MS); 5]);
    assert_eq!(moves_after(&gaps), 0);
}

/// Guards against long texts that start on an engine that others just left because it is slow: on a quiet
/// day with a fifth of the engines 3.7 times slower for 8 s, the longest texts lost 1.2 s each there.
///
/// Load pattern: an engine slows down for seconds, its runs move, and the next step starts.
#[test]
fn long_texts_avoid_an_engine_that_was_left_as_slow() {
    let gaps = [FAST_GAP_MS; 3];
    let (mut table, keys) = table(&gaps);
    let mut now = measure(&mut table, &keys, &gaps, 1);
    for _ in 0..9 {
        now = now + FAST_GAP_MS * 37 / 10;
        table.record_event_gap(now, keys[0], FAST_GAP_MS * 3_700);
    }
    for key in &keys[1..] {
        table.get_mut(*key).in_flight = SLOTS - 1;
    }
    let names = QueryNames::new();
    for pause_ms in [0, 500, 2_000, 4_000] {
        let query = names.query(&[]);
        let rest = text(79 * 19, 0);
        let chosen = table.select_engine_for_text(now + pause_ms, &query, rest, RateLimits::NONE);
        assert!(
            chosen.is_some_and(|key| key != keys[0]),
            "after {pause_ms} ms"
        );
    }
}

/// Guards against runs that leave an engine which is fast again: for seconds after a slowdown of 8 s, runs
/// with usual times between events were cut.
///
/// Load pattern: an engine is 3.7 times slower for 4 s, with one stream, and then fast again.
#[test]
fn runs_stay_at_an_engine_that_recovered() {
    let slow_ms = FAST_GAP_MS * 37 / 10;
    let gaps = [FAST_GAP_MS; 3];
    let (mut table, keys) = table(&gaps);
    let mut now = measure(&mut table, &keys, &gaps, 1);
    let names = QueryNames::new();
    let excluded = [keys[0]];
    let query = names.query(&excluded);
    for _ in 0..26 {
        now = now + slow_ms;
        table.record_event_gap(now, keys[0], slow_ms * 1_000);
    }
    let mut moves = Vec::new();
    for events in 1..=20 {
        now = now + FAST_GAP_MS;
        table.record_event_gap(now, keys[0], FAST_GAP_MS * 1_000);
        let rest = (text(79 * 19, 0), events);
        let chosen = table.move_for_text(now, keys[0], &query, rest, RateLimits::NONE);
        moves.extend(chosen.map(|_| events));
    }
    assert_eq!(moves, [0_u64; 0], "events after which the run moved");
}

/// Guards against an engine that is taken for slow because one of its streams stalled.
///
/// Failure: one of several streams gets nothing for almost a second.
#[test]
fn one_stalled_stream_does_not_move_the_others() {
    assert_eq!(
        moves_after(&[(0, FAST_GAP_MS), (0, 900), (0, FAST_GAP_MS)]),
        0
    );
    let mut gaps = vec![(0, FAST_GAP_MS); 6];
    gaps.insert(3, (0, 900));
    assert_eq!(moves_after(&gaps), 0);
}

/// Guards against flapping: a run that moved because its engine is slow moves again, and again.
#[test]
fn a_run_does_not_move_back() {
    for slow_gap in (FAST_GAP_MS..200).step_by(7) {
        for remaining in 1..140 {
            let gaps = [slow_gap, FAST_GAP_MS];
            let (mut table, keys) = table(&gaps);
            let now = measure(&mut table, &keys, &gaps, 1);
            let names = QueryNames::new();
            let rest = (text(79 * remaining, 0), 10);
            let moves = |table: &UpstreamTable, from: usize| {
                let excluded = [keys[from]];
                let query = names.query(&excluded);
                table.move_for_text(now, keys[from], &query, rest, RateLimits::NONE)
            };
            table.get_mut(keys[0]).in_flight = 1;
            if moves(&table, 0).is_none() {
                continue;
            }
            table.get_mut(keys[0]).in_flight = 0;
            table.get_mut(keys[1]).in_flight = 1;
            assert_eq!(moves(&table, 1), None, "{slow_gap} ms, {remaining} events");
        }
    }
}

/// Guards against predictions that fall when there is more to do or more load.
#[test]
fn predictions_grow_with_load_and_remaining_length() {
    let gaps = [SLOW_GAP_MS, FAST_GAP_MS];
    let (mut table, keys) = table(&gaps);
    let now = measure(&mut table, &keys, &gaps, 2);
    let names = QueryNames::new();
    let query = names.query(&[]);
    let predict = |table: &UpstreamTable, key, tokens, events| {
        let rest = text(tokens, events);
        let predicted = table.predict_assigned_ms(now, key, &query, rest);
        predicted.expect("speeds are known")
    };
    for key in &keys {
        let mut before = 0;
        for tokens in (1..20).map(|events| 79 * events) {
            let predicted = predict(&table, *key, tokens, 0);
            assert!(predicted >= before, "{tokens} tokens");
            before = predicted;
        }
    }
    assert!(predict(&table, keys[0], 790, 0) > predict(&table, keys[1], 790, 0));
    let mut before = 0;
    for load in 0..SLOTS {
        table.get_mut(keys[1]).in_flight = load;
        let predicted = predict(&table, keys[1], 79 * 19, 0);
        assert!(predicted >= before, "{load} requests");
        before = predicted;
    }
}

/// Guards against texts that are taken to be complete as soon as they outlive their estimates: they
/// would be moved last and be given to the slowest engines.
#[test]
fn a_text_that_outlives_its_estimate_is_expected_to_go_on() {
    let (mut table, keys) = table(&[FAST_GAP_MS]);
    let now = measure(&mut table, &keys, &[FAST_GAP_MS], 1);
    for events in [5, 8, 9, 10, 11, 12, 30, 35, 40, 50] {
        table.record_text(keys[0], text(790, events));
    }
    let names = QueryNames::new();
    let query = names.query(&[]);
    let predict = |events| table.predict_assigned_ms(now, keys[0], &query, text(790, events));
    let remaining_ms = predict(20).expect("lengths are known");
    assert!(remaining_ms > 15 * FAST_GAP_MS, "{remaining_ms} ms");
    // It is longer than all texts so far.
    assert!(predict(100).expect("lengths are known") > 20 * FAST_GAP_MS);
}

/// Guards against an owner that never predicts, because it uses only some engines of the service: after a
/// change of owner the earlier rule cut 149 runs of a day.
///
/// Load pattern: the jobs of one owner use a model that a quarter of the engines have.
#[test]
fn engines_that_an_owner_does_not_use_need_no_speed() {
    let gaps = [FAST_GAP_MS; 12];
    let (mut table, keys) = table(&gaps);
    measure(&mut table, &keys[..3], &gaps[..3], 1);
    let names = QueryNames::new();
    assert!(table.is_completion_known(&names.query(&[]), text(790, 0)));
}

/// Guards against choices from a few measurements, and from those of an engine's previous run.
///
/// Failure: half of the engines crash and restart with unknown speeds.
#[test]
fn restarted_engines_are_measured_again() {
    let gaps = [SLOW_GAP_MS, FAST_GAP_MS, FAST_GAP_MS];
    let (mut table, keys) = table(&gaps);
    let now = measure(&mut table, &keys, &gaps, 1);
    let names = QueryNames::new();
    let is_known =
        |table: &UpstreamTable| table.is_completion_known(&names.query(&[]), text(790, 0));
    assert!(is_known(&table));
    table.apply(
        now,
        (0..3)
            .map(|number| engine(number, u64::from(number < 2) + 1))
            .collect(),
    );
    let restarted = table.current(&name("i-00")).expect("it is listed");
    assert_ne!(restarted, keys[0]);
    assert_eq!(table.get(restarted).speed.idle_gap_us(now), None);
    for number in 0..2 {
        let key = table.current(&name(&format!("i-{number:02}")));
        table.get_mut(key.expect("it is listed")).in_flight = 1;
    }
    table.record_event_gap(now + 100, keys[2], FAST_GAP_MS * 1_000);
    assert!(!is_known(&table));
    for at in 0..12 {
        table.record_event_gap(now + 200 + at * 100, restarted, SLOW_GAP_MS * 1_000);
    }
    assert!(is_known(&table));
}
