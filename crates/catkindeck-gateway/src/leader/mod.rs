//! The control work: what one process of the system does at a time.
//!
//! The holder of one key in the store does all of it. The key ends with the holder's lease, and the
//! revision at which it was created is the fencing token of every order and report.

pub mod election;
pub mod janitor;
pub mod retire;
pub mod usage;
pub mod weights;

pub use election::LeaderElection;
