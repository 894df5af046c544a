//! HTTP clients of the platform's interfaces, and the lease holder.
//!
//! Every client has a timeout, bounded retries with jittered backoff, and a rate limit. The HTTP
//! protocol is described in `docs/design.md`, section 5.

pub mod backoff;
pub mod client;
pub mod events;
pub mod hex;
pub mod holder;
pub mod hosts;
pub mod rate_limit;
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
