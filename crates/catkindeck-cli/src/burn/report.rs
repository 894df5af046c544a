//! The burn report as text and JSON.

use {
    super::{
        objective::BurnObjectives,
        rate::{BurnState, ObjectiveBurn, WindowBurn, burn_rates},
        sample::BurnSample,
    },
    crate::output::columns,
    catkindeck::record,
};

/// The burn report.
#[record]
pub struct BurnReport {
    /// The time of the report, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The burn by objective and pair of windows.
    pub burns: Vec<ObjectiveBurn>,
    /// The sources that did not answer, with the cause.
    pub unreachable: Vec<String>,
    /// Lines of the sample file that are no samples.
    pub skipped_lines: usize,
}

impl BurnReport {
    /// Makes the report of samples.
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

    /// Tells whether any objective burns.
    pub fn is_burning(&self) -> bool {
        self.burns
            .iter()
            .any(|burn| burn.state == BurnState::Burning)
    }
}

/// Describes a report for people.
pub fn describe_burn(report: &BurnReport) -> String {
    let head = [
        "objective",
        "windows",
        "state",
        "limit",
        "short",
        "long",
        "bad/total",
        "covered",
    ];
    let mut rows = vec![head.map(str::to_owned).to_vec()];
    rows.extend(report.burns.iter().map(|burn| {
        vec![
            burn.objective.clone(),
            burn.windows.clone(),
            state_word(burn.state).to_owned(),
            format!("{:.1}", burn.burn_limit),
            rate_text(&burn.short),
            rate_text(&burn.long),
            format!("{}/{}", burn.long.bad, burn.long.total),
            format!(
                "{} %",
                burn.long.covered_ms * 100 / burn.long.window_ms.max(1)
            ),
        ]
    }));
    let mut lines = vec![columns(&rows)];
    lines.extend(
        report
            .unreachable
            .iter()
            .map(|source| format!("not read: {source}")),
    );
    if report.skipped_lines > 0 {
        lines.push(format!(
            "{} lines of the sample file are no samples",
            report.skipped_lines
        ));
    }
    lines.join("\n")
}

/// Returns the word for a state.
pub fn state_word(state: BurnState) -> &'static str {
    match state {
        BurnState::Fine => "fine",
        BurnState::Burning => "BURNING",
        BurnState::NoData => "no data",
    }
}

/// Returns the text of a rate.
pub fn rate_text(burn: &WindowBurn) -> String {
    burn.rate
        .map_or_else(|| "-".to_owned(), |rate| format!("{rate:.2}"))
}
