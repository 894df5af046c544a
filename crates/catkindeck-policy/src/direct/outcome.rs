//! How a run of an item ended.

use catkindeck::key;

/// What a finished item is listed as.
#[key]
pub enum ResultState {
    /// The text is whole and scored.
    Completed,
    /// The item was given up.
    Aborted,
}

/// How one run of an item at an upstream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ItemOutcome {
    /// The stream ended after its last event.
    Complete,
    /// The stream broke, or the upstream did not run the item; it goes on elsewhere.
    Interrupted,
    /// The upstream answered that the run failed, which counts against the item's attempts.
    Failed,
    /// The upstream answered that the item can never be done.
    Impossible,
    /// The upstream's weights are older than the job allows.
    Stale,
}
