//! Log events 100 to 999, see `docs/events.md`.

crate::log_events! {
    /// Lines of an event were left out.
    LINES_SUPPRESSED = 100, "lines_left_out", Warning, "lines of an event were left out, because it happened too often";
}
