//! Simulations that compare the policies with baselines in virtual time.
//!
//! The policies run against load models, without hosts and network. The targets are those of
//! `docs/design.md`, section 6; `docs/policy.md` lists the targets that are missed.

pub mod concurrency;
pub mod cost;
pub mod deployment;
pub mod engine;
pub mod fairness;
pub mod fleet;
pub mod queue;
pub mod report;
pub mod rng;
pub mod routing;
pub mod steps;
pub mod trainer;
pub mod usage;
pub mod zone;

use {
    deployment::{DEPLOYMENTS, Deployment},
    queue::PolicyKind,
    report::{BenchReport, ReportRow, Target},
    std::thread,
    trainer::TrainerParams,
    zone::ZoneEvent,
};

type MeasureFn = fn(Deployment, u64) -> Vec<ReportRow>;

/// Runs all simulations in parallel; each has its own random numbers and its own virtual time.
///
/// # Panics
///
/// Panics if a simulation panics.
pub fn run(seed: u64) -> BenchReport {
    let measure_fns: [MeasureFn; 5] = [
        trainer_rows,
        fairness_rows,
        cost_rows,
        usage_rows,
        zone_rows,
    ];
    let rows: Vec<ReportRow> = thread::scope(|scope| {
        let mut running = Vec::new();
        for measure_fn in measure_fns {
            for deployment in DEPLOYMENTS {
                running.push(scope.spawn(move || measure_fn(deployment, seed)));
            }
        }
        let rows = running.into_iter().flat_map(|thread| {
            // Propagate the panic of a simulation.
            thread
                .join()
                .unwrap_or_else(|panic| std::panic::resume_unwind(panic))
        });
        rows.collect()
    });
    BenchReport { seed, rows }
}

fn trainer_rows(deployment: Deployment, seed: u64) -> Vec<ReportRow> {
    // The baseline does not forecast staleness, so it stays within the bound only if the trainer
    // opens at most one step ahead.
    let measure = |kind, steps_ahead, slow_engine| {
        trainer::measure(
            deployment,
            kind,
            TrainerParams {
                steps_ahead,
                slow_engine,
            },
            seed,
        )
    };
    let baseline = measure(PolicyKind::Baseline, 1, false);
    let baseline_ahead = measure(PolicyKind::Baseline, 2, false);
    let slow_baseline = measure(PolicyKind::Baseline, 1, true);
    let policy = measure(PolicyKind::Catkindeck, 2, false);
    let slow_policy = measure(PolicyKind::Catkindeck, 2, true);
    let row = |figure, baseline, catkindeck, target: Option<Target>| ReportRow {
        measure: 1,
        deployment: deployment.name,
        figure,
        baseline,
        catkindeck,
        target,
        listed: true,
    };
    vec![
        row(
            "trainer idle time, 1 % long samples and one zone out, %",
            baseline.idle_percent,
            policy.idle_percent,
            Some(Target::AtMost(5.0)),
        ),
        row(
            "samples beyond the staleness bound, two steps opened ahead, %",
            baseline_ahead.stale_percent,
            policy.stale_percent,
            Some(Target::AtMost(0.0)),
        ),
        row(
            "tokens of discarded samples, % of delivered tokens",
            baseline.wasted_percent,
            policy.wasted_percent,
            None,
        ),
        row(
            "trainer idle time, long samples, zone out, one engine at 25 % speed, %",
            slow_baseline.idle_percent,
            slow_policy.idle_percent,
            None,
        ),
    ]
}

