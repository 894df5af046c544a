//! The readiness flag with the reasons that keep a process unready.

use {
    crate::events::READINESS_CHANGED,
    catkindeck::{SortedMap, log_event},
    slog::Logger,
    std::sync::{Mutex, MutexGuard},
};

/// Tells whether the process takes work, and if not, why.
///
/// Several parts of a process can keep it unready at the same time, so each holds a named reason of
/// its own; the process is ready when no reason is left.
#[derive(Debug)]
pub struct ReadinessFlag {
    reasons: Mutex<SortedMap<&'static str, String>>,
    logger: Logger,
}

impl ReadinessFlag {
    /// Makes a flag without reasons, that is, ready.
    pub fn new(logger: Logger) -> Self {
        Self {
            reasons: Mutex::new(SortedMap::new()),
            logger,
        }
    }

    /// Holds the process unready for `reason`; `detail` is shown by `/readyz` and holds no secret.
    pub fn hold(&self, reason: &'static str, detail: impl Into<String>) {
        let mut reasons = self.lock();
        let was_ready = reasons.is_empty();
        reasons.insert(reason, detail.into());
        if was_ready {
            log_event!(self.logger, READINESS_CHANGED; "ready" => false, "reason" => reason);
        }
    }

    /// Withdraws `reason`, which need not be held.
    pub fn clear(&self, reason: &'static str) {
        let mut reasons = self.lock();
        if reasons.remove(&reason).is_some() && reasons.is_empty() {
            log_event!(self.logger, READINESS_CHANGED; "ready" => true, "reason" => reason);
        }
    }

    /// Tells whether the process takes work.
    pub fn is_ready(&self) -> bool {
        self.lock().is_empty()
    }

    /// Returns the reasons that are held, with their details, in order of name.
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
