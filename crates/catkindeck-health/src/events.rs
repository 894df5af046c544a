//! Log events 6000 to 6999, see `docs/events.md`.

catkindeck::log_events! {
    /// The health address is served.
    HEALTH_LISTENING = 6000, "health_listening", Info, "health address is served";
    /// A connection to the health address could not be accepted.
    HEALTH_ACCEPT_FAILED = 6001, "health_accept_failed", Warning, "a connection to the health address could not be accepted";
    /// The metrics could not be encoded.
    METRICS_FAILED = 6002, "metrics_failed", Error, "metrics could not be encoded";
    /// The process became ready or unready.
    READINESS_CHANGED = 6010, "readiness_changed", Info, "readiness changed";
    /// A shutdown was requested.
    SHUTDOWN_REQUESTED = 6020, "shutdown_requested", Info, "shutdown requested, new work is refused";
    /// The drain waits for work in flight.
    DRAIN_WAITING = 6021, "drain_waiting", Info, "shutdown waits for work in flight";
    /// Nothing is in flight and the process exits.
    DRAIN_COMPLETE = 6022, "drain_complete", Info, "nothing is in flight, the process exits";
    /// A second signal ended the drain with work in flight.
    DRAIN_FORCED = 6023, "drain_forced", Warning, "a second signal ended the drain with work in flight";
}
