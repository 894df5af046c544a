//! The concurrency limit of one upstream.

use catkindeck::{Moment, id::BootId};

/// The maximum ratio of the current time per unit to the best one at which the limit still grows.
///
/// Continuous batching slows each request down as the batch grows, long before the engine is
/// overloaded; a lower tolerance keeps batches needlessly small.
const LATENCY_TOLERANCE: f64 = 2.0;

/// The weight of a new sample in the moving average of the time per unit.
const SAMPLE_WEIGHT: f64 = 0.1;

/// The factor by which each sample raises the best time per unit, so that an outdated best value
/// loses its effect.
const BEST_TIME_DECAY: f64 = 1.000_5;

/// The factor applied to the limit when an upstream fails or is too slow.
const DECREASE_FACTOR: f64 = 0.7;

/// The parameters of a concurrency limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitSettings {
    /// The limit of an upstream that has just started, at least 1.
    pub cold: u32,
    /// The limit of a warm upstream.
    pub warm: u32,
    /// The time from the start until an upstream can handle its warm limit, in milliseconds.
    pub cold_start_ms: u64,
    /// Whether the limit adapts to the latency; otherwise a warm upstream keeps its warm limit.
    pub adaptive: bool,
}

/// A limit between cold and warm that grows with completions (`docs/design.md`, decisions 2 and
/// 14).
///
/// After a start, each completion raises the limit by one, up to a ceiling that rises linearly from
/// cold to warm over the cold-start time. Without the ceiling, an upstream that answers short
/// requests quickly while it is still starting would get too many. Time alone does not raise the
/// limit.
#[derive(Debug, Clone)]
pub struct ConcurrencyLimit {
    settings: LimitSettings,
    boot: Option<BootId>,
    started: Moment,
    ramp: f64,
    gradient: f64,
    best: Option<f64>,
    average: f64,
    last_backoff: Moment,
}

impl ConcurrencyLimit {
    /// Creates the limit of an upstream with unknown boot ID, which is assumed to be cold.
    pub fn new(settings: LimitSettings, now: Moment) -> Self {
        Self {
            settings,
            boot: None,
            started: now,
            ramp: f64::from(settings.cold.max(1)),
            gradient: f64::from(settings.warm),
            best: None,
            average: 0.0,
            last_backoff: now,
        }
    }

    /// Returns the number of requests allowed at the upstream, at least 1.
    pub fn current(&self) -> u32 {
        // The cast truncates; both sides are at least 1 and far below 2^32.
        self.ramp.min(self.gradient).max(1.0) as u32
    }

    /// Replaces the settings and keeps the position on the ramp.
    pub fn configure(&mut self, settings: LimitSettings) {
        let was_warm = self.ramp >= f64::from(self.settings.warm);
        self.settings = settings;
        let warm = f64::from(settings.warm.max(1));
        if was_warm {
            self.ramp = warm;
        }
        self.ramp = self.ramp.min(warm);
        self.gradient = self.gradient.min(warm);
        if !settings.adaptive {
            self.gradient = warm;
        }
    }

    /// Resets the limit to cold if the boot ID is new, and returns whether it is.
    pub fn observe_boot(&mut self, now: Moment, boot: &BootId) -> bool {
        if self.boot.as_ref() == Some(boot) {
            return false;
        }
        self.boot = Some(boot.clone());
        self.reset_to_cold(now);
        true
    }

    /// Resets the limit to cold, for example when the zone accepts work again.
    pub fn reset_to_cold(&mut self, now: Moment) {
        self.started = now;
        self.ramp = f64::from(self.settings.cold.max(1));
        self.gradient = f64::from(self.settings.warm.max(1));
        self.best = None;
        self.average = 0.0;
    }

    /// Records a completion with its time per unit of service, in milliseconds.
    pub fn complete(&mut self, now: Moment, per_unit_ms: f64) {
        let warm = f64::from(self.settings.warm.max(1));
        let cold = f64::from(self.settings.cold.max(1));
        let passed = now.since(self.started) as f64;
        let share = passed / self.settings.cold_start_ms.max(1) as f64;
        let ceiling = cold + (warm - cold).max(0.0) * share.min(1.0);
        self.ramp = (self.ramp + 1.0).min(ceiling).max(self.ramp);
        if self.settings.adaptive {
            self.follow_latency(now, per_unit_ms, warm, cold.min(warm));
        }
    }

    /// Records a failure of the upstream.
    pub fn fail(&mut self, now: Moment) {
        let cold = f64::from(self.settings.cold.max(1));
        self.ramp = (self.ramp * DECREASE_FACTOR).max(cold.min(self.ramp));
        // Growth resumes from the reduced ramp.
        self.last_backoff = now;
    }

    fn follow_latency(&mut self, now: Moment, per_unit_ms: f64, warm: f64, cold: f64) {
        if !per_unit_ms.is_finite() || per_unit_ms <= 0.0 {
            return;
        }
        let best = match self.best {
            Some(best) => (best * BEST_TIME_DECAY).min(per_unit_ms),
            None => {
                self.average = per_unit_ms;
                per_unit_ms
            }
        };
        self.best = Some(best);
        self.average += (per_unit_ms - self.average) * SAMPLE_WEIGHT;
        if self.average <= best * LATENCY_TOLERANCE {
            self.gradient = (self.gradient + 1.0 / self.gradient).min(warm);
            return;
        }
        // A reduction needs a second to show in the average, so reductions are a second apart.
        if now.since(self.last_backoff) >= 1_000 {
            self.gradient = (self.gradient * DECREASE_FACTOR).max(cold);
            self.last_backoff = now;
        }
    }
}
