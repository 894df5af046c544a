//! Shared vocabulary of catkindeck: kernel, keys, errors, settings, log events and messages.
//!
//! The other crates depend on this one and on nothing of each other's internals. The design is in
//! `docs/design.md`; the words used here are in `docs/glossary.md`.

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
