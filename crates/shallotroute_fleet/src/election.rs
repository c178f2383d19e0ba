//! Ranks nodes for leader election and for keys that one node at a time is responsible for.

use std::time::Duration;

use shallotroute_types::{name::Name, node::Id};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The delay between the campaigns of two consecutive candidates. A write to the platform's store
/// takes some milliseconds; a tenth of a second leaves room for a slow one.
const STAGGER: Duration = Duration::from_millis(100);

/// The rank from which on all candidates share the longest delay.
const MAX_RANK: usize = 8;

/// The delay before a new leader's first order; an order of the former leader may be in flight.
const FIRST_ORDER_DELAY: Duration = Duration::from_millis(300);

/// Why the leadership is vacant, as the local node sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Vacancy {
    /// The former leader has stepped down.
    Released,
    /// The former leader's record is gone, because its lease has ended.
    Expired,
    /// The record names a former process of the local node, which has ended. All nodes restart
    /// together after a loss of power, and model servers then have orders from no one until there is
    /// a leader.
    FormerProcess,
}

impl Vacancy {
    /// Returns how long the local node waits before it campaigns. Another node may not replace a
    /// record of this node's former process, so that no candidate competes.
    pub fn campaign_delay(self, local_node: &str, live: &[Id], key: &str) -> Duration {
        match self {
            Self::Released | Self::Expired => campaign_delay(local_node, live, key),
            Self::FormerProcess => Duration::ZERO,
        }
    }

    /// Returns the delay before the first order of the next leader. `stale_order_delay` is the time
    /// that must pass between the orders of two nodes if one of them may not know that it no longer
    /// leads; model servers that check fencing numbers need none.
    pub fn order_delay(self, stale_order_delay: Duration) -> Duration {
        match self {
            Self::Released | Self::FormerProcess => FIRST_ORDER_DELAY,
            Self::Expired => FIRST_ORDER_DELAY + stale_order_delay,
        }
    }
}

/// Returns how long a node waits before it campaigns for a vacant leadership. The delay grows with
/// the node's rank for `key` among the `live` nodes and is zero for the first, so that candidates
/// rarely write at the same time.
pub fn campaign_delay(local_node: &str, live: &[Id], key: &str) -> Duration {
    let own = weight(local_node, key);
    let rank = live
        .iter()
        .filter(|other| {
            &***other != local_node && (weight(other, key), &***other) > (own, local_node)
        })
        .count();
    STAGGER * u32::try_from(rank.min(MAX_RANK)).unwrap_or(u32::MAX)
}

/// Returns the node that runs the batch jobs with this key, or `None` if there is no node. Where hosts
/// differ in size, only those with at least half of the largest capacity are eligible: all outputs of
/// a step, and the pages of results that its readers fetch, pass through one host.
pub fn job_node<'a>(
    nodes: impl Iterator<Item = (&'a Id, u32)> + Clone,
    key: &str,
) -> Option<&'a Name> {
    let smallest = job_capacity(nodes.clone().map(|(_, capacity)| capacity));
    preferred_node(nodes.filter(|(_, capacity)| *capacity >= smallest), key)
}

/// Returns the smallest capacity of a host that runs batch jobs: half of the largest one.
pub fn job_capacity(capacities: impl Iterator<Item = u32>) -> u32 {
    capacities.max().unwrap_or_default() / 2
}

/// Returns the node that ranks first for `key` by weighted rendezvous hashing, or `None` if there is
/// no node. `nodes` are identities with their capacities; each node ranks first for a share of all
/// keys in proportion to its capacity.
///
/// C. Schindelhauer and G. Schomaker, "Weighted distributed hash tables", SPAA 2005.
pub fn preferred_node<'a>(
    nodes: impl Iterator<Item = (&'a Id, u32)>,
    key: &str,
) -> Option<&'a Name> {
    nodes
        .map(|(id, capacity)| {
            // The upper 53 bits fill the mantissa; one half keeps the logarithm finite.
            let uniform = ((weight(id, key) >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
            (-f64::from(capacity.max(1)) / uniform.ln(), id)
        })
        .max_by(|(one, _), (other, _)| one.total_cmp(other))
        .map(|(_, id)| id)
}

pub(crate) fn weight(node: &str, key: &str) -> u64 {
    let seed = xxh3_64_with_seed(key.as_bytes(), 0);
    xxh3_64_with_seed(node.as_bytes(), seed)
}
