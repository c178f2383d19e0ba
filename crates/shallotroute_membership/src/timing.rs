//! The interval of heartbeats and the timeouts for members, which grow with the size of the fleet.

use std::time::Duration;

/// The interval between two rounds of heartbeats in a small fleet.
pub const MIN_INTERVAL: Duration = Duration::from_millis(200);

/// The number of members to which a node sends a datagram in each round.
pub const FANOUT: usize = 4;

/// The suspicion timeout in a small fleet.
pub const SUSPECT_AFTER: Duration = Duration::from_secs(1);

/// The death timeout in a small fleet.
pub const DEAD_AFTER: Duration = Duration::from_secs(3);

/// The silence after which a dead member is removed even if the host list contains it.
pub const REMOVE_AFTER: Duration = Duration::from_secs(60);

/// The silence after which a member no longer counts towards the majority that a node hears from.
pub const MAJORITY_TIMEOUT: Duration = Duration::from_secs(6);

/// The bytes per second that a node may send in regular rounds, including IP and UDP headers. The
/// budget is 10 KB/s; the rest is for responses to new members and for urgent rounds.
const BYTES_PER_SECOND: u64 = 8_000;

/// Length of the IPv4 and UDP headers of a datagram.
const HEADER_BYTES: u64 = 28;

/// The lowest coverage used in the calculation, which keeps the timeouts finite.
const MIN_COVERAGE: f64 = 0.05;

/// The rounds by which the suspicion timeout exceeds the time that gossip needs to reach the fleet.
const EXTRA_ROUNDS: f64 = 2.0;

/// The interval and the timeouts for a number of members and a length of datagrams.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timing {
    /// The interval between two rounds of heartbeats.
    pub interval: Duration,
    /// The silence after which a member is suspected.
    pub suspect_after: Duration,
    /// The silence after which a member is declared dead.
    pub dead_after: Duration,
    /// The share of the members whose ages fit into one datagram, from 0 to 1.
    pub coverage: f64,
}

impl Timing {
    /// Calculates the timing for `member_count` nodes, each of which sends datagrams of `datagram_bytes`
    /// that carry the ages of a share `coverage` of the members.
    ///
    /// An age reaches all of n members in about log(n) / log(1 + fanout) rounds of push gossip: A.
    /// Demers et al., "Epidemic algorithms for replicated database maintenance", PODC 1987. With partial
    /// coverage each node passes an age on to only `fanout * coverage` others in a round.
    pub fn new(member_count: usize, datagram_bytes: usize, coverage: f64) -> Self {
        let target_count = member_count.saturating_sub(1).clamp(1, FANOUT) as u64;
        let round_bytes = target_count * (datagram_bytes as u64 + HEADER_BYTES);
        let interval = MIN_INTERVAL.max(Duration::from_millis(
            round_bytes * 1_000 / BYTES_PER_SECOND,
        ));
        let spread_factor = FANOUT as f64 * coverage.max(MIN_COVERAGE);
        let rounds = EXTRA_ROUNDS + (member_count.max(1) as f64).ln() / spread_factor.ln_1p();
        let suspect_after = SUSPECT_AFTER.max(interval.mul_f64(rounds));
        Self {
            interval,
            suspect_after,
            dead_after: DEAD_AFTER.max(suspect_after * 2),
            coverage,
        }
    }
}
