//! Changes of the list of upstreams, as the leader sends them to the other processes.

use {
    catkindeck::{
        Moment,
        id::{IncarnationId, ObjectName},
        token::WeightVersion,
    },
    catkindeck_policy::direct::{
        DiscoveredUpstream, ModelWeights, REMOVED_LIMIT, TargetVersion, UpstreamHistory,
        UpstreamTable, WeightLoadPlanner, plan_pause_ms,
    },
    proptest::prelude::*,
};

/// The number of models of each engine.
const MODELS: usize = 4;

fn name(text: &str) -> ObjectName {
    ObjectName::try_from(text).expect("the name is valid")
}

fn engine(number: usize, heartbeat: u64) -> DiscoveredUpstream {
    let weights = (0..MODELS).map(|model| ModelWeights {
        model: name(&format!("m{model}")),
        version: WeightVersion(1),
    });
    DiscoveredUpstream {
        id: name(&format!("i-{number:05}")),
        service: name("engines"),
        zone: name("zone-a"),
        address: "127.0.0.1:7000".parse().expect("the address is valid"),
        slots: 6,
        draining: false,
        cold_ms: 0,
        heartbeat,
        born_ms: 1,
        software: "1".try_into().expect("the version is valid"),
        weights: weights.collect(),
    }
}

fn engines(count: usize, heartbeat: u64) -> Vec<DiscoveredUpstream> {
    (0..count).map(|number| engine(number, heartbeat)).collect()
}

/// Removes what changes say nothing about.
fn without_heartbeats(list: &[DiscoveredUpstream]) -> Vec<DiscoveredUpstream> {
    let records = list.iter().cloned();
    records
        .map(|record| DiscoveredUpstream {
            heartbeat: 0,
            ..record
        })
        .collect()
}

/// Load: all engines renew their entries between two reads, and three of them say something new.
#[test]
fn the_records_sent_depend_on_the_changes_and_not_on_the_engines() {
    for count in [131, 1_000, 3_001] {
        let mut history = UpstreamHistory::default();
        history.record_list(&engines(count, 1));
        let mut known = history.changes_since(0);
        assert!(known.is_complete);
        assert_eq!(known.records.len(), count);
        let mut sent = 0;
        for read in 2..22 {
            let mut list = engines(count, read);
            for record in &mut list[..3] {
                record.weights[0].version = WeightVersion(read);
            }
            assert_eq!(history.record_list(&list), 3);
            known = history.changes_since(known.version);
            sent += known.records.len() + known.removed.len();
        }
        assert_eq!(sent, 20 * 3, "{count} engines");
    }
}

#[test]
fn renewals_alone_lead_to_no_new_version() {
    let mut history = UpstreamHistory::default();
    history.record_list(&engines(10, 1));
    let first = history.changes_since(0);
    assert_eq!(history.record_list(&engines(10, 2)), 0);
    let second = history.changes_since(first.version);
    assert_eq!(second.version, first.version);
    assert!(!second.is_complete);
    assert!(second.records.is_empty());
}

#[test]
fn an_empty_list_is_a_version_too() {
    let mut history = UpstreamHistory::default();
    history.record_list(&[]);
    let changes = history.changes_since(0);
    assert!(changes.is_complete);
    assert!(history.changes_since(changes.version).records.is_empty());
    assert!(!history.changes_since(changes.version).is_complete);
}

#[test]
fn a_delayed_write_of_an_earlier_heartbeat_restores_nothing() {
    let mut history = UpstreamHistory::default();
    let mut draining = engine(1, 9);
    draining.draining = true;
    history.record_list(&[draining.clone()]);
    let known = history.changes_since(0).version;
    assert_eq!(history.record_list(&[engine(1, 5)]), 0);
    assert!(history.changes_since(known).records.is_empty());
    assert_eq!(history.changes_since(0).records, [draining]);
}

