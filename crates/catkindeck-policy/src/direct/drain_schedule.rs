//! What a process that shuts down still takes (`docs/platform.md`, "Leaving").

use catkindeck::Moment;

/// The longest time for which connections are accepted after the start of a shutdown, in milliseconds. Within it two
/// readiness checks of the platform's load balancer fail, so that callers are directed to other processes.
const ACCEPT_MS: u64 = 3_500;

/// The share of a short grace period for which connections are accepted, in percent.
const ACCEPT_PERCENT: u64 = 60;

/// How long before the end of the grace period the process exits on its own, in milliseconds. The platform kills it at
/// the end of the period.
const EXIT_BEFORE_KILL_MS: u64 = 500;

/// The time in which the last responses are written before the process exits, in milliseconds.
const WRITE_MS: u64 = 300;

/// The times at which a process that shuts down stops to accept connections, to answer requests, and to run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainSchedule {
    /// Until when connections are accepted and idle ones stay open.
    pub accepts_until: Moment,
    /// Until when requests are in progress. Those that are not complete then are answered without a result.
    pub answers_until: Moment,
    /// When the process exits at the latest.
    pub exits_at: Moment,
}

impl DrainSchedule {
    /// Creates the schedule of a shutdown that begins at `now`, for a grace period in milliseconds.
    pub fn new(now: Moment, grace_ms: u64) -> Self {
        let exit_ms = grace_ms.saturating_sub(EXIT_BEFORE_KILL_MS);
        let answer_ms = exit_ms.saturating_sub(WRITE_MS);
        let accept_ms = ACCEPT_MS.min(grace_ms * ACCEPT_PERCENT / 100);
        Self {
            accepts_until: now + accept_ms.min(answer_ms),
            answers_until: now + answer_ms,
            exits_at: now + exit_ms,
        }
    }

    /// Returns the time that a request has until it must be answered, in milliseconds.
    pub fn left_ms(&self, now: Moment) -> u64 {
        self.answers_until.since(now)
    }

    /// Returns whether a request that arrives now is over before the process ends: by its own deadline, which it has
    /// in `deadline_ms`, or because the recent requests of its service took no longer than `longest_ms`.
    ///
    /// A request that is refused costs its caller one more attempt at another process. One that is cut is lost, if it
    /// must not run again.
    pub fn can_finish(&self, now: Moment, deadline_ms: u64, longest_ms: Option<u64>) -> bool {
        let lasts_ms = longest_ms.map_or(deadline_ms, |longest| longest.min(deadline_ms));
        now + lasts_ms <= self.answers_until
    }
}
