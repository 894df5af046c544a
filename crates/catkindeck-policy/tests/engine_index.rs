//! Selection of engines by an index, for rounds over many engines and items.

use {
    catkindeck::{Moment, id::ObjectName, token::WeightVersion},
    catkindeck_policy::direct::{
        DiscoveredUpstream, EngineQuery, LeavingNotice, ModelWeights, RateLimits, UpstreamKey,
        UpstreamState, UpstreamTable,
    },
    proptest::{prelude::*, test_runner::Config},
    std::net::SocketAddr,
};

const SLOTS: u32 = 6;

/// The engines of the property test.
const ENGINES: usize = 9;

const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

fn name(text: &str) -> ObjectName {
    ObjectName::try_from(text).expect("the name is valid")
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + number as u16))
}

fn engine(number: usize, software: &str) -> DiscoveredUpstream {
    let weights = ["m0", "m1"].map(|model| ModelWeights {
        model: name(model),
        version: WeightVersion(1),
    });
    DiscoveredUpstream {
        id: name(&format!("i-{number}")),
        service: name("engines"),
        zone: name(ZONES[number % 3]),
        address: address(number),
        slots: SLOTS,
        draining: false,
        cold_ms: 0,
        heartbeat: 1,
        born_ms: 1,
        software: software.try_into().expect("the version is valid"),
        weights: weights.into(),
    }
}

fn table(engines: usize) -> UpstreamTable {
    let mut table = UpstreamTable::new();
    let list = (0..engines).map(|number| engine(number, "1")).collect();
    table.apply(Moment(1), list);
    table
}

fn keys(table: &UpstreamTable) -> Vec<UpstreamKey> {
    table.iter().map(|(key, _)| key).collect()
}

/// Returns the choice of the builds without an index, which looked at each engine.
fn reference(table: &UpstreamTable, now: Moment, query: &EngineQuery<'_>) -> Option<UpstreamKey> {
    let gaps = table.iter().map(|(_, state)| state.event_gap_us);
    let shortest = gaps.filter(|gap| *gap > 0).min().unwrap_or(1);
    let discount = |cost: u64, percent: u64, applies: bool| match applies {
        true => cost / 100 * (100 - percent),
        false => cost,
    };
    let cost = |state: &UpstreamState| {
        let load = u64::from(state.in_flight) * 150 / u64::from(SLOTS);
        let is_cached = query.part.is_some_and(|part| state.has_prompt_part(part));
        let cost = state.event_gap_us.max(shortest) * (100 + load);
        let cost = discount(cost, 15, is_cached);
        let cost = discount(cost, 5, state.record.zone == *query.zone);
        let cost = discount(cost, 10, (query.connected)(state.record.address));
        (state.in_backoff(now), state.is_cold(now), cost)
    };
    let usable = table.iter().filter(|(key, state)| {
        query
            .software
            .is_none_or(|software| state.record.software == *software)
            && table.accepts_work(*key)
            && !query.excluded.contains(key)
            && (query.last_resort || !state.in_backoff(now))
            && !state.is_loading(now, query.model)
            && state.version(query.model) >= Some(query.least_version)
            && state.in_flight < state.record.slots
    });
    usable
        .min_by_key(|(key, state)| (cost(state), *key))
        .map(|(key, _)| key)
}

fn reference_gap(table: &UpstreamTable) -> u64 {
    let gaps = table.iter().map(|(_, state)| state.event_gap_us);
    let mut gaps: Vec<u64> = gaps.filter(|gap| *gap > 0).collect();
    gaps.sort_unstable();
    gaps.get(gaps.len() / 2).copied().unwrap_or(1)
}

/// A change of the table between two selections.
#[derive(Debug, Clone)]
enum TableChange {
    Start(usize),
    End(usize),
    Gap(usize, u64),
    Part(usize, u64),
    ClearParts(usize),
    Version(usize, bool, u64),
    Load(usize, bool),
    Failure(usize),
    Cold(usize),
    Leave(usize),
    Close(usize),
    List(usize, bool),
    /// An engine other than the first leaves the list, or comes back.
    Lapse(usize),
    Time(u64),
}

