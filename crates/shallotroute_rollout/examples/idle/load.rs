//! The workload: its sizes, the lengths of samples, and a lower bound for the idle time.

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
/// The trainers: name, groups per step, and seconds of training after each step.
pub(crate) const TRAINERS: [(&str, u32, f64); 2] =
    [("association", 32, 20.0), ("puhasvoog", 12, 12.0)];
/// Lengths are log-normal: median 200 tokens, and one in a hundred above 2,000.
pub(crate) const MEDIAN_TOKENS: f64 = 200.0;
pub(crate) const LOG_SIGMA: f64 = 1.0;
/// Seconds per token on an engine with slowdown 1.
pub(crate) const TOKEN_SECONDS: f64 = 0.02;
pub(crate) const LOAD_SECONDS: f64 = 2.0;
pub(crate) const TICK_SECONDS: f64 = 0.25;
pub(crate) const SEEDS: u64 = 5;

/// Draws a number between 0 inclusive and 1 exclusive.
pub(crate) fn uniform(random: &mut ChaCha8Rng) -> f64 {
    (random.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
}

/// Returns the length of a sample in tokens, which depends only on the arguments.
pub(crate) fn length(seed: u64, sample: &Identity, salt: u64) -> u32 {
    let trainer = sample.trainer.bytes().map(u64::from).sum::<u64>();
    let position = sample.step << 32 | u64::from(sample.group) << 8 | u64::from(sample.index);
    let mut random = ChaCha8Rng::seed_from_u64(
        seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ position ^ trainer << 48 ^ salt.rotate_left(40),
    );
    // The Box-Muller transform gives a normally distributed number.
    let radius = (-2.0 * (1.0 - uniform(&mut random)).ln()).sqrt();
    let normal = radius * (std::f64::consts::TAU * uniform(&mut random)).cos();
    ((MEDIAN_TOKENS * (LOG_SIGMA * normal).exp()) as u32).clamp(1, MAX_TOKENS)
}

/// Returns a lower bound for the idle seconds of both trainers together: the greater one of two
/// bounds.
///
/// Longest sample: with a staleness bound of 1, no sample of a step can start before the trainer
/// has trained on the step two before it, and the longest sample takes at least its time on the
/// fastest engine. Total work: the last step to complete is not complete before all tokens have
/// been generated on all slots.
pub(crate) fn lower_bound(seed: u64, slowdowns: &[f64]) -> f64 {
    let fastest = slowdowns.iter().copied().fold(f64::MAX, f64::min);
    let slots = slowdowns.iter();
    let tokens_per_second: f64 = slots
        .map(|slowdown| f64::from(SLOTS) / slowdown / TOKEN_SECONDS)
        .sum();
    let mut longest_sample_bound = 0.0;
    let mut total_tokens = 0.0;
    for (name, groups, seconds) in TRAINERS {
        let mut trained_at = vec![0.0_f64];
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
            total_tokens += lengths.iter().copied().map(f64::from).sum::<f64>();
            let longest = f64::from(lengths.into_iter().max().unwrap_or(0));
            let start = trained_at[(step as usize).saturating_sub(1)];
            let completed_at =
                trained_at[step as usize].max(start + longest * TOKEN_SECONDS * fastest);
            trained_at.push(completed_at + seconds);
        }
        longest_sample_bound += trained_at[STEPS as usize] - STEPS as f64 * seconds;
    }
    let work_bounds = TRAINERS
        .map(|(.., seconds)| total_tokens / tokens_per_second - (STEPS - 1) as f64 * seconds);
    longest_sample_bound.max(work_bounds.into_iter().fold(f64::MAX, f64::min))
}
