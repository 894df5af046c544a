//! The burn report: how fast services use up what their objectives allow to fail.
//!
//! A burn rate of 1 uses up an objective's allowance exactly by the end of its period; an objective
//! burns when both a short and a long window exceed the window pair's limit. The long window keeps
//! short disturbances from raising an alarm, the short one ends the alarm soon after the cause.

mod gather;
mod objective;
mod page;
mod rate;
mod report;
mod sample;
mod selector;

pub use {
    gather::count_scrape,
    objective::{
        BurnObjectives, BurnWindow, Indicator, RawObjectives, ServiceObjective, read_objectives,
    },
    page::render_page,
    rate::{BurnState, ObjectiveBurn, WindowBurn, burn_rates, burn_series},
    report::{BurnReport, describe_burn},
    sample::{BurnSample, CountPair, SampleFile},
    selector::{CounterSelector, LabelTest},
};

use {
    crate::{arguments::BurnArguments, files::replace_file, output::CommandReport},
    catkindeck::{ErrorKind, ServiceError, time::unix_ms},
};

/// Runs the subcommand.
pub fn run(arguments: &BurnArguments) -> Result<CommandReport, ServiceError> {
    let objectives = read_objectives(&arguments.objectives)?;
    let now_ms = unix_ms();
    let mut file = SampleFile::open(&arguments.samples)?;
    let mut unreachable = Vec::new();
    if !arguments.offline {
        let (samples, failures) = gather::read_sources(&objectives, now_ms);
        unreachable = failures;
        file.append(samples, now_ms, objectives.retention_ms())?;
    }
    let report = BurnReport::new(
        &objectives,
        file.samples(),
        now_ms,
        unreachable,
        file.skipped(),
    );
    if let Some(path) = &arguments.page {
        replace_file(path, &render_page(&objectives, &report, file.samples())?)?;
    }
    let mut command = CommandReport::success(describe_burn(&report), &report)?;
    command.failure = if report.is_burning() {
        Some(ErrorKind::Overloaded)
    } else if !objectives.sources.is_empty() && report.unreachable.len() == objectives.sources.len()
    {
        Some(ErrorKind::PeerUnavailable)
    } else {
        None
    };
    Ok(command)
}
