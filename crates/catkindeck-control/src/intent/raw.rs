//! Declarations as written in TOML files.

use {serde::Deserialize, toml::Spanned};

/// The content of a declaration file. The complete intent may be split over several files.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawIntent {
    pub customers: Vec<RawCustomer>,
    pub keys: Vec<RawKey>,
    pub services: Vec<RawService>,
    pub routes: Vec<RawRoute>,
    pub zones: Vec<RawZone>,
    pub upstreams: Vec<RawUpstream>,
    pub runs: Vec<RawRun>,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawCustomer {
    pub name: Spanned<String>,
    /// The weight in the fair queue; 1 by default.
    pub weight: Option<Spanned<i64>>,
    /// The retries for every 100 first attempts; 10 by default.
    pub retry_percent: Option<Spanned<i64>>,
}

/// A key. A declaration never contains the key itself.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawKey {
    /// The unique name of the key.
    pub label: Spanned<String>,
    pub customer: Spanned<String>,
    /// The blake3 digest of the key, 64 hexadecimal digits.
    pub digest: Spanned<String>,
    /// Whether the key is revoked. The declaration is kept so that the label is not reused.
    #[serde(default)]
    pub revoked: bool,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawService {
    pub name: Spanned<String>,
    /// `engine` or `plain`.
    pub kind: Spanned<String>,
    /// The concurrency limit of a warm upstream.
    pub warm_limit: Spanned<i64>,
    /// The concurrency limit of an upstream that has just started; 1 by default.
    pub cold_limit: Option<Spanned<i64>>,
    /// The time from a start order until an upstream can handle its warm limit, in milliseconds.
    pub cold_start_ms: Spanned<i64>,
    /// Whether the upstreams refuse orders with an old fencing token; false by default.
    #[serde(default)]
    pub checks_fence: bool,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawRoute {
    pub name: Spanned<String>,
    pub service: Spanned<String>,
    /// Whether requests need no key; false by default.
    #[serde(default)]
    pub open: bool,
    /// Whether a request may be executed more than once; false by default.
    #[serde(default)]
    pub idempotent: bool,
    /// The timeout of a request, in milliseconds; 30,000 by default.
    pub timeout_ms: Option<Spanned<i64>>,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawZone {
    pub name: Spanned<String>,
    pub region: Spanned<String>,
    /// `in` or `out`. If absent, a known zone keeps its state and a new zone is `in`.
    pub state: Option<Spanned<String>>,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawUpstream {
    /// The unique name, which is also the host's name.
    pub name: Spanned<String>,
    /// The service that it runs.
    pub service: Spanned<String>,
    pub zone: Spanned<String>,
    /// The UDP address of the agent next to it.
    pub agent: Spanned<String>,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawRun {
    pub name: Spanned<String>,
    /// The customer who is billed.
    pub customer: Spanned<String>,
    /// The engine service that generates the samples.
    pub service: Spanned<String>,
    /// How many weight versions a delivered sample may lag; 1 by default.
    pub staleness_bound: Option<Spanned<i64>>,
    /// The time until all samples of a step must be complete, in milliseconds; 600,000 by default.
    pub step_deadline_ms: Option<Spanned<i64>>,
}
