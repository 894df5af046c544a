//! The rate budget of a client and its counters of calls.

use {
    catkindeck::{Moment, key},
    std::sync::atomic::{AtomicU64, Ordering},
};

/// A token bucket; each call takes one token, a waiting watch as well.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    rate_per_s: u64,
    burst: u64,
    /// Thousandths of tokens, so that refills of single milliseconds are exact.
    level: u64,
    refilled: Moment,
}

impl TokenBucket {
    /// Makes a full bucket that refills at `rate_per_s` up to `burst` tokens; both at least 1.
    pub fn new(rate_per_s: u32, burst: u32, now: Moment) -> Self {
        let burst = u64::from(burst.max(1));
        Self {
            rate_per_s: u64::from(rate_per_s.max(1)),
            burst,
            level: burst * 1000,
            refilled: now,
        }
    }

    /// Takes a token, or returns the milliseconds until one is there.
    ///
    /// # Errors
    ///
    /// Returns the waiting time, at least 1 ms.
    pub fn take(&mut self, now: Moment) -> Result<(), u64> {
        let refill = now.since(self.refilled).saturating_mul(self.rate_per_s);
        self.level = self.level.saturating_add(refill).min(self.burst * 1000);
        self.refilled = self.refilled.max(now);
        if self.level < 1000 {
            return Err((1000 - self.level).div_ceil(self.rate_per_s).max(1));
        }
        self.level -= 1000;
        Ok(())
    }
}

/// The kinds of call that are counted.
#[key]
#[repr(usize)]
pub enum CallKind {
    /// A read of a key.
    Read,
    /// A compare-and-swap.
    Swap,
    /// A listing.
    List,
    /// A waiting watch.
    Watch,
    /// A request, renewal or release of a lease.
    Lease,
    /// A read of the host list.
    Hosts,
    /// An order or a read of a zone's counts.
    Zones,
    /// A usage report.
    Usage,
    /// A fetch of weights.
    Weights,
}

/// Counters of the calls that a client sent, retries included.
#[derive(Debug, Default)]
pub struct CallCounters {
    counts: [AtomicU64; 9],
}

impl CallCounters {
    /// Counts one call.
    pub fn add(&self, kind: CallKind) {
        self.counts[kind as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of calls of a kind.
    pub fn get(&self, kind: CallKind) -> u64 {
        self.counts[kind as usize].load(Ordering::Relaxed)
    }
}
