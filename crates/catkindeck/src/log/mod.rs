//! Structured logging of numbered events.

mod limiter;

pub use limiter::{LimiterDrain, LineDecision, LineLimiter};

use {
    slog::{Drain, Level, Logger},
    std::{io, sync::Mutex},
};

/// The number of lines buffered while the reader of standard output is slow. Further lines are
/// dropped and counted. A line takes about half a kilobyte.
const QUEUED_LINES: usize = 4_096;

/// An event listed in the catalogue, `docs/events.md`.
///
/// Each crate declares its events as constants in a file `events.rs`, within the range of numbers
/// that the catalogue assigns to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogEvent {
    pub number: u16,
    /// The unique name, in snake case.
    pub name: &'static str,
    pub level: Level,
    /// The message: a plain sentence without values.
    pub text: &'static str,
}

/// Declares the events of a crate, one per line, and the list `ALL` of them, which a test compares
/// with the catalogue.
#[macro_export]
macro_rules! log_events {
    ($($(#[$doc:meta])* $constant:ident = $number:literal, $name:literal, $level:ident, $text:literal;)*) => {
        $(
            $(#[$doc])*
            pub const $constant: $crate::log::LogEvent = $crate::log::LogEvent {
                number: $number,
                name: $name,
                level: slog::Level::$level,
                text: $text,
            };
        )*

        /// All events of this crate.
        pub const ALL: &[$crate::log::LogEvent] = &[$($constant),*];
    };
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// One JSON object per line.
    Json,
    /// Human-readable lines for a terminal.
    Terminal,
}

/// Parses the minimum level of the lines that a process writes.
///
/// # Errors
///
/// Returns a message that lists the valid levels.
pub fn parse_level(text: &str) -> Result<Level, String> {
    match text {
        "error" => Ok(Level::Error),
        "warning" => Ok(Level::Warning),
        "info" => Ok(Level::Info),
        "debug" => Ok(Level::Debug),
        other => Err(format!(
            "expected `error`, `warning`, `info` or `debug`, got `{other}`"
        )),
    }
}

/// Creates the process's logger, which writes to standard output from a thread of its own.
pub fn build_logger(format: LogFormat, level: Level) -> Logger {
    let drain: Box<dyn Drain<Ok = (), Err = slog::Never> + Send> = match format {
        LogFormat::Json => Box::new(Mutex::new(slog_json::Json::default(io::stdout())).fuse()),
        LogFormat::Terminal => {
            let decorator = slog_term::PlainSyncDecorator::new(io::stdout());
            Box::new(slog_term::FullFormat::new(decorator).build().fuse())
        }
    };
    // The buffer keeps serving threads from waiting for a slow reader of standard output.
    let queue = slog_async::Async::new(drain)
        .chan_size(QUEUED_LINES)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build()
        .fuse();
    let limited = LimiterDrain::new(queue).filter_level(level).fuse();
    Logger::root(limited, slog::o!())
}

/// Creates a logger that discards everything, for tests.
pub fn discard_logger() -> Logger {
    Logger::root(slog::Discard, slog::o!())
}

/// Logs an event with its number, name and fields: `log_event!(logger, EVENT; "zone" => zone)`.
///
/// Keys, bodies and other secrets must never be passed as fields.
#[macro_export]
macro_rules! log_event {
    ($logger:expr, $event:expr $(; $($fields:tt)*)?) => {{
        let event: $crate::log::LogEvent = $event;
        match event.level {
            ::slog::Level::Critical => ::slog::crit!($logger, "{}", event.text; "event" => event.number, "name" => event.name $(, $($fields)*)?),
            ::slog::Level::Error => ::slog::error!($logger, "{}", event.text; "event" => event.number, "name" => event.name $(, $($fields)*)?),
            ::slog::Level::Warning => ::slog::warn!($logger, "{}", event.text; "event" => event.number, "name" => event.name $(, $($fields)*)?),
            ::slog::Level::Info => ::slog::info!($logger, "{}", event.text; "event" => event.number, "name" => event.name $(, $($fields)*)?),
            _ => ::slog::debug!($logger, "{}", event.text; "event" => event.number, "name" => event.name $(, $($fields)*)?),
        }
    }};
}
