//! The interface to the lease under which control work is done.

use {
    catkindeck::ServiceError,
    catkindeck_store::{LeaseHolder, LeaseProof},
};

/// A lease, which is checked immediately before each order.
pub trait ControlLease: Send + Sync {
    /// Returns the proof that the lease is currently held.
    ///
    /// # Errors
    ///
    /// Returns `fenced` with `not_run` if the lease is not held or is too close to its expiry.
    fn check(&self) -> Result<LeaseProof, ServiceError>;
}

impl ControlLease for LeaseHolder {
    fn check(&self) -> Result<LeaseProof, ServiceError> {
        LeaseHolder::check(self)
    }
}

/// Returns the name of the lease that covers a zone's upstreams and usage.
pub fn zone_lease_name(zone: &catkindeck::id::ObjectName) -> String {
    format!("zone/{zone}")
}
