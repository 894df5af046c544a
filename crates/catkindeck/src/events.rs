//! Log events 100 to 999, see `docs/events.md`.

use {crate::log::LogEvent, slog::Level};

/// Lines of an event were left out.
pub const LINES_LEFT_OUT: LogEvent = LogEvent {
    number: 100,
    name: "lines_left_out",
    level: Level::Warning,
    text: "lines of an event were left out, because it happened too often",
};
