//! Long-tailed lengths of answers, the same for the same seed and identity.

use std::f64::consts::TAU;

/// A log-normal distribution of token counts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Distribution {
    /// The seed that all engines of a run share.
    pub seed: u64,
    /// The median, in tokens.
    pub median: f64,
    /// The standard deviation of the logarithm; 0 gives the median always.
    pub sigma: f64,
    /// The least number of tokens.
    pub min: u32,
    /// The greatest number of tokens.
    pub max: u32,
}

impl Distribution {
    /// Returns the number of tokens for an identity.
    ///
    /// Box-Muller transform: G. E. P. Box and M. E. Muller, "A note on the generation of random
    /// normal deviates", Annals of Mathematical Statistics 29(2), 1958.
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
        // The float is bounded by the clamp, so the conversion loses only its fraction.
        tokens.clamp(f64::from(self.min), f64::from(self.max)) as u32
    }
}

/// Returns a number above 0 and at most 1.
fn unit(bytes: &[u8]) -> f64 {
    let mut word = [0; 8];
    word.copy_from_slice(bytes);
    let bits = u64::from_le_bytes(word) >> 11;
    (bits as f64 + 1.0) / (1_u64 << 53) as f64
}
