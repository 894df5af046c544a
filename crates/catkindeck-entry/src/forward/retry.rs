//! Whether a failed attempt is followed by another.

use {
    super::{ForwardWork, RequestForwarder, history::AttemptHistory},
    catkindeck::{ErrorKind, ExecutionOutcome, ServiceError, message::WorkBody},
};

/// What follows a failed attempt.
#[derive(Debug)]
pub(super) enum RetryDecision {
    /// Another attempt.
    Retry,
    /// The error of the attempt is the answer.
    GiveUp,
    /// Another error is the answer.
    ReplaceError(ServiceError),
}

impl RequestForwarder {
    /// Pays for the first attempt into the retry budget.
    pub(super) fn credit_retry_budget(&self, work: &ForwardWork) {
        let snapshot = self.source().current();
        let percent = match work.customer() {
            Some(customer) => snapshot
                .customer(customer)
                .map(|record| record.retry_percent),
            None => Some(self.limits().open_retry_percent),
        };
        let now = self.now();
        self.with_budget(|budget| {
            budget.deposit(now, work.customer(), &work.route.name, percent.unwrap_or(0));
        });
    }

    /// Decides about a further attempt after `error`, and spends the budget for it.
    pub(super) fn decide_retry(
        &self,
        work: &ForwardWork,
        error: &ServiceError,
        history: &AttemptHistory,
    ) -> RetryDecision {
        let proved = error.execution == ExecutionOutcome::NotRun;
        let repeatable = proved || work.route.idempotent;
        if !repeatable || !is_transient(error.kind) || history.attempt >= self.limits().attempts {
            return RetryDecision::GiveUp;
        }
        // Bytes of a plain service's answer cannot be taken back, and another answer may differ.
        if history.progress.is_started() && !matches!(work.body, WorkBody::Completion(_)) {
            return RetryDecision::GiveUp;
        }
        if self.remaining(work).is_zero() {
            return RetryDecision::ReplaceError(ServiceError {
                kind: ErrorKind::DeadlineExceeded,
                execution: error.execution,
                detail: format!("the deadline passed after: {}", error.detail),
            });
        }
        if self.is_quarantined(work) {
            return RetryDecision::ReplaceError(ServiceError {
                kind: ErrorKind::Quarantined,
                execution: error.execution,
                detail: "this request crashed several upstreams".to_owned(),
            });
        }
        // An agent that refuses its former incarnation's work did nothing for it, and does so once
        // for each restart, so this retry costs no budget.
        if error.kind == ErrorKind::WrongIncarnation && proved {
            return RetryDecision::Retry;
        }
        let now = self.now();
        let spent = self.with_budget(|budget| budget.spend(now, work.customer(), &work.route.name));
        match spent {
            Ok(()) => RetryDecision::Retry,
            Err(_) if !proved => RetryDecision::GiveUp,
            Err(spent) => RetryDecision::ReplaceError(ServiceError {
                detail: format!("{}; the last attempt: {error}", spent.detail),
                ..spent
            }),
        }
    }
}

/// Tells whether another upstream, or the same one later, may succeed.
fn is_transient(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::Overloaded
            | ErrorKind::NoUpstream
            | ErrorKind::UpstreamFailed
            | ErrorKind::UpstreamLeaving
            | ErrorKind::ShuttingDown
            | ErrorKind::StaleConfiguration
            | ErrorKind::WrongIncarnation
            | ErrorKind::Revoked
            | ErrorKind::PeerUnavailable
    )
}
