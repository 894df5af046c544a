//! Jobs: accepted once, kept whole, run, scored and listed at fixed positions.
//!
//! What lasts lies in the platform's store: the submission in parts, the results in the order of
//! their positions, and one key that says who runs the job. Every write of results is conditional on
//! that key, so results of a former owner have no effect (`docs/platform.md`).

pub mod backup;
pub mod cancel;
pub mod commit;
pub mod item;
pub mod owned;
pub mod read;
pub mod scheduler;
pub mod score;
pub mod service;
pub mod submit;
pub mod takeover;

pub use {owned::OwnedJob, service::JobService};
