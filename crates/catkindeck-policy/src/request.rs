//! The parts of the admission queue that its callers see.

use {
    crate::limit::LimitSettings,
    catkindeck::{
        Moment, ServiceError,
        id::{ObjectName, RequestId},
        message::WorkClass,
    },
};

/// The bounds and rules of an admission queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmissionSettings {
    /// The concurrency limit.
    pub limit: LimitSettings,
    /// The largest number of queued requests.
    pub queue_limit: usize,
    /// The service that a customer may save up by idling, in tokens at weight 1.
    pub idle_credit: u64,
    /// The part of the limit that rollouts near their deadline have for certain, in percent.
    pub urgent_percent: u32,
    /// How long before its deadline a rollout counts as urgent, in milliseconds.
    pub urgent_ms: u64,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            limit: LimitSettings {
                cold: 1,
                warm: 16,
                cold_start_ms: 30_000,
                adaptive: true,
            },
            queue_limit: 1_000,
            idle_credit: 1_000,
            urgent_percent: 25,
            urgent_ms: 120_000,
        }
    }
}

/// A request that asks for admission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// The request.
    pub request: RequestId,
    /// The customer, or `None` for a caller on an open route.
    pub customer: Option<ObjectName>,
    /// The class of work.
    pub class: WorkClass,
    /// The priority within the customer's requests of the class; higher goes first.
    pub priority: u8,
    /// When the caller gives up.
    pub deadline: Moment,
    /// The largest service that the request may need, in tokens, or 1 for a plain service.
    pub service_limit: u64,
    /// The entry that sent the request, whose credit is used.
    pub entry: Option<ObjectName>,
}

/// What the agent shall do with a queued request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdmissionAction {
    /// Hands the request to the upstream.
    Start(RequestId),
    /// Refuses the request, which has not started.
    Shed(RequestId, ServiceError),
}

/// How a request at the upstream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FinishCause {
    /// The answer is whole.
    Completed,
    /// The upstream failed or refused the request.
    UpstreamFailed,
    /// The caller gave up, or the result is no longer wanted.
    Cancelled,
}

/// What a withdrawal found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WithdrawOutcome {
    /// The request was queued and is removed.
    Removed,
    /// The request is at the upstream; `finish` ends it.
    Running,
    /// The queue does not know the request.
    Absent,
}

/// The figures for the load report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionCounts {
    /// The concurrency limit now in force.
    pub limit: u32,
    /// The number of requests at the upstream.
    pub in_flight: u32,
    /// The number of queued requests.
    pub queued: u32,
    /// Whether new work is refused.
    pub closed: bool,
}
