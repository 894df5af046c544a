//! When an ended job may be removed from the store.

use catkindeck::{Moment, SortedMap};

/// How long a job is kept after its end was first seen, in milliseconds. A caller that got no answer to its call ends the
/// job again within some seconds, and must not be told that there is none.
const ENDED_RETENTION_MS: u64 = 10_000;

/// The ended jobs in the store, with the time at which the leader first saw each as ended.
///
/// The time of the end is not stored: a new leader keeps the jobs a little longer.
#[derive(Debug, Clone, Default)]
pub struct EndedJobs(SortedMap<String, Moment>);

impl EndedJobs {
    /// Records that a job has ended, and returns whether it has been known for long enough to be removed.
    pub fn observe(&mut self, now: Moment, job: &str) -> bool {
        let seen_at = self.0.get_or_insert_with(job.to_owned(), || now);
        now.since(*seen_at) >= ENDED_RETENTION_MS
    }

    /// Forgets the jobs that are no longer in the store.
    pub fn retain_listed(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.0.retain(|job, _| is_listed(job));
    }
}
