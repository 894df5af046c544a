//! Log events 6000 to 6999, see `docs/events.md`.

catkindeck::log_events! {
    HEALTH_LISTENING = 6000, "health_listening", Info, "health server is listening";
    HEALTH_ACCEPT_FAILED = 6001, "health_accept_failed", Warning, "a connection to the health address could not be accepted";
    METRICS_FAILED = 6002, "metrics_failed", Error, "metrics could not be encoded";
    READINESS_CHANGED = 6010, "readiness_changed", Info, "readiness changed";
    SHUTDOWN_REQUESTED = 6020, "shutdown_requested", Info, "shutdown requested, new work is rejected";
    DRAIN_WAITING = 6021, "drain_waiting", Info, "shutdown waits for work in flight";
    DRAIN_COMPLETE = 6022, "drain_complete", Info, "no work is in flight, the process exits";
    DRAIN_FORCED = 6023, "drain_forced", Warning, "a second signal ended the drain with work in flight";
}
