//! Whether the configuration is recent enough to serve callers with keys.

use catkindeck::Moment;

/// Allows serving callers with keys only while the last configuration read is recent.
///
/// Only linearizable reads of the platform's store count. A read is dated by the time at which it
/// was sent, because its response may lack a change accepted later. An idle watch does not count,
/// because a watch can be disconnected or stall while the store accepts changes.
#[derive(Debug, Clone, Copy)]
pub struct FreshnessGate {
    bound_ms: u64,
    last_read: Option<Moment>,
}

impl FreshnessGate {
    /// Creates a gate that is closed until the first read; `bound_ms` is the maximum age of the
    /// last read.
    pub fn new(bound_ms: u64) -> Self {
        Self {
            bound_ms,
            last_read: None,
        }
    }

    /// Records a read sent at `moment`.
    pub fn record_read(&mut self, moment: Moment) {
        self.last_read = self.last_read.max(Some(moment));
    }

    /// Changes the bound after a settings reload.
    pub fn set_bound(&mut self, bound_ms: u64) {
        self.bound_ms = bound_ms;
    }

    /// Returns whether callers with keys may be served now.
    pub fn is_fresh(&self, now: Moment) -> bool {
        self.age(now).is_some_and(|age| age <= self.bound_ms)
    }

    /// Returns the age of the last read in milliseconds, or `None` before the first one.
    pub fn age(&self, now: Moment) -> Option<u64> {
        self.last_read.map(|last_read| now.since(last_read))
    }
}
