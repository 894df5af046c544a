//! The two deployments of `docs/design.md`, section 1.

use catkindeck::id::ObjectName;

/// A deployment's size.
#[derive(Debug, Clone, Copy)]
pub struct Deployment {
    /// The name.
    pub name: &'static str,
    /// The availability zones.
    pub zones: &'static [&'static str],
    /// The number of model engines.
    pub engines: usize,
    /// The number of workers of the plain service.
    pub desks: usize,
}

/// The weights of the eight customers, of which a few are large.
pub const WEIGHTS: [u32; 8] = [4, 4, 2, 1, 1, 1, 1, 1];

/// The number of requests that a warm engine runs at full speed.
pub const ENGINE_SLOTS: u32 = 16;

/// The number of requests that a cold engine bears.
pub const ENGINE_COLD: u32 = 2;

/// The time from the start of an engine until it is warm, in milliseconds.
pub const ENGINE_COLD_MS: u64 = 60_000;

/// Tokens for each request and millisecond at an engine that is not overloaded.
pub const TOKENS_PER_MS: f64 = 0.05;

/// The deployments that are measured.
pub const DEPLOYMENTS: [Deployment; 2] = [
    Deployment {
        name: "directorate",
        zones: &["vault-a", "vault-b", "vault-c"],
        engines: 8,
        desks: 3,
    },
    Deployment {
        name: "listkovnica",
        zones: &["bezigrad", "siska", "vic", "moste"],
        engines: 9,
        desks: 4,
    },
];

impl Deployment {
    /// Returns the zone's index of an engine.
    pub fn zone_of(&self, engine: usize) -> usize {
        engine % self.zones.len()
    }

    /// Returns the tokens that all engines make in a millisecond.
    pub fn capacity(&self) -> f64 {
        self.engines as f64 * f64::from(ENGINE_SLOTS) * TOKENS_PER_MS
    }
}

/// Makes a name of the models; all are valid by construction.
pub fn object_name(text: &str) -> ObjectName {
    ObjectName::try_from(text).expect("the models use valid names only")
}
