//! The concurrency limit of one upstream.

use catkindeck::{Moment, id::BootId};

/// The tolerated ratio of the present time per unit to the best one before the limit falls.
///
/// Continuous batching slows each request down as the batch grows, long before the engine is
/// overloaded; a lower tolerance keeps batches needlessly small.
const LATENCY_TOLERANCE: f64 = 2.0;

/// The weight of one sample in the moving average of the time per unit.
const SAMPLE_WEIGHT: f64 = 0.1;

/// By how much the best time per unit is raised with each sample, so that an outdated one fades.
const BEST_DRIFT: f64 = 1.000_5;

/// The factor applied to the limit when an upstream fails or is too slow.
const BACKOFF: f64 = 0.7;

/// How the limit of an upstream moves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitSettings {
    /// The limit of an upstream that has just started, at least 1.
    pub cold: u32,
    /// The limit of a warm upstream.
    pub warm: u32,
    /// The time from the start until an upstream bears its warm limit, in milliseconds.
    pub cold_start_ms: u64,
    /// Whether the limit follows the latency; otherwise a warm upstream has its warm limit.
    pub adaptive: bool,
}

/// A limit between cold and warm that grows on completions (`docs/design.md`, decisions 2 and 14).
///
/// After a start, each completion raises the limit by one, but never above the line from cold to
/// warm over the cold-start time: completions alone would outrun an upstream that answers short
/// requests quickly while it is still loading. Time alone raises nothing.
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
    /// Makes the limit of an upstream whose boot identity is not known yet; it counts as cold.
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

    /// Returns the number of requests that may be at the upstream, at least 1.
    pub fn current(&self) -> u32 {
        // The conversion truncates, and both sides are at least 1 and far below 2^32.
        self.ramp.min(self.gradient).max(1.0) as u32
    }

    /// Replaces the settings, keeping the position on the ramp.
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

    /// Falls to the cold limit if the boot identity is a new one, and tells whether it was.
    pub fn observe_boot(&mut self, now: Moment, boot: &BootId) -> bool {
        if self.boot.as_ref() == Some(boot) {
            return false;
        }
        self.boot = Some(boot.clone());
        self.restart(now);
        true
    }

    /// Falls to the cold limit, for example when the zone returns.
    pub fn restart(&mut self, now: Moment) {
        self.started = now;
        self.ramp = f64::from(self.settings.cold.max(1));
        self.gradient = f64::from(self.settings.warm.max(1));
        self.best = None;
        self.average = 0.0;
    }

    /// Counts a completion with its time per unit of service in milliseconds.
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

    /// Counts a failure of the upstream.
    pub fn fail(&mut self, now: Moment) {
        let cold = f64::from(self.settings.cold.max(1));
        self.ramp = (self.ramp * BACKOFF).max(cold.min(self.ramp));
        // The ramp must be climbed again from where the failure left it.
        self.last_backoff = now;
    }

    fn follow_latency(&mut self, now: Moment, per_unit_ms: f64, warm: f64, cold: f64) {
        if !per_unit_ms.is_finite() || per_unit_ms <= 0.0 {
            return;
        }
        let best = match self.best {
            Some(best) => (best * BEST_DRIFT).min(per_unit_ms),
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
        // One cut needs a second to show in the average, so cuts are a second apart.
        if now.since(self.last_backoff) >= 1_000 {
            self.gradient = (self.gradient * BACKOFF).max(cold);
            self.last_backoff = now;
        }
    }
}
