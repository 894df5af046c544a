//! The rule by which an item is given up.

use super::job::JobLimits;

/// The number of responses stating that an item can never succeed after which it is given up.
const REJECTION_LIMIT: u32 = 1;

/// What is known against an unfinished item.
///
/// Only responses in which an upstream states a failure of its own count. A lost response, a
/// timeout or a refusal says nothing about the item, so that it is tried again until it expires.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FailureEvidence {
    /// The number of runs that ended with a server failure.
    pub failures: u32,
    /// The number of responses stating that the item can never succeed.
    pub rejections: u32,
    /// The number of calls that the scorer answered with a server failure.
    pub scorer_failures: u32,
    /// The number of scorer failures that the scorer's route allows.
    pub scorer_limit: u32,
    /// The time since the item's job was submitted, in milliseconds.
    pub age_ms: u64,
}

impl FailureEvidence {
    /// Returns whether an item with this evidence may be listed as aborted.
    pub fn justifies_abort(&self, limits: &JobLimits) -> bool {
        let attempts = limits.attempts.max(1);
        self.rejections >= REJECTION_LIMIT
            || self.failures >= attempts
            || self.scorer_failures >= attempts.max(self.scorer_limit)
            || self.age_ms >= limits.item_ttl_ms
    }
}
