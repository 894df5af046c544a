//! How long the configuration of a process may be trusted.

use catkindeck::Moment;

/// Tells whether the newest configuration was seen recently enough to serve callers with keys.
///
/// A proof is a linearizable read of the platform's store. It is dated by the moment before the read
/// was sent, because a change that was accepted after that moment may be missing from the answer. A
/// quiet watch proves nothing: watches can be cut or fall silent while the store goes on.
#[derive(Debug, Clone, Copy)]
pub struct FreshnessGate {
    bound_ms: u64,
    last_read: Option<Moment>,
}

impl FreshnessGate {
    /// Makes a gate without a proof; a proof older than `bound_ms` milliseconds counts as none.
    pub fn new(bound_ms: u64) -> Self {
        Self {
            bound_ms,
            last_read: None,
        }
    }

    /// Learns that everything accepted before `moment` was seen.
    pub fn record_read(&mut self, moment: Moment) {
        self.last_read = self.last_read.max(Some(moment));
    }

    /// Changes the bound, for settings that are read again.
    pub fn set_bound(&mut self, bound_ms: u64) {
        self.bound_ms = bound_ms;
    }

    /// Tells whether callers with keys may be served now.
    pub fn is_fresh(&self, now: Moment) -> bool {
        self.age(now).is_some_and(|age| age <= self.bound_ms)
    }

    /// Returns the age of the last proof, in milliseconds.
    pub fn age(&self, now: Moment) -> Option<u64> {
        self.last_read.map(|last_read| now.since(last_read))
    }
}
