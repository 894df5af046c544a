//! Training runs: the owner of a run's open step, and routing of requests to the owner.
//!
//! One entry owns a run under a lease. It generates the samples of the open step and delivers them
//! in batches. The composition of each batch is stored before it is delivered (`docs/design.md`,
//! decision 11).

pub mod directory;
pub mod owner;
pub mod ports;
pub mod storage;

mod work;
