//! The speed of one engine, learned from the streams that it serves.

use {catkindeck::Moment, std::collections::VecDeque};

/// The shortest time between two kept samples, in milliseconds. All streams of an engine slow down
/// together, so samples weigh by time, not by the number of streams.
const SAMPLE_INTERVAL_MS: u64 = 100;

/// The number of kept samples. Together they span several times a slow phase of a second.
const SAMPLE_LIMIT: usize = 48;

/// The age at which a sample no longer counts, in milliseconds. An engine that is avoided because
/// it was slow is tried again after this time.
const SAMPLE_TTL_MS: u64 = 12_000;

/// The number of samples from which the usual speed is known. They span twice a slow phase of half a
/// second.
const MIN_SAMPLES: usize = 12;

/// The number of last gaps whose median is the recent time between events, so that one stalled stream
/// does not make its engine slow.
const RECENT_GAPS: usize = 5;

/// The longest time without events, beyond the time between two of them, that counts as part of a slow
/// phase, in milliseconds. Nobody saw how an idle engine went on.
const MAX_UNOBSERVED_MS: u64 = 300;

/// An engine is in a slow phase while its recent time between events exceeds this percentage of
/// the usual one.
const SLOW_PHASE_PERCENT: f64 = 150.0;

/// A measured time between two events of a stream.
#[derive(Debug, Clone, Copy)]
struct SpeedSample {
    at: Moment,
    gap_us: u64,
    /// The used part of the engine's slots.
    load: f64,
}

/// How far a sample is from what is usual at its engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SpeedDeviation {
    /// The load less the engine's mean load.
    pub load: f64,
    /// The time between events as a multiple of the usual one at the engine's mean load.
    pub gap: f64,
}

/// An expectation of how long an engine stays slower than usual.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlowPhase {
    /// The time between events as a multiple of the usual one.
    pub factor: f64,
    /// How long the phase goes on if it has not ended unseen, in microseconds.
    pub remaining_us: f64,
    /// The probability that it has not ended unseen.
    pub probability: f64,
}

/// A slow phase as observed.
#[derive(Debug, Clone, Copy)]
struct PhaseRecord {
    /// When it began, less the time for which nobody observed it.
    since: Moment,
    /// The time between events as a multiple of the usual one.
    factor: f64,
}

/// The usual speed of one instance of an engine, and whether it is in a slow phase.
///
/// The usual speed is a median over several seconds, which short slow phases do not change. A
/// restarted engine is a new instance and starts without samples.
#[derive(Debug, Clone, Default)]
pub struct EngineSpeed {
    /// Samples in the order of their times.
    samples: VecDeque<SpeedSample>,
    /// The median of the samples, converted to an idle engine.
    idle_gap_us: u64,
    mean_load: f64,
    /// The last gaps since the engine was idle, in microseconds.
    recent_gaps_us: VecDeque<u64>,
    recent_at: Moment,
    phase: Option<PhaseRecord>,
}

impl EngineSpeed {
    /// Records the time between two events. `slope` is by how much a full engine is slower than an
    /// idle one, as a multiple of the idle time. Returns the deviation if the sample is kept and the
    /// usual speed is known.
    pub fn record(
        &mut self,
        now: Moment,
        gap_us: u64,
        load: f64,
        slope: f64,
    ) -> Option<SpeedDeviation> {
        self.observe_phase(now, gap_us, load, slope);
        let last = self.samples.back();
        if last.is_some_and(|last| now.since(last.at) < SAMPLE_INTERVAL_MS) {
            return None;
        }
        let usual_us = self.usual_gap_us(now, self.mean_load, slope);
        let deviation = usual_us.map(|usual_us| SpeedDeviation {
            load: load - self.mean_load,
            gap: gap_us as f64 / usual_us,
        });
        if self.samples.len() == SAMPLE_LIMIT {
            self.samples.pop_front();
        }
        let sample = SpeedSample {
            at: now,
            gap_us,
            load,
        };
        self.samples.push_back(sample);
        self.samples
            .retain(|sample| now.since(sample.at) < SAMPLE_TTL_MS);
        self.update_usual(slope);
        deviation
    }

