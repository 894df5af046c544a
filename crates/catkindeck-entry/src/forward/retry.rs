//! The decision whether a failed attempt is retried.

use {
    super::{ForwardWork, RequestForwarder, history::AttemptHistory},
    catkindeck::{ErrorKind, ExecutionOutcome, ServiceError, message::WorkBody},
};

/// The decision after a failed attempt.
#[derive(Debug)]
pub(super) enum RetryDecision {
    /// Make another attempt.
    Retry,
    /// Return the error of the attempt.
    GiveUp,
    /// Return another error.
    ReplaceError(ServiceError),
}

impl RequestForwarder {
    /// Credits the retry budget for the first attempt of a request.
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

    /// Decides whether to retry after `error`, and spends the retry budget if so.
    pub(super) fn decide_retry(
        &self,
        work: &ForwardWork,
        error: &ServiceError,
        history: &AttemptHistory,
    ) -> RetryDecision {
        let is_proved_not_run = error.execution == ExecutionOutcome::NotRun;
        let is_repeatable = is_proved_not_run || work.route.idempotent;
        if !is_repeatable || !is_transient(error.kind) || history.attempt >= self.limits().attempts
        {
            return RetryDecision::GiveUp;
        }
        // The bytes of a plain service's response were sent already, and another response may
        // differ.
        if history.progress.is_started() && !matches!(work.body, WorkBody::Completion(_)) {
            return RetryDecision::GiveUp;
        }
        if self.remaining_time(work).is_zero() {
            return RetryDecision::ReplaceError(ServiceError {
                kind: ErrorKind::DeadlineExceeded,
                execution: error.execution,
                detail: format!("the deadline passed; last error: {}", error.detail),
            });
        }
        if self.is_quarantined(work) {
            return RetryDecision::ReplaceError(ServiceError {
                kind: ErrorKind::Quarantined,
                execution: error.execution,
                detail: "this request body crashed several upstreams".to_owned(),
            });
        }
        // An agent refuses work addressed to an earlier incarnation without running it, and only
        // once per restart, so this retry does not spend budget.
        if error.kind == ErrorKind::WrongIncarnation && is_proved_not_run {
            return RetryDecision::Retry;
        }
        let now = self.now();
        let result =
            self.with_budget(|budget| budget.spend(now, work.customer(), &work.route.name));
        match result {
            Ok(()) => RetryDecision::Retry,
            Err(_) if !is_proved_not_run => RetryDecision::GiveUp,
            Err(budget_error) => RetryDecision::ReplaceError(ServiceError {
                detail: format!("{}; last error: {error}", budget_error.detail),
                ..budget_error
            }),
        }
    }
}

/// Returns whether the request may succeed at another upstream, or later at the same one.
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
