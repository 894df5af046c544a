//! The daemon on entry hosts: the HTTP interface for callers, trainers and operators.
//!
//! [`http`] receives a request, [`api`] authenticates and parses it, and [`forward`] sends it to an
//! agent and returns the response. [`peer`] handles calls from other processes, and [`daemon`]
//! assembles these parts. The interfaces are specified in `docs/design.md`, section 5.

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
