//! What the configuration says beyond names, for gateways that reach upstreams without agents.
//!
//! Deployments with agents leave these parts at their defaults (`docs/platform.md`).

use crate::{id::ObjectName, message};

/// How callers address a route and what they may expect of it.
#[message]
#[derive(Default)]
pub struct RouteOptions {
    /// The host name that callers ask for; empty if the route is addressed by its name.
    pub host: String,
    /// The beginning of the paths of this route, with a slash at both ends.
    pub prefix: String,
    /// The services among which requests are divided; empty if there is only the route's own.
    pub targets: Vec<RouteTarget>,
    /// The number of upstreams to which one request may be sent.
    pub max_attempts: u32,
    /// The rank among routes; 0 is served first.
    pub priority: u8,
    /// The time within which an answer has its full value, in milliseconds.
    pub target_latency_ms: u64,
    /// Whether answers are series of numbered events.
    pub streaming: bool,
    /// Whether a broken stream may be continued at another upstream.
    pub resumable: bool,
    /// Whether requests name the parts of their prompt, so that caches can be used.
    pub affinity: bool,
    /// The terms of jobs, if the route takes jobs.
    pub job: Option<JobOptions>,
    /// The regions whose upstreams may run the requests; empty if all may.
    pub regions: Vec<ObjectName>,
}

/// A service that takes a part of a route's requests.
#[message]
pub struct RouteTarget {
    /// The service.
    pub service: ObjectName,
    /// The part of the requests, relative to the sum of all weights.
    pub weight: u32,
}

/// What a route promises for jobs.
#[message]
pub struct JobOptions {
    /// The time from the first submission within which all results are due, in milliseconds.
    pub result_deadline_ms: u64,
    /// The time from the first submission after which an item may be given up, in milliseconds.
    pub item_ttl_ms: u64,
    /// Whether the text of one item must come from one version of the weights.
    pub single_version: bool,
}

/// What a gateway must know of a service's upstreams.
#[message]
#[derive(Default)]
pub struct DirectOptions {
    /// The path of the upstreams' health check.
    pub health_path: String,
    /// The requests that a cold upstream bears, for each 1,000 s; zero if it has no cold start.
    pub cold_requests_per_ks: u32,
    /// The connections that one upstream accepts from all callers together.
    pub max_connections: u32,
    /// The models that the upstreams run; empty for plain services.
    pub models: Vec<ObjectName>,
    /// The bounds within which upstreams are ordered, if that is this system's duty.
    pub scaling: Option<ScaleBounds>,
}

/// The bounds on the number of upstreams of a service in one availability zone.
#[message]
#[derive(Copy)]
pub struct ScaleBounds {
    /// The least number.
    pub least: u32,
    /// The largest number.
    pub most: u32,
    /// The time from an order until a new upstream serves, in milliseconds.
    pub boot_ms: u64,
}

/// What a caller may send, and how long it may take.
#[message]
#[derive(Copy)]
pub struct CallerLimits {
    /// The largest request line and headers, in bytes.
    pub header_bytes: u64,
    /// The largest body, in bytes.
    pub body_bytes: u64,
    /// The longest time for the headers of a request, in milliseconds.
    pub header_ms: u64,
    /// The longest time that a connection stays open without a request, in milliseconds.
    pub idle_ms: u64,
}

impl Default for CallerLimits {
    /// Returns the limits that are in force before any configuration is known.
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 32 << 20,
            header_ms: 3_000,
            idle_ms: 15_000,
        }
    }
}
