//! The right to give orders, as control work asks for it.

use {
    catkindeck::ServiceError,
    catkindeck_store::{LeaseHolder, LeaseProof},
};

/// Proves directly before an order that this process is in charge.
pub trait ControlLease: Send + Sync {
    /// Returns the proof that the lease is held now.
    ///
    /// # Errors
    ///
    /// Returns `fenced` with `not_run` if the lease is not held or is too near its expiry.
    fn check(&self) -> Result<LeaseProof, ServiceError>;
}

impl ControlLease for LeaseHolder {
    fn check(&self) -> Result<LeaseProof, ServiceError> {
        LeaseHolder::check(self)
    }
}

/// Returns the name of the lease under which a zone's upstreams and usage are controlled.
pub fn zone_lease_name(zone: &catkindeck::id::ObjectName) -> String {
    format!("zone/{zone}")
}
