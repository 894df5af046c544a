//! The interface to a platform: traits that a platform adapter implements.
//!
//! An adapter translates the platform's formats into the types of these modules. It makes no decisions
//! and holds no state of the gateway (`docs/platform.md`).

pub mod caller;
pub mod cloud_api;
pub mod intent;
pub mod store;
pub mod upstream;

pub use {
    caller::{BufferedResponse, CallerCodec, CallerOperation, JobRead, RequestHead},
    cloud_api::{CloudApi, LeaderProof, ScalingTarget, UsageReport},
    intent::{DecodedConfig, DecodedIntent, IntentDecoder, KeyPolicy},
    store::{
        CommitOutcome, LeaseId, MetadataStore, ReadResponse, StoreCondition, StoreItem,
        StoreListing, StoreWrite, Transaction, WatchOutcome,
    },
    upstream::{
        EngineReport, EventDecoder, OrderOutcome, StreamEvent, UpstreamCall, UpstreamCodec,
        UpstreamHead, WeightLoadMode, WeightOrder,
    },
};
