//! Requests of each customer by usage window.

use catkindeck::{SortedMap, id::ObjectName};

/// The number of windows kept; older ones were reported or can no longer be.
const KEPT_WINDOWS: u64 = 64;

/// The requests that upstreams began for each customer, by window of the wall clock.
#[derive(Debug, Clone, Default)]
pub struct UsageWindows {
    counts: SortedMap<(u64, ObjectName), u64>,
}

impl UsageWindows {
    /// Makes empty windows.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the window of a time, both in the unit of `length`.
    pub fn window_at(time: u64, length: u64) -> u64 {
        time / length.max(1)
    }

    /// Counts one request.
    pub fn count(&mut self, window: u64, customer: &ObjectName) {
        self.add(window, customer, 1);
    }

    /// Adds requests that were counted elsewhere.
    pub fn add(&mut self, window: u64, customer: &ObjectName, requests: u64) {
        let key = (window, customer.clone());
        *self.counts.get_or_insert_with(key, || 0) += requests;
        let newest = self
            .counts
            .keys()
            .next_back()
            .map_or(0, |(newest, _)| *newest);
        if self
            .counts
            .keys()
            .next()
            .is_some_and(|(oldest, _)| oldest + KEPT_WINDOWS < newest)
        {
            self.counts
                .retain(|(window, _), _| window + KEPT_WINDOWS >= newest);
        }
    }

    /// Returns the counts of one window in order of customers.
    pub fn window(&self, window: u64) -> Vec<(ObjectName, u64)> {
        self.counts
            .iter()
            .filter(|((other, _), _)| *other == window)
            .map(|((_, customer), count)| (customer.clone(), *count))
            .collect()
    }
}
