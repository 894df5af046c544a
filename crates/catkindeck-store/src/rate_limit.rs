//! The client-side rate limit and the counters of calls.

use {
    catkindeck::{Moment, key},
    std::sync::atomic::{AtomicU64, Ordering},
};

/// A token bucket. Each call takes one token, including a watch, however long it waits.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    rate_per_s: u64,
    burst: u64,
    /// The available tokens in thousandths, so that refills after single milliseconds are exact.
    tokens: u64,
    refilled_at: Moment,
}

impl TokenBucket {
    /// Creates a full bucket that refills at `rate_per_s` up to `burst` tokens, both at least 1.
    pub fn new(rate_per_s: u32, burst: u32, now: Moment) -> Self {
        let burst = u64::from(burst.max(1));
        Self {
            rate_per_s: u64::from(rate_per_s.max(1)),
            burst,
            tokens: burst * 1000,
            refilled_at: now,
        }
    }

    /// Takes a token.
    ///
    /// # Errors
    ///
    /// Returns the time until a token is available, in milliseconds, at least 1.
    pub fn take(&mut self, now: Moment) -> Result<(), u64> {
        let refill = now.since(self.refilled_at).saturating_mul(self.rate_per_s);
        self.tokens = self.tokens.saturating_add(refill).min(self.burst * 1000);
        self.refilled_at = self.refilled_at.max(now);
        if self.tokens < 1000 {
            return Err((1000 - self.tokens).div_ceil(self.rate_per_s).max(1));
        }
        self.tokens -= 1000;
        Ok(())
    }
}

/// The kind under which a call is counted.
#[key]
#[repr(usize)]
pub enum CallKind {
    /// A read of a key.
    Read,
    /// A compare-and-swap.
    Swap,
    /// A listing of keys.
    List,
    /// A watch, which waits for changes.
    Watch,
    /// The acquisition, renewal or release of a lease.
    Lease,
    /// A read of the host list.
    Hosts,
    /// An order for a zone, or a read of its counts.
    Zones,
    /// A usage report.
    Usage,
    /// A fetch of weights.
    Weights,
}

/// Counters of the calls that a client sent, including retries.
#[derive(Debug, Default)]
pub struct CallCounters {
    counts: [AtomicU64; 9],
}

impl CallCounters {
    pub fn add(&self, kind: CallKind) {
        self.counts[kind as usize].fetch_add(1, Ordering::Relaxed);
    }

    pub fn get(&self, kind: CallKind) -> u64 {
        self.counts[kind as usize].load(Ordering::Relaxed)
    }
}
