//! What a process that shuts down still takes.

use {
    catkindeck::{Moment, id::ObjectName},
    catkindeck_policy::direct::{DrainSchedule, RequestLengths},
};

const STARTED: Moment = Moment(10_000);

fn service(name: &str) -> ObjectName {
    ObjectName::try_from(name).expect("the name is valid")
}

/// Guards against a request that is taken at any moment of a stop and then cut: with any grace period, a request that
/// is taken ends, by its deadline or by its usual length, before the process does.
#[test]
fn a_request_that_is_taken_ends_before_the_process() {
    for grace_ms in [0, 300, 800, 2_000, 6_000, 8_000, 60_000] {
        let schedule = DrainSchedule::new(STARTED, grace_ms);
        assert!(schedule.accepts_until <= schedule.answers_until);
        assert!(schedule.answers_until <= schedule.exits_at);
        assert!(schedule.exits_at <= STARTED + grace_ms);
        for elapsed_ms in (0..=grace_ms).step_by(50) {
            let now = STARTED + elapsed_ms;
            for deadline_ms in [1, 800, 2_000, 30_000] {
                for longest_ms in [None, Some(5), Some(600), Some(90_000)] {
                    let lasts_ms = longest_ms.unwrap_or(deadline_ms).min(deadline_ms);
                    let is_taken = schedule.can_finish(now, deadline_ms, longest_ms);
                    assert!(!is_taken || now + lasts_ms <= schedule.exits_at);
                }
            }
        }
    }
}

/// Guards against needless refusals: a request with a distant deadline is taken while its service answers in time.
#[test]
fn a_short_request_with_a_distant_deadline_is_taken() {
    let schedule = DrainSchedule::new(STARTED, 8_000);
    for elapsed_ms in [0, 1_000, 3_500, 6_500] {
        assert!(schedule.can_finish(STARTED + elapsed_ms, 30_000, Some(600)));
    }
    assert!(!schedule.can_finish(STARTED + 6_700, 30_000, Some(600)));
    assert!(!schedule.can_finish(STARTED, 30_000, None));
    assert!(schedule.can_finish(STARTED + 5_000, 2_000, None));
}

/// Guards against lengths that are forgotten while they are recent, and that are kept without end.
#[test]
fn the_longest_recent_request_is_known_for_one_to_two_minutes() {
    let (desks, engines) = (service("desks"), service("engines"));
    let mut lengths = RequestLengths::default();
    lengths.record(STARTED, &desks, 900);
    lengths.record(STARTED + 1_000, &desks, 20);
    lengths.record(STARTED + 1_000, &engines, 30);
    assert_eq!(lengths.longest_ms(STARTED + 2_000, &desks), Some(900));
    lengths.record(STARTED + 70_000, &desks, 25);
    assert_eq!(lengths.longest_ms(STARTED + 70_000, &desks), Some(900));
    lengths.record(STARTED + 131_000, &desks, 25);
    assert_eq!(lengths.longest_ms(STARTED + 131_000, &desks), Some(25));

    lengths.drop_idle(STARTED + 131_000);
    assert_eq!(lengths.longest_ms(STARTED + 131_000, &engines), None);
    assert_eq!(lengths.longest_ms(STARTED + 131_000, &desks), Some(25));
    assert_eq!(lengths.longest_ms(STARTED + 300_000, &desks), None);
}
