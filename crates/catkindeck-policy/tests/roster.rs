//! Tests the upstream table with late, old and incomplete lists.

use {
    catkindeck::{Moment, id::ObjectName, token::WeightVersion},
    catkindeck_policy::direct::{DiscoveredUpstream, ModelWeights, UpstreamTable},
    proptest::prelude::*,
};

fn name(text: &str) -> ObjectName {
    ObjectName::try_from(text).expect("the name is valid")
}

fn upstream(id: &str, born_ms: u64, heartbeat: u64) -> DiscoveredUpstream {
    DiscoveredUpstream {
        id: name(id),
        service: name("engines"),
        zone: name("zone-a"),
        address: "127.0.0.1:7000".parse().expect("the address is valid"),
        slots: 4,
        draining: false,
        cold_ms: 0,
        heartbeat,
        born_ms,
        software: "1".try_into().expect("the version is valid"),
        weights: vec![ModelWeights {
            model: name("model-a"),
            version: WeightVersion(1),
        }],
    }
}

/// Guards against work for an upstream that is no longer listed, because an unchanged list was
/// treated as an outage.
#[test]
fn an_unchanged_list_is_not_treated_as_an_outage() {
    let mut table = UpstreamTable::new();
    let list = vec![upstream("one", 1, 1), upstream("two", 1, 1)];
    for second in 0..8 {
        table.apply(Moment(second * 1_000), list.clone());
    }

    let changes = table.apply(Moment(8_000), vec![upstream("two", 1, 1)]);

    assert_eq!(changes.gone.len(), 1);
    assert!(table.current(&name("one")).is_none());
}

/// Guards against an older list, received from another process after a newer own read, that
/// restores a removed upstream or makes the next read look like the first one after an outage.
#[test]
fn an_older_list_is_ignored() {
    let mut table = UpstreamTable::new();
    let both = vec![upstream("one", 1, 1), upstream("two", 1, 1)];
    table.apply(Moment(10_000), both.clone());
    table.apply(Moment(11_500), both.clone());

    table.apply(Moment(9_000), both);
    table.apply(Moment(12_200), vec![upstream("two", 1, 1)]);

    assert!(table.current(&name("one")).is_none());
}

/// Guards against dropping upstreams whose entries expired while the store was unavailable.
#[test]
fn missing_entries_are_kept_for_a_grace_time_after_an_outage() {
    let mut table = UpstreamTable::new();
    let both = vec![upstream("one", 1, 1), upstream("two", 1, 1)];
    table.apply(Moment(1_000), both.clone());

    table.apply(Moment(7_000), vec![upstream("two", 1, 2)]);
    let key = table.current(&name("one")).expect("the grace time lasts");
    assert!(table.accepts_work(key));
    table.apply(Moment(8_000), both);
    table.apply(Moment(9_500), vec![upstream("two", 1, 2)]);

    assert!(
        table.current(&name("one")).is_none(),
        "the grace time is over"
    );
}

/// Guards against an upstream that stays cold as long as its unchanged entry is read again.
#[test]
fn an_unchanged_entry_does_not_prolong_the_cold_time() {
    let mut table = UpstreamTable::new();
    let cold = DiscoveredUpstream {
        cold_ms: 2_000,
        ..upstream("one", 1, 1)
    };
    for step in 0..10 {
        table.apply(Moment(step * 500), vec![cold.clone()]);
    }
    let key = table.current(&name("one")).expect("it is listed");
    assert!(table.get(key).is_cold(Moment(1_999)));
    assert!(!table.get(key).is_cold(Moment(2_000)));
}

/// Guards against using measurements of an earlier instance for a new one with the same ID.
#[test]
fn a_restart_under_the_same_id_is_a_new_instance() {
    let mut table = UpstreamTable::new();
    table.apply(Moment(0), vec![upstream("one", 1, 9)]);
    let first = table.current(&name("one")).expect("it is listed");
    table
        .get_mut(first)
        .observe_version(&name("model-a"), WeightVersion(7));

    let changes = table.apply(Moment(1_000), vec![upstream("one", 2, 1)]);

    let second = table.current(&name("one")).expect("it is listed");
    assert_ne!(first, second);
    assert_eq!((changes.appeared.len(), changes.gone.len()), (1, 1));
    let version = table.get(second).version(&name("model-a"));
    assert_eq!(version, Some(WeightVersion(1)));
    assert!(!table.accepts_work(first));
}

/// Guards against a delayed write of an earlier heartbeat that restores an earlier state.
#[test]
fn an_old_heartbeat_changes_nothing() {
    let mut table = UpstreamTable::new();
    let draining = DiscoveredUpstream {
        draining: true,
        ..upstream("one", 2, 5)
    };
    table.apply(Moment(0), vec![draining]);

    table.apply(Moment(500), vec![upstream("one", 2, 4)]);
    table.apply(Moment(900), vec![upstream("one", 1, 99)]);

    let key = table.current(&name("one")).expect("it is listed");
    assert!(!table.accepts_work(key));
}

proptest! {
    /// Guards against work for an upstream that is not in the current list, except in the grace
    /// time after an outage, for any lists in any order.
    #[test]
    fn only_listed_upstreams_take_work(
        steps in prop::collection::vec((1u64..4_000, prop::bits::u8::ANY, 1u64..4, 0u64..9), 1..40),
    ) {
        let mut table = UpstreamTable::new();
        let mut now = Moment(0);
        // When each of the eight upstreams was last listed.
        let mut last_listed: [Option<Moment>; 8] = [None; 8];
        let mut last_read: Option<Moment> = None;
        let mut outage_ended: Option<Moment> = None;
        for (pause, mask, born, heartbeat) in steps {
            now = now + pause;
            if last_read.is_some_and(|last| now.since(last) > 3_000) {
                outage_ended = Some(now);
            }
            last_read = Some(now);
            let mut list = Vec::new();
            for index in 0..8u8 {
                if mask & (1 << index) != 0 {
                    last_listed[usize::from(index)] = Some(now);
                    list.push(upstream(&format!("u{index}"), born, heartbeat));
                }
            }
            table.apply(now, list);
            for (index, listed) in last_listed.iter().enumerate() {
                let key = table.current(&name(&format!("u{index}")));
                let accepts_work = key.is_some_and(|key| table.accepts_work(key));
                let in_grace = outage_ended.is_some_and(|ended| now.since(ended) < 2_300);
                let is_listed = *listed == Some(now);
                prop_assert!(!accepts_work || is_listed || in_grace);
                prop_assert!(accepts_work || !is_listed, "a listed upstream must accept work");
            }
        }
    }
}
