//! Compares the events of this crate with the catalogue in `docs/events.md`.

#[path = "../../catkindeck/tests/support/catalogue.rs"]
mod catalogue;

use catkindeck_health::events::ALL;

/// Guards against events that operators cannot look up, and against duplicate numbers.
#[test]
fn catalogue_lists_every_event() {
    catalogue::check(ALL, 6000..7000);
}
