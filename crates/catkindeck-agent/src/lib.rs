//! The daemon beside each upstream: admission, fairness, fencing, execution records and usage.
//!
//! The agent is the only path to its upstream. The decisions are made by `catkindeck-policy`; this
//! crate carries them out under one lock ([`core::AgentCore`]) and connects them with the transport,
//! the upstream and the process's life (`docs/design.md`, sections 4 and 6).

pub mod configuration;
pub mod core;
pub mod events;
pub mod handler;
pub mod process;
pub mod samples;
pub mod settings;
pub mod upstream;
pub mod usage;

mod execute;
mod hand_over;
mod hosts;
mod metrics;
mod orders;
mod probe;
mod run;
mod state;
mod tap;
mod watch;

pub use {
    crate::core::{AgentCore, AgentParts},
    process::AgentProcess,
    settings::{AgentSettings, RawAgent},
};
