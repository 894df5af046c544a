//! Leader election and the leader's tasks.
//!
//! The process that holds one key in the store is the leader and performs all of these tasks. The key is bound
//! to the leader's lease, and the revision at which it was created is the fencing token of all orders and
//! reports.

pub mod drain;
pub mod election;
pub mod supervisor;
pub mod usage;
pub mod weights;

pub use {election::LeaderElection, supervisor::OwnerProbe};
