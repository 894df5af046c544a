//! The public types of the execution table.

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
    /// The maximum time that a request may run, in milliseconds; no route may have a longer
    /// timeout.
    pub longest_request_ms: u64,
    /// The maximum number of records. Above it new work is rejected; no record is dropped early.
    pub record_limit: usize,
    /// The maximum total size of stored responses, in bytes. Above it the oldest responses are
    /// dropped, but their records are kept.
    pub response_limit: usize,
}

impl Default for ExecutionSettings {
    fn default() -> Self {
        Self {
            retention_ms: EXECUTION_RETENTION_MS,
            longest_request_ms: EXECUTION_RETENTION_MS,
            // Enough for 66 requests per second that are not idempotent or have a key. Together
            // with the other limits, an agent stays below 128 MB (docs/CAPACITY.md).
            record_limit: 40_000,
            response_limit: 16 << 20,
        }
    }
}

/// Whether the records of earlier incarnations of the agent are known to be complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordHistory {
    /// No earlier incarnation ran anything within the retention, so no record can be missing.
    Complete,
    /// An earlier incarnation may have run requests within the retention whose records are lost.
    MayBeIncomplete,
}

/// What to do with a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BeginDecision {
    /// The request is recorded as queued and may be admitted.
    Run,
    /// The request ended earlier; its stored response is sent again.
    Replay(Box<ExecutionRecord>),
}

/// The outcome of a revocation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RevokeOutcome {
    /// The request had not started and never will; if it is queued, it must be withdrawn.
    Revoked,
    /// The request has started and has this record.
    Known(Box<ExecutionRecord>),
}

/// The result of an execution.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExecutionResult {
    /// Whether the response is complete; if not, the upstream failed after the start.
    pub complete: bool,
    pub boot: BootId,
    /// The version labels of the generated tokens.
    pub labels: VersionLabels,
    /// The HTTP status of a plain service's response.
    pub status: u16,
    /// The response, stored only for requests with an idempotency key.
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

pub(crate) fn revoked_error() -> ServiceError {
    ServiceError::not_run(
        ErrorKind::Revoked,
        "the request was revoked before it started",
    )
}
