//! Credits that an agent grants to entries.

use catkindeck::{Moment, SortedMap, id::ObjectName};

/// How long a credit is valid, in milliseconds.
///
/// A stopped entry must not reserve capacity for longer than a few report intervals.
pub const CREDIT_LIFETIME_MS: u64 = 2_000;

/// The outstanding credits of each entry (`docs/design.md`, decision 1).
///
/// Credits only guide the entries' routing; the agent enforces its limit when requests arrive. A
/// grant never raises the sum of credits above the free part of the limit. Credits that are
/// outstanding when the limit falls cannot be revoked; they expire or are replaced by the next
/// report.
#[derive(Debug, Clone, Default)]
pub struct CreditLedger {
    grants: SortedMap<ObjectName, CreditGrant>,
}

#[derive(Debug, Clone, Copy)]
struct CreditGrant {
    credits: u32,
    granted: Moment,
}

impl CreditLedger {
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces an entry's credits by a fair share of the `free` capacity and returns them.
    pub fn grant(&mut self, now: Moment, entry: &ObjectName, free: u32) -> u32 {
        self.expire(now);
        self.grants.remove(entry);
        let others = u32::try_from(self.grants.len()).unwrap_or(u32::MAX);
        let left = free.saturating_sub(self.outstanding());
        let credits = free.div_ceil(others.saturating_add(1)).min(left);
        let grant = CreditGrant {
            credits,
            granted: now,
        };
        self.grants.insert(entry.clone(), grant);
        credits
    }

    /// Uses one credit of an entry, if it has any.
    pub fn spend(&mut self, entry: &ObjectName) {
        if let Some(grant) = self.grants.get_mut(entry) {
            grant.credits = grant.credits.saturating_sub(1);
        }
    }

    /// Removes all credits, for example when the limit falls to cold.
    pub fn clear(&mut self) {
        self.grants.clear();
    }

    /// Returns the sum of the outstanding credits.
    pub fn outstanding(&self) -> u32 {
        self.grants.values().map(|grant| grant.credits).sum()
    }

    fn expire(&mut self, now: Moment) {
        self.grants
            .retain(|_, grant| now.since(grant.granted) < CREDIT_LIFETIME_MS);
    }
}
