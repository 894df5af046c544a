//! Probes of the upstream, by which restarts and outages are noticed apart from traffic.

use {
    crate::{
        core::AgentCore,
        events,
        upstream::{ProbeOutcome, UpstreamProbe},
    },
    catkindeck::{Moment, log_event},
    std::{
        sync::PoisonError,
        time::{Duration, Instant},
    },
};

/// The age of the last sign of the upstream's boot identity from which on it is asked before a
/// request is admitted, in milliseconds.
///
/// An engine that restarted unnoticed would get the load of a warm one. Under load each chunk is a
/// sign, so that only an idle agent asks, at most once in this time. A burst that comes within this
/// time after an unnoticed crash is not held back.
const BOOT_SIGN_MS: u64 = 10;

/// The number of probes in a row without an answer in time after which the upstream counts as
/// unreachable; fewer happen while an engine is busy.
const LATE_LIMIT: u32 = 3;

/// When the upstream was probed, and with what success.
#[derive(Debug, Default)]
pub(crate) struct ProbeTrack {
    last: Option<Instant>,
    late: u32,
}

impl AgentCore {
    /// Probes the upstream unless another thread did since `since`.
    ///
    /// A request whose connection broke calls this before it gives up its place, so that nothing
    /// new is sent to an upstream that may have restarted.
    pub(crate) fn probe_since(&self, since: Instant) {
        let mut track = self.probing.lock().unwrap_or_else(PoisonError::into_inner);
        if track.last.is_none_or(|last| last < since) {
            self.probe_as(&mut track);
        }
    }

    /// Probes the upstream.
    pub(crate) fn probe(&self) {
        let mut track = self.probing.lock().unwrap_or_else(PoisonError::into_inner);
        self.probe_as(&mut track);
    }

    /// Returns the time since the last probe.
    pub(crate) fn probe_age(&self) -> Duration {
        let track = self.probing.lock().unwrap_or_else(PoisonError::into_inner);
        track.last.map_or(Duration::MAX, |last| last.elapsed())
    }

    /// Makes sure that the boot identity by which the next request is admitted is a recent one.
    pub(crate) fn confirm_boot(&self) {
        let asked = Instant::now();
        let now = self.now();
        let (recent, broken) = {
            let state = self.lock();
            (now.since(state.last_sign) < BOOT_SIGN_MS, state.broken > 0)
        };
        if broken || !recent {
            self.probe_since(asked);
        }
    }

    fn probe_as(&self, track: &mut ProbeTrack) {
        // The answer shows the upstream as it was after this moment.
        let started = Instant::now();
        let now = self.now();
        let after = self.lock().last_cache_event;
        let outcome = self.upstream.probe(after);
        track.last = Some(started);
        match outcome {
            ProbeOutcome::Report(report) => {
                track.late = 0;
                self.absorb(now, after, report);
                self.set_unreachable(None);
            }
            ProbeOutcome::Reachable => {
                track.late = 0;
                self.lock().last_sign = now;
                self.set_unreachable(None);
            }
            ProbeOutcome::Late => {
                track.late += 1;
                if track.late >= LATE_LIMIT {
                    self.set_unreachable(Some("no answer in time"));
                }
            }
            ProbeOutcome::Unreachable(reason) => self.set_unreachable(Some(&reason)),
        }
    }

    fn absorb(&self, now: Moment, after: u64, report: UpstreamProbe) {
        let new = {
            let mut state = self.lock();
            let restarted = state.boot != report.boot;
            let new = state.observe_boot(now, &report.boot);
            if let Some(version) = report.version {
                state.observe_version(&report.boot, version);
            }
            // After a restart the events were asked for by a number of the earlier boot.
            if !restarted || after == 0 {
                for change in report.cache {
                    state.observe_cache(change.prefix, change.stored);
                    state.last_cache_event = state.last_cache_event.max(change.sequence);
                }
            }
            new
        };
        if new {
            self.metrics.boots.inc();
            log_event!(self.logger, events::UPSTREAM_BOOTED; "boot" => &report.boot.0);
        }
    }

    fn set_unreachable(&self, reason: Option<&str>) {
        let changed = {
            let mut state = self.lock();
            let before = std::mem::replace(&mut state.unreachable, reason.is_some());
            before != reason.is_some()
        };
        if !changed {
            return;
        }
        match reason {
            Some(reason) => {
                log_event!(self.logger, events::UPSTREAM_UNREACHABLE; "reason" => reason);
            }
            None => log_event!(self.logger, events::UPSTREAM_REACHABLE),
        }
        self.refresh_closed();
    }
}
