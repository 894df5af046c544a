//! Changes of the list of upstreams, as the leader sends them to the other processes.

use {
    catkindeck::{Moment, id::ObjectName, token::WeightVersion},
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
