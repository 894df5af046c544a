//! Transport between the processes: quinn with mutual TLS behind blocking traits.
//!
//! A [`PeerEndpoint`] owns one UDP socket and the tokio threads that drive it. Callers use it only
//! through the traits of `catkindeck::link`, so nothing outside this crate is asynchronous. The
//! exchange is described in `docs/design.md`, section 5.

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