fn fairness_rows(deployment: Deployment, seed: u64) -> Vec<ReportRow> {
    let [baseline, policy] = [PolicyKind::Baseline, PolicyKind::Catkindeck]
        .map(|kind| fairness::measure(deployment, kind, seed));
    let row = |figure, baseline, catkindeck, target| ReportRow {
        measure: 2,
        deployment: deployment.name,
        figure,
        baseline,
        catkindeck,
        target: Some(target),
        listed: true,
    };
    let [fixed_limit, adaptive_limit] = [PolicyKind::FixedLimit, PolicyKind::Catkindeck]
        .map(|kind| concurrency::measure(deployment, kind, seed));
    let [round_robin, routed] = [PolicyKind::Baseline, PolicyKind::Catkindeck]
        .map(|kind| routing::measure(deployment, kind, seed));
    let compared = |figure, baseline, catkindeck| ReportRow {
        measure: 2,
        deployment: deployment.name,
        figure,
        baseline,
        catkindeck,
        target: None,
        listed: false,
    };
    vec![
        compared(
            "prefix cache hit rate (baseline: round robin), %",
            round_robin.hit_percent,
            routed.hit_percent,
        ),
        compared(
            "p99 queueing time (baseline: round robin), s",
            round_robin.p99_wait_s,
            routed.p99_wait_s,
        ),
        compared(
            "requests completed in time, shared hosts (baseline: fixed limit), %",
            fixed_limit.in_time_percent,
            adaptive_limit.in_time_percent,
        ),
        compared(
            "p95 engine execution time (baseline: fixed limit), s",
            fixed_limit.p95_engine_time_s,
            adaptive_limit.p95_engine_time_s,
        ),
        ReportRow {
            // One of forty runs misses this target; see docs/policy.md.
            listed: false,
            ..row(
                "lowest 10 s throughput, one customer at 20x its share, % of fair share",
                baseline.lowest_window_share,
                policy.lowest_window_share,
                Target::AtLeast(95.0),
            )
        },
        row(
            "lowest mean throughput, one customer at 20x its share, % of fair share",
            baseline.lowest_mean_share,
            policy.lowest_mean_share,
            Target::AtLeast(95.0),
        ),
        row(
            "longest wait added by others, no backlog, in mean request durations",
            baseline.extra_wait_durations,
            policy.extra_wait_durations,
            Target::AtMost(1.0),
        ),
    ]
}

fn cost_rows(deployment: Deployment, seed: u64) -> Vec<ReportRow> {
    let [baseline, policy] = [PolicyKind::Baseline, PolicyKind::Catkindeck]
        .map(|kind| cost::measure(deployment, kind, seed));
    let row = |figure, baseline, catkindeck, target: Option<Target>| ReportRow {
        measure: 3,
        deployment: deployment.name,
        figure,
        baseline,
        catkindeck,
        target,
        listed: true,
    };
    vec![
        row(
            "upstream running time / minimum for the known load",
            baseline.cost_ratio,
            policy.cost_ratio,
            Some(Target::AtMost(1.15)),
        ),
        row(
            "demand beyond the warm capacity, %",
            baseline.unserved_percent,
            policy.unserved_percent,
            None,
        ),
        row("starts of upstreams", baseline.starts, policy.starts, None),
    ]
}

fn usage_rows(deployment: Deployment, seed: u64) -> Vec<ReportRow> {
    let [baseline, policy] = [PolicyKind::Baseline, PolicyKind::Catkindeck]
        .map(|kind| usage::measure(deployment, kind, seed));
    let row = |figure, baseline, catkindeck, target: Option<Target>| ReportRow {
        measure: 4,
        deployment: deployment.name,
        figure,
        baseline,
        catkindeck,
        target,
        listed: true,
    };
    vec![
        row(
            "usage windows reported again with different content",
            baseline.changed_windows,
            policy.changed_windows,
            Some(Target::AtMost(0.0)),
        ),
        row(
            "difference between reported and counted tokens, %",
            baseline.error_percent,
            policy.error_percent,
            Some(Target::AtMost(0.0)),
        ),
        row(
            "tokens reported more than three windows late, %",
            baseline.late_percent,
            policy.late_percent,
            None,
        ),
    ]
}

fn zone_rows(deployment: Deployment, seed: u64) -> Vec<ReportRow> {
    let kinds = [PolicyKind::Baseline, PolicyKind::Catkindeck];
    let [baseline, policy] =
        kinds.map(|kind| zone::measure(deployment, kind, ZoneEvent::Announced, seed));
    let [failed_baseline, failed_policy] =
        kinds.map(|kind| zone::measure(deployment, kind, ZoneEvent::Failed, seed));
    let row = |figure, baseline, catkindeck, target: Option<Target>| ReportRow {
        measure: 5,
        deployment: deployment.name,
        figure,
        baseline,
        catkindeck,
        target,
        listed: true,
    };
    vec![
        row(
            "time until the last request starts in the excluded zone, s",
            baseline.last_start_s,
            policy.last_start_s,
            Some(Target::AtMost(2.0)),
        ),
        row(
            "overload time of the engines after the zone returned, %",
            baseline.overload_percent,
            policy.overload_percent,
            Some(Target::AtMost(0.0)),
        ),
        row(
            "requests not completed, zone excluded, %",
            baseline.incomplete_percent,
            policy.incomplete_percent,
            None,
        ),
        row(
            "attempts per request in the worst 10 s window, zone failed",
            failed_baseline.amplification,
            failed_policy.amplification,
            Some(Target::AtMost(1.1)),
        ),
        row(
            "requests not completed, zone failed, %",
            failed_baseline.incomplete_percent,
            failed_policy.incomplete_percent,
            None,
        ),
    ]
}
