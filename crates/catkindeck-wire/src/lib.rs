//! The transport between processes: quinn with mutual TLS behind blocking traits.
//!
//! A [`PeerEndpoint`] owns one UDP socket and the tokio threads that drive it. Other crates use it
//! only through the blocking traits in `catkindeck::link` and need no asynchronous code. The
//! protocol is described in `docs/design.md`, section 5.

pub mod certificate;
pub mod endpoint;
pub mod error;
pub mod events;
pub mod frame;

mod client;

mod server;
mod tls;

pub use {
    certificate::{DevelopmentAuthority, IssuedCertificate},
    endpoint::{PeerEndpoint, RevisionHook, WireLimits, WireSettings},
    error::WireError,
};
