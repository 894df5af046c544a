//! Log events 5000 to 5999, see `docs/events.md`.

catkindeck::log_events! {
    ENDPOINT_LISTENING = 5000, "endpoint_listening", Info, "the peer endpoint accepts connections";
    HANDSHAKE_FAILED = 5001, "handshake_refused", Warning, "a peer's handshake failed";
    PEER_CONNECTED = 5002, "peer_connected", Debug, "a connection to a peer was opened";
    CONNECT_FAILED = 5003, "connect_failed", Warning, "a connection to a peer could not be opened";
    REQUEST_UNREADABLE = 5004, "request_unreadable", Warning, "a request of a peer could not be read";
    CALLS_AT_LIMIT = 5005, "calls_at_limit", Warning, "a call was rejected because the limit of concurrent calls is reached";
    HANDLER_FAILED = 5006, "handler_failed", Error, "the handler of a call panicked";
}
