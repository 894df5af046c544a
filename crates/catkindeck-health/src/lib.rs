//! Health, readiness and metrics on an address of their own, and graceful drain.
//!
//! Both daemons use this crate in the same way: they register a [`ReadinessFlag`] and a
//! [`DrainGate`], serve them with [`HealthServer`], and let [`ShutdownWatch`] hold the main thread
//! until the process may exit (`docs/design.md`, decision 21).

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
