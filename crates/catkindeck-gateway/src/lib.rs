//! The daemon that reaches upstreams itself: requests, jobs and control work on one event loop.
//!
//! A request comes in at [`caller_handler`] and is carried to an upstream by [`forward`]. [`jobs`] keeps what
//! was submitted until it is run, scored and listed. [`store_sync`] learns what operators want and which
//! upstreams there are, [`session`] and [`leader`] do the work that one process at a time may do.
//! The platform is reached through [`port`] only (`docs/platform.md`).

pub mod caller_handler;
pub mod core;
pub mod daemon;
pub mod events;
pub mod feed;
pub mod forward;
pub mod intent;
pub mod jobs;
pub mod keys;
pub mod leader;
pub mod metrics;
pub mod metrics_handler;
pub mod peer;
pub mod peer_fallback;
pub mod port;
pub mod relay;
pub mod session;
pub mod settings;
pub mod store_sync;
pub mod upstream_guard;

pub use {
    core::{GatewayCore, GatewayPorts},
    daemon::{GatewayDaemon, GatewayExit},
};
