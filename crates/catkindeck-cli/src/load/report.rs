//! The report of a run of the load generator.

use {
    super::{
        profile::{LoadProfile, LoopKind},
        tally::{LoadTally, SideTally, sum_up},
    },
    crate::output::columns,
    catkindeck::{SortedMap, record},
    hdrhistogram::Histogram,
};

/// Percentiles of a latency, in microseconds.
#[record]
#[derive(Copy)]
pub struct LatencySummary {
    /// The median.
    pub p50: u64,
    /// The 90th percentile.
    pub p90: u64,
    /// The 99th percentile.
    pub p99: u64,
    /// The 99.9th percentile.
    pub p999: u64,
    /// The largest value.
    pub max: u64,
}

/// The figures of one customer on one side.
#[record]
pub struct LoadLine {
    /// The customer, or `all`.
    pub customer: String,
    /// `entry` or `direct`.
    pub side: String,
    /// Requests that were answered in full.
    pub finished: u64,
    /// Requests that failed, by kind.
    pub failed: SortedMap<String, u64>,
    /// Tokens received.
    pub tokens: u64,
    /// Times to the first byte.
    pub first_us: LatencySummary,
    /// Times to the end.
    pub total_us: LatencySummary,
}

/// Latencies through entry and agent, divided by those of direct calls in the same run.
#[record]
#[derive(Copy)]
pub struct LatencyRatio {
    /// The ratio of the medians to the first byte.
    pub first_p50: f64,
    /// The ratio of the 99th percentiles to the first byte.
    pub first_p99: f64,
    /// The ratio of the medians to the end.
    pub total_p50: f64,
    /// The ratio of the 99th percentiles to the end.
    pub total_p99: f64,
}

/// The report of a run.
#[record]
pub struct LoadReport {
    /// `open` or `closed`.
    pub loop_kind: String,
    /// The rate of an open loop, in requests a second.
    pub rate_per_s: Option<u64>,
    /// The length of the run with warm-up, in milliseconds.
    pub elapsed_ms: u64,
    /// Requests that were answered in full, on both sides.
    pub finished: u64,
    /// Requests that failed, on both sides.
    pub failed: u64,
    /// Requests that the generator started late.
    pub late_starts: u64,
    /// Requests that the generator did not start in time.
    pub skipped: u64,
    /// The customer with the least requests finished for its share.
    pub worst_customer: Option<String>,
    /// The ratio to direct calls, if both sides finished requests.
    pub ratio: Option<LatencyRatio>,
    /// The figures by customer and side; sums first.
    pub lines: Vec<LoadLine>,
}

impl LoadReport {
    /// Makes the report of a tally.
    pub fn new(profile: &LoadProfile, tally: &LoadTally) -> Self {
        let entry = sum_up(&tally.entry);
        let direct = sum_up(&tally.direct);
        let mut lines = vec![line("all", "entry", &entry)];
        if has_calls(&direct) {
            lines.push(line("all", "direct", &direct));
        }
        for (customer, figures) in profile.customers.iter().zip(&tally.entry) {
            lines.push(line(customer.name.as_str(), "entry", figures));
        }
        let (loop_kind, rate_per_s) = match profile.loop_kind {
            LoopKind::Open(rate) => ("open", Some(rate)),
            LoopKind::Closed => ("closed", None),
        };
        let served = profile.customers.iter().zip(&tally.entry);
        // The factor keeps the fractions of requests for each share apart.
        let worst = served.min_by_key(|(customer, figures)| {
            u128::from(figures.finished) * u128::from(u32::MAX) / u128::from(customer.share.max(1))
        });
        Self {
            loop_kind: loop_kind.to_owned(),
            rate_per_s,
            elapsed_ms: tally.elapsed_ms,
            finished: entry.finished + direct.finished,
            failed: failures(&entry) + failures(&direct),
            late_starts: tally.late_starts,
            skipped: tally.skipped,
            worst_customer: worst.map(|(customer, _)| customer.name.to_string()),
            ratio: ratio(&entry, &direct),
            lines,
        }
    }
}

