//! Propagation of the configuration: its representation in the store, the replicas on the nodes,
//! and the confirmation that a change is in force everywhere (`docs/design.md`, decision 9).

mod config_store;
mod confirm;
mod follow;
mod freshness;
mod head;
mod loader;
mod replica;
mod serve;

pub use {
    config_store::{ConfirmPoller, KvConfigStore},
    confirm::{ConfirmNode, ConfirmTally},
    freshness::FreshnessTracker,
    head::{ConfigHead, LoadedConfig, encode_shards},
    replica::{
        ConfigReplica, FOLLOW_PERIOD_MS, IDLE_REFRESH_PERIOD_MS, READER_LEASE_TTL_MS,
        REFRESH_PERIOD_MS, ReplicaParts, ReplicaSettings, TREE_FANOUT, WATCH_WAIT,
    },
};
