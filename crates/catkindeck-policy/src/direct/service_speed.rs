//! What the engines of one service have in common, learned from all of them.

use {
    super::{
        engine_speed::SpeedDeviation,
        text_length::{TextDemand, TextLengths},
    },
    catkindeck::Moment,
};

/// By how much a full engine is slower than an idle one before this is measured, as a multiple of
/// the idle time.
const INITIAL_LOAD_SLOPE: f64 = 0.3;

/// The weight of [`INITIAL_LOAD_SLOPE`], in the unit of the summed squares of load deviations.
const INITIAL_LOAD_WEIGHT: f64 = 5.0;

/// The lowest slope. Engines of equal speed share requests evenly even where speed does not depend
/// on load, because the loss of an engine interrupts all of its texts.
const MIN_LOAD_SLOPE: f64 = 0.1;

/// The highest slope.
const MAX_LOAD_SLOPE: f64 = 8.0;

/// The share of earlier samples that is kept with each new one.
const SAMPLE_RETENTION: f64 = 0.998;

/// The largest deviation of a sample that counts for the slope. Beyond it, a sample shows a slow
/// phase and not the effect of load.
const MAX_LOAD_DEVIATION: f64 = 0.5;

/// The weight of a new sample in the means over a service, in percent.
const MEAN_WEIGHT_PERCENT: f64 = 5.0;

/// The weight of a new sample in the ratio of mean and median time between events, in percent.
const PHASE_WEIGHT_PERCENT: f64 = 0.5;

/// The shortest time between two updates of the range of speeds, in milliseconds.
const RANGE_INTERVAL_MS: u64 = 100;

/// The percentiles that count as the fastest and the slowest engine.
const RANGE_PERCENT: (usize, usize) = (10, 90);

/// Engines differ in speed if the slowest takes at least this percentage of the fastest one's time.
const UNEVEN_PERCENT: u64 = 115;

/// The times between events of a service's idle engines, in microseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SpeedRange {
    pub fastest_us: u64,
    pub median_us: u64,
    pub slowest_us: u64,
}

/// The measurements that the engines of a service share.
#[derive(Debug, Clone)]
pub struct ServiceSpeed {
    /// The sum of products of the deviations of load and time.
    covariance: f64,
    /// The sum of squared deviations of load.
    variance: f64,
    /// The mean time between events as a multiple of the median one; above 1 because of slow phases.
    phase_factor: f64,
    /// The time to the first event beyond the time between two events in microseconds, with the
    /// prompt in the engine's cache and without; `None` before the first sample.
    first_event_us: [Option<f64>; 2],
    lengths: TextLengths,
    range: Option<SpeedRange>,
    ranged_at: Option<Moment>,
}

impl Default for ServiceSpeed {
    fn default() -> Self {
        Self {
            covariance: 0.0,
            variance: 0.0,
            phase_factor: 1.0,
            first_event_us: [None; 2],
            lengths: TextLengths::default(),
            range: None,
            ranged_at: None,
        }
    }
}

impl ServiceSpeed {
    /// Returns by how much a full engine is slower than an idle one, as a multiple of the idle time.
    pub fn load_slope(&self) -> f64 {
        let covariance = self.covariance + INITIAL_LOAD_WEIGHT * INITIAL_LOAD_SLOPE;
        let slope = covariance / (self.variance + INITIAL_LOAD_WEIGHT);
        slope.clamp(MIN_LOAD_SLOPE, MAX_LOAD_SLOPE)
    }

    /// Returns the mean time between events as a multiple of the median one.
    pub fn phase_factor(&self) -> f64 {
        self.phase_factor
    }

    /// Records the deviation of a sample. Deviations are taken within one engine, so engines of
    /// different speeds at different loads do not distort the slope; `mean_factor` is the time at the
    /// engine's mean load as a multiple of the idle one.
    pub fn record_deviation(&mut self, deviation: SpeedDeviation, mean_factor: f64) {
        let gap = (deviation.gap - 1.0).clamp(-MAX_LOAD_DEVIATION, MAX_LOAD_DEVIATION);
        self.covariance = self.covariance * SAMPLE_RETENTION + deviation.load * gap * mean_factor;
        self.variance = self.variance * SAMPLE_RETENTION + deviation.load * deviation.load;
        let weight = PHASE_WEIGHT_PERCENT / 100.0;
        self.phase_factor += (deviation.gap - self.phase_factor) * weight;
        self.phase_factor = self.phase_factor.max(1.0);
    }

    /// Records the time to a first event beyond the time between two events.
    pub fn record_first_event(&mut self, is_cached: bool, extra_us: f64) {
        let mean = self.first_event_us[usize::from(!is_cached)].get_or_insert(extra_us);
        *mean += (extra_us - *mean) * MEAN_WEIGHT_PERCENT / 100.0;
    }

    /// Returns the expected time to the first event beyond the time between two events, in
    /// microseconds.
    pub fn first_event_us(&self, is_cached: bool) -> f64 {
        let [cached, read] = self.first_event_us;
        match is_cached {
            true => cached.or(read),
            false => read.or(cached),
        }
        .unwrap_or(0.0)
    }

    pub fn record_text(&mut self, text: TextDemand) {
        self.lengths.record(text);
    }

    pub fn lengths(&self) -> &TextLengths {
        &self.lengths
    }

    /// Returns the range of speeds, or `None` while too few engines are measured.
    pub fn range(&self) -> Option<SpeedRange> {
        self.range
    }

    /// Returns whether the range should be updated.
    pub fn is_range_due(&self, now: Moment) -> bool {
        self.ranged_at
            .is_none_or(|at| now.since(at) >= RANGE_INTERVAL_MS)
    }

    /// Updates the range from the idle times between events of the `used` engines, as far as they
    /// are measured. It is known if at least half of the engines are.
    pub fn update_range(&mut self, now: Moment, mut gaps_us: Vec<u64>, used: usize) {
        self.ranged_at = Some(now);
        gaps_us.sort_unstable();
        let percentile = |percent: usize| gaps_us[(gaps_us.len() - 1) * percent / 100];
        let is_known = !gaps_us.is_empty() && gaps_us.len() * 2 >= used;
        self.range = is_known.then(|| SpeedRange {
            fastest_us: percentile(RANGE_PERCENT.0),
            median_us: percentile(50),
            slowest_us: percentile(RANGE_PERCENT.1),
        });
    }
}

impl SpeedRange {
    /// Returns whether an engine is one of the faster ones, where engines differ in speed.
    pub fn is_fast(&self, idle_gap_us: u64) -> bool {
        let is_uneven = self.slowest_us * 100 >= self.fastest_us * UNEVEN_PERCENT;
        is_uneven && idle_gap_us < self.fastest_us.midpoint(self.slowest_us)
    }
}
