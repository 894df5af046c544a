//! How long engines take to load weights.

/// The time that a load takes if few engines load at once, in milliseconds.
pub const MIN_LOAD_MS: u64 = 900;

/// The longest expected time, in milliseconds.
const MAX_LOAD_MS: u64 = 4_000;

/// How much longer an engine is expected to load after it refused a request, in milliseconds.
pub const LOAD_EXTENSION_MS: u64 = 150;

/// The share of the excess over [`MIN_LOAD_MS`] by which the estimate falls with each load that was
/// complete as expected, in percent.
const DECAY_PERCENT: u64 = 3;

/// The expected time of a load, learned from the responses of engines.
///
/// Engines load more slowly if several do so at once, and refuse requests for the model until they are
/// done. If the estimate is too low, all waiting items are sent to each such engine and refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadTimeEstimate {
    expected_ms: u64,
}

impl Default for LoadTimeEstimate {
    fn default() -> Self {
        Self {
            expected_ms: MIN_LOAD_MS,
        }
    }
}

impl LoadTimeEstimate {
    /// Returns the expected time of a load, in milliseconds.
    pub fn expected_ms(&self) -> u64 {
        self.expected_ms
    }

    /// Records that an engine still loaded `age_ms` after it had accepted the order.
    pub fn record_refusal(&mut self, age_ms: u64) {
        let seen_ms = age_ms.saturating_add(LOAD_EXTENSION_MS);
        self.expected_ms = self.expected_ms.max(seen_ms).min(MAX_LOAD_MS);
    }

    /// Records that an engine accepted the first request after a load.
    pub fn record_ready(&mut self) {
        let excess_ms = self.expected_ms - MIN_LOAD_MS;
        self.expected_ms -= excess_ms.div_ceil(100 / DECAY_PERCENT);
    }
}
