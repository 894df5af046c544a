//! Log events 7000 to 7999, see `docs/events.md`.

catkindeck::log_events! {
    ADDRESS_SERVED = 7000, "address_served", Info, "address is served";
    ACCEPT_FAILED = 7001, "connection_not_accepted", Warning, "a connection could not be accepted";
}
