//! Counts and latencies of a run.

use {
    super::{
        caller::CallRecord,
        schedule::{CallSide, LoadSlot},
    },
    catkindeck::SortedMap,
    hdrhistogram::Histogram,
    std::time::Duration,
};

/// A request that starts this late shows that the generator, not the service, is the limit.
const LATE_START: Duration = Duration::from_millis(10);

/// The figures of one customer on one side.
#[derive(Debug, Clone)]
pub struct SideTally {
    /// Requests that were answered in full.
    pub finished: u64,
    /// Requests that failed, by kind.
    pub failed: SortedMap<String, u64>,
    /// Tokens received.
    pub tokens: u64,
    /// Times to the first byte of finished requests, in microseconds.
    pub first_us: Histogram<u64>,
    /// Times to the end of finished requests, in microseconds.
    pub total_us: Histogram<u64>,
}

impl SideTally {
    fn new() -> Self {
        Self {
            finished: 0,
            failed: SortedMap::new(),
            tokens: 0,
            first_us: empty_histogram(),
            total_us: empty_histogram(),
        }
    }

    /// Adds another tally's figures.
    pub fn merge(&mut self, other: &Self) {
        self.finished += other.finished;
        self.tokens += other.tokens;
        for (kind, count) in other.failed.iter() {
            *self.failed.get_or_insert_with(kind.clone(), || 0) += count;
        }
        // Both histograms resize themselves, so adding cannot fail for lack of range.
        let _ = self.first_us.add(&other.first_us);
        let _ = self.total_us.add(&other.total_us);
    }
}

/// The figures of a run.
#[derive(Debug, Clone)]
pub struct LoadTally {
    /// For each customer, the figures through the entry.
    pub entry: Vec<SideTally>,
    /// For each customer, the figures of direct calls.
    pub direct: Vec<SideTally>,
    /// Requests that started late.
    pub late_starts: u64,
    /// Requests that did not start before the end, though they were due.
    pub skipped: u64,
    /// The length of the run, in milliseconds.
    pub elapsed_ms: u64,
}

impl LoadTally {
    /// Makes an empty tally.
    pub fn new(customers: usize) -> Self {
        Self {
            entry: vec![SideTally::new(); customers],
            direct: vec![SideTally::new(); customers],
            late_starts: 0,
            skipped: 0,
            elapsed_ms: 0,
        }
    }

    /// Adds a request.
    pub fn record(&mut self, slot: &LoadSlot, record: &CallRecord, late: Duration) {
        let tallies = match slot.side {
            CallSide::Entry => &mut self.entry,
            CallSide::Direct => &mut self.direct,
        };
        let tally = &mut tallies[slot.customer];
        match &record.outcome {
            Ok(()) => {
                tally.finished += 1;
                tally.tokens += record.tokens;
                // Both histograms resize themselves, so every time has its place.
                let _ = tally.first_us.record(record.first_us);
                let _ = tally.total_us.record(record.total_us);
            }
            Err(kind) => *tally.failed.get_or_insert_with(kind.clone(), || 0) += 1,
        }
        self.late_starts += u64::from(late > LATE_START);
    }

    /// Adds another tally's figures.
    pub fn merge(&mut self, other: &Self) {
        let pairs = self.entry.iter_mut().zip(&other.entry);
        pairs.for_each(|(mine, theirs)| mine.merge(theirs));
        let pairs = self.direct.iter_mut().zip(&other.direct);
        pairs.for_each(|(mine, theirs)| mine.merge(theirs));
        self.late_starts += other.late_starts;
        self.skipped += other.skipped;
    }
}

/// Sums up the figures of all customers on one side.
pub fn sum_up(tallies: &[SideTally]) -> SideTally {
    tallies.iter().fold(SideTally::new(), |mut sum, tally| {
        sum.merge(tally);
        sum
    })
}

fn empty_histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three significant digits are within the library's range")
}
