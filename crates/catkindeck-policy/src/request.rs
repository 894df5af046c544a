//! The public types of the admission queue.

use {
    crate::limit::LimitSettings,
    catkindeck::{
        Moment, ServiceError,
        id::{ObjectName, RequestId},
        message::WorkClass,
    },
};

/// The parameters of an admission queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmissionSettings {
    pub limit: LimitSettings,
    /// The maximum number of queued requests.
    pub queue_limit: usize,
    /// The service that a customer may accumulate while idle, in tokens at weight 1.
    pub idle_credit: u64,
    /// The share of the limit guaranteed to urgent rollouts, in percent.
    pub urgent_percent: u32,
    /// How long before its deadline a rollout becomes urgent, in milliseconds.
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

/// A request for admission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmissionRequest {
    pub request: RequestId,
    /// The customer, or `None` for a caller on an open route.
    pub customer: Option<ObjectName>,
    pub class: WorkClass,
    /// The priority among the customer's requests of the same class; higher values go first.
    pub priority: u8,
    /// When the caller gives up.
    pub deadline: Moment,
    /// The maximum service that the request may need, in tokens; 1 for a plain service.
    pub service_limit: u64,
    /// The entry that sent the request and whose credit is used.
    pub entry: Option<ObjectName>,
}

/// What the agent must do with a queued request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdmissionAction {
    /// Sends the request to the upstream.
    Start(RequestId),
    /// Rejects the request, which has not started.
    Shed(RequestId, ServiceError),
}

/// How a request at the upstream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FinishCause {
    /// The response is complete.
    Completed,
    /// The upstream failed or rejected the request.
    UpstreamFailed,
    /// The caller gave up, or the result is no longer needed.
    Cancelled,
}

/// The outcome of a withdrawal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WithdrawOutcome {
    /// The request was queued and is now removed.
    Removed,
    /// The request is at the upstream and ends with [`finish`](crate::AdmissionQueue::finish).
    Running,
    /// The queue does not contain the request.
    Absent,
}

/// The figures for the load report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionCounts {
    /// The current concurrency limit.
    pub limit: u32,
    /// The number of requests at the upstream.
    pub in_flight: u32,
    pub queued: u32,
    /// Whether new work is rejected.
    pub closed: bool,
}
