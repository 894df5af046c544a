//! The daemon on entry hosts: HTTP for callers, trainers and operators.
//!
//! A request comes in by [`http`], is authenticated and read by [`api`], and carried to an agent by
//! [`forward`]. [`peer`] answers other processes, and [`daemon`] puts the parts together. The
//! interfaces are in `docs/design.md`, section 5.

pub mod admin;
pub mod api;
pub mod control;
pub mod credentials;
pub mod daemon;
pub mod events;
pub mod forward;
pub mod headers;
pub mod http;
pub mod metrics;
pub mod peer;
pub mod platform;
pub mod samples;
pub mod settings;
pub mod source;
