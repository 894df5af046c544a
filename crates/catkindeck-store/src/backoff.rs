//! Delays between attempts.

use catkindeck::record;

/// The number of attempts and the delays between them.
#[record]
#[derive(Copy)]
pub struct RetryPolicy {
    /// The largest number of attempts, at least 1.
    pub attempts: u32,
    /// The longest delay before the second attempt, in milliseconds.
    pub base_ms: u64,
    /// The longest delay before any attempt, in milliseconds.
    pub cap_ms: u64,
}

impl RetryPolicy {
    /// Returns the delay after failed attempt `attempt`, counted from one, in milliseconds.
    ///
    /// The delay is drawn from the upper half of a range that doubles with each attempt, so that
    /// clients that failed together do not return together.
    pub fn delay_ms(&self, attempt: u32, random: u64) -> u64 {
        let doublings = attempt.saturating_sub(1).min(16);
        let longest = (self.base_ms << doublings).min(self.cap_ms).max(1);
        let half = longest / 2;
        half + random % (longest - half + 1)
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

/// Draws a number for jitter; without randomness the middle of the range is used.
pub fn draw() -> u64 {
    getrandom::u64().unwrap_or(u64::MAX / 2)
}