#[test]
fn an_upstream_that_returns_is_not_removed() {
    let mut history = UpstreamHistory::default();
    history.record_list(&engines(3, 1));
    let known = history.changes_since(0).version;
    history.record_list(&engines(2, 2));
    assert_eq!(history.changes_since(known).removed, [name("i-00002")]);
    history.record_list(&engines(3, 3));
    let changes = history.changes_since(known);
    assert!(changes.removed.is_empty());
    assert_eq!(changes.records.len(), 1);
}

#[test]
fn a_process_that_missed_forgotten_removals_gets_the_complete_list() {
    let mut history = UpstreamHistory::default();
    history.record_list(&engines(REMOVED_LIMIT + 20, 1));
    let before = history.changes_since(0).version;
    history.record_list(&engines(REMOVED_LIMIT + 10, 2));
    let between = history.changes_since(before);
    assert_eq!(between.removed.len(), 10);
    history.record_list(&engines(5, 3));
    assert!(history.changes_since(before).is_complete);
    let late = history.changes_since(between.version);
    let count = late.removed.len();
    assert!(late.is_complete || count == REMOVED_LIMIT + 5, "{count}");
    assert!(history.changes_since(late.version + 1).is_complete);
}

/// Load: rounds of the weight planner with the engines of a large deployment.
#[test]
fn a_second_of_planning_grows_no_faster_than_the_engines() {
    let looks_per_second = |count: usize| {
        let mut table = UpstreamTable::new();
        table.apply(Moment(1), engines(count, 1));
        let targets: Vec<TargetVersion> = (0..MODELS)
            .map(|model| TargetVersion {
                model: name(&format!("m{model}")),
                version: WeightVersion(2),
            })
            .collect();
        let planner = WeightLoadPlanner {
            max_concurrent: count / 6,
        };
        let placements: Vec<_> = (0..MODELS)
            .map(|_| catkindeck_policy::direct::ModelPlacement {
                share: count / 2,
                demand: None,
            })
            .collect();
        let plan = planner.plan_placements(Moment(5), &table, &targets, &placements);
        plan.visited as u64 * 1_000 / plan_pause_ms(count * MODELS)
    };
    let (small, middle, large) = (
        looks_per_second(131),
        looks_per_second(1_000),
        looks_per_second(3_001),
    );
    assert!(middle <= small * 1_000 / 131, "{small} {middle}");
    assert!(large <= middle * 5 / 4, "{middle} {large}");
    assert_eq!(plan_pause_ms(131 * MODELS), 50);
    assert_eq!(plan_pause_ms(150 * MODELS), 50);
}

