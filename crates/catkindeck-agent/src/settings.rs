//! Settings of an agent.

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

/// The settings file of an agent, as written.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawAgent {
    /// The part that every daemon has.
    pub process: RawProcess,
    /// The upstream beside this agent.
    pub upstream: RawUpstream,
    /// Where the configuration is learnt after a start.
    #[serde(default)]
    pub peers: RawPeers,
    /// The platform's host list, by which the agent learns that its upstream is leaving.
    #[serde(default)]
    pub hosts: Option<RawClient>,
    /// Time limits.
    #[serde(default)]
    pub timeouts: RawTimeouts,
    /// Bounds on memory and concurrency.
    #[serde(default)]
    pub limits: RawLimits,
}

/// The upstream as written.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawUpstream {
    /// The name, which is also the host's name.
    pub name: String,
    /// The service that the upstream runs; for an engine, also the model's name.
    pub service: String,
    /// `engine` or `plain`.
    pub kind: ServiceKind,
    /// The address, for example `http://127.0.0.1:9000`.
    pub base_url: String,
    /// Whether no agent ran for this upstream before.
    ///
    /// Only then can a missing execution record prove that a request never ran; see
    /// `docs/design.md`, decision 4.
    #[serde(default)]
    pub first_start: bool,
}

/// Other processes as written.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawPeers {
    /// Addresses of entries or agents that are asked for the configuration.
    pub addresses: Vec<String>,
}

/// The time limits as written, in milliseconds.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawTimeouts {
    /// The time to connect to the upstream.
    pub connect_ms: u64,
    /// The time that an order to the upstream may take.
    pub order_ms: u64,
    /// The time that a load report of the upstream may take.
    pub probe_ms: u64,
    /// The interval between load reports of the upstream.
    pub probe_interval_ms: u64,
    /// The interval of reading the host list.
    pub hosts_interval_ms: u64,
    /// The time that a call of another process may take.
    pub peer_ms: u64,
    /// The longest time that a request may run; no route may have a longer time-out.
    pub longest_request_ms: u64,
    /// How long a draining agent waits until its usage windows and samples were collected.
    pub drain_collect_ms: u64,
}

impl Default for RawTimeouts {
    fn default() -> Self {
        Self {
            connect_ms: 1000,
            order_ms: 60_000,
            probe_ms: 1000,
            probe_interval_ms: 500,
            // New work must stop a few seconds after the list says that the host is leaving.
            // The zone's worker tells a leaving agent within 2 s; reading the whole list as often would
            // take 319 KB/s from each agent at the target size.
            hosts_interval_ms: 30_000,
            peer_ms: 2000,
            longest_request_ms: 600_000,
            // A window of 60 s is collected soon after its end; this allows for one failed try.
            drain_collect_ms: 90_000,
        }
    }
}

/// The bounds as written.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawLimits {
    /// The number of calls of other processes that are handled at once.
    pub concurrent_calls: u32,
    /// The number of requests that wait for the upstream.
    pub queue: u32,
    /// The memory for finished samples that were not released, in bytes.
    pub sample_bytes: u64,
    /// Whether the concurrency limit follows the latency instead of staying at the warm limit.
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

/// The checked settings of an agent.
#[derive(Debug, Clone)]
pub struct AgentSettings {
    /// The part that every daemon has.
    pub process: ProcessSettings,
    /// The upstream.
    pub upstream: UpstreamSettings,
    /// Processes that are asked for the configuration.
    pub peers: Vec<SocketAddr>,
    /// The platform's host list.
    pub hosts: Option<ClientSettings>,
    /// Time limits.
    pub timeouts: AgentTimeouts,
    /// Bounds.
    pub limits: RawLimits,
}

/// The checked settings of the upstream.
#[derive(Debug, Clone)]
pub struct UpstreamSettings {
    /// The name.
    pub name: ObjectName,
    /// The service.
    pub service: ObjectName,
    /// The kind.
    pub kind: ServiceKind,
    /// The address without a final slash.
    pub base_url: String,
    /// Whether no agent ran for this upstream before.
    pub first_start: bool,
}

/// The checked time limits.
#[derive(Debug, Clone, Copy)]
pub struct AgentTimeouts {
    /// The time to connect to the upstream.
    pub connect: Duration,
    /// The time that an order to the upstream may take.
    pub order: Duration,
    /// The time that a load report of the upstream may take.
    pub probe: Duration,
    /// The interval between load reports of the upstream.
    pub probe_interval: Duration,
    /// The interval of reading the host list.
    pub hosts_interval: Duration,
    /// The time that a call of another process may take.
    pub peer: Duration,
    /// The longest time that a request may run.
    pub longest_request: Duration,
    /// How long a draining agent waits for collectors.
    pub drain_collect: Duration,
}

impl AgentSettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns the first fault with file, line, field and expectation.
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
            let expected = format!("expected the host's name `{}`", process.host);
            return Err(text.fault("upstream.name", expected));
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
        text.fault(
            field,
            format!("expected an address as http://127.0.0.1:9000 without a path, got `{got}`"),
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
    let check = |field: &str, value: u64, least: u64, most: u64| {
        if (least..=most).contains(&value) {
            return Ok(Duration::from_millis(value));
        }
        let expected = format!("expected {least} to {most} milliseconds, got {value}");
        Err(text.fault(&format!("timeouts.{field}"), expected))
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
    for (field, value, least, most) in [
        (
            "concurrent_calls",
            u64::from(raw.concurrent_calls),
            16,
            10_000,
        ),
        ("queue", u64::from(raw.queue), 1, 100_000),
        ("sample_bytes", raw.sample_bytes, 1 << 20, 4 << 30),
    ] {
        if !(least..=most).contains(&value) {
            let expected = format!("expected {least} to {most}, got {value}");
            return Err(text.fault(&format!("limits.{field}"), expected));
        }
    }
    Ok(())
}
