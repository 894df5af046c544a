//! Delays between attempts.

use catkindeck::record;

/// The number of attempts and the delays between them.
#[record]
#[derive(Copy)]
pub struct RetryPolicy {
    /// The maximum number of attempts, at least 1.
    pub attempts: u32,
    /// The maximum delay before the second attempt, in milliseconds.
    pub base_ms: u64,
    /// The maximum delay before any attempt, in milliseconds.
    pub cap_ms: u64,
}

impl RetryPolicy {
    /// Returns the delay after the failed attempt number `attempt`, counted from one, in
    /// milliseconds.
    ///
    /// The delay is drawn from the upper half of a range that doubles with each attempt, so that
    /// clients that failed together do not retry together.
    pub fn delay_ms(&self, attempt: u32, random: u64) -> u64 {
        let exponent = attempt.saturating_sub(1).min(16);
        let max_delay = (self.base_ms << exponent).min(self.cap_ms).max(1);
        let half = max_delay / 2;
        half + random % (max_delay - half + 1)
    }
}

impl Default for RetryPolicy {
    fn default() -> Self {
        Self {
            attempts: 3,
            base_ms: 50,
            cap_ms: 1000,
        }
    }
}

/// Returns a random number for jitter, or the middle of the range if no randomness is available.
pub fn random_u64() -> u64 {
    getrandom::u64().unwrap_or(u64::MAX / 2)
}