    /// Returns whether the engine was measured within the time for which samples count.
    pub fn is_recent(&self, now: Moment) -> bool {
        let last = self.samples.back();
        last.is_some_and(|last| now.since(last.at) < SAMPLE_TTL_MS)
    }

    /// Returns the usual time between events of the idle engine in microseconds, if it is known.
    pub fn idle_gap_us(&self, now: Moment) -> Option<u64> {
        let is_known = self.samples.len() >= MIN_SAMPLES && self.is_recent(now);
        is_known.then_some(self.idle_gap_us)
    }

    /// Returns the usual time between events at a load in microseconds, if it is known.
    pub fn usual_gap_us(&self, now: Moment, load: f64, slope: f64) -> Option<f64> {
        let idle_us = self.idle_gap_us(now)?;
        Some(idle_us as f64 * (1.0 + slope * load))
    }

    /// Returns the slow phase that the engine is in.
    ///
    /// Nothing is assumed about the length of phases: one that has lasted for some time is expected
    /// to last as long again, so that a slow second and a slow minute are both told from a slow
    /// engine. An engine that was left because it is slow stays less likely to be chosen: the longer
    /// nobody used it, the less likely the phase goes on, but the longer it then lasts.
    pub fn slow_phase(&self, now: Moment) -> Option<SlowPhase> {
        let phase = self.phase?;
        self.idle_gap_us(now)?;
        let lasted_ms = self.recent_at.since(phase.since) as f64;
        let total_ms = now.since(phase.since).max(1) as f64;
        Some(SlowPhase {
            factor: phase.factor,
            remaining_us: total_ms * 1_000.0,
            probability: lasted_ms / total_ms,
        })
    }

    fn observe_phase(&mut self, now: Moment, gap_us: u64, load: f64, slope: f64) {
        let begun = now - gap_us / 1_000;
        let unobserved_ms = begun.since(self.recent_at);
        if unobserved_ms > MAX_UNOBSERVED_MS {
            self.recent_gaps_us.clear();
            if let Some(phase) = &mut self.phase {
                phase.since = phase.since + unobserved_ms;
            }
        }
        if self.recent_gaps_us.len() == RECENT_GAPS {
            self.recent_gaps_us.pop_front();
        }
        self.recent_gaps_us.push_back(gap_us);
        self.recent_at = now;
        // With a slope that is still too high, a falling load would look like a slow phase.
        let usual_us = self.usual_gap_us(now, load.max(self.mean_load), slope);
        let (Some(recent_us), Some(usual_us)) = (self.recent_gap_us(), usual_us) else {
            return;
        };
        // The median still holds the past of an engine that was slow for seconds.
        let usual_at_load_us = self.usual_gap_us(now, load, slope);
        if usual_at_load_us.is_some_and(|usual_us| recovered(recent_us, usual_us)) {
            self.samples.clear();
        }
        let factor = recent_us as f64 / usual_us;
        let since = self.phase.map_or(begun, |phase| phase.since);
        let is_slow = factor > SLOW_PHASE_PERCENT / 100.0;
        self.phase = is_slow.then_some(PhaseRecord { since, factor });
    }

    /// Returns the median of the last gaps, if there are enough.
    fn recent_gap_us(&self) -> Option<u64> {
        let mut gaps: Vec<u64> = self.recent_gaps_us.iter().copied().collect();
        gaps.sort_unstable();
        (gaps.len() > RECENT_GAPS / 2).then(|| gaps[gaps.len() / 2])
    }

    fn update_usual(&mut self, slope: f64) {
        let idle_us = |sample: &SpeedSample| sample.gap_us as f64 / (1.0 + slope * sample.load);
        let mut gaps: Vec<f64> = self.samples.iter().map(idle_us).collect();
        gaps.sort_unstable_by(f64::total_cmp);
        self.idle_gap_us = gaps[gaps.len() / 2] as u64;
        let loads = self.samples.iter().map(|sample| sample.load);
        self.mean_load = loads.sum::<f64>() / self.samples.len() as f64;
    }
}

/// Returns whether an engine is faster than usual by as much as a slow phase would make it slower.
fn recovered(recent_us: u64, usual_us: f64) -> bool {
    (recent_us as f64) < usual_us * 100.0 / SLOW_PHASE_PERCENT
}
