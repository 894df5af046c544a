//! The operators' configuration as all processes use it.

use {
    crate::{
        direct::{CallerLimits, DirectOptions, RouteOptions},
        id::{KeyDigest, ObjectName},
        key, message,
    },
    std::net::SocketAddr,
};

/// The number of a configuration; an accepted change raises it by one (`docs/design.md`, G16).
#[key]
#[derive(Default)]
pub struct ConfigRevision(pub u64);

/// The whole configuration at one revision; every list is sorted by name or digest.
#[message]
#[derive(Default)]
pub struct ConfigSnapshot {
    /// The revision.
    pub revision: ConfigRevision,
    /// The customers.
    pub customers: Vec<CustomerRecord>,
    /// The keys that work; a revoked key is absent.
    pub keys: Vec<KeyRecord>,
    /// The services.
    pub services: Vec<ServiceRecord>,
    /// The routes to services.
    pub routes: Vec<RouteRecord>,
    /// The availability zones.
    pub zones: Vec<ZoneRecord>,
    /// The upstreams, including those removed within the execution retention.
    pub upstreams: Vec<UpstreamRecord>,
    /// The training runs.
    pub runs: Vec<RunRecord>,
    /// What callers may send.
    #[serde(default)]
    pub limits: CallerLimits,
}

/// A customer.
#[message]
pub struct CustomerRecord {
    /// The unique name.
    pub name: ObjectName,
    /// The weight in the fair queue, at least 1.
    pub weight: u32,
    /// Retries allowed for each 100 first attempts.
    pub retry_percent: u32,
    /// The rank of the customer's requests, which goes before that of their routes; 0 is first.
    #[serde(default)]
    pub priority: Option<u8>,
}

/// A key of a customer.
#[message]
pub struct KeyRecord {
    /// The digest of the key.
    pub digest: KeyDigest,
    /// The customer for whom requests with this key run.
    pub customer: ObjectName,
    /// The operators' name for the key.
    pub label: ObjectName,
}

/// The kinds of service.
#[key]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Model engines that stream tokens.
    Engine,
    /// A plain HTTP service.
    Plain,
}

/// A service with its upstreams' common properties.
#[message]
pub struct ServiceRecord {
    /// The unique name; for engines, also the model's name.
    pub name: ObjectName,
    /// The kind.
    pub kind: ServiceKind,
    /// The concurrency limit of a warm upstream.
    pub warm_limit: u32,
    /// The concurrency limit of an upstream that has just started.
    pub cold_limit: u32,
    /// The time from a start order until an upstream bears its warm limit, in milliseconds.
    pub cold_start_ms: u64,
    /// Whether the upstreams refuse orders with an old fencing number.
    pub checks_fence: bool,
    /// What a gateway must know of the upstreams.
    #[serde(default)]
    pub direct: DirectOptions,
}

/// A route by which callers reach a service.
#[message]
pub struct RouteRecord {
    /// The unique name, used in the path `/r/{name}/`.
    pub name: ObjectName,
    /// The service.
    pub service: ObjectName,
    /// Whether requests need no key.
    pub open: bool,
    /// Whether a request may be run again.
    pub idempotent: bool,
    /// The longest time a request may take, in milliseconds.
    pub timeout_ms: u64,
    /// How callers address the route and what they may expect of it.
    #[serde(default)]
    pub terms: RouteOptions,
}

/// The states of an availability zone.
#[key]
#[serde(rename_all = "snake_case")]
pub enum ZoneState {
    /// The zone takes work.
    In,
    /// The zone takes no new work.
    Out,
}

/// An availability zone.
#[message]
pub struct ZoneRecord {
    /// The unique name.
    pub name: ObjectName,
    /// The region that the zone is in.
    pub region: ObjectName,
    /// Whether the zone takes work.
    pub state: ZoneState,
}

/// An upstream and the agent beside it.
#[message]
pub struct UpstreamRecord {
    /// The unique name, which is also the host's name.
    pub name: ObjectName,
    /// The service that it runs.
    pub service: ObjectName,
    /// The availability zone.
    pub zone: ObjectName,
    /// The address of the agent.
    pub agent: SocketAddr,
    /// When it was added, in milliseconds since the Unix epoch.
    pub added_ms: u64,
    /// When it was removed, in milliseconds since the Unix epoch, or `None` while it is a member.
    ///
    /// Removed upstreams stay listed for the execution retention, because idempotency records may
    /// be with their agents (`docs/design.md`, decision 4).
    pub removed_ms: Option<u64>,
}

/// A training run.
#[message]
pub struct RunRecord {
    /// The unique name.
    pub name: ObjectName,
    /// The customer who is billed.
    pub customer: ObjectName,
    /// The engine service that generates the samples.
    pub service: ObjectName,
    /// How many weight versions a delivered sample may lag behind the current one.
    pub staleness_bound: u64,
    /// The time from a step's opening until its samples must be whole, in milliseconds.
    pub step_deadline_ms: u64,
}

impl ConfigSnapshot {
    /// Finds a customer by name.
    pub fn customer(&self, name: &ObjectName) -> Option<&CustomerRecord> {
        find(&self.customers, |record| &record.name, name)
    }

    /// Finds a key by its digest.
    pub fn key(&self, digest: &KeyDigest) -> Option<&KeyRecord> {
        find(&self.keys, |record| &record.digest, digest)
    }

    /// Finds a service by name.
    pub fn service(&self, name: &ObjectName) -> Option<&ServiceRecord> {
        find(&self.services, |record| &record.name, name)
    }

    /// Finds a route by name.
    pub fn route(&self, name: &ObjectName) -> Option<&RouteRecord> {
        find(&self.routes, |record| &record.name, name)
    }

    /// Finds an availability zone by name.
    pub fn zone(&self, name: &ObjectName) -> Option<&ZoneRecord> {
        find(&self.zones, |record| &record.name, name)
    }

    /// Finds an upstream by name.
    pub fn upstream(&self, name: &ObjectName) -> Option<&UpstreamRecord> {
        find(&self.upstreams, |record| &record.name, name)
    }

    /// Finds a training run by name.
    pub fn run(&self, name: &ObjectName) -> Option<&RunRecord> {
        find(&self.runs, |record| &record.name, name)
    }

    /// Sorts every list, which the look-ups rely on.
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
