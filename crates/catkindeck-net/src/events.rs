//! Log events 7000 to 7999, see `docs/events.md`.

use {catkindeck::log::LogEvent, slog::Level};

/// An address is served.
pub const ADDRESS_SERVED: LogEvent = LogEvent {
    number: 7000,
    name: "address_served",
    level: Level::Info,
    text: "address is served",
};

/// A connection could not be accepted.
pub const ACCEPT_FAILED: LogEvent = LogEvent {
    number: 7001,
    name: "connection_not_accepted",
    level: Level::Warning,
    text: "a connection could not be accepted",
};
