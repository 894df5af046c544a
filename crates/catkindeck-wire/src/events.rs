//! Log events 5000 to 5999, see `docs/events.md`.

use {catkindeck::log::LogEvent, slog::Level};

/// The endpoint accepts connections.
pub const ENDPOINT_LISTENING: LogEvent = LogEvent {
    number: 5000,
    name: "endpoint_listening",
    level: Level::Info,
    text: "the peer endpoint accepts connections",
};

/// A peer was refused during the handshake.
pub const HANDSHAKE_REFUSED: LogEvent = LogEvent {
    number: 5001,
    name: "handshake_refused",
    level: Level::Warning,
    text: "a peer's handshake failed",
};

/// A connection to a peer was opened.
pub const PEER_CONNECTED: LogEvent = LogEvent {
    number: 5002,
    name: "peer_connected",
    level: Level::Debug,
    text: "a connection to a peer was opened",
};

/// A connection could not be opened.
pub const CONNECT_FAILED: LogEvent = LogEvent {
    number: 5003,
    name: "connect_failed",
    level: Level::Warning,
    text: "a connection to a peer could not be opened",
};

/// A request of a peer could not be read.
pub const REQUEST_UNREADABLE: LogEvent = LogEvent {
    number: 5004,
    name: "request_unreadable",
    level: Level::Warning,
    text: "a request of a peer could not be read",
};

/// The limit of concurrent calls was reached.
pub const CALLS_AT_LIMIT: LogEvent = LogEvent {
    number: 5005,
    name: "calls_at_limit",
    level: Level::Warning,
    text: "a call was refused because the limit of concurrent calls is reached",
};

/// A call's handler panicked.
pub const HANDLER_FAILED: LogEvent = LogEvent {
    number: 5006,
    name: "handler_failed",
    level: Level::Error,
    text: "the handler of a call panicked",
};

/// Every event of this crate, in order of number.
pub const ALL: [LogEvent; 7] = [
    ENDPOINT_LISTENING,
    HANDSHAKE_REFUSED,
    PEER_CONNECTED,
    CONNECT_FAILED,
    REQUEST_UNREADABLE,
    CALLS_AT_LIMIT,
    HANDLER_FAILED,
];
