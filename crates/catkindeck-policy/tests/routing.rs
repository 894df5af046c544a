//! Tests home agents, subsets and routing.
//!
//! Guards against home agents that other entries do not find, upstreams that no entry uses, and
//! prefix routing that overloads an upstream.

mod common;

use {
    catkindeck::{
        Moment,
        config::{ConfigRevision, UpstreamRecord, ZoneRecord, ZoneState},
        id::{BootId, IncarnationId, ObjectName},
        message::LoadReport,
    },
    catkindeck_policy::{HomeSelector, RouteQuery, RouterSettings, UpstreamRouter},
    common::{fuzz_config, name, upstream},
    proptest::prelude::*,
    std::collections::BTreeSet,
};

fn zone(number: usize, state: ZoneState) -> ZoneRecord {
    ZoneRecord {
        name: name(&format!("zone-{number}")),
        region: name("region"),
        state,
    }
}

fn report(limit: u32, in_flight: u32, closed: bool) -> LoadReport {
    LoadReport {
        incarnation: IncarnationId::default(),
        boot: BootId::default(),
        limit,
        in_flight,
        queued: 0,
        credits: limit.saturating_sub(in_flight),
        closed,
        version: None,
        revision: ConfigRevision(1),
        prefixes: Vec::new(),
    }
}

proptest! {
    #![proptest_config(fuzz_config(41))]

    /// Guards against an idempotency key whose former home agent is not asked (decision 4).
    #[test]
    fn every_home_within_the_retention_is_known(
        lives in prop::collection::vec((0u64..2_000, proptest::option::of(0u64..2_000)), 2..8),
        key in "[a-z]{1,8}",
        now in 1_000u64..2_000,
    ) {
        let retention_ms = 500;
        let selector = HomeSelector::with_retention(retention_ms);
        let as_known_at = |instant: u64| -> Vec<UpstreamRecord> {
            let lives = lives.iter().enumerate();
            lives
                .filter(|(_, (added, _))| *added <= instant)
                .map(|(number, (added, stay))| UpstreamRecord {
                    added_ms: *added,
                    removed_ms: stay.map(|stay| added + stay).filter(|end| *end <= instant),
                    ..upstream(number, 0)
                })
                .collect()
        };
        let choose = |instant| {
            selector.choose(instant, None, &key, &name("drafts"), &as_known_at(instant))
        };
        if let Some(choice) = choose(now) {
            for instant in now - retention_ms..=now {
                let Some(then) = choose(instant) else { continue };
                let asked = then.home == choice.home || choice.earlier.contains(&then.home);
                prop_assert!(asked, "{:?} was home at {}", then.home, instant);
            }
        }
    }

    /// Guards against prefix routing to an upstream above the load bound (decision 15).
    #[test]
    fn prefix_routing_never_exceeds_the_load_bound(
        loads in prop::collection::vec(0u32..12, 2..20),
        prefix in any::<u64>(),
        holders in prop::collection::vec(any::<bool>(), 20),
        seed in any::<u64>(),
    ) {
        let settings = RouterSettings::default();
        if let Some(load) = load_routed_by_prefix(settings, &loads, &holders, prefix, seed) {
            prop_assert!(is_within_bound(&loads, load), "{} is above the bound", load);
        }
    }

    /// Guards against work for excluded, closed and failed upstreams.
    #[test]
    fn avoided_upstreams_get_nothing(avoided in 0usize..6, how in 0u8..4, seed in any::<u64>()) {
        let mut router = UpstreamRouter::new(RouterSettings::default(), name("entry"), seed);
        let members: Vec<_> = (0..6).map(|number| upstream(number, number)).collect();
        router.set_members(&members, &[], &[]);
        let bad = members[avoided].name.clone();
        let mut excluded = Vec::new();
        match how {
            0 => excluded.push(bad.clone()),
            1 => router.record_report(Moment(0), &bad, &report(4, 0, true)),
            2 => router.record_failure(Moment(0), &bad),
            _ => router.set_members(&members, &[zone(avoided, ZoneState::Out)], &[]),
        }
        for _ in 0..50 {
            let query = RouteQuery { service: &name("drafts"), prefix: None, excluded: &excluded };
            let choice = router.route(Moment(1), &query).expect("five are available");
            prop_assert_ne!(&choice.upstream, &bad);
            router.record_sent(&choice.upstream);
        }
    }
}

