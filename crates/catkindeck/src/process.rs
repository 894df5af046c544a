//! Settings common to all daemons.

use {
    crate::{
        id::ObjectName,
        log::{LogFormat, parse_level},
        settings::{SettingsError, SettingsText},
    },
    serde::Deserialize,
    slog::Level,
    std::{net::SocketAddr, path::PathBuf},
};

/// The common section of a daemon's settings file, before validation.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawProcess {
    pub host: String,
    pub zone: String,
    /// The UDP address for other processes of the system.
    pub peer_listen: String,
    /// The TCP address for health, readiness and metrics.
    pub health_listen: String,
    #[serde(default)]
    pub log: RawLog,
    pub tls: RawTls,
}

/// The log settings before validation.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawLog {
    /// `json` or `terminal`.
    pub format: String,
    /// `error`, `warning`, `info` or `debug`.
    pub level: String,
}

impl Default for RawLog {
    fn default() -> Self {
        Self {
            format: "json".to_owned(),
            level: "info".to_owned(),
        }
    }
}

/// The paths of the certificate files, in PEM format.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawTls {
    /// The certificate of the authority that signed the certificates of all processes.
    pub authority: PathBuf,
    pub certificate: PathBuf,
    pub key: PathBuf,
}

/// The validated settings common to all daemons.
#[derive(Debug, Clone)]
pub struct ProcessSettings {
    pub host: ObjectName,
    pub zone: ObjectName,
    /// The UDP address for other processes of the system.
    pub peer_listen: SocketAddr,
    /// The TCP address for health, readiness and metrics.
    pub health_listen: SocketAddr,
    pub log_format: LogFormat,
    /// The minimum level that is logged.
    pub log_level: Level,
    pub tls: RawTls,
}

impl TryFrom<(&SettingsText, RawProcess)> for ProcessSettings {
    type Error = SettingsError;

    fn try_from((text, raw): (&SettingsText, RawProcess)) -> Result<Self, SettingsError> {
        let log_format = match raw.log.format.as_str() {
            "json" => LogFormat::Json,
            "terminal" => LogFormat::Terminal,
            other => {
                let expected = format!("expected `json` or `terminal`, got `{other}`");
                return Err(text.field_error("log.format", expected));
            }
        };
        let log_level = parse_level(&raw.log.level)
            .map_err(|expected| text.field_error("log.level", expected))?;
        Ok(Self {
            host: parse_name(text, "host", &raw.host)?,
            zone: parse_name(text, "zone", &raw.zone)?,
            peer_listen: parse_address(text, "peer_listen", &raw.peer_listen)?,
            health_listen: parse_address(text, "health_listen", &raw.health_listen)?,
            log_format,
            log_level,
            tls: raw.tls,
        })
    }
}

/// Validates a name in a settings file.
///
/// # Errors
///
/// Returns an error that names the field and the allowed characters.
pub fn parse_name(
    text: &SettingsText,
    field: &str,
    value: &str,
) -> Result<ObjectName, SettingsError> {
    ObjectName::try_from(value).map_err(|error| text.field_error(field, error.detail))
}

/// Validates an address in a settings file.
///
/// # Errors
///
/// Returns an error that names the field and the expected format.
pub fn parse_address(
    text: &SettingsText,
    field: &str,
    value: &str,
) -> Result<SocketAddr, SettingsError> {
    value.parse().map_err(|_| {
        text.field_error(
            field,
            format!("expected an IP address and port such as 127.0.0.1:7000, got `{value}`"),
        )
    })
}