fn change() -> impl Strategy<Value = TableChange> {
    let engine = 0..ENGINES;
    prop_oneof![
        6 => engine.clone().prop_map(TableChange::Start),
        3 => engine.clone().prop_map(TableChange::End),
        4 => (engine.clone(), 1_u64..6).prop_map(|(at, gap)| TableChange::Gap(at, gap * 10_000)),
        4 => (engine.clone(), 0_u64..300).prop_map(|(at, part)| TableChange::Part(at, part)),
        1 => engine.clone().prop_map(TableChange::ClearParts),
        2 => (engine.clone(), any::<bool>(), 1_u64..5)
            .prop_map(|(at, model, version)| TableChange::Version(at, model, version)),
        1 => (engine.clone(), any::<bool>()).prop_map(|(at, model)| TableChange::Load(at, model)),
        1 => engine.clone().prop_map(TableChange::Failure),
        1 => engine.clone().prop_map(TableChange::Cold),
        1 => engine.clone().prop_map(TableChange::Leave),
        1 => (0_usize..4).prop_map(TableChange::Close),
        1 => (engine.clone(), any::<bool>())
            .prop_map(|(at, draining)| TableChange::List(at, draining)),
        2 => engine.prop_map(TableChange::Lapse),
        2 => (1_u64..2_000).prop_map(TableChange::Time),
    ]
}

fn model(is_second: bool) -> ObjectName {
    name(if is_second { "m1" } else { "m0" })
}

fn apply(table: &mut UpstreamTable, now: &mut Moment, change: &TableChange) {
    let keys = keys(table);
    let at = |number: usize| keys[number % keys.len()];
    match change {
        TableChange::Start(engine) => {
            let state = table.get_mut(at(*engine));
            if state.in_flight < SLOTS {
                state.record_request(*now);
            }
        }
        TableChange::End(engine) => {
            let state = table.get_mut(at(*engine));
            state.in_flight = state.in_flight.saturating_sub(1);
        }
        TableChange::Gap(engine, gap) => table.record_event_gap(*now, at(*engine), *gap),
        TableChange::Part(engine, part) => {
            // Parts beyond the limit displace the oldest ones.
            for part in *part..*part + 150 {
                table.get_mut(at(*engine)).record_prompt_part(part % 300);
            }
        }
        TableChange::ClearParts(engine) => table.get_mut(at(*engine)).clear_prompt_parts(),
        TableChange::Version(engine, is_second, version) => table
            .get_mut(at(*engine))
            .observe_version(&model(*is_second), WeightVersion(*version)),
        TableChange::Load(engine, is_second) => {
            let state = table.get_mut(at(*engine));
            state.record_weight_load(*now, &model(*is_second), *now + 900);
        }
        TableChange::Failure(engine) => table.get_mut(at(*engine)).record_failure(*now),
        TableChange::Cold(engine) => table.get_mut(at(*engine)).cold_until = *now + 1_000,
        TableChange::Leave(engine) => {
            let record = &table.get(at(*engine)).record;
            let notice = LeavingNotice {
                id: record.id.clone(),
                born_ms: record.born_ms,
                asked_ms: 1,
            };
            table.record_leaving(&notice);
        }
        TableChange::Close(zone) => {
            table.set_closed_zones(
                ZONES
                    .iter()
                    .skip(*zone)
                    .take(1)
                    .map(|zone| name(zone))
                    .collect(),
            );
        }
        TableChange::List(engine, draining) => {
            let mut list: Vec<DiscoveredUpstream> = table
                .iter()
                .map(|(_, state)| state.record.clone())
                .collect();
            let changed = &mut list[*engine % keys.len()];
            changed.heartbeat += 1;
            changed.draining = *draining;
            changed.born_ms += u64::from(!draining);
            *now = *now + 1;
            table.apply(*now, list);
        }
        TableChange::Lapse(engine) => lapse(table, now, 1 + engine % (ENGINES - 1)),
        TableChange::Time(ms) => *now = *now + *ms,
    }
}

/// Removes an engine from the list, or adds it again as a new instance. No other record changes.
fn lapse(table: &mut UpstreamTable, now: &mut Moment, number: usize) {
    let records = table.iter().map(|(_, state)| state.record.clone());
    let mut list: Vec<DiscoveredUpstream> = records.collect();
    let known = list
        .iter()
        .position(|record| record.address == address(number));
    let added: Vec<DiscoveredUpstream> = match known {
        Some(position) => {
            list.remove(position);
            Vec::new()
        }
        None => vec![engine_again(number)],
    };
    list.extend(added.iter().cloned());
    list.sort_by(|one, other| one.id.cmp(&other.id));
    *now = *now + 1;
    table.apply_changed(*now, &list, added);
}

/// Returns an engine that has left the list and comes back as a new instance.
fn engine_again(number: usize) -> DiscoveredUpstream {
    DiscoveredUpstream {
        born_ms: 2,
        ..engine(number, ["1", "2"][number % 2])
    }
}

