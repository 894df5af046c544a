//! Runs that ended without a complete answer, until it is known whether their upstream crashed
//! (`docs/design/crashing-requests.md`).
//!
//! Answers the load of a day on which connections are reset, links are cut and answers are lost: a run without an
//! answer alone says nothing about its request.

use {
    super::{crash_register::CrashEvidence, upstream::UpstreamKey},
    catkindeck::{Moment, id::BodyDigest},
};

/// How long a crash is looked for in lists that are read after a run has ended, in milliseconds. An upstream that
/// crashed leaves the list after three heartbeats of 1,200 ms, or is listed with a later start.
const EVIDENCE_MS: u64 = 8_000;

/// The most that one pause between two reads of the list counts of that time, in milliseconds. Nothing is heard of
/// crashes while the list cannot be read.
const READ_GAP_MS: u64 = 2_000;

/// How long a run is watched at most, in milliseconds.
const WATCH_LIMIT_MS: u64 = 60_000;

/// The number of ended runs that are watched, the latest first.
const RUN_LIMIT: usize = 512;

/// A run that ended without a complete answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BrokenRun {
    pub digest: BodyDigest,
    /// The instance of the upstream.
    pub upstream: UpstreamKey,
    /// When the request was assigned to the upstream.
    pub begun: Moment,
    /// When its connection broke, or the request was given up.
    pub ended: Moment,
    /// What the run says of its request if the upstream crashed.
    pub evidence: CrashEvidence,
}

#[derive(Debug, Clone, Copy)]
struct WatchedRun {
    run: BrokenRun,
    /// For how long lists were read since, in milliseconds.
    watched_ms: u64,
    /// Whether the upstream's address answered a later request.
    is_answered: bool,
}

/// The broken runs of this process whose upstreams may have crashed.
#[derive(Debug, Clone, Default)]
pub struct BrokenRuns {
    /// In order of their ends.
    runs: Vec<WatchedRun>,
    /// When the latest list was read.
    last_read: Moment,
}

impl BrokenRuns {
    pub fn record(&mut self, run: BrokenRun) {
        self.expire(run.ended);
        if self.runs.len() >= RUN_LIMIT {
            self.runs.remove(0);
        }
        self.runs.push(WatchedRun {
            run,
            watched_ms: 0,
            is_answered: false,
        });
    }

    /// Records that a list was read at `read` and its changes were looked at.
    pub fn observe_read(&mut self, now: Moment, read: Moment) {
        for watched in &mut self.runs {
            let since = self.last_read.max(watched.run.ended);
            watched.watched_ms += read.since(since).min(READ_GAP_MS);
        }
        self.last_read = self.last_read.max(read);
        self.expire(now);
    }

    /// Removes and returns the runs that ended because an upstream crashed.
    ///
    /// What answered a request after the run may have been the next instance, which `is_replaced` proves. It may also
    /// have been the same one, which then crashed later, so that the run is weak evidence at most.
    pub fn confirm(
        &mut self,
        now: Moment,
        upstream: UpstreamKey,
        is_replaced: bool,
    ) -> Vec<BrokenRun> {
        self.expire(now);
        let (ended, others) = std::mem::take(&mut self.runs)
            .into_iter()
            .partition(|watched: &WatchedRun| watched.run.upstream == upstream);
        self.runs = others;
        let crashed = ended
            .into_iter()
            .filter(|watched| is_replaced || !watched.is_answered);
        crashed
            .map(|watched| match watched.is_answered {
                true => BrokenRun {
                    evidence: CrashEvidence::Weak,
                    ..watched.run
                },
                false => watched.run,
            })
            .collect()
    }

    /// Records that a request sent to an upstream was answered, so that it had not crashed before, or was back.
    pub fn refute(&mut self, upstream: UpstreamKey, sent: Moment) {
        for watched in &mut self.runs {
            watched.is_answered |= watched.run.upstream == upstream && watched.run.ended < sent;
        }
    }

    /// Drops the runs of a request that has been answered.
    pub fn clear(&mut self, digest: &BodyDigest) {
        self.runs.retain(|watched| watched.run.digest != *digest);
    }

    /// Returns the upstreams of the broken runs of a request.
    pub fn upstreams(&self, digest: &BodyDigest) -> impl Iterator<Item = UpstreamKey> {
        let runs = self.runs.iter();
        let runs = runs.filter(move |watched| watched.run.digest == *digest);
        runs.map(|watched| watched.run.upstream)
    }

    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    fn expire(&mut self, now: Moment) {
        self.runs.retain(|watched| {
            watched.watched_ms < EVIDENCE_MS && now.since(watched.run.ended) < WATCH_LIMIT_MS
        });
    }
}
