//! Counts and latencies of a run.

use {
    super::{
        client::RequestRecord,
        schedule::{ComparedSide, ScheduledRequest},
    },
    catkindeck::SortedMap,
    hdrhistogram::Histogram,
    std::time::Duration,
};

/// A delay of a start above which the load generator, not the service, is the bottleneck.
const LATE_START_THRESHOLD: Duration = Duration::from_millis(10);

/// The statistics of one customer on one [`ComparedSide`].
#[derive(Debug, Clone)]
pub struct SideStats {
    /// Requests that were answered completely.
    pub finished: u64,
    /// Failed requests by error kind.
    pub failed: SortedMap<String, u64>,
    /// The number of tokens received.
    pub tokens: u64,
    /// The times to the first byte of finished requests, in microseconds.
    pub first_us: Histogram<u64>,
    /// The times to the end of finished requests, in microseconds.
    pub total_us: Histogram<u64>,
}

impl SideStats {
    fn new() -> Self {
        Self {
            finished: 0,
            failed: SortedMap::new(),
            tokens: 0,
            first_us: empty_histogram(),
            total_us: empty_histogram(),
        }
    }

    /// Adds the counts and latencies of another value.
    pub fn merge(&mut self, other: &Self) {
        self.finished += other.finished;
        self.tokens += other.tokens;
        for (kind, count) in other.failed.iter() {
            *self.failed.get_or_insert_with(kind.clone(), || 0) += count;
        }
        // Both histograms resize automatically, so that adding cannot fail for lack of range.
        let _ = self.first_us.add(&other.first_us);
        let _ = self.total_us.add(&other.total_us);
    }
}

/// The statistics of a run.
#[derive(Debug, Clone)]
pub struct LoadStats {
    /// The statistics by customer, of requests through the entry.
    pub entry: Vec<SideStats>,
    /// The statistics by customer, of direct calls.
    pub direct: Vec<SideStats>,
    /// Requests that started late.
    pub late_starts: u64,
    /// Requests that were due but did not start before the end of the run.
    pub skipped: u64,
    /// The duration of the run, in milliseconds.
    pub elapsed_ms: u64,
}

impl LoadStats {
    pub fn new(customers: usize) -> Self {
        Self {
            entry: vec![SideStats::new(); customers],
            direct: vec![SideStats::new(); customers],
            late_starts: 0,
            skipped: 0,
            elapsed_ms: 0,
        }
    }

    /// Adds the measurements of a request.
    pub fn record(&mut self, request: &ScheduledRequest, record: &RequestRecord, late: Duration) {
        let stats_by_customer = match request.side {
            ComparedSide::Entry => &mut self.entry,
            ComparedSide::Direct => &mut self.direct,
        };
        let stats = &mut stats_by_customer[request.customer];
        match &record.outcome {
            Ok(()) => {
                stats.finished += 1;
                stats.tokens += record.tokens;
                // Both histograms resize automatically, so that recording cannot fail.
                let _ = stats.first_us.record(record.first_us);
                let _ = stats.total_us.record(record.total_us);
            }
            Err(kind) => *stats.failed.get_or_insert_with(kind.clone(), || 0) += 1,
        }
        self.late_starts += u64::from(late > LATE_START_THRESHOLD);
    }

    /// Adds the counts and latencies of another worker.
    pub fn merge(&mut self, other: &Self) {
        let pairs = self.entry.iter_mut().zip(&other.entry);
        pairs.for_each(|(own, other_stats)| own.merge(other_stats));
        let pairs = self.direct.iter_mut().zip(&other.direct);
        pairs.for_each(|(own, other_stats)| own.merge(other_stats));
        self.late_starts += other.late_starts;
        self.skipped += other.skipped;
    }
}

/// Sums up the statistics of all customers on one side.
pub fn total_stats(stats_by_customer: &[SideStats]) -> SideStats {
    stats_by_customer
        .iter()
        .fold(SideStats::new(), |mut sum, stats| {
            sum.merge(stats);
            sum
        })
}

fn empty_histogram() -> Histogram<u64> {
    Histogram::new(3).expect("a histogram supports 3 significant digits")
}
