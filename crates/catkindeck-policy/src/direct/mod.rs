//! Decisions of a gateway that connects to upstreams directly, without agents
//! (`docs/platform.md`).

pub mod claim;
pub mod freshness;
pub mod give_up;
pub mod job;
pub mod load_time;
pub mod model_demand;
pub mod model_shares;
pub mod outage;
pub mod outcome;
pub mod peer_reachability;
pub mod permits;
pub mod rate;
pub mod request_rate;
pub mod routes;
pub mod selection;
pub mod stream_origin;
pub mod upstream;
pub mod upstream_limit;
pub mod upstream_table;
pub mod wall_clock;
pub mod weights;
pub mod windows;

pub use {
    claim::{ClaimDecision, decide_claim},
    freshness::FreshnessGate,
    give_up::FailureEvidence,
    job::{
        ItemKey, ItemPhase, ItemProgress, JobItem, JobLimits, JobResult, JobSpec, ResultCommit,
        RolloutJob, ScorerCall, StartPriority, TextPart,
    },
    load_time::{LOAD_EXTENSION_MS, LoadTimeEstimate, MIN_LOAD_MS},
    model_demand::{DemandBoard, DemandSummary, ModelDemand, REPORT_TTL_MS},
    model_shares::{ModelPool, ModelShare, SHARE_HOLD_MS, ShareBalance, ShareChange},
    outage::OutageBackoff,
    outcome::{ItemOutcome, ResultState},
    peer_reachability::PeerReachability,
    permits::{PermitAllocator, PermitPool},
    rate::RateWindow,
    request_rate::{RateBucket, RequestRate},
    routes::{RouteMatch, RouteTable, choose_service},
    selection::{EngineQuery, PlainQuery, RateLimits, part_digest, rendezvous_score},
    stream_origin::{OriginTable, StreamKey, VersionHistory},
    upstream::{DiscoveredUpstream, ModelWeights, SoftwareVersion, UpstreamKey, UpstreamState},
    upstream_limit::{LimitHeader, UpstreamLimit},
    upstream_table::{UpstreamChanges, UpstreamTable},
    wall_clock::{ClockChange, WallClockFilter},
    weights::{
        LoadPlan, ModelPlacement, TargetVersion, WeightLoadPlanner, WeightLoadTask, assign_shares,
        assign_upstreams, current_engines, model_pools,
    },
    windows::{ReportAction, ReportSchedule, UsageCount, UsageLedger, UsageWindows},
};
