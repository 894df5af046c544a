//! Runs all simulations with fixed seeds.
//!
//! The policies must meet all targets that are listed as met, and two runs with the same seed must
//! give the same results.

use catkindeck_bench::{
    report::{BenchReport, ReportRow, Target},
    run,
};

const SEEDS: [u64; 3] = [1, 2, 3];

#[test]
fn targets_listed_as_met_are_met() {
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
fn equal_seeds_give_equal_results() {
    assert_eq!(run(SEEDS[0]).to_text(), run(SEEDS[0]).to_text());
}

/// Guards against a report that ignores a missed target that is listed as met.
#[test]
fn missing_a_target_listed_as_met_is_a_failure() {
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
