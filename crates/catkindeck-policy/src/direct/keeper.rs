//! Which process keeps the copies of running texts.

use catkindeck::{Moment, SortedMap, id::IncarnationId};

/// How long a process that did not answer keeps no copies, in milliseconds. A lost process leaves the
/// list within this time; one that is cut off from this process alone does not.
const AVOID_MS: u64 = 5_000;

/// The processes that did not answer lately.
#[derive(Debug, Default)]
pub struct KeeperChoice {
    failed: SortedMap<IncarnationId, Moment>,
}

impl KeeperChoice {
    /// Returns the first of `ranked` that is not known to be out of reach.
    ///
    /// A copy that goes nowhere is worth nothing, so a worse rank that answers goes before a better
    /// one that does not.
    pub fn choose(&mut self, now: Moment, ranked: &[IncarnationId]) -> Option<IncarnationId> {
        self.failed.retain(|_, at| now.since(*at) < AVOID_MS);
        let is_known = |keeper: &&IncarnationId| self.failed.get(*keeper).is_none();
        ranked.iter().find(is_known).copied()
    }

    /// Notes that a process did not answer.
    pub fn failed(&mut self, now: Moment, keeper: IncarnationId) {
        self.failed.insert(keeper, now);
    }
}
