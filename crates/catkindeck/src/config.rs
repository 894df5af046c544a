//! The operators' configuration in the form that all processes use.

use {
    crate::{
        direct::{CallerLimits, DirectOptions, RouteOptions},
        id::{KeyDigest, ObjectName},
        key, message,
    },
    std::net::SocketAddr,
};

/// The number of a configuration; each accepted change increments it (`docs/design.md`, G16).
#[key]
#[derive(Default)]
pub struct ConfigRevision(pub u64);

/// The complete configuration at one revision; every list is sorted by name or digest.
#[message]
#[derive(Default)]
pub struct ConfigSnapshot {
    pub revision: ConfigRevision,
    pub customers: Vec<CustomerRecord>,
    /// The valid keys; revoked keys are absent.
    pub keys: Vec<KeyRecord>,
    pub services: Vec<ServiceRecord>,
    pub routes: Vec<RouteRecord>,
    pub zones: Vec<ZoneRecord>,
    /// The upstreams, including those removed within the execution retention period.
    pub upstreams: Vec<UpstreamRecord>,
    pub runs: Vec<RunRecord>,
    /// The limits on what callers may send.
    #[serde(default)]
    pub limits: CallerLimits,
}

#[message]
pub struct CustomerRecord {
    /// The unique name.
    pub name: ObjectName,
    /// The customer's weight in the fair queue, at least 1.
    pub weight: u32,
    /// The number of retries allowed per 100 first attempts.
    pub retry_percent: u32,
    /// The priority of the customer's requests, which overrides that of their routes; 0 is highest.
    #[serde(default)]
    pub priority: Option<u8>,
}

/// An API key of a customer.
#[message]
pub struct KeyRecord {
    /// The digest of the key.
    pub digest: KeyDigest,
    /// The customer on whose behalf requests with this key run.
    pub customer: ObjectName,
    /// The name by which operators refer to the key.
    pub label: ObjectName,
}

#[key]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Model engines that stream tokens.
    Engine,
    /// A plain HTTP service.
    Plain,
}

/// A service and the common properties of its upstreams.
#[message]
pub struct ServiceRecord {
    /// The unique name; for engines, also the model's name.
    pub name: ObjectName,
    pub kind: ServiceKind,
    /// The concurrency limit of a warmed-up upstream.
    pub warm_limit: u32,
    /// The concurrency limit of an upstream that has just started.
    pub cold_limit: u32,
    /// The time from a start order until an upstream sustains its warm limit, in milliseconds.
    pub cold_start_ms: u64,
    /// Whether the upstreams reject orders with an outdated fencing token.
    pub checks_fence: bool,
    /// What a gateway needs to know about the upstreams.
    #[serde(default)]
    pub direct: DirectOptions,
}

/// A route through which callers reach a service.
#[message]
pub struct RouteRecord {
    /// The unique name, used in the path `/r/{name}/`.
    pub name: ObjectName,
    pub service: ObjectName,
    /// Whether requests are accepted without a key.
    pub open: bool,
    /// Whether a request may be executed more than once.
    pub idempotent: bool,
    /// The maximum duration of a request, in milliseconds.
    pub timeout_ms: u64,
    /// How callers address the route, and the guarantees it gives them.
    #[serde(default)]
    pub terms: RouteOptions,
}

#[key]
#[serde(rename_all = "snake_case")]
pub enum ZoneState {
    /// The zone accepts work.
    In,
    /// The zone accepts no new work.
    Out,
}

/// An availability zone.
#[message]
pub struct ZoneRecord {
    /// The unique name.
    pub name: ObjectName,
    pub region: ObjectName,
    pub state: ZoneState,
}

/// An upstream and the agent that runs beside it.
#[message]
pub struct UpstreamRecord {
    /// The unique name, which is also the name of the host.
    pub name: ObjectName,
    pub service: ObjectName,
    pub zone: ObjectName,
    pub agent: SocketAddr,
    /// When the upstream was added, in milliseconds since the Unix epoch.
    pub added_ms: u64,
    /// When the upstream was removed, in milliseconds since the Unix epoch; `None` for a member.
    ///
    /// Removed upstreams stay listed for the execution retention period, because their agents may
    /// hold idempotency records (`docs/design.md`, decision 4).
    pub removed_ms: Option<u64>,
}

#[message]
pub struct RunRecord {
    /// The unique name.
    pub name: ObjectName,
    /// The customer who is billed for the samples.
    pub customer: ObjectName,
    /// The engine service that generates the samples.
    pub service: ObjectName,
    /// The number of weight versions that a delivered sample may lag behind the current one.
    pub staleness_bound: u64,
    /// The time from the opening of a step until its samples must be complete, in milliseconds.
    pub step_deadline_ms: u64,
}

impl ConfigSnapshot {
    pub fn customer(&self, name: &ObjectName) -> Option<&CustomerRecord> {
        find(&self.customers, |record| &record.name, name)
    }

    pub fn key(&self, digest: &KeyDigest) -> Option<&KeyRecord> {
        find(&self.keys, |record| &record.digest, digest)
    }

    pub fn service(&self, name: &ObjectName) -> Option<&ServiceRecord> {
        find(&self.services, |record| &record.name, name)
    }

    pub fn route(&self, name: &ObjectName) -> Option<&RouteRecord> {
        find(&self.routes, |record| &record.name, name)
    }

    pub fn zone(&self, name: &ObjectName) -> Option<&ZoneRecord> {
        find(&self.zones, |record| &record.name, name)
    }

    pub fn upstream(&self, name: &ObjectName) -> Option<&UpstreamRecord> {
        find(&self.upstreams, |record| &record.name, name)
    }

    pub fn run(&self, name: &ObjectName) -> Option<&RunRecord> {
        find(&self.runs, |record| &record.name, name)
    }

    /// Sorts every list, as the lookups require.
    pub fn sort(&mut self) {
        self.customers
            .sort_by(|left, right| left.name.cmp(&right.name));
        self.keys.sort_by_key(|record| record.digest);
        self.services
            .sort_by(|left, right| left.name.cmp(&right.name));
        self.routes
            .sort_by(|left, right| left.name.cmp(&right.name));
        self.zones.sort_by(|left, right| left.name.cmp(&right.name));
        self.upstreams
            .sort_by(|left, right| left.name.cmp(&right.name));
        self.runs.sort_by(|left, right| left.name.cmp(&right.name));
    }
}

fn find<'a, R, K: Ord>(records: &'a [R], key_of: fn(&R) -> &K, key: &K) -> Option<&'a R> {
    let index = records
        .binary_search_by(|record| key_of(record).cmp(key))
        .ok()?;
    Some(&records[index])
}