proptest! {
    #![proptest_config(Config { cases: 400, ..Config::default() })]

    /// Load: any changes of engines between selections with any criteria. Guards against an index that chooses other
    /// engines than a look at each of them, or that misses a change.
    #[test]
    fn the_index_chooses_as_a_look_at_each_engine(
        changes in prop::collection::vec((change(), any::<[bool; 5]>(), 0_u64..300, 1_u64..5), 1..80),
    ) {
        let mut table = UpstreamTable::new();
        let softwares = ["1", "2"];
        let list = (0..ENGINES).map(|number| engine(number, softwares[number % 2])).collect();
        table.apply(Moment(1), list);
        let mut now = Moment(10);
        let zone = name("zone-a");
        let service = name("engines");
        for (change, [second, software, part, last, excluded], digest, least) in changes {
            apply(&mut table, &mut now, &change);
            let known = keys(&table);
            let software = software.then(|| table.get(known[0]).record.software.clone());
            let query = EngineQuery {
                service: &service,
                model: &model(second),
                least_version: WeightVersion(least),
                software: software.as_ref(),
                part: part.then_some(digest),
                excluded: if excluded { &known[..1] } else { &[] },
                zone: &zone,
                last_resort: last,
                connected: &|address| address.port() % 4 == 0,
            };
            let chosen = table.select_engine(now, &query, RateLimits::NONE);
            prop_assert_eq!(chosen, reference(&table, now, &query), "after {:?}", change);
            prop_assert_eq!(table.typical_event_gap(&service), reference_gap(&table));
        }
    }
}

/// Starts as many items as places are free, two thirds of them in groups of eight with one prompt, as a round of the
/// owner does, and returns the looks at engines and the starts.
fn round(table: &mut UpstreamTable, now: Moment) -> (u64, u64) {
    let before = table.looks();
    let service = name("engines");
    let model = name("m0");
    let zone = name("zone-a");
    let mut started = 0;
    for item in 0_u64.. {
        let query = EngineQuery {
            service: &service,
            model: &model,
            least_version: WeightVersion(2),
            software: None,
            part: (item % 3 > 0).then_some(item / 8),
            excluded: &[],
            zone: &zone,
            last_resort: false,
            connected: &|_| true,
        };
        let chosen = table.select_engine(now, &query, RateLimits::NONE);
        table.typical_event_gap(&service);
        let Some(key) = chosen else { break };
        let state = table.get_mut(key);
        state.record_request(now);
        if let Some(part) = query.part {
            state.record_prompt_part(part);
        }
        started += 1;
    }
    (table.looks() - before, started)
}

/// A table in which every second engine has the version of the step, at speeds that differ by a third.
fn loaded_table(engines: usize, is_measured: bool) -> UpstreamTable {
    let mut table = table(engines);
    for (number, key) in keys(&table).into_iter().enumerate() {
        if number % 2 == 0 {
            table
                .get_mut(key)
                .observe_version(&name("m0"), WeightVersion(2));
        }
        if is_measured {
            let gap_us = 30_000 + (number as u64 * 7_919) % 10_000;
            table.record_event_gap(Moment(2), key, gap_us);
        }
    }
    table
}

/// Size: 131 and 1,000 engines with open connections, and items for all of their places. Guards against a round that looks at each engine for
/// each item, so that it grows with the square of the engines.
#[test]
fn a_round_grows_no_faster_than_the_engines() {
    for is_measured in [false, true] {
        let looks = |engines: usize| {
            let mut table = loaded_table(engines, is_measured);
            let (burst, started) = round(&mut table, Moment(10));
            assert_eq!(started, engines.div_ceil(2) as u64 * u64::from(SLOTS));
            // Later a tenth of the places become free at a time.
            for (number, key) in keys(&table).into_iter().enumerate() {
                let state = table.get_mut(key);
                if number % 4 == 0 && state.in_flight > 0 {
                    state.in_flight -= 1;
                }
            }
            let (steady, started) = round(&mut table, Moment(20));
            assert_eq!(started, engines.div_ceil(4) as u64);
            let (idle, started) = round(&mut table, Moment(30));
            assert_eq!(started, 0);
            [burst, steady, idle]
        };
        let (small, large) = (looks(131), looks(1_000));
        for (small, large) in small.iter().zip(large) {
            // A fifth more allows for rounding.
            assert!(
                large * 131 * 5 <= small * 1_000 * 6,
                "{small} looks at 131 engines, {large} at 1,000"
            );
        }
    }
}
