//! Log events 7000 to 7999, see `docs/events.md`.

catkindeck::log_events! {
    LISTENING = 7000, "address_served", Info, "server is listening";
    ACCEPT_FAILED = 7001, "connection_not_accepted", Warning, "a connection could not be accepted";
}
