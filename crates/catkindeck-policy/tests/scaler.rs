//! Tests scale orders by zone and the forecast for the outage of a zone.

mod common;

use {
    catkindeck::{
        Moment,
        config::{ServiceKind, ServiceRecord, ZoneState},
    },
    catkindeck_policy::{ScaleOrder, ScalerSettings, ZoneCapacity, ZoneScaler},
    common::{fuzz_config, name},
    proptest::prelude::*,
};

const WARM_LIMIT: u32 = 10;
const COLD_START_MS: u64 = 60_000;
const STABILIZATION_MS: u64 = 90_000;

fn service() -> ServiceRecord {
    ServiceRecord {
        name: name("drafts"),
        kind: ServiceKind::Engine,
        warm_limit: WARM_LIMIT,
        cold_limit: 2,
        cold_start_ms: COLD_START_MS,
        checks_fence: false,
        direct: catkindeck::direct::DirectOptions::default(),
    }
}

fn capacity(zone: usize, ordered: u32, max_upstreams: u32, state: ZoneState) -> ZoneCapacity {
    ZoneCapacity {
        zone: name(&format!("zone-{zone}")),
        state,
        running: ordered,
        ordered,
        max_upstreams,
    }
}

fn apply(zones: &mut [ZoneCapacity], orders: &[ScaleOrder]) {
    for order in orders {
        let ordered = zones
            .iter_mut()
            .find(|capacity| capacity.zone == order.zone);
        let ordered = ordered.expect("an order names a known zone");
        ordered.ordered = order.count;
        ordered.running = order.count;
    }
}

fn total(zones: &[ZoneCapacity]) -> u32 {
    zones.iter().map(|capacity| capacity.ordered).sum()
}

proptest! {
    #![proptest_config(fuzz_config(51))]

    /// Guards against a forecast that promises more capacity than the other zones have.
    #[test]
    fn the_outage_assessment_matches_the_remaining_zones(
        counts in prop::collection::vec((0u32..4, 0u32..4, any::<bool>()), 2..5),
        busy in 0u32..60,
    ) {
        let mut zones: Vec<ZoneCapacity> = counts
            .iter()
            .enumerate()
            .map(|(zone, (ordered, more, out))| {
                let state = if *out { ZoneState::Out } else { ZoneState::In };
                capacity(zone, *ordered, ordered + more, state)
            })
            .collect();
        let mut scaler = ZoneScaler::new(ScalerSettings::default());
        scaler.observe(Moment(0), &service(), busy);
        let assessment = scaler.assess_zone_outage(&service(), &zones, &name("zone-0"));

        let remaining = |capacity: &&ZoneCapacity| capacity.zone != name("zone-0") && capacity.state == ZoneState::In;
        let running: u32 = zones.iter().filter(remaining).map(|capacity| capacity.running).sum();
        let max_upstreams: u32 = zones.iter().filter(remaining).map(|capacity| capacity.max_upstreams).sum();
        let needed = (busy * 100).div_ceil(WARM_LIMIT * 95).max(1);
        prop_assert_eq!(assessment.is_sufficient, running >= needed);
        prop_assert_eq!(assessment.is_sufficient_after_starts, max_upstreams >= needed);
        prop_assert_eq!(assessment.ready_ms > 0, !assessment.is_sufficient);
        apply(&mut zones, &assessment.starts);
        let running: u32 = zones.iter().filter(remaining).map(|capacity| capacity.running).sum();
        prop_assert_eq!(running >= needed, assessment.is_sufficient_after_starts);
    }

    /// Guards against orders above a zone's capacity, for zones that are out, and without effect.
    #[test]
    fn scale_orders_respect_zone_capacity_and_state(
        loads in prop::collection::vec(0u32..80, 1..40),
        rooms in prop::collection::vec(1u32..5, 2..5),
        out in 0usize..5,
    ) {
        let mut zones: Vec<ZoneCapacity> = rooms
            .iter()
            .enumerate()
            .map(|(zone, max_upstreams)| {
                let state = if zone == out { ZoneState::Out } else { ZoneState::In };
                capacity(zone, 1, *max_upstreams, state)
            })
            .collect();
        let mut scaler = ZoneScaler::new(ScalerSettings::default());
        for (step, load) in loads.iter().enumerate() {
            let now = Moment(step as u64 * 5_000);
            scaler.observe(now, &service(), *load);
            let orders = scaler.plan(now, &service(), &zones);
            for order in &orders {
                let capacity = zones.iter().find(|capacity| capacity.zone == order.zone);
                let capacity = capacity.expect("a known zone");
                prop_assert!(order.count <= capacity.max_upstreams);
                prop_assert!(capacity.state == ZoneState::In || order.count == 0);
                prop_assert_ne!(order.count, capacity.ordered);
            }
            apply(&mut zones, &orders);
            prop_assert!(scaler.plan(now, &service(), &zones).is_empty(), "orders repeat");
            let usable = zones.iter().filter(|capacity| capacity.state == ZoneState::In);
            let open: Vec<&ZoneCapacity> = usable.collect();
            prop_assert!(open.is_empty() || open.iter().any(|capacity| capacity.ordered > 0));
        }
    }

    /// Guards against stops and starts that follow every fluctuation of the demand.
    #[test]
    fn oscillating_demand_does_not_stop_upstreams(
        loads in prop::collection::vec(30u32..50, 60),
        seconds in 1u64..4,
    ) {
        // The smoothed demand stays below the peaks of 110, which alone would need twelve.
        let lowest = lowest_count(ScalerSettings::default(), &loads, seconds);
        prop_assert!(lowest >= 9, "{} upstreams", lowest);
        let without = ScalerSettings { stabilization_percent: 0, ..ScalerSettings::default() };
        let lowest = lowest_count(without, &loads, seconds);
        prop_assert!(lowest < 9 || seconds * 60 < STABILIZATION_MS / 1_000, "found no stop without a stabilization time");
    }
}

