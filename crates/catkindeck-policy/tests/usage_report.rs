//! Tests when the usage of a window is collected and reported.

use catkindeck_policy::direct::{ReportAction, ReportSchedule};

const SCHEDULE: ReportSchedule = ReportSchedule {
    length_ms: 2_000,
    deadline_ms: 8_000,
};

/// The duration of a collection round in which some processes do not answer, in milliseconds.
const ROUND_MS: u64 = 800;

/// The pause after a round in which some processes did not answer, in milliseconds.
const PAUSE_MS: u64 = 400;

/// The duration of two calls to a slow store and the report, in milliseconds.
const REPORT_MS: u64 = 1_500;

/// Guards against a report that waits for an unreachable process beyond the deadline: one that was
/// due at 16.0 s went out at 16.4 s.
#[test]
fn a_report_waits_for_a_silent_process_and_meets_its_deadline() {
    let window = 10;
    let end = (window + 1) * SCHEDULE.length_ms;
    for start in (end..end + 4_000).step_by(50) {
        let mut now = start;
        let mut rounds = 0;
        loop {
            match SCHEDULE.action(window, now) {
                ReportAction::Wait => now += 500,
                ReportAction::CollectAll => {
                    rounds += 1;
                    now += ROUND_MS + PAUSE_MS;
                }
                ReportAction::Seal => break,
            }
        }
        let reported = now + ROUND_MS + REPORT_MS;
        assert!(
            reported <= end + SCHEDULE.deadline_ms,
            "{start}: {reported}"
        );
        assert!(
            rounds >= 1 || start + 1_000 > end + 4_000,
            "{start}: collected at least once"
        );
    }
}

/// Guards against sealing windows in which requests are still counted.
#[test]
fn a_window_is_collected_after_a_delay() {
    let end = 11 * SCHEDULE.length_ms;
    assert_eq!(SCHEDULE.action(10, end + 1_999), ReportAction::Wait);
    assert_eq!(SCHEDULE.action(10, end + 2_000), ReportAction::CollectAll);
}

/// Guards against waiting for processes when the deadline is shorter than the margin: the report
/// goes out as soon as the window may be collected.
#[test]
fn a_deadline_below_the_margin_leaves_no_time_to_wait() {
    let schedule = ReportSchedule {
        length_ms: 2_000,
        deadline_ms: 2_500,
    };
    assert_eq!(schedule.action(10, 22_000 + 2_000), ReportAction::Seal);
}
