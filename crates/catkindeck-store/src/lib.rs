//! Clients of the platform's interfaces, one file each, and the lease holder.
//!
//! Every client has a timeout, bounded retries with jittered backoff and a rate budget. The HTTP
//! forms are in `docs/design.md`, section 5.

pub mod backoff;
pub mod budget;
pub mod client;
pub mod events;
pub mod hex;
pub mod holder;
pub mod hosts;

pub mod settings;
pub mod store;
pub mod usage;
pub mod weights;
pub mod zones;

pub use {
    catkindeck_policy::lease::{LeaseProof, LeaseSettings},
    holder::LeaseHolder,
    hosts::HttpHosts,
    settings::{ClientSettings, RawClient},
    store::HttpStore,
    usage::HttpUsage,
    weights::HttpWeights,
    zones::HttpZones,
};
