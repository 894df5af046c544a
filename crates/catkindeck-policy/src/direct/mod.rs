//! Decisions of a gateway that reaches upstreams itself, without agents (`docs/platform.md`).

pub mod claim;
pub mod cold;
pub mod freshness;
pub mod job;
pub mod outcome;
pub mod reach;
pub mod roster;
pub mod routes;
pub mod selection;
pub mod upstream;
pub mod weights;
pub mod windows;

pub use {
    claim::{ClaimDecision, decide_claim},
    cold::RateWindow,
    freshness::FreshnessGate,
    job::{
        ItemKey, ItemPhase, ItemProgress, JobItem, JobLimits, JobResult, JobSpec, ResultCommit,
        RolloutJob, ScorerCall, StartPriority, TextPart,
    },
    outcome::{ItemOutcome, ResultState},
    reach::PeerReachability,
    roster::{UpstreamChanges, UpstreamTable},
    routes::{RouteMatch, RouteTable, choose_service},
    selection::{EngineQuery, PlainQuery, RateLimits, part_digest, rendezvous_score},
    upstream::{DiscoveredUpstream, ModelWeights, UpstreamKey, UpstreamState},
    weights::{LoadPlanner, LoadTask, TargetVersion},
    windows::{ReportAction, ReportSchedule, UsageCount, UsageLedger, UsageWindows},
};
