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

/// Returns the live node that ranks first for a duty.
pub fn first<'a>(live: &'a [Id], duty: &str) -> Option<&'a Name> {
    live.iter().max_by_key(|id| (weight(id, duty), &***id))
}

fn weight(node: &str, duty: &str) -> u64 {
    let seed = xxh3_64_with_seed(duty.as_bytes(), 0);
    xxh3_64_with_seed(node.as_bytes(), seed)
}
