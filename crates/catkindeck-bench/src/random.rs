//! Deterministic random numbers for the load models.

/// A SplitMix64 generator; each model has its own, so that one model's draws move no other's.
#[derive(Debug, Clone)]
pub struct ModelRandom(u64);

impl ModelRandom {
    /// Makes the generator of the model numbered `stream`.
    pub fn new(seed: u64, stream: u64) -> Self {
        let mut random = Self(seed ^ stream.wrapping_mul(0xD6E8_FEB8_6659_FD93));
        random.bits();
        random
    }

    /// Draws 64 bits.
    pub fn bits(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut value = self.0;
        value = (value ^ (value >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        value = (value ^ (value >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        value ^ (value >> 31)
    }

    /// Draws a number from 0 inclusive to 1 exclusive.
    pub fn unit(&mut self) -> f64 {
        (self.bits() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Draws a number from `low` inclusive to `high` exclusive.
    pub fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.unit()
    }

    /// Draws an index below `bound`.
    pub fn below(&mut self, bound: usize) -> usize {
        (self.unit() * bound as f64) as usize
    }

    /// Draws the time to the next arrival of a Poisson process, in the unit of `mean`.
    pub fn wait(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.unit()).ln()
    }
}
