//! The readiness flag and the reasons for being unready.

use {
    crate::events::READINESS_CHANGED,
    catkindeck::{SortedMap, log_event},
    slog::Logger,
    std::sync::{Mutex, MutexGuard},
};

/// Reports whether the process accepts work and, if not, why.
///
/// Several parts of a process can make it unready at the same time, so each of them uses its own
/// named reason. The process is ready when no reason is left.
#[derive(Debug)]
pub struct ReadinessFlag {
    reasons: Mutex<SortedMap<&'static str, String>>,
    logger: Logger,
}

impl ReadinessFlag {
    /// Creates a flag without reasons, which means ready.
    pub fn new(logger: Logger) -> Self {
        Self {
            reasons: Mutex::new(SortedMap::new()),
            logger,
        }
    }

    /// Adds `reason`, which makes the process unready. `/readyz` shows `detail`, which must not
    /// contain a secret.
    pub fn add_reason(&self, reason: &'static str, detail: impl Into<String>) {
        let mut reasons = self.lock();
        let was_ready = reasons.is_empty();
        reasons.insert(reason, detail.into());
        if was_ready {
            log_event!(self.logger, READINESS_CHANGED; "ready" => false, "reason" => reason);
        }
    }

    /// Removes `reason`, which need not be present.
    pub fn remove_reason(&self, reason: &'static str) {
        let mut reasons = self.lock();
        if reasons.remove(&reason).is_some() && reasons.is_empty() {
            log_event!(self.logger, READINESS_CHANGED; "ready" => true, "reason" => reason);
        }
    }

    /// Returns whether the process accepts work.
    pub fn is_ready(&self) -> bool {
        self.lock().is_empty()
    }

    /// Returns the current reasons and their details, sorted by name.
    pub fn reasons(&self) -> Vec<(&'static str, String)> {
        let reasons = self.lock();
        reasons
            .iter()
            .map(|(reason, detail)| (*reason, detail.clone()))
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, SortedMap<&'static str, String>> {
        self.reasons
            .lock()
            .unwrap_or_else(|poison| poison.into_inner())
    }
}
