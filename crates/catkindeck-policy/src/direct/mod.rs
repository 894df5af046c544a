//! Decisions of a gateway that connects to upstreams directly, without agents
//! (`docs/platform.md`).

pub mod broken_runs;
pub mod carried_text;
pub mod claim;
pub mod completion;
pub mod crash_register;
pub mod drain_schedule;
pub mod duplicate_budget;
pub mod ended_jobs;
mod engine_index;
mod engine_search;
pub mod engine_speed;
pub mod freshness;
pub mod give_up;
pub mod group_completion;
pub mod host_capacity;
pub mod job;
pub mod leaving;
pub mod load_need;
pub mod load_shedding;
pub mod load_time;
pub mod model_demand;
pub mod model_shares;
pub mod order_transit;
pub mod outage;
pub mod outcome;
pub mod peer_reachability;
pub mod permits;
pub mod place_grants;
pub mod place_share;
pub mod plain_load;
pub mod plain_room;
pub mod plan_pace;
pub mod rate;
pub mod request_length;
pub mod request_rate;
pub mod return_time;
pub mod routes;
pub mod selection;
pub mod service_speed;
pub mod step_demand;
pub mod step_schedule;
pub mod stream_origin;
pub mod text_length;
pub mod trainer_owner;
pub mod upstream;
pub mod upstream_changes;
pub mod upstream_limit;
pub mod upstream_table;
pub mod version_counts;
pub mod version_split;
pub mod wall_clock;
pub mod weights;
pub mod windows;

pub use {
    broken_runs::{BrokenRun, BrokenRuns},
    carried_text::{CarryTrend, CarryTrends, LaterStep},
    claim::{ClaimDecision, decide_claim},
    completion::RunMove,
    crash_register::{
        CrashChange, CrashEvidence, CrashNotice, CrashRegister, CrashedRun, RunAdmission,
        SEQUENCE_LIMIT, request_digest,
    },
    drain_schedule::DrainSchedule,
    duplicate_budget::DuplicateBudget,
    ended_jobs::EndedJobs,
    engine_speed::{EngineSpeed, SlowPhase, SpeedDeviation},
    freshness::FreshnessGate,
    give_up::FailureEvidence,
    group_completion::{
        GroupOutline, GroupStanding, ItemRank, StepClock, StepCounts, TokenTime, plan_groups,
    },
    host_capacity::{
        CapacityScale, HostCapacity, HostLoad, LoadBoard, PeerStanding, SharedRank, rank_by_room,
    },
    job::{
        ItemKey, ItemPhase, ItemProgress, JobItem, JobLimits, JobResult, JobSpec, ResultCommit,
        RolloutJob, ScorerCall, StartPriority, TextPart,
    },
    leaving::{LeavingNotice, LeavingRegister},
    load_need::{StepPlacement, WeightLoadTask},
    load_shedding::{LinkMeter, ShedGuard, ShedStage, UnreadyAllowance, ZoneEntry},
    load_time::{LOAD_EXTENSION_MS, LoadTimeEstimate, MIN_LOAD_MS},
    model_demand::{DemandBoard, DemandSummary, ModelDemand, REPORT_TTL_MS},
    model_shares::{ModelPool, ModelShare, SHARE_HOLD_MS, ShareBalance, ShareChange},
    order_transit::{OrderTransit, TransitKey},
    outage::OutageBackoff,
    outcome::{ItemOutcome, ResultState},
    peer_reachability::{PeerReachability, RELAY_LIMIT},
    permits::{PermitAllocator, PermitPool},
    place_grants::{PlaceDemand, PlaceDivider, PlaceReport},
    place_share::{PLACE_TERM_MS, PlaceCounts, PlaceLimit, PlaceShare, PlaceUpdate, even_part},
    plain_load::{PlainLoad, PlainPace},
    plain_room::{MAX_SCORE_WAIT_MS, PlainPlaces, PlainRoom, ScoreEnd, ScoreTicket},
    plan_pace::plan_pause_ms,
    rate::RateWindow,
    request_length::RequestLengths,
    request_rate::{RateBucket, RequestRate},
    return_time::{MIN_RETURN_MS, RefusalCause, RefusedRequest, ReturnSchedule},
    routes::{RouteMatch, RouteTable, choose_service},
    selection::{EngineQuery, PlainQuery, RateLimits, part_digest, rendezvous_score},
    service_speed::{ServiceSpeed, SpeedRange},
    step_demand::{StepDemand, StepSummary, VersionNeed},
    step_schedule::{StepSchedule, TrainerId, TrainerPace},
    stream_origin::{OriginTable, StreamKey, VersionHistory},
    text_length::{TextDemand, TextLengths},
    trainer_owner::OwnerAssignment,
    upstream::{DiscoveredUpstream, ModelWeights, SoftwareVersion, UpstreamKey, UpstreamState},
    upstream_changes::{ListPosition, REMOVED_LIMIT, UpstreamChangeset, UpstreamHistory},
    upstream_limit::{LimitHeader, UpstreamLimit},
    upstream_table::{UpstreamChanges, UpstreamTable},
    version_counts::{VersionCounts, count_versions, current_engines},
    version_split::{SplitBalance, SplitChange, VersionSplit},
    wall_clock::{ClockChange, WallClockFilter},
    weights::{
        LoadPlan, ModelPlacement, TargetVersion, WeightLoadPlanner, assign_shares,
        assign_upstreams, model_pools,
    },
    windows::{ReportAction, ReportSchedule, UsageCount, UsageLedger, UsageWindows},
};
