//! The settings of an entry.

use {
    crate::{api::ApiLimits, forward::ForwardLimits, http::ServerLimits},
    catkindeck::{
        id::{KeyDigest, ObjectName},
        message::MESSAGE_LIMIT,
        process::{ProcessSettings, RawProcess, parse_address, parse_name},
        settings::{SettingsError, SettingsText},
    },
    catkindeck_store::{ClientSettings, RawClient},
    serde::Deserialize,
    std::{net::SocketAddr, path::PathBuf, time::Duration},
};

/// The space reserved in a message for everything but the caller's body, in bytes.
const MESSAGE_OVERHEAD: usize = 256 << 10;

/// The settings file as parsed.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawEntry {
    /// The address for callers and trainers, TCP.
    pub caller_listen: String,
    /// The address for operators, TCP; if absent, operators must use another entry.
    pub admin_listen: Option<String>,
    /// The blake3 digests of the operators' keys, in hexadecimal.
    #[serde(default)]
    pub operator_digests: Vec<String>,
    /// A configuration file in TOML or JSON, for a deployment without the platform.
    pub config_file: Option<PathBuf>,
    /// The platform's interfaces, instead of `config_file`.
    pub platform: Option<RawPlatform>,
    /// The settings common to all daemons.
    pub process: RawProcess,
    /// Other entries that are known without the host list.
    #[serde(default)]
    pub peers: Vec<RawPeer>,
    #[serde(default)]
    pub limits: RawLimits,
    #[serde(default)]
    pub timeouts: RawTimeouts,
}

/// The platform's interfaces as parsed.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawPlatform {
    /// The key-value service.
    pub store: RawClient,
    /// The list of hosts.
    pub hosts: RawClient,
    /// The interface for ordering upstreams.
    pub zones: Option<RawClient>,
    /// The interface for usage reports.
    pub usage: Option<RawClient>,
    /// The store of model weights.
    pub weights: Option<RawClient>,
}

/// Another entry as parsed.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawPeer {
    /// The host's name.
    pub peer_host: String,
    /// The address for other processes, UDP.
    pub peer_address: String,
}

/// Sizes and counts as parsed.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawLimits {
    /// The maximum number of callers' connections.
    pub connections: usize,
    /// The maximum number of requests in flight.
    pub requests: usize,
    /// The maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// The maximum size of the request line and headers, in bytes.
    pub header_bytes: usize,
    /// The maximum `max_tokens` of one completion.
    pub max_tokens: u32,
    /// The maximum number of samples in a training step.
    pub step_samples: u32,
    /// The maximum number of attempts of one request.
    pub attempts: u8,
    /// Retries per 100 first attempts on open routes.
    pub open_retry_percent: u32,
}

impl Default for RawLimits {
    fn default() -> Self {
        let (api, forward) = (ApiLimits::default(), ForwardLimits::default());
        Self {
            connections: 4096,
            requests: 2048,
            body_bytes: 2 << 20,
            header_bytes: 64 << 10,
            max_tokens: api.max_tokens,
            step_samples: api.step_samples,
            attempts: forward.attempts,
            open_retry_percent: forward.open_retry_percent,
        }
    }
}

/// Durations as parsed, in milliseconds.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawTimeouts {
    /// The timeout for the headers of a request, and for idle connections.
    pub header_ms: u64,
    /// The timeout for the body of a request.
    pub body_ms: u64,
    /// The timeout for sending a request to an agent.
    pub call_ms: u64,
    /// The timeout for resolving an unknown outcome.
    pub resolve_ms: u64,
    /// How long the entry keeps serving after it reports itself unready at shutdown; must exceed
    /// the time that the load balancer needs to notice.
    pub shutdown_notice_ms: u64,
}

impl Default for RawTimeouts {
    fn default() -> Self {
        Self {
            header_ms: 10_000,
            body_ms: 30_000,
            call_ms: 2_000,
            resolve_ms: 1_000,
            // Load balancers commonly poll readiness every few seconds.
            shutdown_notice_ms: 10_000,
        }
    }
}

