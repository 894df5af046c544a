//! The report of a load generator run.

use {
    super::{
        profile::{LoadProfile, LoopKind},
        stats::{LoadStats, SideStats, total_stats},
    },
    crate::output::align_columns,
    catkindeck::{SortedMap, record},
    hdrhistogram::Histogram,
};

/// Latency percentiles, in microseconds.
#[record]
#[derive(Copy)]
pub struct LatencySummary {
    pub p50: u64,
    pub p90: u64,
    pub p99: u64,
    pub p999: u64,
    pub max: u64,
}

/// The results of one customer on one side.
#[record]
pub struct LoadLine {
    /// The customer name, or `all`.
    pub customer: String,
    /// The side that was measured: `entry` (through an entry and an agent) or `direct` (directly to
    /// the upstream).
    pub side: String,
    /// Requests that were answered completely.
    pub finished: u64,
    /// Failed requests by error kind.
    pub failed: SortedMap<String, u64>,
    /// The number of tokens received.
    pub tokens: u64,
    /// The times to the first byte.
    pub first_us: LatencySummary,
    /// The times to the end of the response.
    pub total_us: LatencySummary,
}

/// Latencies through entry and agent divided by those of direct calls in the same run.
#[record]
#[derive(Copy)]
pub struct LatencyRatio {
    /// The ratio of the median times to the first byte.
    pub first_p50: f64,
    /// The ratio of the 99th percentiles of the time to the first byte.
    pub first_p99: f64,
    /// The ratio of the median times to the end of the response.
    pub total_p50: f64,
    /// The ratio of the 99th percentiles of the time to the end of the response.
    pub total_p99: f64,
}

/// The report of a run.
#[record]
pub struct LoadReport {
    /// `open` or `closed`.
    pub loop_kind: String,
    /// The rate of an open loop, in requests per second.
    pub rate_per_s: Option<u64>,
    /// The duration of the run including warm-up, in milliseconds.
    pub elapsed_ms: u64,
    /// Requests that were answered completely, on both sides.
    pub finished: u64,
    /// Requests that failed, on both sides.
    pub failed: u64,
    /// Requests that the generator started late.
    pub late_starts: u64,
    /// Requests that the generator did not start because the run ended.
    pub skipped: u64,
    /// The customer with the fewest finished requests relative to its share.
    pub worst_customer: Option<String>,
    /// The ratio to direct calls, if both sides finished requests.
    pub ratio: Option<LatencyRatio>,
    /// The results by side for all customers together, then by customer through the entry.
    pub lines: Vec<LoadLine>,
}

impl LoadReport {
    /// Creates the report from the statistics of a run.
    pub fn new(profile: &LoadProfile, stats: &LoadStats) -> Self {
        let entry = total_stats(&stats.entry);
        let direct = total_stats(&stats.direct);
        let mut lines = vec![load_line("all", "entry", &entry)];
        if has_requests(&direct) {
            lines.push(load_line("all", "direct", &direct));
        }
        for (customer, stats) in profile.customers.iter().zip(&stats.entry) {
            lines.push(load_line(customer.name.as_str(), "entry", stats));
        }
        let (loop_kind, rate_per_s) = match profile.loop_kind {
            LoopKind::Open(rate) => ("open", Some(rate)),
            LoopKind::Closed => ("closed", None),
        };
        let served = profile.customers.iter().zip(&stats.entry);
        // The factor preserves the fractions in the integer division by the share.
        let worst = served.min_by_key(|(customer, stats)| {
            u128::from(stats.finished) * u128::from(u32::MAX) / u128::from(customer.share.max(1))
        });
        Self {
            loop_kind: loop_kind.to_owned(),
            rate_per_s,
            elapsed_ms: stats.elapsed_ms,
            finished: entry.finished + direct.finished,
            failed: failed_requests(&entry) + failed_requests(&direct),
            late_starts: stats.late_starts,
            skipped: stats.skipped,
            worst_customer: worst.map(|(customer, _)| customer.name.to_string()),
            ratio: latency_ratio(&entry, &direct),
            lines,
        }
    }
}

/// Formats a report as text.
pub fn describe_load(report: &LoadReport) -> String {
    let mut lines = vec![format!(
        "{} loop, {} ms: {} finished, {} failed",
        report.loop_kind, report.elapsed_ms, report.finished, report.failed
    )];
    let header = [
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
    let mut rows = vec![header.map(str::to_owned).to_vec()];
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
        row.extend(times.map(format_ms));
        row
    }));
    lines.push(align_columns(&rows));
    for line in report.lines.iter().filter(|line| !line.failed.is_empty()) {
        let kinds = line
            .failed
            .iter()
            .map(|(kind, count)| format!("{count} {kind}"));
        let kinds: Vec<String> = kinds.collect();
        lines.push(format!(
            "failed requests, customer {}, side {}: {}",
            line.customer,
            line.side,
            kinds.join(", ")
        ));
    }
    if let Some(ratio) = &report.ratio {
        lines.push(format!(
            "latency ratio of entry to direct: first byte p50 {:.3}, p99 {:.3}; total p50 {:.3}, p99 {:.3}",
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
        "times in milliseconds; an open loop measures from the scheduled start of a request"
            .to_owned(),
    );
    lines.join("\n")
}

fn load_line(customer: &str, side: &str, stats: &SideStats) -> LoadLine {
    LoadLine {
        customer: customer.to_owned(),
        side: side.to_owned(),
        finished: stats.finished,
        failed: stats.failed.clone(),
        tokens: stats.tokens,
        first_us: summarize(&stats.first_us),
        total_us: summarize(&stats.total_us),
    }
}

fn summarize(histogram: &Histogram<u64>) -> LatencySummary {
    LatencySummary {
        p50: histogram.value_at_quantile(0.5),
        p90: histogram.value_at_quantile(0.9),
        p99: histogram.value_at_quantile(0.99),
        p999: histogram.value_at_quantile(0.999),
        max: histogram.max(),
    }
}

fn latency_ratio(entry: &SideStats, direct: &SideStats) -> Option<LatencyRatio> {
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

fn failed_requests(stats: &SideStats) -> u64 {
    stats.failed.values().sum()
}

fn has_requests(stats: &SideStats) -> bool {
    stats.finished + failed_requests(stats) > 0
}

fn format_ms(microseconds: u64) -> String {
    format!("{}.{:03}", microseconds / 1000, microseconds % 1000)
}
