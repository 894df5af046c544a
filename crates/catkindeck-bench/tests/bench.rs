//! Runs the measurements with fixed seeds.
//!
//! Guards against a policy that falls behind a target of the design page that is listed as met, and
//! against figures that differ between two runs with the same seed.

use catkindeck_bench::{
    report::{BenchReport, ReportRow, Target},
    run,
};

const SEEDS: [u64; 3] = [1, 2, 3];

#[test]
fn listed_targets_are_met() {
    for seed in SEEDS {
        let report = run(seed);
        assert!(report.failures().is_empty(), "{}", report.to_text());
        let measures = |row: &ReportRow| (row.measure, row.deployment);
        let mut covered: Vec<_> = report.rows.iter().map(measures).collect();
        covered.sort_unstable();
        covered.dedup();
        assert_eq!(covered.len(), 10, "five measures of two deployments");
    }
}

#[test]
fn a_seed_gives_the_same_figures_again() {
    assert_eq!(run(SEEDS[0]).to_text(), run(SEEDS[0]).to_text());
}

/// Guards against a report that passes over a missed target.
#[test]
fn a_missed_listed_target_is_a_failure() {
    let row = |figure: f64, listed| ReportRow {
        measure: 3,
        deployment: "directorate",
        figure: "cost",
        baseline: 1.0,
        catkindeck: figure,
        target: Some(Target::AtMost(1.15)),
        listed,
    };
    let report = BenchReport {
        seed: 1,
        rows: vec![row(1.2, true), row(1.2, false), row(1.1, true)],
    };
    assert_eq!(report.failures().len(), 1);
}
