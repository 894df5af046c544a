//! Log events 7000 to 7999, see `docs/events.md`.

catkindeck::log_events! {
    LISTENING = 7000, "address_served", Info, "server is listening";
    ACCEPT_FAILED = 7001, "connection_not_accepted", Warning, "a connection could not be accepted";
    HANDLER_PANICKED = 7002, "handler_panicked", Error, "the handler of a request panicked; the request was answered with 500";
    CALLER_STALLED = 7003, "caller_stalled", Info, "caller took no byte of its response for too long and was disconnected";
}
