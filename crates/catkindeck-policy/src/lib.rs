//! Decision logic as pure state machines, without sockets, threads or clocks.
//!
//! Each type takes the current time as a [`Moment`](catkindeck::Moment) and returns what to do; the
//! daemons do it. `docs/policy.md` explains the decisions.

pub mod admission;
pub mod batch;
pub mod credit;
pub mod direct;
pub mod execution;
pub mod fair;
pub mod fence;
pub mod home;
pub mod lease;
pub mod ledger;
pub mod limit;
pub mod placement;
pub mod quarantine;
pub mod record;
pub mod request;
pub mod retry;
pub mod router;
pub mod scaler;
pub mod staleness;
pub mod straggler;
pub mod usage;

mod candidate;
mod classes;
mod demand;
mod fetch;
mod hash;
mod idempotency_keys;
mod record_index;
mod subset;

pub use {
    admission::AdmissionQueue,
    batch::{
        BatchRecord, BatchSample, DiscardReason, FetchAction, SampleTask, StepConfig, StepEntry,
    },
    execution::ExecutionTable,
    fence::{FenceDecision, OrderFence},
    home::{HomeChoice, HomeSelector},
    ledger::StepLedger,
    limit::{ConcurrencyLimit, LimitSettings},
    placement::{CANDIDATE_COUNT, choose_candidates},
    quarantine::CrashQuarantine,
    record::{
        BeginDecision, EXECUTION_RETENTION_MS, ExecutionResult, ExecutionSettings, RecordHistory,
        RevokeOutcome,
    },
    request::{
        AdmissionAction, AdmissionCounts, AdmissionRequest, AdmissionSettings, FinishCause,
        WithdrawOutcome,
    },
    retry::RetryBudget,
    router::{RouteChoice, RouteQuery, RouterSettings, UpstreamRouter},
    scaler::{ScaleOrder, ScalerSettings, ZoneCapacity, ZoneOutageAssessment, ZoneScaler},
    staleness::StalenessForecast,
    straggler::{SampleKey, StragglerAction, StragglerPolicy, StragglerSettings},
    usage::{SealedWindow, USAGE_GRACE_WINDOWS, UsageCollector},
};