/// The validated settings of the platform's interfaces.
#[derive(Debug, Clone)]
pub struct PlatformSettings {
    pub store: ClientSettings,
    pub hosts: ClientSettings,
    /// The interface for ordering upstreams.
    pub zones: Option<ClientSettings>,
    /// The interface for usage reports.
    pub usage: Option<ClientSettings>,
    pub weights: Option<ClientSettings>,
}

/// The source of the configuration.
#[derive(Debug, Clone)]
pub enum ConfigOrigin {
    /// The platform's key-value service.
    Platform(Box<PlatformSettings>),
    /// A file on this host.
    File(PathBuf),
}

/// The validated settings.
#[derive(Debug, Clone)]
pub struct EntrySettings {
    pub process: ProcessSettings,
    /// The address for callers and trainers, TCP.
    pub caller_listen: SocketAddr,
    /// The address for operators, TCP.
    pub admin_listen: Option<SocketAddr>,
    /// The digests of the operators' keys.
    pub operator_digests: Vec<KeyDigest>,
    pub origin: ConfigOrigin,
    /// Other entries that are known without the host list.
    pub peers: Vec<(ObjectName, SocketAddr)>,
    pub server: ServerLimits,
    pub api: ApiLimits,
    pub forward: ForwardLimits,
    /// How long the entry keeps serving after it reports itself unready at shutdown.
    pub shutdown_notice: Duration,
}

impl EntrySettings {
    /// Parses and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns the first error with its file, line and field.
    pub fn load(text: &SettingsText) -> Result<Self, SettingsError> {
        let raw: RawEntry = text.parse()?;
        Self::try_from((text, raw))
    }
}

impl TryFrom<(&SettingsText, RawEntry)> for EntrySettings {
    type Error = SettingsError;

    fn try_from((text, raw): (&SettingsText, RawEntry)) -> Result<Self, SettingsError> {
        let origin = parse_origin(text, &raw)?;
        let admin_listen = raw.admin_listen.as_deref();
        let admin_listen = admin_listen
            .map(|address| parse_address(text, "admin_listen", address))
            .transpose()?;
        if admin_listen.is_some() && raw.operator_digests.is_empty() {
            let expected = "expected at least one digest, because `admin_listen` is set";
            return Err(text.field_error("operator_digests", expected));
        }
        if admin_listen.is_some() && raw.platform.is_none() {
            let expected = "expected the table `[platform]` in the settings, because configuration \
                            changes are stored there";
            return Err(text.field_error("admin_listen", expected));
        }
        let digests = raw.operator_digests.iter();
        let operator_digests = digests.map(|digest| parse_digest(text, digest));
        let peers = raw.peers.iter().map(|peer| {
            Ok((
                parse_name(text, "peer_host", &peer.peer_host)?,
                parse_address(text, "peer_address", &peer.peer_address)?,
            ))
        });
        check_limits(text, &raw.limits)?;
        check_timeouts(text, &raw.timeouts)?;
        let (limits, timeouts) = (&raw.limits, &raw.timeouts);
        Ok(Self {
            caller_listen: parse_address(text, "caller_listen", &raw.caller_listen)?,
            admin_listen,
            operator_digests: operator_digests.collect::<Result<_, _>>()?,
            origin,
            peers: peers.collect::<Result<_, SettingsError>>()?,
            server: ServerLimits {
                connections: limits.connections,
                requests: limits.requests,
                body_bytes: limits.body_bytes,
                header_bytes: limits.header_bytes,
                header_timeout: Duration::from_millis(timeouts.header_ms),
                body_timeout: Duration::from_millis(timeouts.body_ms),
            },
            api: ApiLimits {
                max_tokens: limits.max_tokens,
                step_samples: limits.step_samples,
            },
            forward: ForwardLimits {
                attempts: limits.attempts,
                call_timeout: Duration::from_millis(timeouts.call_ms),
                resolve_timeout: Duration::from_millis(timeouts.resolve_ms),
                open_retry_percent: limits.open_retry_percent,
            },
            shutdown_notice: Duration::from_millis(timeouts.shutdown_notice_ms),
            process: ProcessSettings::try_from((text, raw.process))?,
        })
    }
}

