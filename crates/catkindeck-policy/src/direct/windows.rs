//! Requests of each customer by usage window.

use catkindeck::{
    SortedMap,
    id::{IncarnationId, ObjectName},
    message,
};

/// The number of windows kept; older ones were reported or can no longer be.
const WINDOW_RETENTION: u64 = 12;

/// The time after its end at which a window is collected, in milliseconds: clocks of hosts differ a
/// little, and a request is counted when it is answered.
const SETTLE_MS: u64 = 2_000;

/// The time before a report is due at which no process is waited for any more, in milliseconds: a
/// round of questions (0.8 s) that began just before and its pause (0.4 s), a last round, and two calls
/// to the store and the report while the platform is slow (0.5 s each).
const REPORT_MARGIN_MS: u64 = 3_500;

/// When the usage of windows is collected and due.
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
    /// Requests may still be counted in it.
    Settle,
    /// All processes are asked, and those that do not answer are waited for.
    CollectAll,
    /// The report goes out with what is known, because it would be late otherwise.
    Seal,
}

impl ReportSchedule {
    /// Returns what to do about a window at a time in milliseconds since the Unix epoch.
    pub fn action(self, window: u64, unix_ms: u64) -> ReportAction {
        let end = (window + 1).saturating_mul(self.length_ms);
        if unix_ms < end + SETTLE_MS {
            return ReportAction::Settle;
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
    /// The window.
    pub window: u64,
    /// The customer.
    pub customer: ObjectName,
    /// The requests that upstreams began.
    pub requests: u64,
}

/// The requests that upstreams began for each customer, as one process counted them.
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

/// The counts of all processes, as the holder of the duty knows them.
///
/// Each run of a process counts upward only, so of two counts of the same run the larger is the newer
/// one, by whatever way they came: from the process itself, from the store, or late.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct UsageLedger {
    counts: SortedMap<(u64, ObjectName, IncarnationId), u64>,
    revision: u64,
}

impl UsageLedger {
    /// Makes an empty ledger.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes what a run of a process counted so far.
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

    /// Returns a number that grows with each count that is news.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the sums of one window in order of customers.
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

    /// Returns the counts from a window on, by run, for the store.
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
