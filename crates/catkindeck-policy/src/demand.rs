//! The demand on one service over time.

use {catkindeck::Moment, std::collections::VecDeque};

/// The minimum time between two stored samples, in milliseconds.
const MIN_SAMPLE_INTERVAL_MS: u64 = 1_000;

/// The maximum number of stored samples.
const SAMPLE_LIMIT: usize = 1_200;

/// The weight of a new sample in the smoothed demand.
const SMOOTHING_WEIGHT: f64 = 0.2;

/// The smoothed demand with its trend and recent peak.
#[derive(Debug, Clone)]
pub(crate) struct DemandHistory {
    samples: VecDeque<(Moment, f64)>,
    level: f64,
    stabilization_ms: u64,
    horizon_ms: u64,
}

impl DemandHistory {
    pub(crate) fn new() -> Self {
        Self {
            samples: VecDeque::new(),
            level: 0.0,
            stabilization_ms: 0,
            horizon_ms: 0,
        }
    }

    /// Adds a sample. Samples are kept for the longer of `stabilization_ms` and `horizon_ms`, the
    /// look-ahead of the forecast.
    pub(crate) fn observe(
        &mut self,
        now: Moment,
        busy: u32,
        stabilization_ms: u64,
        horizon_ms: u64,
    ) {
        self.stabilization_ms = stabilization_ms;
        self.horizon_ms = horizon_ms;
        if let Some((last, _)) = self.samples.back() {
            if now.since(*last) < MIN_SAMPLE_INTERVAL_MS {
                return;
            }
            self.level += (f64::from(busy) - self.level) * SMOOTHING_WEIGHT;
        } else {
            self.level = f64::from(busy);
        }
        self.samples.push_back((now, self.level));
        let keep_ms = stabilization_ms.max(horizon_ms);
        while self.samples.len() > SAMPLE_LIMIT
            || self
                .samples
                .front()
                .is_some_and(|(at, _)| now.since(*at) > keep_ms)
        {
            self.samples.pop_front();
        }
    }

    /// Returns the demand expected at the end of the horizon; a falling trend is ignored.
    pub(crate) fn forecast(&self) -> u32 {
        let (Some((from, first)), Some((to, last))) = (self.samples.front(), self.samples.back())
        else {
            return 0;
        };
        let passed = to.since(*from);
        // A trend over a short time is mostly noise.
        if passed < self.horizon_ms / 2 || passed == 0 {
            return to_count(*last);
        }
        let rise = (last - first) / passed as f64 * self.horizon_ms as f64;
        to_count(last + rise.max(0.0))
    }

    /// Returns the peak of the smoothed demand within the stabilization window.
    pub(crate) fn recent_peak(&self) -> u32 {
        let Some((last, _)) = self.samples.back() else {
            return 0;
        };
        let recent = self.samples.iter().rev();
        let recent = recent.take_while(|(at, _)| last.since(*at) <= self.stabilization_ms);
        let levels = recent.map(|(_, level)| *level);
        to_count(levels.fold(0.0, f64::max))
    }
}

fn to_count(demand: f64) -> u32 {
    // The cast saturates, and a demand is far below 2^32.
    (demand - 0.01).ceil().max(0.0) as u32
}
