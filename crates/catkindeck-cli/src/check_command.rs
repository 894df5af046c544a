//! The subcommand `check-config`.

use {
    crate::{
        arguments::CheckArguments,
        burn::read_objectives,
        files::{read_declarations, read_error, replace_file},
        load::read_profile,
        output::CommandReport,
    },
    catkindeck::{
        ErrorKind, ServiceError,
        config::ConfigSnapshot,
        settings::{SettingsError, SettingsText},
        time::unix_ms,
    },
    catkindeck_agent::AgentSettings,
    catkindeck_control::intent::{DeclaredIntent, check_declarations, compare},
    catkindeck_entry::settings::EntrySettings,
    serde_json::json,
    std::{fs, io, path::Path},
};

/// Checks every named file and reports all errors.
pub fn run(arguments: &CheckArguments) -> Result<CommandReport, ServiceError> {
    let mut lines = Vec::new();
    let mut faults = Vec::new();
    let mut add_result = |outcome: Result<String, ServiceError>| match outcome {
        Ok(line) => lines.push(line),
        Err(error) => faults.push(error.detail),
    };
    for path in &arguments.entry {
        let checked = SettingsText::read(path).and_then(|text| EntrySettings::load(&text));
        add_result(settings_result(path, "entry settings", checked.map(drop)));
    }
    for path in &arguments.agent {
        let checked = AgentSettings::read(path);
        add_result(settings_result(path, "agent settings", checked.map(drop)));
    }
    for path in &arguments.objectives {
        add_result(read_objectives(path).map(|_| valid_line(path, "objectives file")));
    }
    for path in &arguments.load {
        add_result(read_profile(path).map(|_| valid_line(path, "load profile")));
    }
    if !arguments.paths.is_empty() {
        add_result(check_declaration_files(arguments));
    } else if arguments.snapshot.is_some() {
        let detail = "--snapshot requires declaration files";
        add_result(Err(ServiceError::not_run(ErrorKind::BadRequest, detail)));
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

fn check_declaration_files(arguments: &CheckArguments) -> Result<String, ServiceError> {
    let texts = read_declarations(&arguments.paths)?;
    let intent = check_declarations(&texts)?;
    if let Some(path) = &arguments.snapshot {
        write_snapshot(&intent, path)?;
    }
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

/// Writes the declarations to the file as the next revision of the configuration in it, unless they
/// change nothing.
///
/// An entry loads only higher revisions.
fn write_snapshot(intent: &DeclaredIntent, path: &Path) -> Result<(), ServiceError> {
    let current: ConfigSnapshot = match fs::read(path) {
        Ok(bytes) => serde_json::from_slice(&bytes).map_err(|error| {
            let detail = format!(
                "{} is not a configuration snapshot: {error}",
                path.display()
            );
            ServiceError::not_run(ErrorKind::Conflict, detail)
        })?,
        Err(error) if error.kind() == io::ErrorKind::NotFound => ConfigSnapshot::default(),
        Err(error) => return Err(read_error(path, &error)),
    };
    let next = intent.to_snapshot(&current, unix_ms());
    if compare(&current, &next).is_empty() {
        return Ok(());
    }
    let text = serde_json::to_string_pretty(&next).map_err(|error| {
        ServiceError::not_run(
            ErrorKind::Internal,
            format!("cannot encode the snapshot: {error}"),
        )
    })?;
    replace_file(path, &text)
}

fn settings_result(
    path: &Path,
    kind: &str,
    checked: Result<(), SettingsError>,
) -> Result<String, ServiceError> {
    checked
        .map(|()| valid_line(path, kind))
        .map_err(|fault| ServiceError::not_run(ErrorKind::BadRequest, fault.to_string()))
}

fn valid_line(path: &Path, kind: &str) -> String {
    format!("{}: valid {kind}", path.display())
}
