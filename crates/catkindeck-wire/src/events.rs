//! Log events 5000 to 5999, see `docs/events.md`.

catkindeck::log_events! {
    /// The endpoint accepts connections.
    ENDPOINT_LISTENING = 5000, "endpoint_listening", Info, "the peer endpoint accepts connections";
    /// A peer was refused during the handshake.
    HANDSHAKE_REFUSED = 5001, "handshake_refused", Warning, "a peer's handshake failed";
    /// A connection to a peer was opened.
    PEER_CONNECTED = 5002, "peer_connected", Debug, "a connection to a peer was opened";
    /// A connection could not be opened.
    CONNECT_FAILED = 5003, "connect_failed", Warning, "a connection to a peer could not be opened";
    /// A request of a peer could not be read.
    REQUEST_UNREADABLE = 5004, "request_unreadable", Warning, "a request of a peer could not be read";
    /// The limit of concurrent calls was reached.
    CALLS_AT_LIMIT = 5005, "calls_at_limit", Warning, "a call was refused because the limit of concurrent calls is reached";
    /// A call's handler panicked.
    HANDLER_FAILED = 5006, "handler_failed", Error, "the handler of a call panicked";
}
