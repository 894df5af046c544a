//! Deterministic random numbers for the simulations.

/// A SplitMix64 generator.
///
/// Every load model has its own generator, so that its draws do not affect those of the others.
#[derive(Debug, Clone)]
pub struct SimRng(u64);

impl SimRng {
    /// Creates the generator of the load model with the number `stream`.
    pub fn new(seed: u64, stream: u64) -> Self {
        let mut rng = Self(seed ^ stream.wrapping_mul(0xD6E8_FEB8_6659_FD93));
        rng.next_u64();
        rng
    }

    /// Returns 64 random bits.
    pub fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut value = self.0;
        value = (value ^ (value >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        value = (value ^ (value >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        value ^ (value >> 31)
    }

    /// Returns a number that is uniformly distributed in [0, 1).
    pub fn uniform(&mut self) -> f64 {
        (self.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Returns a number that is uniformly distributed between `low` (inclusive) and `high`
    /// (exclusive).
    pub fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.uniform()
    }

    /// Returns a uniformly distributed index below `bound`.
    pub fn below(&mut self, bound: usize) -> usize {
        (self.uniform() * bound as f64) as usize
    }

    /// Returns an exponentially distributed number, such as the interval between two arrivals of a
    /// Poisson process, in the unit of `mean`.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.uniform()).ln()
    }
}
