//! Compares the log events of this crate with the catalogue in `docs/events.md`.

#[path = "../../catkindeck/tests/support/catalogue.rs"]
mod catalogue;

use catkindeck_control::events::ALL;

/// Guards against events that operators cannot look up, and against duplicate event numbers.
#[test]
fn catalogue_lists_every_event() {
    catalogue::check(ALL, 4000..5000);
}
