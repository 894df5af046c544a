//! The platform's cloud API, which only the leader may call.

use {
    catkindeck::{ServiceError, id::ObjectName, message},
    catkindeck_net::{LocalFuture, SendGuard},
};

/// Identifies the leader in calls to the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaderProof {
    /// The leader's host.
    pub holder: ObjectName,
    /// The leader's fencing token.
    pub fence: u64,
}

/// The usage of one sealed window.
#[message]
pub struct UsageReport {
    pub window: u64,
    /// The number of each customer's requests that started in the window.
    pub counts: Vec<(ObjectName, u64)>,
}

/// The desired number of upstreams of a service in an availability zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScalingTarget {
    pub service: ObjectName,
    pub zone: ObjectName,
    pub count: u32,
}

/// The platform's API for usage reports and for scaling.
///
/// All methods return `fenced` if the platform has seen a higher fencing token, and `peer_unavailable`
/// otherwise. A call is written only if its guard allows it at that moment. The execution outcome
/// `unknown` means that the call may have taken effect or may still do so.
pub trait CloudApi {
    /// Reports the usage of a window. Repeating an identical report has no effect.
    fn report_usage<'a>(
        &'a self,
        proof: &'a LeaderProof,
        report: &'a UsageReport,
        guard: &'a SendGuard,
    ) -> LocalFuture<'a, Result<(), ServiceError>>;

    /// Sets the desired number of upstreams.
    fn scale<'a>(
        &'a self,
        proof: &'a LeaderProof,
        target: &'a ScalingTarget,
        guard: &'a SendGuard,
    ) -> LocalFuture<'a, Result<(), ServiceError>>;
}
