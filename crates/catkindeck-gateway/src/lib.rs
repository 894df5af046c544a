//! Gateway daemon: serves requests, runs jobs and performs leader tasks on one event loop, and connects
//! to upstreams directly.
//!
//! [`caller_handler`] accepts requests and [`forward`] sends them to upstreams. [`jobs`] stores submitted
//! jobs until their items are run, scored and listed. [`store_sync`] keeps the desired state and the list
//! of upstreams up to date. [`session`] registers the process, and [`leader`] elects the one process that
//! performs the tasks of which there may be one runner at a time. The platform is accessed only through
//! [`port`] (`docs/platform.md`).

pub mod caller_handler;
pub mod capacity;
pub mod capacity_metrics;
pub mod carried_metrics;
pub mod connection_metrics;
pub mod core;
pub mod crashing;
pub mod daemon;
pub mod drain;
pub mod events;
pub mod fault_log;
pub mod feed;
pub mod forward;
pub mod intent;
pub mod jobs;
pub mod key_mark;
pub mod keys;
pub mod leader;
pub mod leaving;
pub mod limits;
pub mod load_metrics;
pub mod metrics;
pub mod metrics_handler;
pub mod notices;
pub mod ownership_metrics;
pub mod peer;
pub mod peer_fallback;
pub mod placement_metrics;
pub mod plain_room;
pub mod port;
pub mod relay;
pub mod room_metrics;
pub mod session;
pub mod settings;
pub mod store_sync;
pub mod stream_origins;
pub mod task;
pub mod upstream_guard;
pub mod watched_run;

pub use {
    core::{GatewayCore, GatewayPorts},
    daemon::{GatewayDaemon, GatewayExit},
};
