//! Compares the events of this crate with the catalogue in `docs/events.md`.

#[path = "../../catkindeck/tests/support/catalogue.rs"]
mod catalogue;

use catkindeck_entry::events::ALL;

/// Guards against log events that are missing from the catalogue, and against duplicate numbers.
#[test]
fn catalogue_lists_every_event() {
    catalogue::check(ALL, 1000..2000);
}
