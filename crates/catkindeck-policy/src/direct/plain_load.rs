//! What one process knows of the speed of a plain upstream.

use catkindeck::Moment;

/// An upstream is slow if its latency is this many times the typical one. Work times within a
/// service differ by less.
const SLOW_FACTOR: u64 = 3;

/// The time after which a measurement no longer shows that an upstream is slow, in milliseconds.
const FRESH_MS: u64 = 1_000;

/// The weight of a new sample in the average, as a divisor.
const SAMPLE_DIVISOR: u64 = 5;

/// The weights with which the typical latency follows a lower and a higher average, as divisors. It
/// rises slowly, so that a phase of seconds in which an upstream is slow does not become typical.
const FALL_DIVISOR: u64 = 8;
const RISE_DIVISOR: u64 = 1_024;

/// The number of samples until which the average is typical.
const LEARNING_SAMPLES: u32 = 16;

/// The requests that a plain upstream has in progress, and their latency.
///
/// An average alone reacts only when slow requests end. The age of the oldest request in progress
/// shows a slow upstream as soon as the request takes longer than usual (`docs/design/room.md`).
#[derive(Debug, Clone, Default)]
pub struct PlainLoad {
    /// When the requests in progress were sent, in ascending order.
    begun: Vec<Moment>,
    average_us: u64,
    typical_us: u64,
    samples: u32,
    sampled_at: Moment,
}

/// How an upstream's speed compares with the typical one of its service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PlainPace {
    Sound,
    /// The upstream was slow when it was last measured, and one request may show whether it still
    /// is.
    Probation,
    Slow,
}

impl PlainLoad {
    /// Records a request.
    pub fn begin(&mut self, now: Moment) {
        self.begun.push(now);
    }

    /// Records the end of a request that was sent at `begun`.
    pub fn end(&mut self, begun: Moment) {
        if let Ok(index) = self.begun.binary_search(&begun) {
            self.begun.remove(index);
        }
    }

    /// Records that a request that was sent at `begun` was given up without a response. If it took
    /// longer than usual, its age counts as latency, so that an upstream that does not answer is
    /// slow.
    pub fn abandon(&mut self, now: Moment, begun: Moment) {
        self.end(begun);
        let age_us = now.since(begun) * 1_000;
        if age_us > self.average_us {
            self.record_latency(now, age_us);
        }
    }

    /// Records the latency of a request that was answered without a failure of the upstream.
    pub fn record_latency(&mut self, now: Moment, latency_us: u64) {
        // One request shows that a slow upstream has recovered.
        let restarts = self.samples == 0 || self.is_outdated(now, self.typical_us);
        self.average_us = match restarts {
            true => latency_us,
            false => (self.average_us * (SAMPLE_DIVISOR - 1) + latency_us) / SAMPLE_DIVISOR,
        };
        self.samples = self.samples.saturating_add(1);
        self.sampled_at = now;
        self.typical_us = match self.average_us.checked_sub(self.typical_us) {
            _ if self.samples <= LEARNING_SAMPLES => self.average_us,
            Some(above) => self.typical_us + above / RISE_DIVISOR,
            None => self.typical_us - (self.typical_us - self.average_us) / FALL_DIVISOR,
        };
    }

    /// Returns the latency that the upstream usually has, in microseconds; zero before the first
    /// sample.
    pub fn typical_us(&self) -> u64 {
        self.typical_us
    }

    /// Returns the latency to expect, in microseconds, if `typical_us` is typical of the service.
    pub fn expected_us(&self, now: Moment, typical_us: u64) -> u64 {
        let average_us = match self.is_outdated(now, typical_us) {
            true => typical_us,
            false => self.average_us,
        };
        average_us.max(self.oldest_age_us(now)).max(typical_us)
    }

    /// Returns the average latency in microseconds, if it was measured recently.
    pub fn fresh_average_us(&self, now: Moment) -> Option<u64> {
        let is_fresh = self.samples > 0 && now.since(self.sampled_at) < FRESH_MS;
        is_fresh.then_some(self.average_us)
    }

    /// Compares the upstream with the typical latency of its service.
    pub fn pace(&self, now: Moment, typical_us: u64) -> PlainPace {
        let is_slow = is_slow(self.expected_us(now, typical_us), typical_us);
        match (is_slow, self.is_outdated(now, typical_us)) {
            (true, _) => PlainPace::Slow,
            (false, true) if self.begun.is_empty() => PlainPace::Probation,
            (false, true) => PlainPace::Slow,
            (false, false) => PlainPace::Sound,
        }
    }

    /// Returns whether the upstream was slow, but the measurement is too old to show that it still
    /// is.
    fn is_outdated(&self, now: Moment, typical_us: u64) -> bool {
        is_slow(self.average_us, typical_us) && now.since(self.sampled_at) >= FRESH_MS
    }

    fn oldest_age_us(&self, now: Moment) -> u64 {
        self.begun.first().map_or(0, |begun| now.since(*begun)) * 1_000
    }
}

fn is_slow(latency_us: u64, typical_us: u64) -> bool {
    typical_us > 0 && latency_us >= typical_us.saturating_mul(SLOW_FACTOR)
}
