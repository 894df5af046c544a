//! The table of results.

use serde::Serialize;

/// One figure of one deployment with its baseline and target.
#[derive(Debug, Clone, Serialize)]
pub struct ReportRow {
    /// The measure, 1 to 5, of `docs/design.md`, section 1.
    pub measure: u8,
    /// The deployment.
    pub deployment: &'static str,
    /// What was measured, with its unit.
    pub figure: &'static str,
    /// The baseline's figure.
    pub baseline: f64,
    /// The figure with catkindeck's policies.
    pub catkindeck: f64,
    /// The bound, if the design page states one.
    pub target: Option<Target>,
    /// Whether the target is listed as met; a listed one that is missed fails the run.
    pub listed: bool,
}

/// A bound from the design page.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Target {
    /// The figure must not be above.
    AtMost(f64),
    /// The figure must not be below.
    AtLeast(f64),
}

/// All figures of a run.
#[derive(Debug, Clone, Serialize)]
pub struct BenchReport {
    /// The seed.
    pub seed: u64,
    /// The rows in order of measure.
    pub rows: Vec<ReportRow>,
}

impl ReportRow {
    /// Tells whether the target is reached; a row without one always is.
    pub fn met(&self) -> bool {
        match self.target {
            Some(Target::AtMost(bound)) => self.catkindeck <= bound,
            Some(Target::AtLeast(bound)) => self.catkindeck >= bound,
            None => true,
        }
    }

    fn verdict(&self) -> &'static str {
        match (self.target.is_some(), self.met(), self.listed) {
            (false, ..) => "compared",
            (true, true, _) => "met",
            (true, false, true) => "MISSED",
            (true, false, false) => "missed, listed as such",
        }
    }
}

impl BenchReport {
    /// Returns the rows whose target is listed as met and is missed.
    pub fn failures(&self) -> Vec<&ReportRow> {
        let failed = |row: &&ReportRow| row.listed && !row.met();
        self.rows.iter().filter(failed).collect()
    }

    /// Writes the rows as an aligned table.
    pub fn to_text(&self) -> String {
        let mut text = format!(
            "seed {}\n{:<2} {:<12} {:<58} {:>10} {:>10} {:>10}  verdict\n",
            self.seed, "m", "deployment", "figure", "baseline", "catkindeck", "target"
        );
        for row in &self.rows {
            let target = match row.target {
                Some(Target::AtMost(bound)) => format!("<= {bound}"),
                Some(Target::AtLeast(bound)) => format!(">= {bound}"),
                None => "-".to_owned(),
            };
            text.push_str(&format!(
                "{:<2} {:<12} {:<58} {:>10.3} {:>10.3} {:>10}  {}\n",
                row.measure,
                row.deployment,
                row.figure,
                row.baseline,
                row.catkindeck,
                target,
                row.verdict()
            ));
        }
        text
    }
}
