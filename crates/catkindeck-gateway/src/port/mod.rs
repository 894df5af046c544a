//! The border to a platform: what an adapter translates, as trait objects.
//!
//! An adapter decodes the platform's names once into the types of these modules and holds no
//! decision and no state of the product (`docs/platform.md`).

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
