//! Log events 6000 to 6999, see `docs/events.md`.

use {catkindeck::log::LogEvent, slog::Level};

/// The health address is served.
pub const HEALTH_LISTENING: LogEvent = LogEvent {
    number: 6000,
    name: "health_listening",
    level: Level::Info,
    text: "health address is served",
};

/// A connection to the health address could not be accepted.
pub const HEALTH_ACCEPT_FAILED: LogEvent = LogEvent {
    number: 6001,
    name: "health_accept_failed",
    level: Level::Warning,
    text: "a connection to the health address could not be accepted",
};

/// The metrics could not be encoded.
pub const METRICS_FAILED: LogEvent = LogEvent {
    number: 6002,
    name: "metrics_failed",
    level: Level::Error,
    text: "metrics could not be encoded",
};

/// The process became ready or unready.
pub const READINESS_CHANGED: LogEvent = LogEvent {
    number: 6010,
    name: "readiness_changed",
    level: Level::Info,
    text: "readiness changed",
};

/// A shutdown was requested.
pub const SHUTDOWN_REQUESTED: LogEvent = LogEvent {
    number: 6020,
    name: "shutdown_requested",
    level: Level::Info,
    text: "shutdown requested, new work is refused",
};

/// The drain waits for work in flight.
pub const DRAIN_WAITING: LogEvent = LogEvent {
    number: 6021,
    name: "drain_waiting",
    level: Level::Info,
    text: "shutdown waits for work in flight",
};

/// Nothing is in flight and the process exits.
pub const DRAIN_COMPLETE: LogEvent = LogEvent {
    number: 6022,
    name: "drain_complete",
    level: Level::Info,
    text: "nothing is in flight, the process exits",
};

/// A second signal ended the drain with work in flight.
pub const DRAIN_FORCED: LogEvent = LogEvent {
    number: 6023,
    name: "drain_forced",
    level: Level::Warning,
    text: "a second signal ended the drain with work in flight",
};

/// All events of this crate, which the catalogue test compares with the page.
pub const ALL: [LogEvent; 8] = [
    HEALTH_LISTENING,
    HEALTH_ACCEPT_FAILED,
    METRICS_FAILED,
    READINESS_CHANGED,
    SHUTDOWN_REQUESTED,
    DRAIN_WAITING,
    DRAIN_COMPLETE,
    DRAIN_FORCED,
];
