//! Outcomes of item runs.

use catkindeck::key;

/// The state with which a finished item is listed.
#[key]
pub enum ResultState {
    /// The text is complete and scored.
    Completed,
    /// The item was given up.
    Aborted,
}

/// How one run of an item at an upstream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ItemOutcome {
    /// The stream ended after its last event.
    Complete,
    /// The stream broke or the upstream did not run the item; another upstream continues it.
    Interrupted,
    /// The upstream responded that the run failed, which counts as a failed attempt.
    Failed,
    /// The upstream responded that the item can never succeed.
    Impossible,
    /// The upstream's weights are older than the job allows.
    Stale,
}
