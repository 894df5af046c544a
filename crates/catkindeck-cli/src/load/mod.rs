//! The load generator.
//!
//! An open loop starts requests at fixed times and measures from those times, so that a slow
//! service does not slow the measurement down. A closed loop starts a request when the one before
//! it ended.

mod caller;
mod profile;
mod report;
mod schedule;
mod tally;

pub use {
    profile::{CustomerLoad, LoadProfile, LoopKind, RawLoad},
    report::{LatencySummary, LoadReport, describe_load},
    schedule::{CallSide, LoadSchedule},
    tally::{LoadTally, SideTally},
};

use {
    crate::{arguments::LoadArguments, output::CommandReport},
    caller::LoadCaller,
    catkindeck::{ErrorKind, ServiceError, settings::SettingsText},
    std::{
        path::Path,
        sync::atomic::{AtomicU64, Ordering},
        thread,
        time::{Duration, Instant},
    },
};

/// Runs the subcommand.
pub fn run(arguments: &LoadArguments) -> Result<CommandReport, ServiceError> {
    let mut profile = read_profile(&arguments.profile)?;
    profile
        .override_with(
            arguments.duration_ms,
            arguments.threads,
            arguments.rate_per_s,
        )
        .map_err(|detail| ServiceError::not_run(ErrorKind::BadRequest, detail))?;
    if arguments.compare && profile.direct.is_none() {
        let detail = "--compare needs the profile's `direct` address";
        return Err(ServiceError::not_run(ErrorKind::BadRequest, detail));
    }
    let tally = generate(&profile, arguments.compare)?;
    let report = LoadReport::new(&profile, &tally);
    let mut command = CommandReport::success(describe_load(&report), &report)?;
    // A comparison without figures of both sides is no comparison.
    if report.finished == 0 || (arguments.compare && report.ratio.is_none()) {
        command.failure = Some(ErrorKind::NoUpstream);
    }
    Ok(command)
}

/// Reads and checks a profile.
pub fn read_profile(path: &Path) -> Result<LoadProfile, ServiceError> {
    let fault = |error: catkindeck::settings::SettingsError| {
        ServiceError::not_run(ErrorKind::BadRequest, error.to_string())
    };
    let text = SettingsText::read(path).map_err(fault)?;
    let raw: RawLoad = text.parse().map_err(fault)?;
    LoadProfile::try_from((&text, raw)).map_err(fault)
}

/// Generates the load of a profile and returns what was measured.
///
/// # Errors
///
/// Returns the fault of reading a customer's key.
pub fn generate(profile: &LoadProfile, compare: bool) -> Result<LoadTally, ServiceError> {
    let caller = LoadCaller::open(profile)?;
    let schedule = LoadSchedule::new(profile, compare);
    let slots = AtomicU64::new(0);
    let start = Instant::now();
    let tallies: Vec<LoadTally> = thread::scope(|scope| {
        let workers: Vec<_> = (0..profile.threads)
            .map(|_| scope.spawn(|| work(profile, &caller, &schedule, &slots, start)))
            .collect();
        // A worker that ended by a defect loses its figures, which the report then lacks.
        workers
            .into_iter()
            .filter_map(|worker| worker.join().ok())
            .collect()
    });
    let mut total = LoadTally::new(profile.customers.len());
    for tally in &tallies {
        total.merge(tally);
    }
    total.elapsed_ms = u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX);
    Ok(total)
}

fn work(
    profile: &LoadProfile,
    caller: &LoadCaller,
    schedule: &LoadSchedule,
    slots: &AtomicU64,
    start: Instant,
) -> LoadTally {
    let mut tally = LoadTally::new(profile.customers.len());
    let warm_end = start + Duration::from_millis(profile.warmup_ms);
    let end = warm_end + Duration::from_millis(profile.duration_ms);
    loop {
        let index = slots.fetch_add(1, Ordering::Relaxed);
        if profile.request_limit.is_some_and(|limit| index >= limit) {
            return tally;
        }
        let slot = schedule.slot(index);
        let due = match slot.due_us {
            Some(due_us) => start + Duration::from_micros(due_us),
            None => Instant::now(),
        };
        if due >= end {
            return tally;
        }
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let late = due.elapsed();
        // A generator that is behind at the end stops instead of running over.
        if Instant::now() >= end {
            tally.skipped += 1;
            return tally;
        }
        let record = caller.call(&slot, due);
        if due >= warm_end {
            tally.record(&slot, &record, late);
        }
    }
}
