//! Log events of the platform clients and leases, numbers 3000 to 3999.

use {catkindeck::log::LogEvent, slog::Level};

/// A call failed after all attempts.
pub const CALL_FAILED: LogEvent = LogEvent {
    number: 3001,
    name: "platform_call_failed",
    level: Level::Warning,
    text: "call to the platform failed after all attempts",
};

/// A call was not sent because the rate budget was used up.
pub const BUDGET_SPENT: LogEvent = LogEvent {
    number: 3002,
    name: "platform_budget_spent",
    level: Level::Warning,
    text: "call to the platform was not sent because the rate budget is used up",
};

/// A write whose answer was lost was found in the store.
pub const WRITE_RECOGNISED: LogEvent = LogEvent {
    number: 3003,
    name: "store_write_recognised",
    level: Level::Info,
    text: "write to the store was recognised after its answer was lost",
};

/// The outcome of a write stays unknown.
pub const WRITE_UNKNOWN: LogEvent = LogEvent {
    number: 3004,
    name: "store_write_unknown",
    level: Level::Warning,
    text: "outcome of a write to the store is unknown",
};

/// A lease was granted.
pub const LEASE_GRANTED: LogEvent = LogEvent {
    number: 3101,
    name: "lease_granted",
    level: Level::Info,
    text: "lease was granted",
};

/// A lease was lost to another holder.
pub const LEASE_LOST: LogEvent = LogEvent {
    number: 3102,
    name: "lease_lost",
    level: Level::Warning,
    text: "lease was lost",
};

/// A lease could not be renewed.
pub const LEASE_UNRENEWED: LogEvent = LogEvent {
    number: 3103,
    name: "lease_unrenewed",
    level: Level::Warning,
    text: "lease could not be renewed because the store is unavailable",
};

/// A lease was given back.
pub const LEASE_RELEASED: LogEvent = LogEvent {
    number: 3104,
    name: "lease_released",
    level: Level::Info,
    text: "lease was released",
};

/// All events of this crate, in order of number.
pub const ALL: &[LogEvent] = &[
    CALL_FAILED,
    BUDGET_SPENT,
    WRITE_RECOGNISED,
    WRITE_UNKNOWN,
    LEASE_GRANTED,
    LEASE_LOST,
    LEASE_UNRENEWED,
    LEASE_RELEASED,
];