fn parse_origin(text: &SettingsText, raw: &RawEntry) -> Result<ConfigOrigin, SettingsError> {
    match (&raw.platform, &raw.config_file) {
        (Some(platform), None) => {
            let platform = PlatformSettings::try_from((text, platform.clone()))?;
            Ok(ConfigOrigin::Platform(Box::new(platform)))
        }
        (None, Some(file)) => Ok(ConfigOrigin::File(file.clone())),
        (Some(_), Some(_)) => {
            let expected = "expected either `config_file` or the table `[platform]`, not both";
            Err(text.field_error("config_file", expected))
        }
        (None, None) => {
            let expected = "expected either the table `[platform]` or the field `config_file`";
            Err(text.field_error("config_file", expected))
        }
    }
}

impl TryFrom<(&SettingsText, RawPlatform)> for PlatformSettings {
    type Error = SettingsError;

    fn try_from((text, raw): (&SettingsText, RawPlatform)) -> Result<Self, SettingsError> {
        let client = |name: &str, raw| {
            let section = format!("platform.{name}");
            ClientSettings::try_from((text, section.as_str(), raw))
        };
        let optional =
            |name: &str, raw: Option<RawClient>| raw.map(|raw| client(name, raw)).transpose();
        Ok(Self {
            store: client("store", raw.store)?,
            hosts: client("hosts", raw.hosts)?,
            zones: optional("zones", raw.zones)?,
            usage: optional("usage", raw.usage)?,
            weights: optional("weights", raw.weights)?,
        })
    }
}

fn parse_digest(text: &SettingsText, digest: &str) -> Result<KeyDigest, SettingsError> {
    let hash = blake3::Hash::from_hex(digest).map_err(|_| {
        let expected = "expected blake3 digests of 64 hexadecimal digits";
        text.field_error("operator_digests", expected)
    })?;
    Ok(KeyDigest(*hash.as_bytes()))
}

fn check_limits(text: &SettingsText, limits: &RawLimits) -> Result<(), SettingsError> {
    let body_limit = MESSAGE_LIMIT - MESSAGE_OVERHEAD;
    for (field, value, min, max) in [
        ("connections", limits.connections, 1, 1 << 20),
        ("requests", limits.requests, 1, 32_768),
        ("body_bytes", limits.body_bytes, 1024, body_limit),
        ("header_bytes", limits.header_bytes, 8192, 1 << 20),
        ("max_tokens", limits.max_tokens as usize, 1, 1 << 24),
        ("step_samples", limits.step_samples as usize, 1, 1 << 20),
        ("attempts", usize::from(limits.attempts), 1, 10),
        (
            "open_retry_percent",
            limits.open_retry_percent as usize,
            0,
            100,
        ),
    ] {
        check_range(
            text,
            &format!("limits.{field}"),
            value as u64,
            min,
            max as u64,
        )?;
    }
    Ok(())
}

fn check_timeouts(text: &SettingsText, timeouts: &RawTimeouts) -> Result<(), SettingsError> {
    for (field, value, max) in [
        ("header_ms", timeouts.header_ms, 600_000),
        ("body_ms", timeouts.body_ms, 600_000),
        ("call_ms", timeouts.call_ms, 60_000),
        ("resolve_ms", timeouts.resolve_ms, 60_000),
    ] {
        check_range(text, &format!("timeouts.{field}"), value, 10, max)?;
    }
    let notice = timeouts.shutdown_notice_ms;
    check_range(text, "timeouts.shutdown_notice_ms", notice, 0, 600_000)
}

fn check_range(
    text: &SettingsText,
    field: &str,
    value: u64,
    min: u64,
    max: u64,
) -> Result<(), SettingsError> {
    if (min..=max).contains(&value) {
        return Ok(());
    }
    Err(text.field_error(field, format!("expected {min} to {max}, got {value}")))
}
