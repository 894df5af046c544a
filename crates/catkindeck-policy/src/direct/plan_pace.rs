//! How often the leader plans loads of weights (`docs/design/placement.md`).
//!
//! Load pattern: thousands of engines with several models each. A round looks at every pair of engine and
//! model, so rounds at a fixed interval would take all CPU time of a small host.

/// The shortest time between two rounds, in milliseconds.
const MIN_PAUSE_MS: u64 = 50;

/// The time between two rounds for each pair of an engine and a model, in microseconds. A round takes about
/// 0.6 us for a pair on a whole core, so rounds take 3 % of it, a tenth of a small host.
const PAIR_PAUSE_US: u64 = 20;

/// Returns the time until the next round after one over `pairs` pairs of engine and model, in milliseconds.
pub fn plan_pause_ms(pairs: usize) -> u64 {
    let pairs = u64::try_from(pairs).unwrap_or(u64::MAX);
    (pairs.saturating_mul(PAIR_PAUSE_US) / 1_000).max(MIN_PAUSE_MS)
}
