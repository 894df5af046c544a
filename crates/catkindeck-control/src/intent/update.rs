//! Configuration changes requested by operators: complete declarations, or a patch of one object.

use {
    super::declared::{DeclarationFile, DeclaredIntent},
    catkindeck::{
        ErrorKind, ServiceError,
        config::{ConfigRevision, ConfigSnapshot, ZoneState},
        id::ObjectName,
        message,
        settings::{SettingsText, nearest_word},
    },
};

/// A declaration file as sent to an entry.
#[message]
#[serde(deny_unknown_fields)]
pub struct DeclarationText {
    /// The file name, for error messages.
    pub file: String,
    pub text: String,
}

/// A change to one object of the current configuration.
#[message]
#[serde(tag = "action", rename_all = "snake_case", deny_unknown_fields)]
pub enum IntentPatch {
    /// Takes an availability zone out of service or puts it back into service.
    SetZone {
        zone: ObjectName,
        state: ZoneState,
    },
    RevokeKey {
        label: ObjectName,
    },
}

#[message]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum IntentUpdate {
    /// The content of all declaration files. Objects that they do not contain are removed.
    Declarations(Vec<DeclarationText>),
    Amendment(IntentPatch),
}

impl IntentUpdate {
    /// Returns the configuration that results from applying this update to `current`.
    ///
    /// # Errors
    ///
    /// Returns `bad_request` with the file, line, field and expected value for an invalid
    /// declaration, and `not_found` if a patch names an unknown object.
    pub fn target(
        &self,
        current: &ConfigSnapshot,
        now_ms: u64,
    ) -> Result<ConfigSnapshot, ServiceError> {
        match self {
            Self::Declarations(texts) => {
                Ok(check_declarations(texts)?.to_snapshot(current, now_ms))
            }
            Self::Amendment(patch) => apply_patch(patch, current),
        }
    }
}

/// Parses and validates a set of declaration files, which may refer to each other.
///
/// # Errors
///
/// Returns `bad_request` with the file, line, field and expected value of the first error.
pub fn check_declarations(texts: &[DeclarationText]) -> Result<DeclaredIntent, ServiceError> {
    let parse =
        |text: &DeclarationText| DeclarationFile::parse(SettingsText::new(&text.file, &text.text));
    let files: Result<Vec<DeclarationFile>, _> = texts.iter().map(parse).collect();
    files
        .and_then(|files| DeclaredIntent::try_from(files.as_slice()))
        .map_err(|fault| ServiceError::not_run(ErrorKind::BadRequest, fault.to_string()))
}

fn apply_patch(
    patch: &IntentPatch,
    current: &ConfigSnapshot,
) -> Result<ConfigSnapshot, ServiceError> {
    let mut next = current.clone();
    next.revision = ConfigRevision(current.revision.0 + 1);
    match patch {
        IntentPatch::SetZone { zone, state } => {
            match next.zones.iter_mut().find(|record| record.name == *zone) {
                Some(record) => record.state = *state,
                None => {
                    let known = current.zones.iter().map(|record| record.name.as_str());
                    return Err(not_found_error("zone", zone, known.collect()));
                }
            }
        }
        IntentPatch::RevokeKey { label } => {
            next.keys.retain(|key| key.label != *label);
            if next.keys.len() == current.keys.len() {
                let known = current.keys.iter().map(|key| key.label.as_str());
                return Err(not_found_error("key", label, known.collect()));
            }
        }
    }
    Ok(next)
}

fn not_found_error(kind: &str, name: &ObjectName, known: Vec<&str>) -> ServiceError {
    let hint = nearest_word(name.as_str(), &known).map_or_else(String::new, |nearest| {
        format!(", did you mean `{nearest}`?")
    });
    ServiceError::not_run(
        ErrorKind::NotFound,
        format!("there is no {kind} `{name}`{hint}"),
    )
}
