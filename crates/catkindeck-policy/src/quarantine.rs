//! Quarantine of request bodies that crash upstreams.

use {
    catkindeck::{
        ErrorKind, Moment, ServiceError,
        id::{BodyDigest, ObjectName},
        message::CrashReport,
    },
    std::collections::BTreeMap,
};

/// How long a body is quarantined, and how long a crash is remembered, in milliseconds.
pub const QUARANTINE_MS: u64 = 600_000;

/// The number of distinct crashed upstreams after which a body is quarantined.
pub const CRASH_LIMIT: usize = 2;

/// The maximum number of remembered bodies; above it the body with the oldest crash is evicted.
const BODY_LIMIT: usize = 10_000;

/// The request bodies that were running on crashed upstreams (`docs/design.md`, decision 6).
///
/// Crashes are counted per body digest and distinct upstream. A body that completes elsewhere is
/// cleared unless it is already quarantined, because crashes also count against requests that only
/// shared an upstream with the one that caused the crash.
#[derive(Debug, Clone, Default)]
pub struct CrashQuarantine {
    histories: BTreeMap<BodyDigest, CrashHistory>,
}

#[derive(Debug, Clone)]
struct CrashHistory {
    crashes: Vec<(ObjectName, Moment)>,
    until: Option<Moment>,
}

impl CrashQuarantine {
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a crash and returns whether it newly quarantined the body.
    pub fn report(&mut self, now: Moment, crash: &CrashReport) -> bool {
        self.evict_oldest(&crash.digest);
        let history = self
            .histories
            .entry(crash.digest)
            .or_insert_with(|| CrashHistory {
                crashes: Vec::new(),
                until: None,
            });
        history.expire(now);
        history.crashes.retain(|(name, _)| *name != crash.upstream);
        history.crashes.push((crash.upstream.clone(), now));
        if history.crashes.len() < CRASH_LIMIT {
            return false;
        }
        let is_new = history.until.is_none();
        history.until = Some(now + QUARANTINE_MS);
        // One crash beyond the limit is enough to count distinct upstreams.
        if history.crashes.len() > CRASH_LIMIT {
            history.crashes.remove(0);
        }
        is_new
    }

    /// Clears a body that completed normally, unless it is quarantined.
    pub fn clear(&mut self, now: Moment, digest: &BodyDigest) {
        if !self.contains(now, digest) {
            self.histories.remove(digest);
        }
    }

    /// Checks that a body may run.
    ///
    /// # Errors
    ///
    /// Returns `quarantined` if the body crashed two distinct upstreams within ten minutes.
    pub fn check(&self, now: Moment, digest: &BodyDigest) -> Result<(), ServiceError> {
        if !self.contains(now, digest) {
            return Ok(());
        }
        Err(ServiceError::not_run(
            ErrorKind::Quarantined,
            "the request body crashed several upstreams and is quarantined for ten minutes",
        ))
    }

    /// Returns whether a body is quarantined.
    pub fn contains(&self, now: Moment, digest: &BodyDigest) -> bool {
        let until = self.histories.get(digest).and_then(|history| history.until);
        until.is_some_and(|until| now < until)
    }

    /// Returns the remembered crashes, for a peer that has just started.
    pub fn reports(&self, now: Moment) -> Vec<CrashReport> {
        let mut reports = Vec::new();
        for (digest, history) in &self.histories {
            for (upstream, at) in &history.crashes {
                if now.since(*at) < QUARANTINE_MS {
                    reports.push(CrashReport {
                        digest: *digest,
                        upstream: upstream.clone(),
                    });
                }
            }
        }
        reports
    }

    /// Removes expired entries; must be called every few seconds.
    pub fn sweep(&mut self, now: Moment) {
        self.histories.retain(|_, history| {
            history.expire(now);
            !history.crashes.is_empty() || history.until.is_some()
        });
    }

    fn evict_oldest(&mut self, digest: &BodyDigest) {
        if self.histories.len() < BODY_LIMIT || self.histories.contains_key(digest) {
            return;
        }
        // Quarantined bodies are evicted only if there is no other.
        let oldest = self
            .histories
            .iter()
            .min_by_key(|(_, history)| (history.until, history.crashes.last().map(|(_, at)| *at)))
            .map(|(digest, _)| *digest);
        if let Some(oldest) = oldest {
            self.histories.remove(&oldest);
        }
    }
}

impl CrashHistory {
    fn expire(&mut self, now: Moment) {
        self.crashes
            .retain(|(_, at)| now.since(*at) < QUARANTINE_MS);
        if self.until.is_some_and(|until| until <= now) {
            self.until = None;
        }
    }
}
