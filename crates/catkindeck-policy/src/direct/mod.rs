//! Decisions of a gateway that connects to upstreams directly, without agents
//! (`docs/platform.md`).

pub mod claim;
pub mod completion;
pub mod engine_speed;
pub mod freshness;
pub mod give_up;
pub mod job;
pub mod load_time;
pub mod outage;
pub mod outcome;
pub mod peer_reachability;
pub mod permits;
pub mod rate;
pub mod request_rate;
pub mod routes;
pub mod selection;
pub mod service_speed;
pub mod stream_origin;
pub mod text_length;
pub mod upstream;
pub mod upstream_limit;
pub mod upstream_table;
pub mod wall_clock;
pub mod weights;
pub mod windows;

pub use {
    claim::{ClaimDecision, decide_claim},
    completion::RunMove,
    engine_speed::{EngineSpeed, SlowPhase, SpeedDeviation},
    freshness::FreshnessGate,
    give_up::FailureEvidence,
    job::{
        ItemKey, ItemPhase, ItemProgress, JobItem, JobLimits, JobResult, JobSpec, ResultCommit,
        RolloutJob, ScorerCall, StartPriority, TextPart,
    },
    load_time::{LOAD_EXTENSION_MS, LoadTimeEstimate, MIN_LOAD_MS},
    outage::OutageBackoff,
    outcome::{ItemOutcome, ResultState},
    peer_reachability::PeerReachability,
    permits::{PermitAllocator, PermitPool},
    rate::RateWindow,
    request_rate::{RateBucket, RequestRate},
    routes::{RouteMatch, RouteTable, choose_service},
    selection::{EngineQuery, PlainQuery, RateLimits, part_digest, rendezvous_score},
    service_speed::{ServiceSpeed, SpeedRange},
    stream_origin::{OriginTable, StreamKey, VersionHistory},
    text_length::{TextDemand, TextLengths},
    upstream::{DiscoveredUpstream, ModelWeights, SoftwareVersion, UpstreamKey, UpstreamState},
    upstream_limit::{LimitHeader, UpstreamLimit},
    upstream_table::{UpstreamChanges, UpstreamTable},
    wall_clock::{ClockChange, WallClockFilter},
    weights::{TargetVersion, WeightLoadPlanner, WeightLoadTask, assign_upstreams},
    windows::{ReportAction, ReportSchedule, UsageCount, UsageLedger, UsageWindows},
};
