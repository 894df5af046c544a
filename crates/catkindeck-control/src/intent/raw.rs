//! Declarations as written in TOML files.

use {serde::Deserialize, toml::Spanned};

/// A declaration file as written; the whole intent may be spread over several files.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawIntent {
    /// The customers.
    pub customers: Vec<RawCustomer>,
    /// The customers' keys.
    pub keys: Vec<RawKey>,
    /// The services.
    pub services: Vec<RawService>,
    /// The routes to services.
    pub routes: Vec<RawRoute>,
    /// The availability zones.
    pub zones: Vec<RawZone>,
    /// The upstreams.
    pub upstreams: Vec<RawUpstream>,
    /// The training runs.
    pub runs: Vec<RawRun>,
}

/// A customer as written.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawCustomer {
    /// The unique name.
    pub name: Spanned<String>,
    /// The weight in the fair queue; 1 by default.
    pub weight: Option<Spanned<i64>>,
    /// Retries for each 100 first attempts; 10 by default.
    pub retry_percent: Option<Spanned<i64>>,
}

/// A key as written; the key itself never stands in a declaration.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawKey {
    /// The operators' unique name for the key.
    pub label: Spanned<String>,
    /// The customer.
    pub customer: Spanned<String>,
    /// The blake3 digest of the key, 64 hexadecimal digits.
    pub digest: Spanned<String>,
    /// Whether the key no longer works; the line stays so that the label is not used again.
    #[serde(default)]
    pub revoked: bool,
}

/// A service as written.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawService {
    /// The unique name.
    pub name: Spanned<String>,
    /// `engine` or `plain`.
    pub kind: Spanned<String>,
    /// The concurrency limit of a warm upstream.
    pub warm_limit: Spanned<i64>,
    /// The concurrency limit of an upstream that has just started; 1 by default.
    pub cold_limit: Option<Spanned<i64>>,
    /// The time from a start order until an upstream bears its warm limit, in milliseconds.
    pub cold_start_ms: Spanned<i64>,
    /// Whether the upstreams refuse orders with an old fencing number; false by default.
    #[serde(default)]
    pub checks_fence: bool,
}

/// A route as written.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawRoute {
    /// The unique name.
    pub name: Spanned<String>,
    /// The service.
    pub service: Spanned<String>,
    /// Whether requests need no key; false by default.
    #[serde(default)]
    pub open: bool,
    /// Whether a request may be run again; false by default.
    #[serde(default)]
    pub idempotent: bool,
    /// The longest time a request may take, in milliseconds; 30,000 by default.
    pub timeout_ms: Option<Spanned<i64>>,
}

/// An availability zone as written.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawZone {
    /// The unique name.
    pub name: Spanned<String>,
    /// The region.
    pub region: Spanned<String>,
    /// `in` or `out`; without it, a known zone keeps its state and a new zone is in.
    pub state: Option<Spanned<String>>,
}

/// An upstream as written.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawUpstream {
    /// The unique name, which is also the host's name.
    pub name: Spanned<String>,
    /// The service that it runs.
    pub service: Spanned<String>,
    /// The availability zone.
    pub zone: Spanned<String>,
    /// The address of the agent beside it, UDP.
    pub agent: Spanned<String>,
}

/// A training run as written.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawRun {
    /// The unique name.
    pub name: Spanned<String>,
    /// The customer who is billed.
    pub customer: Spanned<String>,
    /// The engine service that generates the samples.
    pub service: Spanned<String>,
    /// How many weight versions a delivered sample may lag; 1 by default.
    pub staleness_bound: Option<Spanned<i64>>,
    /// The time until a step's samples must be whole, in milliseconds; 600,000 by default.
    pub step_deadline_ms: Option<Spanned<i64>>,
}
