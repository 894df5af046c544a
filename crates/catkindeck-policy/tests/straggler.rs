//! Tests straggler mitigation and the staleness forecast.

mod common;

use {
    catkindeck::Moment,
    catkindeck_policy::{
        SampleKey, StalenessForecast, StragglerAction, StragglerPolicy, StragglerSettings,
    },
    common::request,
};

const LAST_SAMPLE: SampleKey = SampleKey { group: 4, index: 3 };

/// Returns the policy of a step in which the last sample has generated `tokens` in 10 s and all
/// others were accepted after 1 s with 100 tokens.
fn nearly_complete_step(reported: bool, tokens: u64) -> StragglerPolicy {
    let mut policy = StragglerPolicy::new(StragglerSettings::default(), 5, 4);
    for number in 0..20 {
        let sample = SampleKey {
            group: number / 4,
            index: number % 4,
        };
        policy.record_sent(Moment(0), sample, request(number));
        if sample == LAST_SAMPLE {
            continue;
        }
        if reported {
            policy.record_progress(sample, &request(number), 100);
        }
        assert!(
            policy
                .record_accepted(Moment(1_000), sample, &request(number))
                .is_empty()
        );
    }
    if reported {
        policy.record_progress(LAST_SAMPLE, &request(19), tokens);
    }
    policy
}

#[test]
fn a_slow_attempt_is_duplicated_once_and_its_loser_cancelled() {
    let mut policy = nearly_complete_step(true, 200);
    let actions = policy.plan(Moment(10_000));
    assert!(actions.contains(&StragglerAction::Duplicate(LAST_SAMPLE)));
    policy.record_sent(Moment(10_000), LAST_SAMPLE, request(20));
    assert!(
        !policy
            .plan(Moment(30_000))
            .contains(&StragglerAction::Duplicate(LAST_SAMPLE))
    );
    assert_eq!(
        policy.record_accepted(Moment(31_000), LAST_SAMPLE, &request(20)),
        [request(19)]
    );
    assert_eq!(policy.open_count(), 0);
}

#[test]
fn a_long_attempt_at_mean_speed_is_not_duplicated() {
    let mut policy = nearly_complete_step(true, 1_000);
    assert!(
        !policy
            .plan(Moment(10_000))
            .contains(&StragglerAction::Duplicate(LAST_SAMPLE))
    );
}

/// Guards against stragglers that are never duplicated because their owner reports no progress.
#[test]
fn an_attempt_without_progress_reports_is_duplicated_by_age() {
    let mut policy = nearly_complete_step(false, 0);
    assert!(
        policy
            .plan(Moment(10_000))
            .contains(&StragglerAction::Duplicate(LAST_SAMPLE))
    );
}

#[test]
fn the_last_member_of_a_group_has_the_highest_priority() {
    let policy = nearly_complete_step(true, 0);
    assert_eq!(policy.priority(LAST_SAMPLE.group), 200);
    let fresh = StragglerPolicy::new(StragglerSettings::default(), 5, 4);
    assert_eq!(fresh.priority(0), 0);
}

#[test]
fn a_sample_that_would_end_past_the_bound_waits_for_the_next_version() {
    let mut forecast = StalenessForecast::new();
    for minute in 0..4 {
        forecast.record_announcement(Moment(minute * 60_000));
    }
    let now = Moment(3 * 60_000 + 50_000);
    assert!(forecast.fits_bound(now, 5_000, 0, 0));
    assert!(!forecast.fits_bound(now, 15_000, 0, 0));
    assert!(forecast.fits_bound(now, 15_000, 0, 1));
    assert!(!forecast.fits_bound(now, 15_000, 1, 1));
    // An overdue version is expected at any moment.
    assert_eq!(forecast.predicted_version_changes(Moment(400_000), 0), 1);
}
