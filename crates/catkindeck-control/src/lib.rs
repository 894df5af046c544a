//! The control plane, whose work is done under leases: training runs, availability zones, usage
//! windows and propagation of the configuration.
//!
//! This crate is part of every entry, which does the control work of the leases that it holds
//! (`docs/design.md`, section 4).

pub mod announce;
pub mod authority;
pub mod events;
pub mod intent;
pub mod load;
pub mod members;
pub mod propagation;
pub mod rollout;
pub mod run;
pub mod source;
pub mod step;
pub mod usage;
pub mod worker;
pub mod zones;
