//! The time of day on a host whose clock may jump.

use catkindeck::Moment;

/// The largest change between two readings that counts as drift or slewing, in milliseconds.
const MAX_DRIFT_MS: u64 = 250;

/// How long a jump must last before it is taken for a correction of a wrong clock, in milliseconds.
const MIN_STEP_DURATION_MS: u64 = 60_000;

/// Estimates the time of day from the clock of the host and a clock that never jumps.
///
/// Hosts agree on usage windows and on the age of jobs by the time of day. If it jumps by seconds and
/// back, a process that followed it would close windows early, count requests in other windows, and
/// give up items too soon. The filter follows drift at once, and a jump only after it has lasted
/// (`docs/platform.md`).
#[derive(Debug, Clone, Default)]
pub struct WallClockFilter {
    /// The time of day at moment zero, in milliseconds since the Unix epoch.
    origin_ms: Option<u64>,
    /// A different origin that the clock shows since a moment.
    step: Option<ClockStep>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ClockStep {
    origin_ms: u64,
    since: Moment,
}

/// A change of the estimate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClockChange {
    /// The clock jumped by this many milliseconds; the estimate does not follow yet.
    Jumped(i64),
    /// A jump by this many milliseconds has lasted, and the estimate follows it from now on.
    Followed(i64),
}

impl WallClockFilter {
    /// Returns the estimate at `now` in milliseconds since the Unix epoch, given a reading of the
    /// host's clock, and whether the clock jumped.
    pub fn observe(&mut self, now: Moment, reading_ms: u64) -> (u64, Option<ClockChange>) {
        let seen_ms = reading_ms.saturating_sub(now.0);
        let origin_ms = *self.origin_ms.get_or_insert(seen_ms);
        let mut change = None;
        if is_drift(seen_ms, origin_ms) {
            self.origin_ms = Some(seen_ms);
            self.step = None;
        } else {
            change = self.observe_step(now, origin_ms, seen_ms);
        }
        (now.0 + self.origin_ms.unwrap_or(seen_ms), change)
    }

    fn observe_step(&mut self, now: Moment, origin_ms: u64, seen_ms: u64) -> Option<ClockChange> {
        let jump_ms = seen_ms.cast_signed().wrapping_sub(origin_ms.cast_signed());
        let same = self.step.filter(|step| is_drift(step.origin_ms, seen_ms));
        let Some(step) = same else {
            self.step = Some(ClockStep {
                origin_ms: seen_ms,
                since: now,
            });
            return Some(ClockChange::Jumped(jump_ms));
        };
        if now.since(step.since) < MIN_STEP_DURATION_MS {
            return None;
        }
        self.origin_ms = Some(seen_ms);
        self.step = None;
        Some(ClockChange::Followed(jump_ms))
    }
}

fn is_drift(one_ms: u64, other_ms: u64) -> bool {
    one_ms.abs_diff(other_ms) <= MAX_DRIFT_MS
}
