//! The interface to a platform: traits that a platform adapter implements.
//!
//! An adapter translates the platform's formats into the types of these modules. It makes no decisions
//! and holds no state of the gateway (`docs/platform.md`).

pub mod caller;
pub mod duty;
pub mod intent;
pub mod store;
pub mod upstream;

pub use {
    caller::{CallerCodec, CallerOperation, JobRead, PlainAnswer, RequestHead},
    duty::{DutyPort, DutyProof, UsageReport, ZoneScale},
    intent::{DecodedConfig, DecodedIntent, IntentDecoder},
    store::{
        CommitOutcome, LeaseId, MetadataStore, StoreCondition, StoreItem, StoreListing,
        StoreReading, StoreWrite, Transaction, WatchOutcome,
    },
    upstream::{
        EngineReport, EventDecoder, LoadMode, OrderOutcome, StreamEvent, UpstreamCall,
        UpstreamCodec, UpstreamHead, WeightOrder,
    },
};
