//! The HTTP API for callers and trainers (`docs/design.md`, section 5).

mod call;
mod completion;
mod service;
mod sinks;
mod trainer;

pub(crate) use service::digest_work;

pub use service::{ApiLimits, EntryService};
