//! The subcommand `check-config`.

use {
    crate::{
        arguments::CheckArguments, burn::read_objectives, files::read_declarations,
        intent_command::check_declarations, load::read_profile, output::CommandReport,
    },
    catkindeck::{
        ErrorKind, ServiceError,
        settings::{SettingsError, SettingsText},
    },
    catkindeck_agent::AgentSettings,
    catkindeck_entry::settings::EntrySettings,
    serde_json::json,
    std::path::Path,
};

/// Checks every named file and reports all that are faulty.
pub fn run(arguments: &CheckArguments) -> Result<CommandReport, ServiceError> {
    let mut lines = Vec::new();
    let mut faults = Vec::new();
    let mut take = |outcome: Result<String, ServiceError>| match outcome {
        Ok(line) => lines.push(line),
        Err(error) => faults.push(error.detail),
    };
    for path in &arguments.entry {
        let checked = SettingsText::read(path).and_then(|text| EntrySettings::load(&text));
        take(settings(path, "entry settings", checked.map(drop)));
    }
    for path in &arguments.agent {
        let checked = AgentSettings::read(path);
        take(settings(path, "agent settings", checked.map(drop)));
    }
    for path in &arguments.objectives {
        take(read_objectives(path).map(|_| accepted(path, "objectives file")));
    }
    for path in &arguments.load {
        take(read_profile(path).map(|_| accepted(path, "load profile")));
    }
    if !arguments.paths.is_empty() {
        take(declarations(arguments));
    }
    let checked = lines.len() + faults.len();
    if checked == 0 {
        let detail = "expected files to check; see `catkindeck check-config --help`";
        return Err(ServiceError::not_run(ErrorKind::BadRequest, detail));
    }
    let content = json!({"accepted": lines, "faults": faults});
    let failure = (!faults.is_empty()).then_some(ErrorKind::BadRequest);
    lines.extend(faults);
    Ok(CommandReport {
        text: lines.join("\n"),
        content,
        failure,
    })
}

fn declarations(arguments: &CheckArguments) -> Result<String, ServiceError> {
    let texts = read_declarations(&arguments.paths)?;
    let intent = check_declarations(&texts)?;
    Ok(format!(
        "{} declaration files are valid: {} customers, {} keys, {} services, {} routes, {} zones, \
         {} upstreams, {} runs",
        texts.len(),
        intent.customers.len(),
        intent.keys.len(),
        intent.services.len(),
        intent.routes.len(),
        intent.zones.len(),
        intent.upstreams.len(),
        intent.runs.len()
    ))
}

fn settings(
    path: &Path,
    kind: &str,
    checked: Result<(), SettingsError>,
) -> Result<String, ServiceError> {
    checked
        .map(|()| accepted(path, kind))
        .map_err(|fault| ServiceError::not_run(ErrorKind::BadRequest, fault.to_string()))
}

fn accepted(path: &Path, kind: &str) -> String {
    format!("{}: valid {kind}", path.display())
}
