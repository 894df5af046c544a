//! Tests the estimate of the time of day on hosts whose clocks jump.

use {
    catkindeck::Moment,
    catkindeck_policy::direct::{ClockChange, UsageWindows, WallClockFilter},
};

/// The time of day at moment zero, in milliseconds since the Unix epoch.
const START_MS: u64 = 1_790_000_000_000;

/// Reads the clock of a host once a second; `jump_ms` is added from second 10 to second 17.
fn estimates(jump_ms: i64, seconds: u64) -> Vec<(u64, u64, Option<ClockChange>)> {
    let mut filter = WallClockFilter::default();
    let readings = (0..seconds).map(|second| {
        let now = Moment(second * 1_000);
        let is_stepped = (10..17).contains(&second);
        let jump_ms = if is_stepped { jump_ms } else { 0 };
        let reading = (START_MS + now.0).saturating_add_signed(jump_ms);
        let (estimate, change) = filter.observe(now, reading);
        (START_MS + now.0, estimate, change)
    });
    readings.collect()
}

/// Guards against processes that follow a clock which jumps by seconds and back: usage was counted in
/// other windows and reported too early, and items were given up before their time.
#[test]
fn a_jump_that_is_taken_back_does_not_change_the_estimate() {
    for jump_ms in [-3_870, -900, 900, 2_400, 3_870, 3_600_000] {
        let estimates = estimates(jump_ms, 60);
        for (truth, estimate, _) in &estimates {
            assert_eq!(truth, estimate, "jump of {jump_ms} ms");
            let window = UsageWindows::window_at(*estimate, 5_000);
            assert_eq!(window, UsageWindows::window_at(*truth, 5_000));
        }
        let changes: Vec<ClockChange> = estimates
            .iter()
            .filter_map(|(_, _, change)| *change)
            .collect();
        assert_eq!(changes, [ClockChange::Jumped(jump_ms)]);
    }
}

/// Guards against a process that keeps a wrong time of day forever after its host's clock was
/// corrected.
#[test]
fn a_jump_that_lasts_is_followed() {
    let mut filter = WallClockFilter::default();
    filter.observe(Moment(0), START_MS);
    let mut last = 0;
    for second in 1..=70 {
        let now = Moment(second * 1_000);
        last = filter.observe(now, START_MS + now.0 + 5_000).0;
    }
    assert_eq!(last, START_MS + 70_000 + 5_000);
}

/// Guards against an estimate that drifts away from a clock which is slewed.
#[test]
fn drift_is_followed_at_once() {
    let mut filter = WallClockFilter::default();
    for second in 0..1_000 {
        let now = Moment(second * 1_000);
        let reading = START_MS + now.0 + second * 20;
        assert_eq!(filter.observe(now, reading), (reading, None));
    }
}
