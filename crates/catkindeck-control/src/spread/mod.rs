//! The spread of the configuration: its form in the store, what nodes know of it, and when a change
//! is in force everywhere (`docs/design.md`, decision 9).

mod answers;
mod confirm;
mod follow;
mod head;
mod holder;
mod ledger;
mod loader;
mod tracker;

pub use {
    confirm::{ConfirmNode, ConfirmTally},
    head::{ConfigHead, HeldConfig, encode_shards},
    holder::{
        ConfigHolder, FOLLOW_PERIOD_MS, HolderParts, HolderSettings, IDLE_REFRESH_PERIOD_MS,
        READER_TTL_MS, REFRESH_PERIOD_MS, TREE_WIDTH, WATCH_WAIT,
    },
    ledger::{ConfirmRounds, StoreLedger},
    tracker::SpreadTracker,
};
