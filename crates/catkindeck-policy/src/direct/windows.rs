//! Usage counts by customer and window.

use catkindeck::{
    SortedMap,
    id::{IncarnationId, ObjectName},
    message,
};

/// The number of windows kept; older ones have been reported or are past their deadline.
const WINDOW_RETENTION: u64 = 12;

/// The delay between the end of a window and its collection, in milliseconds.
///
/// Host clocks differ slightly, and a request is counted when it is answered.
const COLLECTION_DELAY_MS: u64 = 2_000;

/// The time before the deadline of a report at which waiting for processes ends, in milliseconds.
///
/// It covers a collection round that began just before (0.8 s) and its pause (0.4 s), a last round,
/// and two store calls and the report while the platform is slow (0.5 s each).
const REPORT_MARGIN_MS: u64 = 3_500;

/// When the usage of a window is collected and due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportSchedule {
    /// The length of a window, in milliseconds.
    pub length_ms: u64,
    /// The time after a window's end by which its usage is due, in milliseconds.
    pub deadline_ms: u64,
}

/// What to do about the usage of a window.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportAction {
    /// Waits, because requests may still be counted in the window.
    Wait,
    /// Collects from all processes and waits for those that do not answer.
    CollectAll,
    /// Reports what is known, because waiting longer would miss the deadline.
    Seal,
}

impl ReportSchedule {
    /// Returns what to do about a window; `unix_ms` is the current time in milliseconds since the
    /// Unix epoch.
    pub fn action(self, window: u64, unix_ms: u64) -> ReportAction {
        let end = (window + 1).saturating_mul(self.length_ms);
        if unix_ms < end + COLLECTION_DELAY_MS {
            return ReportAction::Wait;
        }
        match unix_ms + REPORT_MARGIN_MS < end + self.deadline_ms {
            true => ReportAction::CollectAll,
            false => ReportAction::Seal,
        }
    }
}

/// The requests of one customer in one window.
#[message]
pub struct UsageCount {
    pub window: u64,
    pub customer: ObjectName,
    /// The number of requests that upstreams began to handle.
    pub requests: u64,
}

/// The number of requests that upstreams began to handle for each customer, as counted by one
/// process.
#[derive(Debug, Clone, Default)]
pub struct UsageWindows {
    counts: SortedMap<(u64, ObjectName), u64>,
}

impl UsageWindows {
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the window that contains `time`, which has the unit of `length`.
    pub fn window_at(time: u64, length: u64) -> u64 {
        time / length.max(1)
    }

    pub fn count(&mut self, window: u64, customer: &ObjectName) {
        let key = (window, customer.clone());
        *self.counts.get_or_insert_with(key, || 0) += 1;
        let newest = self.counts.keys().next_back().map_or(0, |key| key.0);
        self.counts
            .retain(|(window, _), _| window + WINDOW_RETENTION > newest);
    }

    /// Returns all counts, oldest window first.
    pub fn counts(&self) -> Vec<UsageCount> {
        let counts = self.counts.iter();
        counts
            .map(|((window, customer), requests)| UsageCount {
                window: *window,
                customer: customer.clone(),
                requests: *requests,
            })
            .collect()
    }
}

/// The counts of all processes, merged by the leader.
///
/// The counts of one incarnation only grow, so merging keeps the larger value, whether it arrives
/// from the process, from the store, or late.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct UsageLedger {
    counts: SortedMap<(u64, ObjectName, IncarnationId), u64>,
    revision: u64,
}

impl UsageLedger {
    pub fn new() -> Self {
        Self::default()
    }

    /// Merges the counts of one incarnation.
    pub fn merge(&mut self, incarnation: IncarnationId, counts: &[UsageCount]) {
        for count in counts {
            let key = (count.window, count.customer.clone(), incarnation);
            let known = self.counts.get_or_insert_with(key, || 0);
            if count.requests > *known {
                *known = count.requests;
                self.revision += 1;
            }
        }
        let newest = self.counts.keys().next_back().map_or(0, |key| key.0);
        self.counts
            .retain(|(window, _, _), _| window + WINDOW_RETENTION > newest);
    }

    /// Returns a number that increases whenever a merge changes a count.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns each customer's sum in one window, ordered by customer.
    pub fn window(&self, window: u64) -> Vec<(ObjectName, u64)> {
        let mut sums: SortedMap<ObjectName, u64> = SortedMap::new();
        for ((other, customer, _), requests) in self.counts.iter() {
            if *other == window {
                *sums.get_or_insert_with(customer.clone(), || 0) += requests;
            }
        }
        sums.iter()
            .map(|(customer, requests)| (customer.clone(), *requests))
            .collect()
    }

    /// Returns the counts of window `first` and later by incarnation, to be stored.
    pub fn unsealed(&self, first: u64) -> Vec<(IncarnationId, UsageCount)> {
        let unsealed = self
            .counts
            .iter()
            .filter(|((window, _, _), _)| *window >= first);
        unsealed
            .map(|((window, customer, incarnation), requests)| {
                let count = UsageCount {
                    window: *window,
                    customer: customer.clone(),
                    requests: *requests,
                };
                (*incarnation, count)
            })
            .collect()
    }
}
