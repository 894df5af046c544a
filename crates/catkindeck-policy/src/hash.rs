//! Hashing and deterministic pseudo-random numbers.

/// Hashes parts to 256 bits. Each part is prefixed with its length, so that the same bytes divided
/// into other parts have another hash.
pub(crate) fn digest(parts: &[&[u8]]) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    *hasher.finalize().as_bytes()
}

/// Hashes parts to 64 bits, as [`digest`] does.
pub(crate) fn digest64(parts: &[&[u8]]) -> u64 {
    let digest = digest(parts);
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&digest[..8]);
    u64::from_le_bytes(bytes)
}

/// A SplitMix64 generator.
#[derive(Debug, Clone)]
pub(crate) struct SplitMix(u64);

impl SplitMix {
    pub(crate) fn new(seed: u64) -> Self {
        Self(seed)
    }

    pub(crate) fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        mix(self.0)
    }

    /// Returns a pseudo-random index below `bound`, or zero if `bound` is zero.
    pub(crate) fn below(&mut self, bound: usize) -> usize {
        let wide = u128::from(self.next()) * bound as u128;
        (wide >> 64) as usize
    }
}

/// Mixes the bits of a number, so that similar inputs give unrelated outputs.
pub(crate) fn mix(value: u64) -> u64 {
    let mut value = value;
    value = (value ^ (value >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    value ^ (value >> 31)
}
