//! Jobs: batches of items that are accepted once, run, scored and listed at fixed positions.
//!
//! All durable state is in the platform's store: the submission in parts, the results in the order of their
//! positions, and a record that names the owner. Every write of results is conditional on that record, so
//! writes of a previous owner have no effect (`docs/platform.md`).

pub mod access;
pub mod backup;
pub mod cancel;
pub mod carried;
pub mod carried_store;
pub mod commit;
pub mod demand;
pub mod item;
pub mod item_forecast;
pub mod owned;
pub mod ownership;
pub mod places;
pub mod queue;
pub mod read;
pub mod relocation;
pub mod scheduler;
pub mod score;
pub mod service;
pub mod step_order;
pub mod submit;
pub mod takeover;

pub use {owned::OwnedJob, service::JobService};
