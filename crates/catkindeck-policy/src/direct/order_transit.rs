//! Orders that may still be on their way to an upstream, for planned changes of the leader.
//!
//! Load pattern: a leader with thousands of upstreams is stopped or drained while dozens of its orders are under way.
//! An upstream that does not check fencing tokens would carry out such an order after the first one of the next leader,
//! so leadership is given up only when none can arrive any more.

use catkindeck::{Moment, SortedMap};

/// An order whose sending is recorded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct TransitKey(u64);

/// The orders of a leader that were sent and not answered.
#[derive(Debug, Clone)]
pub struct OrderTransit {
    /// The longest time that an order may take to arrive, in milliseconds.
    delay_ms: u64,
    next: u64,
    /// When each order was last written.
    written: SortedMap<TransitKey, Moment>,
}

impl OrderTransit {
    pub fn new(delay_ms: u64) -> Self {
        Self {
            delay_ms,
            next: 0,
            written: SortedMap::new(),
        }
    }

    /// Returns the key of an order of which nothing was written yet.
    pub fn open(&mut self) -> TransitKey {
        self.next += 1;
        TransitKey(self.next)
    }

    /// Records that bytes of an order are written now. Orders that cannot arrive any more are dropped, which bounds
    /// the table where answers are lost.
    pub fn record_write(&mut self, key: TransitKey, now: Moment) {
        let delay_ms = self.delay_ms;
        self.written.retain(|_, written| now < *written + delay_ms);
        self.written.insert(key, now);
    }

    /// Records that an order was answered, or was not sent.
    pub fn close(&mut self, key: TransitKey) {
        self.written.remove(&key);
    }

    /// Returns how long an order may still be under way, in milliseconds; zero if none is.
    pub fn remaining_ms(&self, now: Moment) -> u64 {
        let ends = self
            .written
            .values()
            .map(|written| *written + self.delay_ms);
        ends.map(|end| end.since(now)).max().unwrap_or(0)
    }
}
