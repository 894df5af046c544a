//! The parts of the execution table that its callers see.

use {
    crate::hash,
    catkindeck::{
        ErrorKind, ServiceError,
        id::{BodyDigest, BootId, ObjectName, RequestId},
        message::{ExecuteRequest, ExecutionRecord, ExecutionState},
        token::VersionLabels,
    },
};

/// How long a record is kept after its request ended, in milliseconds (`docs/design.md`,
/// decision 4).
pub const EXECUTION_RETENTION_MS: u64 = 600_000;

/// The bounds of an execution table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExecutionSettings {
    /// How long a record is kept after its request ended, in milliseconds.
    pub retention_ms: u64,
    /// The longest time that a request may run, in milliseconds; no route may have a longer
    /// time-out.
    pub longest_request_ms: u64,
    /// The number of records; new work is refused beyond it, and no record is dropped early.
    pub record_limit: usize,
    /// The total size of stored answers, in bytes; beyond it the oldest answers are dropped and
    /// their records kept.
    pub answer_limit: usize,
}

impl Default for ExecutionSettings {
    fn default() -> Self {
        Self {
            retention_ms: EXECUTION_RETENTION_MS,
            longest_request_ms: EXECUTION_RETENTION_MS,
            // 66 requests a second that may not run again or carry a key; together with the other
            // limits an agent stays below 128 MB (docs/CAPACITY.md).
            record_limit: 40_000,
            answer_limit: 16 << 20,
        }
    }
}

/// What is known about earlier incarnations of the agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TableOrigin {
    /// It is proved that no earlier incarnation ran anything within the retention, so no record
    /// can be missing.
    First,
    /// An earlier incarnation may have run requests whose records are lost.
    Restarted,
}

/// What to do with a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BeginDecision {
    /// The request is recorded as queued and may be admitted.
    Run,
    /// The request ended before; its stored answer is sent again.
    Replay(Box<ExecutionRecord>),
}

/// The answer to a revocation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RevokeOutcome {
    /// The request had not started and never will; if it is queued, it must be withdrawn.
    Revoked,
    /// The request started, and this is its record.
    Known(Box<ExecutionRecord>),
}

/// What an execution produced.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExecutionResult {
    /// Whether the answer is whole; otherwise the upstream failed after the start.
    pub complete: bool,
    /// The upstream's boot identity.
    pub boot: BootId,
    /// The labels of the generated tokens.
    pub labels: VersionLabels,
    /// The HTTP status of a plain service's answer.
    pub status: u16,
    /// The answer, stored only for requests with an idempotency key.
    pub answer: Vec<u8>,
}

/// The digest of a customer, route and idempotency key.
pub(crate) type KeyHash = [u8; 32];

pub(crate) fn key_hash(customer: Option<&ObjectName>, route: &ObjectName, text: &str) -> KeyHash {
    // A missing customer differs from every name, because names are not empty.
    let customer = customer.map_or("", ObjectName::as_str);
    hash::digest(&[
        customer.as_bytes(),
        route.as_str().as_bytes(),
        text.as_bytes(),
    ])
}

pub(crate) fn queued_record(request: &ExecuteRequest) -> ExecutionRecord {
    ExecutionRecord {
        request: request.request,
        customer: request.customer.clone(),
        route: request.route.clone(),
        idempotency_key: request.idempotency_key.clone(),
        digest: request.digest,
        state: ExecutionState::Queued,
        boot: BootId::default(),
        labels: VersionLabels::default(),
        status: 0,
        headers: Vec::new(),
        answer: Vec::new(),
        answer_kept: false,
    }
}

pub(crate) fn forbidden_record(
    customer: Option<&ObjectName>,
    route: &ObjectName,
) -> ExecutionRecord {
    ExecutionRecord {
        request: RequestId::default(),
        customer: customer.cloned(),
        route: route.clone(),
        idempotency_key: None,
        digest: BodyDigest([0; 32]),
        state: ExecutionState::Forbidden,
        boot: BootId::default(),
        labels: VersionLabels::default(),
        status: 0,
        headers: Vec::new(),
        answer: Vec::new(),
        answer_kept: false,
    }
}

pub(crate) fn revoked() -> ServiceError {
    ServiceError::not_run(
        ErrorKind::Revoked,
        "the request was revoked before it started",
    )
}
