//! When a process calls the platform's store again while no process can reach it.

use {crate::hash, catkindeck::Moment};

/// The delay after the first failed call, in milliseconds; it doubles with each further failure.
const FIRST_DELAY_MS: u64 = 100;

/// The maximum delay of a process that runs jobs or leads, and of any process of a small
/// deployment, in milliseconds.
const MIN_MAX_DELAY_MS: u64 = 250;

/// The maximum delay of the other processes for each process of the deployment, in milliseconds.
/// All of them together then call the store about a hundred times a second.
const MAX_DELAY_PER_PROCESS_MS: u64 = 10;

/// The maximum delay in any deployment, in milliseconds. Leases and keys last a few seconds.
const MAX_MAX_DELAY_MS: u64 = 2_000;

/// The time after which the outcome of a trial call is no longer awaited, in milliseconds.
const TRIAL_TIMEOUT_MS: u64 = 2_500;

/// Spaces the calls of one process to a store that does not answer.
///
/// Each process makes many kinds of calls, and each call tries peers as well. Without a pause, a
/// store outage multiplies the calls by the number of processes, and the store is flooded when it
/// returns. During an outage only one trial call is made at a time, with growing and jittered
/// delays; all other calls fail at once.
#[derive(Debug, Clone)]
pub struct OutageBackoff {
    /// Differs between processes, so that their trial calls do not coincide.
    seed: u64,
    failures: u32,
    /// When the next trial call may be made; `None` while the store answers.
    retry_at: Option<Moment>,
    /// Whether a trial call is under way, so that `retry_at` is when its outcome is no longer awaited.
    is_trying: bool,
}

impl OutageBackoff {
    /// Creates the state of a process that has not called the store yet.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            failures: 0,
            retry_at: None,
            is_trying: false,
        }
    }

    /// Returns whether a call may be made now. During an outage the first caller after the delay
    /// makes the trial call.
    pub fn allows_call(&mut self, now: Moment) -> bool {
        match self.retry_at {
            None => true,
            Some(retry_at) if now < retry_at => false,
            Some(_) => {
                self.retry_at = Some(now + TRIAL_TIMEOUT_MS);
                self.is_trying = true;
                true
            }
        }
    }

    /// Returns the time until the next trial call, in milliseconds. The outcome of one that is under way is known
    /// long before it would be given up.
    pub fn remaining_ms(&self, now: Moment) -> u64 {
        let remaining_ms = self.retry_at.map_or(0, |retry_at| retry_at.since(now));
        match self.is_trying {
            true => remaining_ms.min(FIRST_DELAY_MS),
            false => remaining_ms,
        }
    }

    /// Records that the store was reached, by this process or by one that shares its reads.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.retry_at = None;
        self.is_trying = false;
    }

    /// Records that neither this process nor its peers reached the store.
    ///
    /// `processes` is the number of processes of the deployment, and `is_essential` tells whether
    /// others wait for this one.
    pub fn record_failure(&mut self, now: Moment, processes: usize, is_essential: bool) {
        let spread_ms = processes as u64 * MAX_DELAY_PER_PROCESS_MS;
        let max_ms = match is_essential {
            true => MIN_MAX_DELAY_MS,
            false => spread_ms.clamp(MIN_MAX_DELAY_MS, MAX_MAX_DELAY_MS),
        };
        let delay_ms = (FIRST_DELAY_MS << self.failures.min(8)).min(max_ms);
        self.failures += 1;
        let parts = [
            self.seed.to_le_bytes(),
            u64::from(self.failures).to_le_bytes(),
        ];
        let jitter = hash::digest64(&[&parts[0], &parts[1]]) % (delay_ms / 2 + 1);
        self.retry_at = Some(now + (delay_ms - jitter));
        self.is_trying = false;
    }
}
