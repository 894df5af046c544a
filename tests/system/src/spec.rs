//! Specifications of test deployments.

use catkindeck::{
    config::{
        ConfigRevision, ConfigSnapshot, CustomerRecord, KeyRecord, RouteRecord, RunRecord,
        ServiceKind, ServiceRecord, UpstreamRecord, ZoneRecord, ZoneState,
    },
    id::{KeyDigest, ObjectName},
};

/// The API key of the customer `desk`.
pub const DESK_KEY: &str = "test-key-of-the-desk";

/// The API key of the customer `lab`, which owns the training run.
pub const LAB_KEY: &str = "test-key-of-the-lab";

/// The operators' key.
pub const OPERATOR_KEY: &str = "test-key-of-the-operator";

/// An upstream with its agent.
#[derive(Debug, Clone)]
pub struct UpstreamSpec {
    pub name: String,
    pub zone: String,
    /// The kind, which determines the service: `drafting` for engines, else `retrieval-desk`.
    pub kind: ServiceKind,
}

/// The processes of a test deployment.
#[derive(Debug, Clone)]
pub struct DeploymentSpec {
    /// The name and the zone of each entry.
    pub entries: Vec<(String, String)>,
    pub upstreams: Vec<UpstreamSpec>,
    /// The concurrency limits of a warm engine and of a cold one.
    pub engine_limits: (u32, u32),
    /// The time until a restarted engine is warm, in milliseconds.
    pub engine_cold_start_ms: u64,
    /// The maximum time that a draining agent waits for usage collectors, in milliseconds.
    pub drain_collect_ms: u64,
    /// Whether the configuration is in the platform's store; otherwise it is in a file.
    pub platform: bool,
}

impl DeploymentSpec {
    /// Returns two zones, each with an entry, two engines and a plain service.
    pub fn two_zones() -> Self {
        let mut spec = Self {
            entries: Vec::new(),
            upstreams: Vec::new(),
            engine_limits: (16, 16),
            engine_cold_start_ms: 1000,
            drain_collect_ms: 500,
            platform: false,
        };
        for zone in ["vault-a", "vault-b"] {
            let letter = &zone[6..];
            spec.entries
                .push((format!("entry-{letter}"), zone.to_owned()));
            for (name, kind) in [
                (format!("draft-{letter}1"), ServiceKind::Engine),
                (format!("draft-{letter}2"), ServiceKind::Engine),
                (format!("desk-{letter}"), ServiceKind::Plain),
            ] {
                spec.upstreams.push(UpstreamSpec {
                    name,
                    zone: zone.to_owned(),
                    kind,
                });
            }
        }
        spec
    }

    /// Returns one zone with an entry, an engine and a plain service.
    pub fn minimal() -> Self {
        let mut spec = Self::two_zones();
        spec.entries.truncate(1);
        spec.upstreams
            .retain(|upstream| upstream.name == "draft-a1" || upstream.name == "desk-a");
        spec
    }

    /// Returns two zones whose configuration, runs and usage are kept on the platform.
    pub fn two_zones_with_platform() -> Self {
        Self {
            platform: true,
            ..Self::two_zones()
        }
    }

    /// Returns the configuration; `agents` holds the agents' addresses in the order of the
    /// upstreams.
    pub fn snapshot(&self, agents: &[std::net::SocketAddr]) -> ConfigSnapshot {
        let mut zones: Vec<&str> = self.upstreams.iter().map(|u| u.zone.as_str()).collect();
        zones.sort_unstable();
        zones.dedup();
        let upstreams = self
            .upstreams
            .iter()
            .zip(agents)
            .map(|(upstream, agent)| UpstreamRecord {
                name: name(&upstream.name),
                service: name(service_name(upstream.kind)),
                zone: name(&upstream.zone),
                agent: *agent,
                added_ms: 0,
                removed_ms: None,
            });
        let mut snapshot = ConfigSnapshot {
            revision: ConfigRevision(1),
            customers: vec![customer("desk"), customer("lab")],
            keys: vec![key(DESK_KEY, "desk"), key(LAB_KEY, "lab")],
            services: vec![
                self.service(
                    ServiceKind::Engine,
                    self.engine_limits,
                    self.engine_cold_start_ms,
                ),
                self.service(ServiceKind::Plain, (32, 32), 1000),
            ],
            routes: vec![
                route("drafting", "drafting", false, true),
                route("shelf-lookup", "retrieval-desk", false, true),
                route("carton-request", "retrieval-desk", false, false),
                route("reading-room", "retrieval-desk", true, true),
            ],
            zones: zones
                .into_iter()
                .map(|zone| ZoneRecord {
                    name: name(zone),
                    region: name("tvm"),
                    state: ZoneState::In,
                })
                .collect(),
            upstreams: upstreams.collect(),
            runs: vec![RunRecord {
                name: name("retrieval-ranker"),
                customer: name("lab"),
                service: name("drafting"),
                staleness_bound: 2,
                step_deadline_ms: 600_000,
            }],
            limits: catkindeck::direct::CallerLimits::default(),
        };
        snapshot.sort();
        snapshot
    }

    fn service(&self, kind: ServiceKind, limits: (u32, u32), cold_start_ms: u64) -> ServiceRecord {
        ServiceRecord {
            name: name(service_name(kind)),
            kind,
            warm_limit: limits.0,
            cold_limit: limits.1,
            cold_start_ms,
            checks_fence: false,
            direct: catkindeck::direct::DirectOptions::default(),
        }
    }
}

/// Returns the name of the service that upstreams of this kind provide.
pub fn service_name(kind: ServiceKind) -> &'static str {
    match kind {
        ServiceKind::Engine => "drafting",
        ServiceKind::Plain => "retrieval-desk",
    }
}

/// Parses an object name.
///
/// # Panics
///
/// Panics if the name is invalid.
pub fn name(text: &str) -> ObjectName {
    ObjectName::try_from(text).expect("tests use valid names")
}

fn customer(customer: &str) -> CustomerRecord {
    CustomerRecord {
        name: name(customer),
        weight: 1,
        retry_percent: 10,
        priority: None,
    }
}

fn key(key: &str, customer: &str) -> KeyRecord {
    KeyRecord {
        digest: KeyDigest::of(key),
        customer: name(customer),
        label: name(&format!("{customer}-1")),
    }
}

fn route(route: &str, service: &str, open: bool, idempotent: bool) -> RouteRecord {
    RouteRecord {
        name: name(route),
        service: name(service),
        open,
        idempotent,
        timeout_ms: 60_000,
        terms: catkindeck::direct::RouteOptions::default(),
    }
}
