//! The load: sizes, lengths of samples, and a lower bound for the idle time.

use rand_chacha::{
    ChaCha8Rng,
    rand_core::{Rng, SeedableRng},
};
use shallotroute_types::sample::Identity;

pub(crate) const ENGINES: usize = 8;
pub(crate) const SLOTS: u32 = 8;
pub(crate) const STEPS: u64 = 12;
pub(crate) const GROUP_SIZE: u32 = 8;
pub(crate) const MAX_TOKENS: u32 = 4096;
/// Groups in a step and seconds of training after it, by trainer.
pub(crate) const TRAINERS: [(&str, u32, f64); 2] =
    [("association", 32, 20.0), ("puhasvoog", 12, 12.0)];
/// Lengths are log-normal: median 200 tokens, and one in a hundred above 2,000.
pub(crate) const MEDIAN_TOKENS: f64 = 200.0;
pub(crate) const SIGMA: f64 = 1.0;
/// Seconds for a token on an engine of factor 1.
pub(crate) const TOKEN_SECONDS: f64 = 0.02;
pub(crate) const LOAD_SECONDS: f64 = 2.0;
pub(crate) const TICK: f64 = 0.25;
pub(crate) const SEEDS: u64 = 5;

pub(crate) fn uniform(random: &mut ChaCha8Rng) -> f64 {
    (random.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
}

/// Draws a length; the same for the same sample and salt.
pub(crate) fn length(seed: u64, sample: &Identity, salt: u64) -> u32 {
    let trainer = sample.trainer.bytes().map(u64::from).sum::<u64>();
    let place = sample.step << 32 | u64::from(sample.group) << 8 | u64::from(sample.index);
    let mut random = ChaCha8Rng::seed_from_u64(
        seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ place ^ trainer << 48 ^ salt.rotate_left(40),
    );
    // Box and Muller's method for a normal deviate.
    let radius = (-2.0 * (1.0 - uniform(&mut random)).ln()).sqrt();
    let normal = radius * (std::f64::consts::TAU * uniform(&mut random)).cos();
    ((MEDIAN_TOKENS * (SIGMA * normal).exp()) as u32).clamp(1, MAX_TOKENS)
}

/// Returns a lower bound for the idle seconds of both trainers together, the greater of two.
///
/// Longest sample: with a bound of 1, no sample of a step can start before the trainer has learned
/// from the step two before it, and the longest one takes its time on the fastest engine. Total
/// work: the last trainer's last step is not whole before all work has run on all slots.
pub(crate) fn lower_bound(seed: u64, speeds: &[f64]) -> f64 {
    let fastest = speeds.iter().copied().fold(f64::MAX, f64::min);
    let slots = speeds.iter();
    let rate: f64 = slots
        .map(|speed| f64::from(SLOTS) / speed / TOKEN_SECONDS)
        .sum();
    let mut chains = 0.0;
    let mut work = 0.0;
    for (name, groups, seconds) in TRAINERS {
        let mut learned = vec![0.0_f64];
        for step in 0..STEPS {
            let samples = (0..groups).flat_map(|g| (0..GROUP_SIZE).map(move |i| (g, i)));
            let lengths = samples.map(|(group, index)| {
                let sample = Identity {
                    trainer: name.into(),
                    step,
                    group,
                    index,
                };
                length(seed, &sample, 0)
            });
            let lengths: Vec<u32> = lengths.collect();
            work += lengths.iter().copied().map(f64::from).sum::<f64>();
            let longest = f64::from(lengths.into_iter().max().unwrap_or(0));
            let start = learned[(step as usize).saturating_sub(1)];
            let whole = learned[step as usize].max(start + longest * TOKEN_SECONDS * fastest);
            learned.push(whole + seconds);
        }
        chains += learned[STEPS as usize] - STEPS as f64 * seconds;
    }
    let spans = TRAINERS.map(|(.., seconds)| work / rate - (STEPS - 1) as f64 * seconds);
    chains.max(spans.into_iter().fold(f64::MAX, f64::min))
}
