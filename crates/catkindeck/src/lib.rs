//! The types shared by the crates of catkindeck: the service kernel, identifiers, errors, settings,
//! log events and messages.
//!
//! The other crates depend on this one and not on each other's internals. The design is described
//! in `docs/design.md`; terms are defined in `docs/glossary.md`.

pub mod arena;
pub mod config;
pub mod direct;
pub mod error;
pub mod events;
pub mod headers;
pub mod id;
pub mod kernel;
pub mod link;
pub mod log;
pub mod message;
pub mod platform;
pub mod process;
pub mod settings;
pub mod sorted;
pub mod time;
pub mod token;

pub use {
    arena::KeyArena,
    catkindeck_macros::{key, message, record},
    error::{ErrorKind, ExecutionOutcome, ServiceError},
    kernel::ServiceKernel,
    sorted::SortedMap,
    time::{Clock, Moment},
};
