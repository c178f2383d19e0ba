//! Which live node does the duties that only one node may do at a time.

use std::time::Duration;

use shallotroute_types::{name::Name, node::Id};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The delay between two candidates' attempts: a write to the platform's store takes some
/// milliseconds, and a tenth of a second leaves room for a slow one.
const STAGGER: Duration = Duration::from_millis(100);

/// The most candidates that try within one takeover.
const MAX_RANK: usize = 8;

/// Returns how long a node waits before it claims a vacant duty; the first candidate does not wait.
pub fn delay(local: &str, live: &[Id], duty: &str) -> Duration {
    let own = weight(local, duty);
    let rank = live
        .iter()
        .filter(|other| &***other != local && (weight(other, duty), &***other) > (own, local))
        .count();
    STAGGER * u32::try_from(rank.min(MAX_RANK)).unwrap_or(u32::MAX)
}

/// Returns the node that ranks first for a duty by weighted rendezvous hashing: each is first for a
/// share of all duties in proportion to its capacity.
///
/// C. Schindelhauer and G. Schomaker, "Weighted distributed hash tables", SPAA 2005.
pub fn first<'a>(nodes: impl Iterator<Item = (&'a Id, u32)>, duty: &str) -> Option<&'a Name> {
    nodes
        .map(|(id, capacity)| {
            // The upper 53 bits fill the mantissa; one half keeps the logarithm finite.
            let uniform = ((weight(id, duty) >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
            (-f64::from(capacity.max(1)) / uniform.ln(), id)
        })
        .max_by(|(one, _), (other, _)| one.total_cmp(other))
        .map(|(_, id)| id)
}

fn weight(node: &str, duty: &str) -> u64 {
    let seed = xxh3_64_with_seed(duty.as_bytes(), 0);
    xxh3_64_with_seed(node.as_bytes(), seed)
}
