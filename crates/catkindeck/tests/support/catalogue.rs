//! Compares the events of a crate with the catalogue in `docs/events.md`.

use {
    catkindeck::log::LogEvent,
    slog::Level,
    std::{collections::BTreeSet, ops::Range},
};

const CATALOGUE: &str = include_str!("../../../../docs/events.md");

/// Checks that the catalogue's events in `range` (the crate's event numbers) are exactly `events`,
/// with the same names and levels.
pub fn check(events: &[LogEvent], range: Range<u16>) {
    let numbers: BTreeSet<u16> = events.iter().map(|event| event.number).collect();
    assert_eq!(numbers.len(), events.len(), "a number is used twice");
    let names: BTreeSet<&str> = events.iter().map(|event| event.name).collect();
    assert_eq!(names.len(), events.len(), "a name is used twice");
    for event in events {
        assert!(range.contains(&event.number), "{}", event.number);
        let level = match event.level {
            Level::Error => "error",
            Level::Warning => "warning",
            Level::Info => "info",
            _ => "debug",
        };
        let start = format!("| {} | `{}` | {level} |", event.number, event.name);
        let rows = CATALOGUE.lines().filter(|line| line.starts_with(&start));
        assert_eq!(rows.count(), 1, "{start}");
    }
    let listed = CATALOGUE.lines().filter_map(event_number);
    let listed = listed.filter(|number| range.contains(number)).count();
    assert_eq!(listed, events.len(), "rows from {range:?}");
}

/// Returns the number of the event that a row of the catalogue describes.
fn event_number(line: &str) -> Option<u16> {
    let (number, _) = line.strip_prefix("| ")?.split_once(' ')?;
    number.parse().ok()
}
