//! The settings of an agent.

use {
    catkindeck::{
        config::ServiceKind,
        id::ObjectName,
        process::{ProcessSettings, RawProcess, parse_address, parse_name},
        settings::{SettingsError, SettingsText},
    },
    catkindeck_store::{ClientSettings, RawClient},
    http::Uri,
    serde::Deserialize,
    std::{net::SocketAddr, path::Path, time::Duration},
};

/// The settings file of an agent, before validation.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawAgent {
    /// The settings that all daemons share.
    pub process: RawProcess,
    /// The upstream of this agent.
    pub upstream: RawUpstream,
    /// The peers from which the agent fetches its first configuration.
    #[serde(default)]
    pub peers: RawPeers,
    /// The platform's host list, from which the agent learns that its host is draining.
    #[serde(default)]
    pub hosts: Option<RawClient>,
    #[serde(default)]
    pub timeouts: RawTimeouts,
    /// Memory and concurrency limits.
    #[serde(default)]
    pub limits: RawLimits,
}

/// The upstream settings, before validation.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawUpstream {
    /// The name of the upstream, which must be the host name.
    pub name: String,
    /// The service that the upstream runs; for an engine, this is also the model name.
    pub service: String,
    pub kind: ServiceKind,
    /// The base URL, for example `http://127.0.0.1:9000`.
    pub base_url: String,
    /// Whether this upstream never had an agent before.
    ///
    /// Only in this case does a missing execution record prove that a request never ran
    /// (`docs/design.md`, decision 4).
    #[serde(default)]
    pub first_start: bool,
}

/// The peer settings, before validation.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawPeers {
    /// The addresses of entries or agents that are queried for the configuration.
    pub addresses: Vec<String>,
}

/// The time limits in milliseconds, before validation.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawTimeouts {
    /// The timeout for connecting to the upstream.
    pub connect_ms: u64,
    /// The timeout for an order to the upstream.
    pub order_ms: u64,
    /// The timeout for a probe of the upstream.
    pub probe_ms: u64,
    /// The interval between probes of the upstream.
    pub probe_interval_ms: u64,
    /// The interval between reads of the host list.
    pub hosts_interval_ms: u64,
    /// The timeout for a call to another process.
    pub peer_ms: u64,
    /// The maximum run time of a request; no route may have a longer timeout.
    pub longest_request_ms: u64,
    /// How long a draining agent waits until its usage windows and samples are collected.
    pub drain_collect_ms: u64,
}

impl Default for RawTimeouts {
    fn default() -> Self {
        Self {
            connect_ms: 1000,
            order_ms: 60_000,
            probe_ms: 1000,
            probe_interval_ms: 500,
            // A draining host must get no new requests a few seconds after the list marks it as
            // `leaving`. The zone worker notifies its agent within 2 s, so agents need not read the
            // list that often: at the target size this would cost 319 KB/s per agent.
            hosts_interval_ms: 30_000,
            peer_ms: 2000,
            longest_request_ms: 600_000,
            // A window lasts 60 s and is collected soon after its end. The rest allows for one
            // failed attempt.
            drain_collect_ms: 90_000,
        }
    }
}

/// The limits, before validation.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawLimits {
    /// The maximum number of concurrent calls from other processes.
    pub concurrent_calls: u32,
    /// The maximum number of requests that wait for the upstream.
    pub queue: u32,
    /// The maximum memory for finished samples that are not released, in bytes.
    pub sample_bytes: u64,
    /// Whether the concurrency limit adapts to the latency. Otherwise it stays at the warm limit.
    pub adaptive: bool,
}

impl Default for RawLimits {
    fn default() -> Self {
        Self {
            concurrent_calls: 1000,
            queue: 1000,
            sample_bytes: 32 << 20,
            adaptive: true,
        }
    }
}

/// The validated settings of an agent.
#[derive(Debug, Clone)]
pub struct AgentSettings {
    /// The settings that all daemons share.
    pub process: ProcessSettings,
    pub upstream: UpstreamSettings,
    /// The processes that are queried for the configuration.
    pub peers: Vec<SocketAddr>,
    pub hosts: Option<ClientSettings>,
    pub timeouts: AgentTimeouts,
    pub limits: RawLimits,
}

/// The validated upstream settings.
#[derive(Debug, Clone)]
pub struct UpstreamSettings {
    pub name: ObjectName,
    pub service: ObjectName,
    pub kind: ServiceKind,
    /// The base URL without a trailing slash.
    pub base_url: String,
    /// Whether this upstream never had an agent before.
    pub first_start: bool,
}

