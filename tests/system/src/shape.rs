//! What a test deployment consists of.

use catkindeck::{
    config::{
        ConfigRevision, ConfigSnapshot, CustomerRecord, KeyRecord, RouteRecord, RunRecord,
        ServiceKind, ServiceRecord, UpstreamRecord, ZoneRecord, ZoneState,
    },
    id::{KeyDigest, ObjectName},
};

/// The key of the first customer of every test deployment.
pub const FIRST_KEY: &str = "test-key-of-the-desk";

/// The key of the second customer.
pub const SECOND_KEY: &str = "test-key-of-the-lab";

/// The operators' key.
pub const OPERATOR_KEY: &str = "test-key-of-the-operator";

/// An upstream with the agent beside it.
#[derive(Debug, Clone)]
pub struct UpstreamShape {
    /// The name.
    pub name: String,
    /// The zone.
    pub zone: String,
    /// The kind, which decides the service: `drafting` or `retrieval-desk`.
    pub kind: ServiceKind,
}

/// The processes of a test deployment.
#[derive(Debug, Clone)]
pub struct DeploymentShape {
    /// The entries by name and zone.
    pub entries: Vec<(String, String)>,
    /// The upstreams.
    pub upstreams: Vec<UpstreamShape>,
    /// The concurrency limit of a warm engine and of a cold one.
    pub engine_limits: (u32, u32),
    /// The time that an engine takes to become warm, in milliseconds.
    pub engine_cold_start_ms: u64,
    /// How long a draining agent waits for collectors, in milliseconds.
    pub drain_collect_ms: u64,
    /// Whether the configuration lies in the platform's store; otherwise in a file.
    pub platform: bool,
}

impl DeploymentShape {
    /// Two zones, each with an entry, two engines and a plain service.
    pub fn two_zones() -> Self {
        let mut shape = Self {
            entries: Vec::new(),
            upstreams: Vec::new(),
            engine_limits: (16, 16),
            engine_cold_start_ms: 1000,
            drain_collect_ms: 500,
            platform: false,
        };
        for zone in ["vault-a", "vault-b"] {
            let letter = &zone[6..];
            shape
                .entries
                .push((format!("entry-{letter}"), zone.to_owned()));
            for (name, kind) in [
                (format!("draft-{letter}1"), ServiceKind::Engine),
                (format!("draft-{letter}2"), ServiceKind::Engine),
                (format!("desk-{letter}"), ServiceKind::Plain),
            ] {
                shape.upstreams.push(UpstreamShape {
                    name,
                    zone: zone.to_owned(),
                    kind,
                });
            }
        }
        shape
    }

    /// One zone with an entry, an engine and a plain service.
    pub fn smallest() -> Self {
        let mut shape = Self::two_zones();
        shape.entries.truncate(1);
        shape
            .upstreams
            .retain(|upstream| upstream.name == "draft-a1" || upstream.name == "desk-a");
        shape
    }

    /// Two zones whose configuration, runs and usage go through the platform.
    pub fn two_zones_on_platform() -> Self {
        Self {
            platform: true,
            ..Self::two_zones()
        }
    }

    /// Returns the configuration with the agents at `agents`, in the order of the upstreams.
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
            keys: vec![key(FIRST_KEY, "desk"), key(SECOND_KEY, "lab")],
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

/// Returns the service of a kind of upstream.
pub fn service_name(kind: ServiceKind) -> &'static str {
    match kind {
        ServiceKind::Engine => "drafting",
        ServiceKind::Plain => "retrieval-desk",
    }
}

/// Makes a checked name.
///
/// # Panics
///
/// Panics if the name is not allowed.
pub fn name(text: &str) -> ObjectName {
    ObjectName::try_from(text).expect("tests use allowed names")
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
