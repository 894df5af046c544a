//! Pure decision logic as state machines without sockets, threads or clocks.

pub mod batch;
pub mod ledger;
