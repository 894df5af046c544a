//! The closed list of error kinds and the answer that each gives.

use {
    crate::{key, message},
    std::fmt,
    thiserror::Error,
};

/// What is known about the execution of a request, see `docs/design.md`, decision 3.
#[key]
#[serde(rename_all = "snake_case")]
pub enum ExecutionOutcome {
    /// It is proved that the request did not run and never will.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The request ran to its end.
    Finished,
}

/// Every kind of error that a caller, trainer or operator can be given.
///
/// The list is closed: a new failure is mapped to one of these kinds or added here together with
/// its row in [`ErrorKind::answer`].
#[key]
#[serde(rename_all = "snake_case")]
pub enum ErrorKind {
    /// The request is not in the expected form.
    BadRequest,
    /// The request exceeds a size limit.
    TooLarge,
    /// The request did not arrive in time.
    SlowRequest,
    /// No key came with the request, or the key is unknown.
    Unauthenticated,
    /// The key was revoked while the request was in progress.
    KeyRevoked,
    /// The caller may not do this.
    Forbidden,
    /// No route, service, run or other object has this name.
    NotFound,
    /// The object changed since it was read.
    Conflict,
    /// The customer or route is over its limit.
    Overloaded,
    /// The deadline passed or could not be met.
    DeadlineExceeded,
    /// No upstream of the service can take work.
    NoUpstream,
    /// The upstream failed while it handled the request.
    UpstreamFailed,
    /// The upstream's availability zone is out, or the upstream is leaving.
    UpstreamLeaving,
    /// The request's body crashed several upstreams and is quarantined.
    Quarantined,
    /// The retry budget is used up.
    RetryBudgetSpent,
    /// The process is shutting down.
    ShuttingDown,
    /// The configuration of this process is too old to authenticate callers.
    StaleConfiguration,
    /// An order carries a fencing number that is not the highest known one.
    Fenced,
    /// The message is addressed to a former incarnation of the process.
    WrongIncarnation,
    /// The request was revoked before it started.
    Revoked,
    /// The data of an offered batch is lost; the samples are replaced.
    BatchLost,
    /// The platform's store cannot be reached.
    StoreUnavailable,
    /// The outcome cannot be determined.
    OutcomeUnknown,
    /// The peer process cannot be reached or broke the protocol.
    PeerUnavailable,
    /// A defect of this system.
    Internal,
}

/// The answer that a kind of error gives, one row of the table from kind to answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ErrorResponse {
    /// The name in JSON answers and in logs.
    pub name: &'static str,
    /// The HTTP status.
    pub status: u16,
    /// The exit code of the command line.
    pub exit_code: u8,
    /// Whether the same request may succeed later.
    pub retryable: bool,
}

impl ErrorKind {
    /// All kinds, in the order of the table in `docs/errors.md`.
    pub const ALL: [Self; 25] = [
        Self::BadRequest,
        Self::TooLarge,
        Self::SlowRequest,
        Self::Unauthenticated,
        Self::KeyRevoked,
        Self::Forbidden,
        Self::NotFound,
        Self::Conflict,
        Self::Overloaded,
        Self::DeadlineExceeded,
        Self::NoUpstream,
        Self::UpstreamFailed,
        Self::UpstreamLeaving,
        Self::Quarantined,
        Self::RetryBudgetSpent,
        Self::ShuttingDown,
        Self::StaleConfiguration,
        Self::Fenced,
        Self::WrongIncarnation,
        Self::Revoked,
        Self::BatchLost,
        Self::StoreUnavailable,
        Self::OutcomeUnknown,
        Self::PeerUnavailable,
        Self::Internal,
    ];

    /// Returns the answer for this kind.
    pub const fn answer(self) -> ErrorResponse {
        let (name, status, exit_code, retryable) = match self {
            Self::BadRequest => ("bad_request", 400, 2, false),
            Self::TooLarge => ("too_large", 413, 2, false),
            Self::SlowRequest => ("slow_request", 408, 2, true),
            Self::Unauthenticated => ("unauthenticated", 401, 3, false),
            Self::KeyRevoked => ("key_revoked", 401, 3, false),
            Self::Forbidden => ("forbidden", 403, 3, false),
            Self::NotFound => ("not_found", 404, 4, false),
            Self::Conflict => ("conflict", 409, 5, false),
            Self::Overloaded => ("overloaded", 429, 6, true),
            Self::DeadlineExceeded => ("deadline_exceeded", 504, 6, true),
            Self::NoUpstream => ("no_upstream", 503, 6, true),
            Self::UpstreamFailed => ("upstream_failed", 502, 6, true),
            Self::UpstreamLeaving => ("upstream_leaving", 503, 6, true),
            Self::Quarantined => ("quarantined", 422, 6, false),
            Self::RetryBudgetSpent => ("retry_budget_spent", 503, 6, true),
            Self::ShuttingDown => ("shutting_down", 503, 6, true),
            Self::StaleConfiguration => ("stale_configuration", 503, 6, true),
            Self::Fenced => ("fenced", 409, 5, false),
            Self::WrongIncarnation => ("wrong_incarnation", 409, 6, true),
            Self::Revoked => ("revoked", 409, 6, true),
            Self::BatchLost => ("batch_lost", 410, 7, false),
            Self::StoreUnavailable => ("store_unavailable", 503, 8, true),
            Self::OutcomeUnknown => ("outcome_unknown", 502, 9, false),
            Self::PeerUnavailable => ("peer_unavailable", 502, 8, true),
            Self::Internal => ("internal", 500, 1, false),
        };
        ErrorResponse {
            name,
            status,
            exit_code,
            retryable,
        }
    }
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.answer().name)
    }
}

/// An error with what is known about the request's execution.
#[message]
#[derive(Error)]
#[error("{kind}: {detail}")]
pub struct ServiceError {
    /// The kind, which decides the answer.
    pub kind: ErrorKind,
    /// Whether the request ran; `NotRun` is only stated on proof.
    pub execution: ExecutionOutcome,
    /// A sentence for people; it never holds a key or a body.
    pub detail: String,
}

impl ServiceError {
    /// Makes an error for a request that did not run and never will.
    pub fn not_run(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            execution: ExecutionOutcome::NotRun,
            detail: detail.into(),
        }
    }

    /// Makes an error for a request that may have run.
    pub fn unknown(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            execution: ExecutionOutcome::Unknown,
            detail: detail.into(),
        }
    }
}