/// Simulates a demand that peaks twice per stabilization time, and returns the smallest number of
/// upstreams ordered.
fn lowest_count(settings: ScalerSettings, loads: &[u32], seconds: u64) -> u32 {
    let mut scaler = ZoneScaler::new(settings);
    let mut zones = vec![
        capacity(0, 6, 9, ZoneState::In),
        capacity(1, 6, 9, ZoneState::In),
    ];
    let mut lowest = total(&zones);
    for (step, load) in loads.iter().enumerate() {
        let second = step as u64 * seconds;
        let high = second % (STABILIZATION_MS / 2_000) < 20;
        let now = Moment(second * 1_000);
        scaler.observe(now, &service(), if high { 110 } else { *load });
        let orders = scaler.plan(now, &service(), &zones);
        apply(&mut zones, &orders);
        lowest = lowest.min(total(&zones));
    }
    lowest
}

/// Guards against upstreams that are started only once the load has arrived and are still cold
/// then.
#[test]
fn upstreams_are_started_one_cold_start_before_demand_rises() {
    let mut scaler = ZoneScaler::new(ScalerSettings::default());
    let mut zones = vec![
        capacity(0, 2, 9, ZoneState::In),
        capacity(1, 2, 9, ZoneState::In),
    ];
    for second in 0..120u32 {
        let now = Moment(u64::from(second) * 1_000);
        scaler.observe(now, &service(), 20 + second / 3);
        let orders = scaler.plan(now, &service(), &zones);
        apply(&mut zones, &orders);
    }
    // The demand is 59 now and 79 after the cold-start time, which needs nine upstreams at 95 %.
    assert!(total(&zones) >= 8, "{} ordered", total(&zones));
}

/// Guards against upstreams that keep running in a zone that stays out.
#[test]
fn a_zone_that_stays_out_is_emptied_after_the_stabilization_time() {
    let mut scaler = ZoneScaler::new(ScalerSettings::default());
    let zones = [
        capacity(0, 2, 9, ZoneState::Out),
        capacity(1, 2, 9, ZoneState::In),
    ];
    for second in 0..=STABILIZATION_MS / 1_000 {
        let now = Moment(second * 1_000);
        scaler.observe(now, &service(), 15);
        let orders = scaler.plan(now, &service(), &zones);
        let emptied = orders
            .iter()
            .any(|order| order.zone == name("zone-0") && order.count == 0);
        assert_eq!(
            emptied,
            second * 1_000 >= STABILIZATION_MS,
            "after {second} s"
        );
    }
}
