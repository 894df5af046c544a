//! Probes of the upstream, which detect its restarts and outages independently of requests.

use {
    crate::{
        core::AgentCore,
        events,
        upstream::{ProbeOutcome, ProbeReport},
    },
    catkindeck::{Moment, log_event},
    std::{
        sync::PoisonError,
        time::{Duration, Instant},
    },
};

/// The maximum age of the last confirmation of the boot ID, in milliseconds. If it is older, the
/// upstream is probed before a request is admitted.
///
/// Without the probe, an engine that restarted unnoticed would get the load of a warm one. Under
/// load, each chunk confirms the boot ID, so only an idle agent probes here, at most once in this
/// time. A burst that arrives within this time after an unnoticed crash is still sent to the
/// engine.
const BOOT_CONFIRMATION_MS: u64 = 10;

/// The number of consecutive probe timeouts after which the upstream counts as unreachable. Fewer
/// can occur while an engine is busy.
const MAX_CONSECUTIVE_TIMEOUTS: u32 = 3;

/// The start of the last probe and the number of consecutive timeouts.
#[derive(Debug, Default)]
pub(crate) struct ProbeHistory {
    last_started: Option<Instant>,
    consecutive_timeouts: u32,
}

impl AgentCore {
    /// Probes the upstream, unless a probe was started at `since` or later.
    ///
    /// A request whose connection failed calls this while it still counts as running, so that no
    /// new request takes its place at an upstream that may have restarted.
    pub(crate) fn probe_unless_started_since(&self, since: Instant) {
        let mut history = self
            .probe_history
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if history
            .last_started
            .is_none_or(|last_started| last_started < since)
        {
            self.probe_locked(&mut history);
        }
    }

    pub(crate) fn probe(&self) {
        let mut history = self
            .probe_history
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        self.probe_locked(&mut history);
    }

    /// Returns the time since the last probe started.
    pub(crate) fn probe_age(&self) -> Duration {
        let history = self
            .probe_history
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        history
            .last_started
            .map_or(Duration::MAX, |last_started| last_started.elapsed())
    }

    /// Ensures that the boot ID was confirmed recently, before the next request is admitted.
    pub(crate) fn confirm_boot(&self) {
        let asked = Instant::now();
        let now = self.now();
        let (recent, has_unprobed_failures) = {
            let state = self.lock();
            (
                now.since(state.boot_confirmed_at) < BOOT_CONFIRMATION_MS,
                state.unprobed_failures > 0,
            )
        };
        if has_unprobed_failures || !recent {
            self.probe_unless_started_since(asked);
        }
    }

    fn probe_locked(&self, history: &mut ProbeHistory) {
        // The probe shows the state of the upstream at this moment or later.
        let started = Instant::now();
        let now = self.now();
        let after = self.lock().last_cache_event;
        let outcome = self.upstream.probe(after);
        history.last_started = Some(started);
        match outcome {
            ProbeOutcome::Report(report) => {
                history.consecutive_timeouts = 0;
                self.apply_report(now, after, report);
                self.set_unreachable(None);
            }
            ProbeOutcome::Reachable => {
                history.consecutive_timeouts = 0;
                self.lock().boot_confirmed_at = now;
                self.set_unreachable(None);
            }
            ProbeOutcome::TimedOut => {
                history.consecutive_timeouts += 1;
                if history.consecutive_timeouts >= MAX_CONSECUTIVE_TIMEOUTS {
                    self.set_unreachable(Some("probe timed out"));
                }
            }
            ProbeOutcome::Unreachable(reason) => self.set_unreachable(Some(&reason)),
        }
    }

    fn apply_report(&self, now: Moment, after: u64, report: ProbeReport) {
        let new = {
            let mut state = self.lock();
            let restarted = state.boot != report.boot;
            let new = state.observe_boot(now, &report.boot);
            if let Some(version) = report.version {
                state.observe_version(&report.boot, version);
            }
            // After a restart, the events are unusable, because they were requested after a
            // sequence number of the previous boot.
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
        self.update_queue_closed();
    }
}
