//! Long-tailed response lengths, reproducible by seed and identity.

use std::f64::consts::TAU;

/// A log-normal distribution of token counts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Distribution {
    /// The seed, which is the same for all engines, so that each engine generates a sample with the
    /// same length.
    pub seed: u64,
    /// The median, in tokens.
    pub median: f64,
    /// The standard deviation of the logarithm; 0 always gives the median.
    pub sigma: f64,
    /// The minimum number of tokens.
    pub min: u32,
    /// The maximum number of tokens.
    pub max: u32,
}

impl Distribution {
    /// Returns the number of tokens for an identity, which is the same at each call.
    ///
    /// Uses the Box-Muller transform: G. E. P. Box and M. E. Muller, "A note on the generation of
    /// random normal deviates", Annals of Mathematical Statistics 29(2), 1958.
    pub fn tokens(&self, identity: &str) -> u32 {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&self.seed.to_le_bytes());
        hasher.update(identity.as_bytes());
        let mut bytes = [0; 16];
        hasher.finalize_xof().fill(&mut bytes);
        let (first, second) = bytes.split_at(8);
        let radius = (-2.0 * unit(first).ln()).sqrt();
        let normal = radius * (TAU * unit(second)).cos();
        let tokens = self.median * (self.sigma * normal).exp();
        // The value is clamped to the range of `u32`, so the conversion drops only the fraction.
        tokens.clamp(f64::from(self.min), f64::from(self.max)) as u32
    }
}

/// Maps 8 bytes to a number above 0 and at most 1.
fn unit(bytes: &[u8]) -> f64 {
    let mut word = [0; 8];
    word.copy_from_slice(bytes);
    let bits = u64::from_le_bytes(word) >> 11;
    (bits as f64 + 1.0) / (1_u64 << 53) as f64
}
