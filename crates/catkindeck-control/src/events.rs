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
];
