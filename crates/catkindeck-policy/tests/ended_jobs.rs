//! When ended jobs are removed from the store.

use {catkindeck::Moment, catkindeck_policy::direct::EndedJobs};

const SCAN_MS: u64 = 2_500;

/// Guards against a job that is removed while its caller may still repeat the call that ended it, and against one that is
/// never removed.
#[test]
fn an_ended_job_is_kept_for_ten_seconds_and_then_removed() {
    let mut ended = EndedJobs::default();
    let mut removed_ms = None;
    for now_ms in (0..60_000).step_by(SCAN_MS as usize) {
        let is_due = ended.observe(Moment(now_ms), "job-1");
        assert!(!is_due || now_ms >= 10_000, "removed after {now_ms} ms");
        removed_ms = removed_ms.or(is_due.then_some(now_ms));
    }
    assert_eq!(removed_ms, Some(10_000));
}

/// Guards against memory for jobs that are gone: one with the same identifier starts again.
#[test]
fn a_job_that_is_gone_is_forgotten() {
    let mut ended = EndedJobs::default();
    assert!(!ended.observe(Moment(0), "job-1"));
    assert!(!ended.observe(Moment(0), "job-2"));
    ended.retain_listed(|job| job == "job-2");
    assert!(!ended.observe(Moment(20_000), "job-1"));
    assert!(ended.observe(Moment(20_000), "job-2"));
}
