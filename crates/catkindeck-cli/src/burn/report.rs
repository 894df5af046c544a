//! The burn report as text and JSON.

use {
    super::{
        objective::BurnObjectives,
        rate::{BurnState, ObjectiveBurn, WindowBurn, burn_rates},
        sample::BurnSample,
    },
    crate::output::align_columns,
    catkindeck::record,
};

#[record]
pub struct BurnReport {
    /// The time of the report, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The burn by objective and window pair.
    pub burns: Vec<ObjectiveBurn>,
    /// The sources that could not be scraped, with the cause.
    pub unreachable: Vec<String>,
    /// The number of malformed lines in the sample file.
    pub skipped_lines: usize,
}

impl BurnReport {
    /// Computes the burn rates from samples and creates the report.
    pub fn new(
        objectives: &BurnObjectives,
        samples: &[BurnSample],
        at_ms: u64,
        unreachable: Vec<String>,
        skipped_lines: usize,
    ) -> Self {
        Self {
            at_ms,
            burns: burn_rates(objectives, samples, at_ms),
            unreachable,
            skipped_lines,
        }
    }

    pub fn is_burning(&self) -> bool {
        self.burns
            .iter()
            .any(|burn| burn.state == BurnState::Burning)
    }
}

/// Formats a report as text.
pub fn describe_burn(report: &BurnReport) -> String {
    let header = [
        "objective",
        "windows",
        "state",
        "limit",
        "short",
        "long",
        "bad/total",
        "covered",
    ];
    let mut rows = vec![header.map(str::to_owned).to_vec()];
    rows.extend(report.burns.iter().map(|burn| {
        vec![
            burn.objective.clone(),
            burn.windows.clone(),
            state_label(burn.state).to_owned(),
            format!("{:.1}", burn.burn_limit),
            format_rate(&burn.short),
            format_rate(&burn.long),
            format!("{}/{}", burn.long.bad, burn.long.total),
            format!(
                "{} %",
                burn.long.covered_ms * 100 / burn.long.window_ms.max(1)
            ),
        ]
    }));
    let mut lines = vec![align_columns(&rows)];
    lines.extend(
        report
            .unreachable
            .iter()
            .map(|source| format!("cannot scrape {source}")),
    );
    if report.skipped_lines > 0 {
        lines.push(format!(
            "skipped {} malformed lines of the sample file",
            report.skipped_lines
        ));
    }
    lines.join("\n")
}

pub fn state_label(state: BurnState) -> &'static str {
    match state {
        BurnState::Fine => "fine",
        BurnState::Burning => "BURNING",
        BurnState::NoData => "no data",
    }
}

/// Formats a burn rate, or `-` without events.
pub fn format_rate(burn: &WindowBurn) -> String {
    burn.rate
        .map_or_else(|| "-".to_owned(), |rate| format!("{rate:.2}"))
}
