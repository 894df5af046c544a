//! Settings that every daemon has.

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

/// The part of a settings file that entries and agents share, as written.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawProcess {
    /// The host's name.
    pub host: String,
    /// The availability zone's name.
    pub zone: String,
    /// The address for other processes of the system, UDP.
    pub peer_listen: String,
    /// The address for health, readiness and metrics, TCP.
    pub health_listen: String,
    /// The log settings.
    #[serde(default)]
    pub log: RawLog,
    /// The certificate files.
    pub tls: RawTls,
}

/// The log settings as written.
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

/// The certificate files as written, in PEM form.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawTls {
    /// The authority that signed all processes' certificates.
    pub authority: PathBuf,
    /// This process's certificate.
    pub certificate: PathBuf,
    /// This process's private key.
    pub key: PathBuf,
}

/// The checked settings that every daemon has.
#[derive(Debug, Clone)]
pub struct ProcessSettings {
    /// The host's name.
    pub host: ObjectName,
    /// The availability zone's name.
    pub zone: ObjectName,
    /// The address for other processes of the system, UDP.
    pub peer_listen: SocketAddr,
    /// The address for health, readiness and metrics, TCP.
    pub health_listen: SocketAddr,
    /// The form of log lines.
    pub log_format: LogFormat,
    /// The least level that is logged.
    pub log_level: Level,
    /// The certificate files.
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
                return Err(text.fault("log.format", expected));
            }
        };
        let log_level =
            parse_level(&raw.log.level).map_err(|expected| text.fault("log.level", expected))?;
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

/// Checks a name in a settings file.
///
/// # Errors
///
/// Returns an error that names the field and the allowed characters.
pub fn parse_name(
    text: &SettingsText,
    field: &str,
    value: &str,
) -> Result<ObjectName, SettingsError> {
    ObjectName::try_from(value).map_err(|error| text.fault(field, error.detail))
}

/// Checks an address in a settings file.
///
/// # Errors
///
/// Returns an error that names the field and the expected form.
pub fn parse_address(
    text: &SettingsText,
    field: &str,
    value: &str,
) -> Result<SocketAddr, SettingsError> {
    value.parse().map_err(|_| {
        text.fault(
            field,
            format!("expected an IP address with port, as 127.0.0.1:7000, got `{value}`"),
        )
    })
}
