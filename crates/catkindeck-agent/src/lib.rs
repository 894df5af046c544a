//! The agent daemon, which runs on the host of one upstream: admission control, fair queueing,
//! fencing, execution records and usage counters.
//!
//! All requests to an upstream pass through its agent. `catkindeck-policy` makes the decisions;
//! this crate applies them under one lock ([`core::AgentCore`]) and connects them to the transport,
//! the upstream and the process lifecycle (`docs/design.md`, sections 4 and 6).

pub mod configuration;
pub mod core;
pub mod events;
pub mod handler;
pub mod process;
pub mod samples;
pub mod settings;
pub mod upstream;
pub mod usage;

mod background;
mod execute;
mod hand_over;
mod hosts;
mod metrics;
mod orders;
mod probe;
mod relay;
mod run;
mod state;

pub use {
    crate::core::{AgentCore, AgentParts},
    process::AgentProcess,
    settings::{AgentSettings, RawAgent},
};