/// What happens to one engine before a read.
#[derive(Debug, Clone)]
enum Step {
    Renew(usize),
    Change(usize, u64),
    Restart(usize),
    Delay(usize),
    Leave(usize),
    /// The process with this number asks for changes.
    Ask(usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let engine = 0..6_usize;
    let step = prop_oneof![
        engine.clone().prop_map(Step::Renew),
        (engine.clone(), 1..4_u64).prop_map(|(engine, version)| Step::Change(engine, version)),
        engine.clone().prop_map(Step::Restart),
        engine.clone().prop_map(Step::Delay),
        engine.prop_map(Step::Leave),
        (0..3_usize).prop_map(Step::Ask),
    ];
    prop::collection::vec(step, 1..80)
}

proptest! {
    /// Processes that ask at any time have the list of the leader after each answer.
    #[test]
    fn every_process_has_the_list_of_the_leader(steps in steps()) {
        let mut history = UpstreamHistory::default();
        let mut listed: Vec<Option<DiscoveredUpstream>> = (0..6).map(|_| None).collect();
        let mut heartbeat = 10;
        let mut processes: Vec<(u64, Vec<DiscoveredUpstream>)> = vec![(0, Vec::new()); 3];
        let mut table = UpstreamTable::new();
        history.record_list(&[]);
        for (moment, step) in steps.into_iter().enumerate() {
            heartbeat += 1;
            let mut delayed = None;
            match step {
                Step::Renew(number) => {
                    let state = listed[number].get_or_insert_with(|| engine(number, heartbeat));
                    state.heartbeat = heartbeat;
                }
                Step::Change(number, version) => {
                    let state = listed[number].get_or_insert_with(|| engine(number, heartbeat));
                    state.heartbeat = heartbeat;
                    state.weights[0].version = WeightVersion(version);
                }
                Step::Restart(number) => {
                    let mut state = engine(number, 1);
                    state.born_ms = heartbeat;
                    listed[number] = Some(state);
                }
                Step::Delay(number) => {
                    if let Some(state) = &listed[number] {
                        let mut earlier = state.clone();
                        earlier.heartbeat = 0;
                        earlier.draining = true;
                        delayed = Some((number, earlier));
                    }
                }
                Step::Leave(number) => listed[number] = None,
                Step::Ask(process) => {
                    let (known, list) = &mut processes[process];
                    let changes = history.changes_since(*known);
                    *known = changes.version;
                    changes.apply_to(list);
                    let complete = history.changes_since(0);
                    prop_assert_eq!(
                        without_heartbeats(list),
                        without_heartbeats(&complete.records)
                    );
                    continue;
                }
            }
            let mut list: Vec<DiscoveredUpstream> = listed.iter().flatten().cloned().collect();
            if let Some((_, earlier)) = delayed {
                for record in &mut list {
                    if record.id == earlier.id {
                        *record = earlier.clone();
                    }
                }
            }
            history.record_list(&list);
            table.apply(Moment(moment as u64 + 1), list);
            let records = table.iter().map(|(_, state)| state.record.clone());
            let records: Vec<DiscoveredUpstream> = records.collect();
            prop_assert_eq!(
                without_heartbeats(&records),
                without_heartbeats(&history.changes_since(0).records)
            );
        }
    }
}

fn process(number: u8) -> IncarnationId {
    IncarnationId([number; 16])
}

/// Load: the leader of 300 processes with thousands of engines changes. The next leader was asked for the whole list by
/// each process, which took longer than its lease lasts.
#[test]
fn a_new_leader_sends_what_changed_since_the_former_one() {
    for count in [131, 1_000, 3_001] {
        let mut former = UpstreamHistory::default();
        former.lead(process(1), &engines(count, 1));
        let complete = former.changes_since(0);
        let mut processes = vec![UpstreamHistory::default(); 10];
        for history in &mut processes {
            history.follow(process(1), &complete);
        }
        let mut next = processes.pop().expect("there are processes");
        let mut list = engines(count - 1, 2);
        list[0].draining = true;
        next.lead(process(2), &list);
        let mut sent = 0;
        for history in &mut processes {
            let position = history.position().expect("it follows the former leader");
            let changes = next.changes_since(next.version_at(position));
            assert!(!changes.is_complete);
            sent += changes.records.len() + changes.removed.len();
            history.follow(process(2), &changes);
            assert_eq!(
                without_heartbeats(&history.list()),
                without_heartbeats(&list)
            );
        }
        assert_eq!(sent, processes.len() * 2, "{count} engines");
    }
}

/// Guards against a process that knows more of the former leader than the next one, and would keep what the next leader
/// has not seen.
#[test]
fn a_process_that_is_ahead_of_the_new_leader_gets_the_complete_list() {
    let mut former = UpstreamHistory::default();
    former.lead(process(1), &engines(3, 1));
    let mut next = UpstreamHistory::default();
    next.follow(process(1), &former.changes_since(0));
    former.lead(process(1), &engines(4, 2));
    let mut ahead = UpstreamHistory::default();
    ahead.follow(process(1), &former.changes_since(0));

    next.lead(process(2), &engines(3, 3));
    let position = ahead.position().expect("it follows the former leader");
    let changes = next.changes_since(next.version_at(position));
    assert!(changes.is_complete);
    ahead.follow(process(2), &changes);
    assert_eq!(ahead.list().len(), 3);
}

/// Guards against a memory of leaders that grows for as long as leaders change.
#[test]
fn only_the_latest_leaders_are_remembered() {
    let mut history = UpstreamHistory::default();
    let mut positions = Vec::new();
    for number in 0..100 {
        history.lead(process(number), &engines(usize::from(number) + 1, 1));
        positions.push(history.position().expect("it leads"));
    }
    let known = |number: usize| history.version_at(positions[number]) > 0;
    assert!(known(99) && known(93));
    assert!(!known(80));
}

/// What happens to three processes, of which one leads.
#[derive(Debug, Clone)]
enum Turn {
    /// An engine says something new.
    Change(usize, u64),
    /// An engine leaves.
    Leave(usize),
    /// A leader reads the list, also one that does not know that it is none any more.
    Read(usize),
    /// The first process gets an answer of the second one, if that has read as the leader.
    Follow(usize, usize),
}

fn turns() -> impl Strategy<Value = Vec<Turn>> {
    let turn = prop_oneof![
        (0..6_usize, 1..4_u64).prop_map(|(engine, version)| Turn::Change(engine, version)),
        (0..6_usize).prop_map(Turn::Leave),
        (0..3_usize).prop_map(Turn::Read),
        (0..3_usize, 0..3_usize).prop_map(|(process, leader)| Turn::Follow(process, leader)),
    ];
    prop::collection::vec(turn, 1..80)
}

proptest! {
    /// A process has the list of the leader that it asked, whichever processes led and read before.
    #[test]
    fn every_process_has_the_list_of_the_leader_that_it_asked(turns in turns()) {
        let mut listed: Vec<Option<DiscoveredUpstream>> = (0..6).map(|_| None).collect();
        let mut histories = vec![UpstreamHistory::default(); 3];
        let mut heartbeat = 10;
        for turn in turns {
            heartbeat += 1;
            match turn {
                Turn::Change(number, version) => {
                    let state = listed[number].get_or_insert_with(|| engine(number, heartbeat));
                    state.heartbeat = heartbeat;
                    state.weights[0].version = WeightVersion(version);
                }
                Turn::Leave(number) => listed[number] = None,
                Turn::Read(number) => {
                    let list: Vec<DiscoveredUpstream> = listed.iter().flatten().cloned().collect();
                    histories[number].lead(process(number as u8), &list);
                }
                Turn::Follow(number, leader) => {
                    let answering = histories[leader].clone();
                    if number == leader || !answering.is_led_by(process(leader as u8)) {
                        continue;
                    }
                    let history = &mut histories[number];
                    let known = history.position().map_or(0, |known| answering.version_at(known));
                    history.follow(process(leader as u8), &answering.changes_since(known));
                    prop_assert_eq!(
                        without_heartbeats(&history.list()),
                        without_heartbeats(&answering.list())
                    );
                }
            }
        }
    }
}

/// Load: all engines renew their entries, and a small process applies only what changed.
#[test]
fn changed_records_lead_to_the_same_table_as_whole_lists() {
    let mut whole = UpstreamTable::new();
    let mut changed = UpstreamTable::new();
    let mut list = engines(50, 1);
    whole.apply(Moment(1_000), list.clone());
    changed.apply(Moment(1_000), list.clone());
    for read in 2..20_u64 {
        let sent = Moment(read * 1_000);
        let index = read as usize;
        let mut records = Vec::new();
        match read % 3 {
            0 => list[index].draining = true,
            1 => list[index].weights[0].version = WeightVersion(read),
            _ => list[index].born_ms = read,
        }
        list[index].heartbeat += 1;
        records.push(list[index].clone());
        list.remove(30);
        let first = whole.apply(sent, list.clone());
        let second = changed.apply_changed(sent, &list, records);
        assert_eq!(first, second, "read {read}");
        let states = |table: &UpstreamTable| -> Vec<DiscoveredUpstream> {
            table
                .iter()
                .map(|(_, state)| state.record.clone())
                .collect()
        };
        assert_eq!(states(&whole), states(&changed));
    }
}
