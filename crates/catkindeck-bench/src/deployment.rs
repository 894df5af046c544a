//! The two deployments described in `docs/design.md`, section 1.

use catkindeck::id::ObjectName;

/// The size of a deployment.
#[derive(Debug, Clone, Copy)]
pub struct Deployment {
    pub name: &'static str,
    /// The names of the availability zones.
    pub zones: &'static [&'static str],
    /// The number of model engines.
    pub engines: usize,
    /// The number of upstreams of the plain service.
    pub service_upstreams: usize,
}

/// The fairness weights of the eight customers, a few of which are large.
pub const CUSTOMER_WEIGHTS: [u32; 8] = [4, 4, 2, 1, 1, 1, 1, 1];

/// The number of requests that a warm engine runs at full speed.
pub const ENGINE_SLOTS: u32 = 16;

/// The number of requests that an engine runs at full speed just after its start.
pub const ENGINE_COLD_SLOTS: u32 = 2;

/// The time from an engine's start until it is warm, in milliseconds.
pub const ENGINE_COLD_MS: u64 = 60_000;

/// The number of tokens that an engine generates per request and millisecond if it is not
/// overloaded.
pub const TOKENS_PER_MS: f64 = 0.05;

/// The deployments that are simulated.
pub const DEPLOYMENTS: [Deployment; 2] = [
    Deployment {
        name: "directorate",
        zones: &["vault-a", "vault-b", "vault-c"],
        engines: 8,
        service_upstreams: 3,
    },
    Deployment {
        name: "listkovnica",
        zones: &["bezigrad", "siska", "vic", "moste"],
        engines: 9,
        service_upstreams: 4,
    },
];

impl Deployment {
    /// Returns the index of the zone of an engine.
    pub fn zone_of(&self, engine: usize) -> usize {
        engine % self.zones.len()
    }

    /// Returns the maximum throughput of all engines, in tokens per millisecond.
    pub fn capacity(&self) -> f64 {
        self.engines as f64 * f64::from(ENGINE_SLOTS) * TOKENS_PER_MS
    }
}

/// Creates an object name; the simulations use only valid names.
pub fn object_name(text: &str) -> ObjectName {
    ObjectName::try_from(text).expect("simulations use valid names only")
}
