//! The report with the results of all simulations.

use serde::Serialize;

/// One result of one deployment with its baseline and target.
#[derive(Debug, Clone, Serialize)]
pub struct ReportRow {
    /// The measure, 1 to 5, of `docs/design.md`, section 1.
    pub measure: u8,
    /// The name of the deployment.
    pub deployment: &'static str,
    /// The measured quantity, with its unit.
    pub figure: &'static str,
    /// The result of the baseline.
    pub baseline: f64,
    /// The result of catkindeck's policies.
    pub catkindeck: f64,
    /// The target, if `docs/design.md` states one.
    pub target: Option<Target>,
    /// Whether the target counts as met, that is, `docs/policy.md` does not list it as missed;
    /// missing such a target fails the run.
    pub listed: bool,
}

/// A target from `docs/design.md`.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Target {
    /// The inclusive upper bound of the result.
    AtMost(f64),
    /// The inclusive lower bound of the result.
    AtLeast(f64),
}

/// All results of a run.
#[derive(Debug, Clone, Serialize)]
pub struct BenchReport {
    pub seed: u64,
    /// The rows, ordered by measure.
    pub rows: Vec<ReportRow>,
}

impl ReportRow {
    /// Returns whether the result meets the target; true for a row without a target.
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
            (true, false, false) => "missed (known)",
        }
    }
}

impl BenchReport {
    /// Returns the rows that miss a target listed as met.
    pub fn failures(&self) -> Vec<&ReportRow> {
        let failed = |row: &&ReportRow| row.listed && !row.met();
        self.rows.iter().filter(failed).collect()
    }

    /// Formats the rows as an aligned table; the column `m` holds the measure.
    pub fn to_text(&self) -> String {
        let mut text = format!(
            "seed {}\n{:<2} {:<12} {:<70} {:>10} {:>10} {:>10}  verdict\n",
            self.seed, "m", "deployment", "figure", "baseline", "catkindeck", "target"
        );
        for row in &self.rows {
            let target = match row.target {
                Some(Target::AtMost(bound)) => format!("<= {bound}"),
                Some(Target::AtLeast(bound)) => format!(">= {bound}"),
                None => "-".to_owned(),
            };
            text.push_str(&format!(
                "{:<2} {:<12} {:<70} {:>10.3} {:>10.3} {:>10}  {}\n",
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
