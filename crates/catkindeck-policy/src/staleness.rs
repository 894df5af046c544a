//! Prediction of a sample's staleness at admission.

use catkindeck::Moment;

/// The weight of a new interval in the moving average of the intervals between weight versions.
const SAMPLE_WEIGHT: f64 = 0.3;

/// Predicts a sample's staleness at its end from the mean interval between weight versions.
///
/// A sample that would be too old when offered would waste its tokens, so it waits for the next
/// version instead (`docs/design.md`, G2 and decision 16).
#[derive(Debug, Clone, Default)]
pub struct StalenessForecast {
    last: Option<Moment>,
    interval_ms: Option<f64>,
}

impl StalenessForecast {
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a new weight version was announced.
    pub fn record_announcement(&mut self, now: Moment) {
        if let Some(last) = self.last {
            let interval = now.since(last) as f64;
            self.interval_ms = Some(match self.interval_ms {
                Some(usual) => usual + (interval - usual) * SAMPLE_WEIGHT,
                None => interval,
            });
        }
        self.last = Some(now);
    }

    /// Predicts the number of new weight versions before a sample that starts now ends.
    pub fn predicted_version_changes(&self, now: Moment, duration_ms: u64) -> u64 {
        let (Some(last), Some(interval)) = (self.last, self.interval_ms) else {
            return 0;
        };
        let interval = (interval as u64).max(1);
        let passed = now.since(last);
        let after = (passed + duration_ms) / interval;
        // An overdue version is expected at any moment.
        after.saturating_sub((passed / interval).saturating_sub(u64::from(passed >= interval)))
    }

    /// Returns whether a sample that starts now, `lag` versions behind, will end within the
    /// staleness bound.
    pub fn fits_bound(&self, now: Moment, duration_ms: u64, lag: u64, bound: u64) -> bool {
        lag + self.predicted_version_changes(now, duration_ms) <= bound
    }
}
