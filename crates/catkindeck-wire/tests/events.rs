//! The catalogue of the transport's events.

use {catkindeck::log::LogEvent, catkindeck_wire::events, std::collections::BTreeSet};

/// Guards against events that the catalogue does not list as they are, and against reused numbers.
#[test]
fn the_catalogue_lists_every_event() {
    let page = include_str!("../../../docs/events.md");
    let mut numbers = BTreeSet::new();
    for LogEvent {
        number,
        name,
        level,
        ..
    } in events::ALL
    {
        assert!((5000..6000).contains(&number));
        assert!(numbers.insert(number), "{number} is used twice");
        let level = format!("{level:?}").to_lowercase();
        let row = format!("| {number} | `{name}` | {level} |");
        assert!(page.contains(&row), "no row `{row}`");
    }
    let listed = page.lines().filter(|line| line.starts_with("| 5")).count();
    assert_eq!(listed, numbers.len());
}
