//! The bytes on this process's connections, by which it knows how full the host's link is.

use std::{cell::Cell, io, task::Poll};

thread_local! {
    static TRAFFIC: Cell<LinkTraffic> = const { Cell::new(LinkTraffic { sent: 0, received: 0 }) };
}

/// The bytes that the connections of one event loop have carried so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LinkTraffic {
    pub sent: u64,
    pub received: u64,
}

impl LinkTraffic {
    /// Returns the traffic of the event loop on this thread.
    pub fn current() -> Self {
        TRAFFIC.get()
    }

    /// Returns the bytes of the direction that carried more; a link carries both at its full rate.
    pub fn busier(self) -> u64 {
        self.sent.max(self.received)
    }
}

/// Counts the bytes that a connection has taken.
pub(crate) fn count_sent(written: &Poll<io::Result<usize>>) {
    if let Poll::Ready(Ok(bytes)) = written {
        let mut traffic = TRAFFIC.get();
        traffic.sent += *bytes as u64;
        TRAFFIC.set(traffic);
    }
}

/// Counts bytes that were read from a connection.
pub(crate) fn count_received(bytes: usize) {
    let mut traffic = TRAFFIC.get();
    traffic.received += bytes as u64;
    TRAFFIC.set(traffic);
}
