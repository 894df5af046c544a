//! Log events of the control work, numbers 4000 to 4999.

use {catkindeck::log::LogEvent, slog::Level};

/// A configuration was committed.
pub const CONFIG_COMMITTED: LogEvent = LogEvent {
    number: 4001,
    name: "config_committed",
    level: Level::Info,
    text: "configuration was committed",
};

/// The outcome of a commit is unknown.
pub const CONFIG_UNKNOWN: LogEvent = LogEvent {
    number: 4002,
    name: "config_commit_unknown",
    level: Level::Warning,
    text: "outcome of a configuration change is unknown",
};

/// Nodes were asked whether they use a revision.
pub const CONFIG_SPREAD: LogEvent = LogEvent {
    number: 4003,
    name: "config_spread",
    level: Level::Info,
    text: "spread of a configuration was determined",
};

/// A configuration is used from now on.
pub const CONFIG_USED: LogEvent = LogEvent {
    number: 4004,
    name: "config_used",
    level: Level::Info,
    text: "configuration is used",
};

/// The store could not be asked for the configuration's head.
pub const CONFIG_WATCH_FAILED: LogEvent = LogEvent {
    number: 4005,
    name: "config_watch_failed",
    level: Level::Warning,
    text: "head of the configuration could not be read",
};

/// A wanted configuration could not be fetched.
pub const CONFIG_FETCH_FAILED: LogEvent = LogEvent {
    number: 4006,
    name: "config_fetch_failed",
    level: Level::Warning,
    text: "newer configuration could not be fetched",
};

/// The host list could not be read.
pub const HOSTS_FAILED: LogEvent = LogEvent {
    number: 4007,
    name: "hosts_failed",
    level: Level::Warning,
    text: "host list could not be read; the last one stays in use",
};

/// An operator's plan was applied, refused or left in doubt.
pub const PLAN_JUDGED: LogEvent = LogEvent {
    number: 4020,
    name: "plan_judged",
    level: Level::Info,
    text: "operator's plan was applied, refused or left in doubt",
};

/// An operator's call was refused.
pub const OPERATOR_REFUSED: LogEvent = LogEvent {
    number: 4021,
    name: "operator_refused",
    level: Level::Warning,
    text: "operator's call was refused",
};

/// A usage window was sealed.
pub const USAGE_SEALED: LogEvent = LogEvent {
    number: 4101,
    name: "usage_sealed",
    level: Level::Info,
    text: "usage window was sealed",
};

/// A usage window could not be reported and is reported again.
pub const USAGE_UNREPORTED: LogEvent = LogEvent {
    number: 4102,
    name: "usage_unreported",
    level: Level::Warning,
    text: "usage window could not be reported and is reported again",
};

/// A usage window was reported before with other figures.
pub const USAGE_CONFLICT: LogEvent = LogEvent {
    number: 4103,
    name: "usage_conflict",
    level: Level::Error,
    text: "usage window was reported before with other figures",
};

/// Upstreams were ordered for a zone.
pub const ZONE_ORDERED: LogEvent = LogEvent {
    number: 4201,
    name: "zone_ordered",
    level: Level::Info,
    text: "upstreams were ordered for a zone",
};

/// An order for upstreams failed or its answer was lost.
pub const ZONE_ORDER_FAILED: LogEvent = LogEvent {
    number: 4202,
    name: "zone_order_failed",
    level: Level::Warning,
    text: "order for upstreams failed or its answer was lost",
};

/// An order in doubt was resolved by the actual counts.
pub const ZONE_RESOLVED: LogEvent = LogEvent {
    number: 4203,
    name: "zone_resolved",
    level: Level::Info,
    text: "order in doubt was resolved by the actual counts",
};

/// A round of a zone's control work failed.
pub const ZONE_ROUND_FAILED: LogEvent = LogEvent {
    number: 4204,
    name: "zone_round_failed",
    level: Level::Warning,
    text: "round of a zone's control work failed and is repeated",
};

/// A zone's state was told to its agents.
pub const ZONE_ANNOUNCED: LogEvent = LogEvent {
    number: 4205,
    name: "zone_announced",
    level: Level::Info,
    text: "state of a zone was told to its agents",
};

/// Weights are active on all upstreams.
pub const ROLLOUT_DONE: LogEvent = LogEvent {
    number: 4301,
    name: "rollout_done",
    level: Level::Info,
    text: "weights are active on all upstreams",
};

/// Weights are not active on all upstreams.
pub const ROLLOUT_PARTIAL: LogEvent = LogEvent {
    number: 4302,
    name: "rollout_partial",
    level: Level::Warning,
    text: "weights are not active on all upstreams",
};

/// A leaving upstream was told to take no new work.
pub const LEAVE_ORDERED: LogEvent = LogEvent {
    number: 4303,
    name: "leave_ordered",
    level: Level::Info,
    text: "leaving upstream was told to take no new work",
};

/// All events of this crate, in order of number.
pub const ALL: &[LogEvent] = &[
    CONFIG_COMMITTED,
    CONFIG_UNKNOWN,
    CONFIG_SPREAD,
    CONFIG_USED,
    CONFIG_WATCH_FAILED,
    CONFIG_FETCH_FAILED,
    HOSTS_FAILED,
    PLAN_JUDGED,
    OPERATOR_REFUSED,
    USAGE_SEALED,
    USAGE_UNREPORTED,
    USAGE_CONFLICT,
    ZONE_ORDERED,
    ZONE_ORDER_FAILED,
    ZONE_RESOLVED,
    ZONE_ROUND_FAILED,
    ZONE_ANNOUNCED,
    ROLLOUT_DONE,
    ROLLOUT_PARTIAL,
    LEAVE_ORDERED,
];
