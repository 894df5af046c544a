//! The platform's interfaces that one process at a time may call.

use {
    catkindeck::{ServiceError, id::ObjectName, message},
    catkindeck_net::LocalFuture,
};

/// Proves to the platform which process holds a duty.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DutyProof {
    /// The process.
    pub holder: ObjectName,
    /// The fencing token of its lease.
    pub fence: u64,
}

/// The sealed usage of one window.
#[message]
pub struct UsageReport {
    /// The window's number.
    pub window: u64,
    /// The requests of each customer that began to run in the window.
    pub counts: Vec<(ObjectName, u64)>,
}

/// The number of upstreams that a service shall have in an availability zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneScale {
    /// The service.
    pub service: ObjectName,
    /// The availability zone.
    pub zone: ObjectName,
    /// The number.
    pub count: u32,
}

/// The platform's interfaces for usage and for the number of upstreams.
///
/// Every method fails with `fenced` if a higher fencing token was seen, and with `peer_unavailable`
/// otherwise; `unknown` says that the call may have taken effect or may still do so.
pub trait DutyPort {
    /// Reports the usage of a window; an exact repetition changes nothing.
    fn report_usage<'a>(
        &'a self,
        proof: &'a DutyProof,
        report: &'a UsageReport,
    ) -> LocalFuture<'a, Result<(), ServiceError>>;

    /// Orders the number of upstreams.
    fn scale<'a>(
        &'a self,
        proof: &'a DutyProof,
        scale: &'a ZoneScale,
    ) -> LocalFuture<'a, Result<(), ServiceError>>;
}
