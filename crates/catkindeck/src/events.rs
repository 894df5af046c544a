//! Log events 100 to 999; see `docs/events.md`.

crate::log_events! {
    LINES_SUPPRESSED = 100, "lines_left_out", Warning, "log lines of an event were suppressed because it occurred too often";
}
