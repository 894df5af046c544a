//! Compares the events of this crate with the catalogue in `docs/events.md`.

use {catkindeck_store::events::ALL, slog::Level};

/// Guards against log lines that operators cannot look up, and against numbers used twice.
#[test]
fn catalogue_lists_every_event() {
    let page = include_str!("../../../docs/events.md");
    let listed: Vec<&str> = page
        .lines()
        .filter(|line| line.starts_with("| 3"))
        .collect();
    assert_eq!(listed.len(), ALL.len());
    for event in ALL {
        let level = match event.level {
            Level::Error => "error",
            Level::Warning => "warning",
            Level::Info => "info",
            _ => "debug",
        };
        let start = format!("| {} | `{}` | {level} |", event.number, event.name);
        let count = listed
            .iter()
            .filter(|line| line.starts_with(&start))
            .count();
        assert_eq!(count, 1, "{start}");
    }
}
