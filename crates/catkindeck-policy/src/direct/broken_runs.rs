//! Runs that broke off, until it is known whether their upstream crashed (`docs/design/crashing-requests.md`).
//!
//! Answers the load of a day on which connections are reset, links are cut and answers are lost: a broken connection
//! alone says nothing about the request that used it.

use {
    super::upstream::UpstreamKey,
    catkindeck::{Moment, id::BodyDigest},
};

/// How long a crash is looked for after a run broke off, in milliseconds. An upstream that crashed leaves the list
/// after three heartbeats of 1,200 ms, or is listed with a later start.
const EVIDENCE_MS: u64 = 8_000;

/// The number of broken runs that are watched, the latest first.
const RUN_LIMIT: usize = 512;

/// A run whose connection broke before its upstream had answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BrokenRun {
    pub digest: BodyDigest,
    /// The instance of the upstream.
    pub upstream: UpstreamKey,
    /// When the request was assigned to the upstream.
    pub begun: Moment,
    /// When its connection broke.
    pub ended: Moment,
}

/// The broken runs of this process whose upstreams may have crashed.
#[derive(Debug, Clone, Default)]
pub struct BrokenRuns {
    /// In order of their ends.
    runs: Vec<BrokenRun>,
}

impl BrokenRuns {
    /// Records a broken run. Returns whether it is the only one at its upstream, so that the upstream is looked at
    /// once for all of them.
    pub fn record(&mut self, run: BrokenRun) -> bool {
        self.expire(run.ended);
        let is_only = self.runs.iter().all(|other| other.upstream != run.upstream);
        if self.runs.len() >= RUN_LIMIT {
            self.runs.remove(0);
        }
        self.runs.push(run);
        is_only
    }

    /// Removes and returns the runs that ended because an upstream crashed.
    pub fn confirm(&mut self, now: Moment, upstream: UpstreamKey) -> Vec<BrokenRun> {
        self.expire(now);
        let (crashed, others) = std::mem::take(&mut self.runs)
            .into_iter()
            .partition(|run| run.upstream == upstream);
        self.runs = others;
        crashed
    }

    /// Drops the runs that ended before an upstream was sent a request that it answered, because it lives.
    pub fn refute(&mut self, upstream: UpstreamKey, sent: Moment) {
        self.runs
            .retain(|run| run.upstream != upstream || run.ended >= sent);
    }

    /// Drops the runs of a request that has been answered.
    pub fn clear(&mut self, digest: &BodyDigest) {
        self.runs.retain(|run| run.digest != *digest);
    }

    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    fn expire(&mut self, now: Moment) {
        self.runs.retain(|run| now.since(run.ended) < EVIDENCE_MS);
    }
}
