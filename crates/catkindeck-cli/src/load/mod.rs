//! The load generator.
//!
//! An open loop starts requests at scheduled times and measures latencies from those times, so that a
//! slow service does not reduce the load or hide queueing delay. A closed loop starts a request when
//! the previous one has ended.

mod client;
mod profile;
mod report;
mod schedule;
mod stats;

pub use {
    profile::{CustomerLoad, LoadProfile, LoopKind, RawLoad},
    report::{LatencySummary, LoadReport, describe_load},
    schedule::{ComparedSide, LoadSchedule},
    stats::{LoadStats, SideStats},
};

use {
    crate::{arguments::LoadArguments, output::CommandReport},
    catkindeck::{ErrorKind, ServiceError, settings::SettingsText},
    client::LoadClient,
    std::{
        path::Path,
        sync::atomic::{AtomicU64, Ordering},
        thread,
        time::{Duration, Instant},
    },
};

/// Runs the subcommand `load`.
pub fn run(arguments: &LoadArguments) -> Result<CommandReport, ServiceError> {
    let mut profile = read_profile(&arguments.profile)?;
    profile
        .apply_overrides(
            arguments.duration_ms,
            arguments.threads,
            arguments.rate_per_s,
        )
        .map_err(|detail| ServiceError::not_run(ErrorKind::BadRequest, detail))?;
    if arguments.compare && profile.direct.is_none() {
        let detail = "--compare requires a `direct` address in the profile";
        return Err(ServiceError::not_run(ErrorKind::BadRequest, detail));
    }
    let stats = generate_load(&profile, arguments.compare)?;
    let report = LoadReport::new(&profile, &stats);
    let mut command = CommandReport::success(describe_load(&report), &report)?;
    // A comparison needs measurements of both sides.
    if report.finished == 0 || (arguments.compare && report.ratio.is_none()) {
        command.failure = Some(ErrorKind::NoUpstream);
    }
    Ok(command)
}

/// Reads and validates a profile.
pub fn read_profile(path: &Path) -> Result<LoadProfile, ServiceError> {
    let bad_request_error = |error: catkindeck::settings::SettingsError| {
        ServiceError::not_run(ErrorKind::BadRequest, error.to_string())
    };
    let text = SettingsText::read(path).map_err(bad_request_error)?;
    let raw: RawLoad = text.parse().map_err(bad_request_error)?;
    LoadProfile::try_from((&text, raw)).map_err(bad_request_error)
}

/// Generates the load of a profile and returns the measurements.
///
/// # Errors
///
/// Returns the error of reading a customer's key file.
pub fn generate_load(profile: &LoadProfile, compare: bool) -> Result<LoadStats, ServiceError> {
    let client = LoadClient::open(profile)?;
    let schedule = LoadSchedule::new(profile, compare);
    let next_index = AtomicU64::new(0);
    let start = Instant::now();
    let worker_stats: Vec<LoadStats> = thread::scope(|scope| {
        let workers: Vec<_> = (0..profile.threads)
            .map(|_| scope.spawn(|| run_worker(profile, &client, &schedule, &next_index, start)))
            .collect();
        // The measurements of a worker that panicked are lost and missing from the report.
        workers
            .into_iter()
            .filter_map(|worker| worker.join().ok())
            .collect()
    });
    let mut total = LoadStats::new(profile.customers.len());
    for stats in &worker_stats {
        total.merge(stats);
    }
    total.elapsed_ms = u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX);
    Ok(total)
}

fn run_worker(
    profile: &LoadProfile,
    client: &LoadClient,
    schedule: &LoadSchedule,
    next_index: &AtomicU64,
    start: Instant,
) -> LoadStats {
    let mut stats = LoadStats::new(profile.customers.len());
    let warmup_end = start + Duration::from_millis(profile.warmup_ms);
    let end = warmup_end + Duration::from_millis(profile.duration_ms);
    loop {
        let index = next_index.fetch_add(1, Ordering::Relaxed);
        if profile.request_limit.is_some_and(|limit| index >= limit) {
            return stats;
        }
        let request = schedule.request(index);
        let due = match request.due_us {
            Some(due_us) => start + Duration::from_micros(due_us),
            None => Instant::now(),
        };
        if due >= end {
            return stats;
        }
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let late = due.elapsed();
        // A generator that is behind schedule still stops at the end of the run.
        if Instant::now() >= end {
            stats.skipped += 1;
            return stats;
        }
        let record = client.call(&request, due);
        if due >= warmup_end {
            stats.record(&request, &record, late);
        }
    }
}
