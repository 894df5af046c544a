//! Training runs: ownership of a run's open step, and routing of requests to the owner.
//!
//! One entry owns a run under a lease. It generates the samples of the open step and delivers them
//! in batches whose composition is stored first (`docs/design.md`, decision 11).

pub mod directory;
pub mod owner;
pub mod ports;
pub mod storage;

mod work;
