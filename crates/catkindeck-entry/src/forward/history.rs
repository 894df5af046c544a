//! The history of a request's attempts, which decides on retries and on the reported outcome.

use {
    super::{ResponseProgress, attempt::AttemptTarget, homes::KeyHomes},
    catkindeck::{ErrorKind, ExecutionOutcome, ServiceError, id::ObjectName},
};

/// The attempts made so far for one request.
pub(super) struct AttemptHistory {
    pub(super) key_homes: Option<KeyHomes>,
    pub(super) excluded: Vec<ObjectName>,
    pub(super) attempt: u8,
    pub(super) progress: ResponseProgress,
    may_have_run: bool,
    last_error: Option<ServiceError>,
}

impl AttemptHistory {
    pub(super) fn new(keeps_bytes: bool) -> Self {
        Self {
            key_homes: None,
            excluded: Vec::new(),
            attempt: 0,
            progress: ResponseProgress::new(keeps_bytes),
            may_have_run: false,
            last_error: None,
        }
    }

    pub(super) fn record(&mut self, error: &ServiceError) {
        self.may_have_run |= error.execution != ExecutionOutcome::NotRun;
    }

    /// Updates the history for the next attempt, after one that failed at `target`.
    pub(super) fn advance(&mut self, target: &AttemptTarget, error: ServiceError) {
        if let Some(key_homes) = self.key_homes.as_mut() {
            key_homes.advance(error.kind);
        }
        // A restarted agent is not excluded; the next attempt addresses its new incarnation.
        let restarted = error.kind == ErrorKind::WrongIncarnation;
        if !restarted && !self.excluded.contains(&target.upstream) {
            self.excluded.push(target.upstream.clone());
        }
        self.last_error = Some(error);
    }

    /// Replaces `not_run` by `unknown` if an earlier attempt may have run, because the error describes
    /// only the last attempt (`docs/design.md`, G12).
    pub(super) fn unknown_if_may_have_run(&self, error: ServiceError) -> ServiceError {
        if self.may_have_run && error.execution == ExecutionOutcome::NotRun {
            return ServiceError::unknown(error.kind, error.detail);
        }
        error
    }

    /// Returns the error for a request without a remaining upstream: that of the last attempt,
    /// which is more specific, or `error` if there was no attempt.
    pub(super) fn last_error_or(&mut self, error: ServiceError) -> ServiceError {
        self.last_error.take().unwrap_or(error)
    }
}
