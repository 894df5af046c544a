//! Tests that nothing is selected that said that it leaves, in any order of notices and lists.

use {
    catkindeck::{Moment, id::ObjectName, token::WeightVersion},
    catkindeck_policy::direct::{
        DiscoveredUpstream, EngineQuery, LeavingNotice, LeavingRegister, ModelWeights, PlainQuery,
        RateLimits, UpstreamTable,
    },
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

fn notice(id: &str, born_ms: u64) -> LeavingNotice {
    LeavingNotice {
        id: name(id),
        born_ms,
        asked_ms: born_ms + 1,
    }
}

/// Returns the names of the upstreams that are selected for an engine request and a plain request.
fn selected(table: &UpstreamTable, now: Moment) -> [Option<String>; 2] {
    let (service, model, zone) = (name("engines"), name("model-a"), name("zone-a"));
    let engine = EngineQuery {
        service: &service,
        model: &model,
        least_version: WeightVersion(1),
        software: None,
        part: None,
        excluded: &[],
        zone: &zone,
        last_resort: true,
        connected: &|_| false,
    };
    let plain = PlainQuery {
        service: &service,
        software: None,
        excluded: &[],
        zone: &zone,
        connected: &|_| false,
        avoids_slow: false,
        avoids_full: false,
    };
    let engine = table.select_engine(now, &engine, RateLimits::NONE);
    let plain = table.select_plain(now, &plain, RateLimits::NONE);
    [engine, plain].map(|key| key.map(|key| table.get(key).record.id.to_string()))
}

/// A release under load: each engine says so in a response while its entry still reads `ready`.
#[test]
fn a_leaving_upstream_is_not_selected_whatever_its_entry_says() {
    let mut table = UpstreamTable::new();
    let list = |heartbeat| vec![upstream("one", 1, heartbeat), upstream("two", 1, heartbeat)];
    table.apply(Moment(1_000), list(1));
    assert!(table.record_leaving(&notice("one", 1)));

    for heartbeat in 2..6 {
        let now = Moment(heartbeat * 1_000);
        table.apply(now, list(heartbeat));
        assert_eq!(
            selected(&table, now),
            [Some("two".into()), Some("two".into())]
        );
    }
    assert!(
        !table.record_leaving(&notice("one", 1)),
        "a second notice is no news"
    );
    assert_eq!(table.leaving_notices().len(), 1);
}

/// A request waits for a connection or a permit while the entry of its upstream vanishes and comes back, and another
/// request gets the notice: both keys are of the instance that leaves.
#[test]
fn a_notice_holds_for_requests_that_were_assigned_before() {
    let mut table = UpstreamTable::new();
    table.apply(Moment(1_000), vec![upstream("one", 1, 1)]);
    let assigned = table.current(&name("one")).expect("it is listed");
    table.apply(Moment(2_000), Vec::new());
    table.apply(Moment(3_000), vec![upstream("one", 1, 2)]);
    let later = table.current(&name("one")).expect("it is listed again");
    assert_ne!(assigned, later);
    assert!(!table.is_leaving(assigned));

    table.record_leaving(&notice("one", 1));

    assert!(table.is_leaving(assigned) && table.is_leaving(later));
}

/// A peer with a newer list sends a notice before this process lists the instance.
#[test]
fn a_notice_holds_for_an_instance_that_is_listed_later() {
    let mut table = UpstreamTable::new();
    table.record_leaving(&notice("one", 7));
    table.apply(Moment(1_000), vec![upstream("one", 7, 1)]);
    assert_eq!(selected(&table, Moment(1_000)), [None, None]);
    assert!(table.is_left(&name("engines")));
}

/// Workers restart under their ids during a release; the answer of the former instance arrives after its successor
/// is listed.
#[test]
fn only_a_later_instance_takes_work_again() {
    let mut table = UpstreamTable::new();
    table.apply(Moment(1_000), vec![upstream("one", 1, 5)]);
    table.record_leaving(&notice("one", 1));
    table.apply(Moment(2_000), vec![upstream("one", 2, 1)]);
    assert_eq!(selected(&table, Moment(2_000))[0], Some("one".into()));
    assert!(!table.is_left(&name("engines")));

    table.record_leaving(&notice("one", 1));
    assert_eq!(selected(&table, Moment(2_000))[0], Some("one".into()));

    table.record_leaving(&notice("one", 2));
    table.record_leaving(&notice("one", 1));
    assert_eq!(selected(&table, Moment(2_000)), [None, None]);
}

/// The store is away while a worker restarts under its id, works, and leaves: the notice is filed under the instance
/// that the list still showed.
#[test]
fn a_notice_counts_for_an_instance_that_started_well_before_the_request() {
    let mut register = LeavingRegister::default();
    register.record(&LeavingNotice {
        id: name("one"),
        born_ms: 1_000,
        asked_ms: 60_000,
    });
    assert!(
        register.contains(&name("one"), 40_000),
        "it answered itself"
    );
    assert!(
        !register.contains(&name("one"), 58_000),
        "its clock may differ by some seconds"
    );
    assert!(
        !register.contains(&name("one"), 61_000),
        "it replaced the one that left"
    );
}

/// Months of releases do not let the register grow without bound, and what left last is kept.
#[test]
fn the_register_is_bounded_and_forgets_the_oldest() {
    let mut register = LeavingRegister::default();
    for number in 0..10_000 {
        register.record(&notice(&format!("upstream-{number}"), 1));
    }
    assert!(register.len() < 5_000);
    assert!(register.contains(&name("upstream-9999"), 1));
    assert!(!register.contains(&name("upstream-0"), 1));
}

/// A release of the largest deployment: 6,000 upstreams leave and are listed for a while, or are replaced under new
/// IDs while they drain. Work must go to none of those that left.
#[test]
fn a_release_of_all_upstreams_is_remembered_while_they_are_listed_or_drain() {
    const UPSTREAMS: usize = 6_000;
    let id = |release: usize, number: usize| format!("release-{release}-{number}");
    let list = |release: usize| -> Vec<DiscoveredUpstream> {
        (0..UPSTREAMS)
            .map(|number| upstream(&id(release, number), 1, 1))
            .collect()
    };
    let mut table = UpstreamTable::new();
    table.apply(Moment(1_000), list(0));
    for number in 0..UPSTREAMS {
        table.record_leaving(&notice(&id(0, number), 1));
    }
    assert_eq!(selected(&table, Moment(1_000)), [None, None]);
    assert_eq!(table.leaving_notices().len(), UPSTREAMS);

    // The next ones leave at once, while some hosts still see the entries of the first.
    table.apply(Moment(2_000), list(1));
    for number in 0..UPSTREAMS {
        table.record_leaving(&notice(&id(1, number), 1));
    }
    table.apply(Moment(3_000), list(0));
    assert_eq!(selected(&table, Moment(3_000)), [None, None]);
}

/// One upstream drains for long while others come and go under new IDs.
#[test]
fn a_listed_upstream_is_remembered_however_many_leave_after_it() {
    let mut table = UpstreamTable::new();
    table.apply(Moment(1_000), vec![upstream("one", 1, 1)]);
    table.record_leaving(&notice("one", 1));
    for number in 0..10_000 {
        table.record_leaving(&notice(&format!("upstream-{number}"), 1));
    }
    assert_eq!(selected(&table, Moment(1_000)), [None, None]);
}

#[derive(Debug, Clone)]
enum TableStep {
    List {
        is_listed: bool,
        born_ms: u64,
        is_late: bool,
    },
    Notice {
        born_ms: u64,
    },
}

fn steps() -> impl Strategy<Value = Vec<TableStep>> {
    let list =
        (any::<bool>(), 1..4_u64, any::<bool>()).prop_map(|(is_listed, born_ms, is_late)| {
            TableStep::List {
                is_listed,
                born_ms,
                is_late,
            }
        });
    let step = prop_oneof![
        list,
        (1..4_u64).prop_map(|born_ms| TableStep::Notice { born_ms })
    ];
    prop::collection::vec(step, 1..40)
}

proptest! {
    /// Lists, late lists, restarts and notices in any order: an instance of which a notice was recorded is never
    /// selected again.
    #[test]
    fn an_instance_never_returns_after_its_notice(steps in steps()) {
        let mut table = UpstreamTable::new();
        let mut left = Vec::new();
        for (number, step) in (1..).zip(steps) {
            let now = Moment(number * 1_000);
            match step {
                TableStep::List { is_listed, born_ms, is_late } => {
                    let list = match is_listed {
                        true => vec![upstream("one", born_ms, number)],
                        false => Vec::new(),
                    };
                    let sent = match is_late {
                        true => now - 5_000,
                        false => now,
                    };
                    table.apply(sent, list);
                }
                TableStep::Notice { born_ms } => {
                    table.record_leaving(&notice("one", born_ms));
                    left.push(born_ms);
                }
            }
            let is_selected = selected(&table, now) != [None, None];
            if let Some(key) = table.current(&name("one")) {
                let born_ms = table.get(key).record.born_ms;
                prop_assert!(!(is_selected && left.contains(&born_ms)));
                let is_later = left.iter().all(|left| *left < born_ms);
                prop_assert!(is_selected || !is_later, "a later instance takes work");
            }
        }
    }
}