/// Routes one request and returns the load of the chosen upstream if it was chosen by prefix.
fn load_routed_by_prefix(
    settings: RouterSettings,
    loads: &[u32],
    holders: &[bool],
    prefix: u64,
    seed: u64,
) -> Option<u32> {
    let mut router = UpstreamRouter::new(settings, name("entry"), seed);
    let members: Vec<_> = (0..loads.len()).map(|number| upstream(number, 0)).collect();
    router.set_members(&members, &[], &[]);
    for (number, load) in loads.iter().enumerate() {
        let mut load = report(10, *load, false);
        if holders[number] {
            load.prefixes.push(prefix);
        }
        router.record_report(Moment(5), &members[number].name, &load);
    }
    let query = RouteQuery {
        service: &name("drafts"),
        prefix: Some(prefix),
        excluded: &[],
    };
    let choice = router.route(Moment(5), &query).expect("all are available");
    let number = members
        .iter()
        .position(|member| member.name == choice.upstream);
    choice.by_prefix.then(|| loads[number.expect("a member")])
}

/// Returns whether a load is within 1.25 times the mean, and below the limit of ten unless all
/// upstreams together are full, in which case waiting takes equally long everywhere.
fn is_within_bound(loads: &[u32], load: u32) -> bool {
    let sum: u32 = loads.iter().sum();
    let mean = f64::from(sum + 1) / loads.len() as f64;
    let all_full = sum as usize >= 10 * loads.len();
    f64::from(load) <= 1.25 * mean && (load < 10 || all_full)
}

/// Checks that [`is_within_bound`] detects a router without the load bound.
#[test]
fn a_missing_load_bound_is_detected() {
    let settings = RouterSettings {
        load_bound_percent: 100_000,
        ..RouterSettings::default()
    };
    let loads = [9, 0, 0, 0];
    let load = load_routed_by_prefix(settings, &loads, &[true, false, false, false], 7, 1);
    assert_eq!(load, Some(9));
    assert!(!is_within_bound(&loads, 9));
}

/// Guards against upstreams that no entry uses in a large fleet, and against unbounded subsets.
#[test]
fn every_upstream_is_used_by_two_entries() {
    let upstreams: Vec<_> = (0..1_000)
        .map(|number| upstream(number, number % 12))
        .collect();
    let entries: Vec<_> = (0..100)
        .map(|number| name(&format!("entry-{number}")))
        .collect();
    let mut uses = vec![0u32; upstreams.len()];
    for entry in &entries {
        let mut router = UpstreamRouter::new(RouterSettings::default(), entry.clone(), 1);
        router.set_members(&upstreams, &[], &entries);
        let members = router.members(&name("drafts"));
        assert!(
            (8..=60).contains(&members.len()),
            "{} members",
            members.len()
        );
        let zones: BTreeSet<&ObjectName> = upstreams
            .iter()
            .filter(|upstream| members.contains(&upstream.name))
            .map(|upstream| &upstream.zone)
            .collect();
        assert!(zones.len() >= 4, "a subset in {} zones", zones.len());
        for (number, upstream) in upstreams.iter().enumerate() {
            uses[number] += u32::from(members.contains(&upstream.name));
        }
    }
    assert!(uses.iter().all(|uses| *uses >= 2));
}

/// Guards against rejecting every request because each upstream has just failed once.
#[test]
fn a_failed_upstream_is_used_if_no_other_is_left() {
    let mut router = UpstreamRouter::new(RouterSettings::default(), name("entry"), 1);
    let members = [upstream(0, 0), upstream(1, 1)];
    router.set_members(&members, &[], &[]);
    router.record_failure(Moment(0), &members[0].name);
    router.record_failure(Moment(0), &members[1].name);
    let service = name("drafts");
    let excluded = [members[0].name.clone()];
    let query = RouteQuery {
        service: &service,
        prefix: None,
        excluded: &excluded,
    };
    let choice = router.route(Moment(1), &query).expect("one is left");
    assert_eq!(choice.upstream, members[1].name);
    router.set_draining(&members[1].name, true);
    assert!(router.route(Moment(1), &query).is_err());
}
