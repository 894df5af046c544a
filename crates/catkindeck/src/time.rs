//! Clocks and points in time.

use {
    crate::key,
    rustix::time::{ClockId, clock_gettime},
    std::{
        ops::{Add, Sub},
        time::{Instant, SystemTime, UNIX_EPOCH},
    },
};

/// A point on the monotonic clock of one process, in milliseconds since that process started.
///
/// Decision logic takes moments as arguments instead of reading a clock, so that tests and
/// benchmarks can run it in virtual time (`docs/design.md`, section 4). Moments of different
/// processes are not comparable; messages carry remaining durations instead.
#[key]
#[derive(Default)]
pub struct Moment(pub u64);

impl Moment {
    /// Returns the milliseconds from `earlier` to this moment, or zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<u64> for Moment {
    type Output = Self;

    fn add(self, milliseconds: u64) -> Self {
        Self(self.0.saturating_add(milliseconds))
    }
}

impl Sub<u64> for Moment {
    type Output = Self;

    fn sub(self, milliseconds: u64) -> Self {
        Self(self.0.saturating_sub(milliseconds))
    }
}

/// A source of moments, which tests replace by a clock under their control.
pub trait Clock: Send + Sync {
    /// Returns the current moment, which never decreases.
    fn now(&self) -> Moment;
}

#[derive(Debug)]
pub struct SystemClock {
    origin: Instant,
}

impl SystemClock {
    /// Creates a clock whose moment zero is now.
    pub fn new() -> Self {
        Self {
            origin: Instant::now(),
        }
    }
}

impl Default for SystemClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Moment {
        let elapsed = self.origin.elapsed().as_millis();
        Moment(u64::try_from(elapsed).unwrap_or(u64::MAX))
    }
}

/// A clock that, unlike [`SystemClock`], keeps running while the host is suspended.
///
/// It measures leases and freshness guarantees: a process that was suspended must not treat an
/// expired lease as valid (`docs/platform.md`).
#[derive(Debug)]
pub struct BootClock {
    origin: u64,
}

impl BootClock {
    /// Creates a clock whose moment zero is now.
    pub fn new() -> Self {
        Self { origin: boot_ms() }
    }
}

impl Default for BootClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for BootClock {
    fn now(&self) -> Moment {
        Moment(boot_ms().saturating_sub(self.origin))
    }
}

fn boot_ms() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanoseconds = u64::try_from(time.tv_nsec).unwrap_or(0);
    seconds * 1_000 + nanoseconds / 1_000_000
}

/// Returns the wall-clock time in milliseconds since the Unix epoch, or zero before the epoch.
///
/// It dates only what hosts must agree on, such as usage windows and the deadline of a step;
/// everything else uses [`Moment`].
pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
