//! The burn report: how fast services consume their error budgets.
//!
//! A burn rate of 1 consumes an objective's error budget exactly by the end of its period. An
//! objective is burning when both the short and the long window of a pair exceed the pair's limit.
//! The long window prevents alarms on short disturbances; the short window ends the alarm soon after
//! the cause is gone.

mod objective;
mod page;
mod rate;
mod report;
mod sample;
mod scrape;
mod selector;

pub use {
    objective::{
        BurnObjectives, BurnWindow, Indicator, RawObjectives, ServiceObjective, read_objectives,
    },
    page::render_page,
    rate::{BurnState, ObjectiveBurn, WindowBurn, burn_rates, burn_series},
    report::{BurnReport, describe_burn},
    sample::{BurnSample, EventCounts, SampleFile},
    scrape::count_page_events,
    selector::{CounterSelector, LabelMatcher},
};

use {
    crate::{arguments::BurnArguments, files::replace_file, output::CommandReport},
    catkindeck::{ErrorKind, ServiceError, time::unix_ms},
};

/// Runs the subcommand `burn`.
pub fn run(arguments: &BurnArguments) -> Result<CommandReport, ServiceError> {
    let objectives = read_objectives(&arguments.objectives)?;
    let now_ms = unix_ms();
    let mut file = SampleFile::open(&arguments.samples)?;
    let mut unreachable = Vec::new();
    if !arguments.offline {
        let (samples, failures) = scrape::scrape_sources(&objectives, now_ms);
        unreachable = failures;
        file.append(samples, now_ms, objectives.retention_ms())?;
    }
    let report = BurnReport::new(
        &objectives,
        file.samples(),
        now_ms,
        unreachable,
        file.skipped_lines(),
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
