//! Health, readiness and metrics on a separate address, and graceful shutdown.
//!
//! Both daemons use this crate in the same way: they create a [`ReadinessFlag`] and a
//! [`DrainGate`], expose them with a [`HealthServer`], and let a [`ShutdownWatch`] block the main
//! thread until the process may exit (`docs/design.md`, decision 21).

pub mod drain;
pub mod events;
pub mod readiness;
pub mod server;
pub mod shutdown;

pub use {
    drain::{DrainGate, InFlightGuard},
    readiness::ReadinessFlag,
    server::HealthServer,
    shutdown::{ShutdownCause, ShutdownWatch},
};
