//! Tests the concurrency limit.

use {
    catkindeck::Moment,
    catkindeck_policy::{ConcurrencyLimit, LimitSettings},
};

const SETTINGS: LimitSettings = LimitSettings {
    cold: 2,
    warm: 16,
    cold_start_ms: 60_000,
    adaptive: true,
};

/// Guards against a completion that lowers a warm limit to the cold-start line, which happened
/// after a change of settings.
#[test]
fn a_completion_never_lowers_the_limit() {
    let warm = LimitSettings {
        cold: 16,
        ..SETTINGS
    };
    let mut limit = ConcurrencyLimit::new(warm, Moment(0));
    limit.configure(SETTINGS);
    assert_eq!(limit.current(), 16);
    limit.complete(Moment(1_000), 20.0);
    assert_eq!(limit.current(), 16);
}

/// Guards against an upstream that keeps its warm limit although it has become slow.
#[test]
fn a_slow_upstream_gets_a_lower_limit() {
    let mut limit = ConcurrencyLimit::new(SETTINGS, Moment(0));
    for second in 0..200 {
        limit.complete(Moment(second * 1_000), 20.0);
    }
    assert_eq!(limit.current(), 16);
    for second in 200..230 {
        limit.complete(Moment(second * 1_000), 80.0);
    }
    assert!(
        limit.current() <= 8,
        "{} after 30 s at a quarter of the speed",
        limit.current()
    );
}
