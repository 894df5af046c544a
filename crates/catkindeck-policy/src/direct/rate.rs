//! Per-upstream rate limiting.

use {catkindeck::Moment, std::collections::VecDeque};

/// The length of the sliding window, in milliseconds.
const WINDOW_MS: u64 = 1_000;

/// Counts the requests sent to one upstream within the last second.
///
/// The window slides because fixed one-second windows would admit twice the limit around a
/// boundary.
#[derive(Debug, Clone, Default)]
pub struct RateWindow {
    sent: VecDeque<Moment>,
}

impl RateWindow {
    /// Returns whether one more request keeps the last second within `limit`.
    pub fn allows(&self, now: Moment, limit: usize) -> bool {
        self.recent(now) < limit
    }

    /// Returns the number of requests in the last second.
    pub fn recent(&self, now: Moment) -> usize {
        let sent = self.sent.iter().rev();
        sent.take_while(|at| now.since(**at) < WINDOW_MS).count()
    }

    /// Records a request.
    pub fn count(&mut self, now: Moment) {
        while self
            .sent
            .front()
            .is_some_and(|at| now.since(*at) >= WINDOW_MS)
        {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
    }
}
