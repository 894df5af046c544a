//! The closed set of error kinds and the response that each produces.

use {
    crate::{key, message},
    std::fmt,
    thiserror::Error,
};

/// What is known about the execution of a request; see `docs/design.md`, decision 3.
#[key]
#[serde(rename_all = "snake_case")]
pub enum ExecutionOutcome {
    /// The request provably did not run and never will.
    NotRun,
    Unknown,
    /// The request ran to completion.
    Finished,
}

/// A kind of error that can be returned to a caller, trainer or operator.
///
/// The set is closed: a new failure either maps to one of these kinds or is added here together
/// with its row in [`ErrorKind::response`].
#[key]
#[serde(rename_all = "snake_case")]
pub enum ErrorKind {
    /// The request is malformed.
    BadRequest,
    TooLarge,
    /// The request was not received in time.
    SlowRequest,
    /// The request carries no key, or an unknown one.
    Unauthenticated,
    KeyRevoked,
    /// The caller lacks permission.
    Forbidden,
    /// No route, service, run or other object has the given name.
    NotFound,
    /// The object was modified since it was read.
    Conflict,
    /// The customer or route exceeds its limit.
    Overloaded,
    /// The deadline has passed or could not be met.
    DeadlineExceeded,
    /// No upstream of the service can accept work.
    NoUpstream,
    UpstreamFailed,
    /// The upstream is draining, or its availability zone accepts no work.
    UpstreamLeaving,
    /// The request's body is quarantined because it crashed several upstreams.
    Quarantined,
    RetryBudgetSpent,
    ShuttingDown,
    /// The process's configuration is too old to authenticate callers.
    StaleConfiguration,
    /// The order carries a fencing token that is not the highest known one.
    Fenced,
    /// The message is addressed to an earlier incarnation of the process.
    WrongIncarnation,
    Revoked,
    /// The data of the offered batch was lost; its samples are replaced.
    BatchLost,
    /// The platform's store is unreachable.
    StoreUnavailable,
    OutcomeUnknown,
    /// The peer process is unreachable or violated the protocol.
    PeerUnavailable,
    /// A defect of this system.
    Internal,
    /// It cannot be proved which software version began the stream that is to be resumed.
    Unresumable,
}

/// How an error of one kind is reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ErrorResponse {
    /// The name in JSON responses and in logs.
    pub name: &'static str,
    pub status: u16,
    /// The exit code of the command-line tool.
    pub exit_code: u8,
    /// Whether the same request may succeed later.
    pub retryable: bool,
}

impl ErrorKind {
    /// All kinds, in the order of the table in `docs/errors.md`.
    pub const ALL: [Self; 26] = [
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
        Self::Unresumable,
    ];

    /// Returns how an error of this kind is reported.
    pub const fn response(self) -> ErrorResponse {
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
            Self::Unresumable => ("unresumable", 503, 6, false),
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
        formatter.write_str(self.response().name)
    }
}

/// An error, together with what is known about the request's execution.
#[message]
#[derive(Error)]
#[error("{kind}: {detail}")]
pub struct ServiceError {
    pub kind: ErrorKind,
    /// Whether the request ran; `NotRun` is set only if that is proven.
    pub execution: ExecutionOutcome,
    /// A human-readable description, which never contains a key or a body.
    pub detail: String,
}

impl ServiceError {
    /// Creates an error for a request that did not run and never will.
    pub fn not_run(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            execution: ExecutionOutcome::NotRun,
            detail: detail.into(),
        }
    }

    /// Creates an error for a request that may have run.
    pub fn unknown(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            execution: ExecutionOutcome::Unknown,
            detail: detail.into(),
        }
    }
}
