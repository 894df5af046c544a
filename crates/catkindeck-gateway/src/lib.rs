//! The daemon that reaches upstreams itself: requests, jobs and control work on one event loop.
//!
//! A request comes in at [`front`] and is carried to an upstream by [`forward`]. [`jobs`] keeps what
//! was submitted until it is run, scored and listed. [`follow`] learns what operators want and which
//! upstreams there are, [`session`] and [`control`] do the work that one process at a time may do.
//! The platform is reached through [`port`] only (`docs/platform.md`).

pub mod control;
pub mod core;
pub mod daemon;
pub mod events;
pub mod feed;
pub mod follow;
pub mod forward;
pub mod front;
pub mod intent;
pub mod jobs;
pub mod keys;
pub mod metrics;
pub mod observe;
pub mod peer;
pub mod peer_path;
pub mod port;
pub mod relay;
pub mod session;
pub mod settings;
pub mod upstream_use;

pub use {
    core::{GatewayCore, GatewayPorts},
    daemon::{GatewayDaemon, GatewayExit},
};
