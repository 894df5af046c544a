//! The attempts of one request so far.

use {
    super::{ResponseProgress, attempt::AttemptTarget, homes::KeyHomes},
    catkindeck::{ErrorKind, ExecutionOutcome, ServiceError, id::ObjectName},
};

/// The attempts of one request so far.
pub(super) struct AttemptHistory {
    pub(super) key_homes: Option<KeyHomes>,
    pub(super) excluded: Vec<ObjectName>,
    pub(super) attempt: u8,
    pub(super) progress: ResponseProgress,
    may_have_run: bool,
    last: Option<ServiceError>,
}

impl AttemptHistory {
    pub(super) fn new(keeps_bytes: bool) -> Self {
        Self {
            key_homes: None,
            excluded: Vec::new(),
            attempt: 0,
            progress: ResponseProgress::new(keeps_bytes),
            may_have_run: false,
            last: None,
        }
    }

    pub(super) fn note(&mut self, error: &ServiceError) {
        self.may_have_run |= error.execution != ExecutionOutcome::NotRun;
    }

    /// Prepares the next attempt after one that failed at `target`.
    pub(super) fn advance(&mut self, target: &AttemptTarget, error: ServiceError) {
        if let Some(key_homes) = self.key_homes.as_mut() {
            key_homes.advance(error.kind);
        }
        // A restarted agent is as good as any other; the next attempt addresses its incarnation.
        let restarted = error.kind == ErrorKind::WrongIncarnation;
        if !restarted && !self.excluded.contains(&target.upstream) {
            self.excluded.push(target.upstream.clone());
        }
        self.last = Some(error);
    }

    /// Takes back a `not_run` that only the last attempt proves (`docs/design.md`, G12).
    pub(super) fn qualify(&self, error: ServiceError) -> ServiceError {
        if self.may_have_run && error.execution == ExecutionOutcome::NotRun {
            return ServiceError::unknown(error.kind, error.detail);
        }
        error
    }

    /// Returns the error when no upstream is left; after a failed attempt that attempt's error says
    /// more.
    pub(super) fn explain(&mut self, error: ServiceError) -> ServiceError {
        self.last.take().unwrap_or(error)
    }
}
