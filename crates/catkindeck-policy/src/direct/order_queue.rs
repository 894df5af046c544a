//! Orders of a leader that wait for their turn.
//!
//! Load pattern: hundreds of upstreams are to load weights at the same moment. As many orders at once take a connection
//! each, and their responses hold up everything else that a leader with a share of a core does, among it the renewal of
//! its lease.

use {catkindeck::Moment, std::collections::VecDeque};

/// The orders under way and those that wait, in the order of the plan.
#[derive(Debug, Clone)]
pub struct OrderQueue<T> {
    /// The most orders under way at a time.
    limit: usize,
    /// How long an order may wait, in milliseconds. A later plan has it again.
    wait_ms: u64,
    running: usize,
    waiting: VecDeque<(Moment, T)>,
}

impl<T> OrderQueue<T> {
    pub fn new(limit: usize, wait_ms: u64) -> Self {
        Self {
            limit,
            wait_ms,
            running: 0,
            waiting: VecDeque::new(),
        }
    }

    /// Adds the orders of a plan.
    pub fn extend(&mut self, now: Moment, orders: impl IntoIterator<Item = T>) {
        let orders = orders.into_iter();
        self.waiting.extend(orders.map(|order| (now, order)));
    }

    /// Takes the next order that may be sent; [`Self::finish`] must follow. Orders that waited for too long are dropped.
    pub fn start_next(&mut self, now: Moment) -> Option<T> {
        if self.running >= self.limit {
            return None;
        }
        while let Some((planned, order)) = self.waiting.pop_front() {
            if now.since(planned) < self.wait_ms {
                self.running += 1;
                return Some(order);
            }
        }
        None
    }

    /// Records the end of an order.
    pub fn finish(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    pub fn running(&self) -> usize {
        self.running
    }

    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }
}