/// The validated time limits.
#[derive(Debug, Clone, Copy)]
pub struct AgentTimeouts {
    /// The timeout for connecting to the upstream.
    pub connect: Duration,
    /// The timeout for an order to the upstream.
    pub order: Duration,
    /// The timeout for a probe of the upstream.
    pub probe: Duration,
    /// The interval between probes of the upstream.
    pub probe_interval: Duration,
    /// The interval between reads of the host list.
    pub hosts_interval: Duration,
    /// The timeout for a call to another process.
    pub peer: Duration,
    /// The maximum run time of a request.
    pub longest_request: Duration,
    /// How long a draining agent waits until its usage windows and samples are collected.
    pub drain_collect: Duration,
}

impl AgentSettings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns the first error, with its file, line, field and the expected value.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text = SettingsText::read(path)?;
        let raw = text.parse()?;
        Self::try_from((&text, raw))
    }
}

impl TryFrom<(&SettingsText, RawAgent)> for AgentSettings {
    type Error = SettingsError;

    fn try_from((text, raw): (&SettingsText, RawAgent)) -> Result<Self, SettingsError> {
        let process = ProcessSettings::try_from((text, raw.process))?;
        let upstream = check_upstream(text, raw.upstream)?;
        if upstream.name != process.host {
            let expected = format!(
                "expected the host name `{}`, got `{}`",
                process.host, upstream.name
            );
            return Err(text.field_error("upstream.name", expected));
        }
        let peers = raw.peers.addresses.iter();
        let peers: Result<Vec<_>, _> = peers
            .map(|address| parse_address(text, "peers.addresses", address))
            .collect();
        check_limits(text, &raw.limits)?;
        let hosts = raw.hosts.map(|hosts| (text, "hosts", hosts));
        let hosts = hosts.map(ClientSettings::try_from).transpose()?;
        Ok(Self {
            process,
            upstream,
            peers: peers?,
            hosts,
            timeouts: check_timeouts(text, &raw.timeouts)?,
            limits: raw.limits,
        })
    }
}

fn check_upstream(
    text: &SettingsText,
    raw: RawUpstream,
) -> Result<UpstreamSettings, SettingsError> {
    let field = "upstream.base_url";
    let expected = || {
        let got = &raw.base_url;
        text.field_error(
            field,
            format!("expected a URL like http://127.0.0.1:9000 without a path, got `{got}`"),
        )
    };
    let uri: Uri = raw.base_url.parse().map_err(|_| expected())?;
    let has_path = uri
        .path_and_query()
        .is_some_and(|path| path.as_str() != "/");
    if uri.scheme_str() != Some("http") || uri.authority().is_none() || has_path {
        return Err(expected());
    }
    Ok(UpstreamSettings {
        name: parse_name(text, "upstream.name", &raw.name)?,
        service: parse_name(text, "upstream.service", &raw.service)?,
        kind: raw.kind,
        base_url: raw.base_url.trim_end_matches('/').to_owned(),
        first_start: raw.first_start,
    })
}

fn check_timeouts(text: &SettingsText, raw: &RawTimeouts) -> Result<AgentTimeouts, SettingsError> {
    let check = |field: &str, value: u64, min: u64, max: u64| {
        if (min..=max).contains(&value) {
            return Ok(Duration::from_millis(value));
        }
        let expected = format!("expected {min} to {max} milliseconds, got {value}");
        Err(text.field_error(&format!("timeouts.{field}"), expected))
    };
    Ok(AgentTimeouts {
        connect: check("connect_ms", raw.connect_ms, 10, 60_000)?,
        order: check("order_ms", raw.order_ms, 100, 600_000)?,
        probe: check("probe_ms", raw.probe_ms, 10, 60_000)?,
        probe_interval: check("probe_interval_ms", raw.probe_interval_ms, 10, 60_000)?,
        hosts_interval: check("hosts_interval_ms", raw.hosts_interval_ms, 10, 60_000)?,
        peer: check("peer_ms", raw.peer_ms, 10, 60_000)?,
        longest_request: check(
            "longest_request_ms",
            raw.longest_request_ms,
            1000,
            3_600_000,
        )?,
        drain_collect: check("drain_collect_ms", raw.drain_collect_ms, 0, 600_000)?,
    })
}

fn check_limits(text: &SettingsText, raw: &RawLimits) -> Result<(), SettingsError> {
    for (field, value, min, max) in [
        (
            "concurrent_calls",
            u64::from(raw.concurrent_calls),
            16,
            10_000,
        ),
        ("queue", u64::from(raw.queue), 1, 100_000),
        ("sample_bytes", raw.sample_bytes, 1 << 20, 4 << 30),
    ] {
        if !(min..=max).contains(&value) {
            let expected = format!("expected {min} to {max}, got {value}");
            return Err(text.field_error(&format!("limits.{field}"), expected));
        }
    }
    Ok(())
}