/// Describes a report for people.
pub fn describe_load(report: &LoadReport) -> String {
    let mut lines = vec![format!(
        "{} loop, {} ms: {} finished, {} failed",
        report.loop_kind, report.elapsed_ms, report.finished, report.failed
    )];
    let head = [
        "customer",
        "side",
        "finished",
        "failed",
        "tokens",
        "first p50",
        "p99",
        "total p50",
        "p90",
        "p99",
        "p99.9",
        "max",
    ];
    let mut rows = vec![head.map(str::to_owned).to_vec()];
    rows.extend(report.lines.iter().map(|line| {
        let failed: u64 = line.failed.values().sum();
        let mut row = vec![line.customer.clone(), line.side.clone()];
        row.extend([line.finished, failed, line.tokens].map(|count| count.to_string()));
        let LatencySummary {
            p50,
            p90,
            p99,
            p999,
            max,
        } = line.total_us;
        let times = [
            line.first_us.p50,
            line.first_us.p99,
            p50,
            p90,
            p99,
            p999,
            max,
        ];
        row.extend(times.map(milliseconds));
        row
    }));
    lines.push(columns(&rows));
    for line in report.lines.iter().filter(|line| !line.failed.is_empty()) {
        let kinds = line
            .failed
            .iter()
            .map(|(kind, count)| format!("{count} {kind}"));
        let kinds: Vec<String> = kinds.collect();
        lines.push(format!(
            "failed, {} by {}: {}",
            line.customer,
            line.side,
            kinds.join(", ")
        ));
    }
    if let Some(ratio) = &report.ratio {
        lines.push(format!(
            "entry to direct: first byte p50 {:.3}, p99 {:.3}; whole p50 {:.3}, p99 {:.3}",
            ratio.first_p50, ratio.first_p99, ratio.total_p50, ratio.total_p99
        ));
    }
    if report.late_starts + report.skipped > 0 {
        lines.push(format!(
            "warning: {} requests started late and {} not at all; add threads or lower the rate",
            report.late_starts, report.skipped
        ));
    }
    lines.push(
        "times in milliseconds; an open loop measures from when a request was due".to_owned(),
    );
    lines.join("\n")
}

fn line(customer: &str, side: &str, tally: &SideTally) -> LoadLine {
    LoadLine {
        customer: customer.to_owned(),
        side: side.to_owned(),
        finished: tally.finished,
        failed: tally.failed.clone(),
        tokens: tally.tokens,
        first_us: summary(&tally.first_us),
        total_us: summary(&tally.total_us),
    }
}

fn summary(histogram: &Histogram<u64>) -> LatencySummary {
    LatencySummary {
        p50: histogram.value_at_quantile(0.5),
        p90: histogram.value_at_quantile(0.9),
        p99: histogram.value_at_quantile(0.99),
        p999: histogram.value_at_quantile(0.999),
        max: histogram.max(),
    }
}

fn ratio(entry: &SideTally, direct: &SideTally) -> Option<LatencyRatio> {
    if entry.finished == 0 || direct.finished == 0 {
        return None;
    }
    let divide = |left: &Histogram<u64>, right: &Histogram<u64>, quantile: f64| {
        let divisor = right.value_at_quantile(quantile).max(1);
        left.value_at_quantile(quantile) as f64 / divisor as f64
    };
    Some(LatencyRatio {
        first_p50: divide(&entry.first_us, &direct.first_us, 0.5),
        first_p99: divide(&entry.first_us, &direct.first_us, 0.99),
        total_p50: divide(&entry.total_us, &direct.total_us, 0.5),
        total_p99: divide(&entry.total_us, &direct.total_us, 0.99),
    })
}

fn failures(tally: &SideTally) -> u64 {
    tally.failed.values().sum()
}

fn has_calls(tally: &SideTally) -> bool {
    tally.finished + failures(tally) > 0
}

fn milliseconds(microseconds: u64) -> String {
    format!("{}.{:03}", microseconds / 1000, microseconds % 1000)
}
