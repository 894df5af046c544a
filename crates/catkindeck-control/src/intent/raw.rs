//! Declarations as written in TOML files.

use {serde::Deserialize, toml::Spanned};

/// The content of a declaration file. The declarations may be split over several files.
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
    /// The customer's weight in fair queueing; 1 by default.
    pub weight: Option<Spanned<i64>>,
    /// The maximum number of retries per 100 first attempts; 10 by default.
    pub retry_percent: Option<Spanned<i64>>,
}

/// A key, of which a declaration contains only the digest.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawKey {
    /// The unique name of the key.
    pub label: Spanned<String>,
    pub customer: Spanned<String>,
    /// The blake3 digest of the key, 64 hexadecimal digits.
    pub digest: Spanned<String>,
    /// Whether the key is revoked. The declaration of a revoked key may be kept so that its label
    /// is not reused.
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
    /// The concurrency limit of a cold upstream; 1 by default.
    pub cold_limit: Option<Spanned<i64>>,
    /// The time from the order to start an upstream until it can handle the warm limit, in
    /// milliseconds.
    pub cold_start_ms: Spanned<i64>,
    /// Whether the upstreams themselves refuse orders with an outdated fencing token; false by
    /// default.
    #[serde(default)]
    pub checks_fence: bool,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawRoute {
    pub name: Spanned<String>,
    pub service: Spanned<String>,
    /// Whether requests are accepted without a key; false by default.
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
    /// The unique name, which is also the host name.
    pub name: Spanned<String>,
    /// The service that it runs.
    pub service: Spanned<String>,
    pub zone: Spanned<String>,
    /// The UDP address of its agent.
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
    /// The number of weight versions by which a delivered sample may be behind; 1 by default.
    pub staleness_bound: Option<Spanned<i64>>,
    /// The time within which all samples of a step must be complete, in milliseconds; 600,000 by
    /// default.
    pub step_deadline_ms: Option<Spanned<i64>>,
}
