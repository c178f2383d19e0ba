//! Intervals and time limits, which grow with the number of members.

use std::time::Duration;

/// The shortest time between two rounds of heartbeats.
pub const MIN_INTERVAL: Duration = Duration::from_millis(200);

/// Members that get a datagram in each round.
pub const FANOUT: usize = 4;

/// Silence after which a member is suspected, in a small fleet.
pub const SUSPECT_AFTER: Duration = Duration::from_secs(1);

/// Silence after which a member is declared dead, in a small fleet.
pub const DEAD_AFTER: Duration = Duration::from_secs(3);

/// Silence after which a dead member is forgotten though the host list may have it.
pub const FORGET_AFTER: Duration = Duration::from_secs(60);

/// How recent the news of a majority must be.
pub const MAJORITY_WITHIN: Duration = Duration::from_secs(6);

/// Bytes of heartbeats that a node may send per second, IP and UDP headers included. The budget is
/// 10 KB/s; the rest is for answers to new members and for heartbeats that do not wait.
const BYTES_PER_SECOND: u64 = 8_000;

/// Bytes of the IPv4 and UDP headers.
const HEADER_BYTES: u64 = 28;

/// The least coverage that is calculated with, so that the limits stay finite.
const MIN_COVERAGE: f64 = 0.05;

/// Rounds that news may take beyond the logarithm of the fleet's size before a member is suspected.
const SPARE_ROUNDS: f64 = 2.0;

/// The time limits for a number of members and a length of datagrams.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    /// The time between two rounds.
    pub interval: Duration,
    /// Silence after which a member is suspected.
    pub suspect_after: Duration,
    /// Silence after which a member is declared dead.
    pub dead_after: Duration,
    /// The share of the members of which one datagram can carry news.
    pub coverage: f64,
}

impl Pace {
    /// Calculates the limits for `members` nodes that send datagrams of `bytes`, each with news of a
    /// share `coverage` of the members.
    ///
    /// News reaches all of n members in about log(n) / log(1 + fanout) rounds of push gossip:
    /// A. Demers et al., "Epidemic algorithms for replicated database maintenance", PODC 1987. With
    /// partial coverage each node passes the news on to `fanout * coverage` others in a round.
    pub fn new(members: usize, bytes: usize, coverage: f64) -> Self {
        let targets = members.saturating_sub(1).clamp(1, FANOUT) as u64;
        let sent = targets * (bytes as u64 + HEADER_BYTES);
        let interval = MIN_INTERVAL.max(Duration::from_millis(sent * 1_000 / BYTES_PER_SECOND));
        let growth = FANOUT as f64 * coverage.max(MIN_COVERAGE);
        let rounds = SPARE_ROUNDS + (members.max(1) as f64).ln() / growth.ln_1p();
        let suspect_after = SUSPECT_AFTER.max(interval.mul_f64(rounds));
        Self {
            interval,
            suspect_after,
            dead_after: DEAD_AFTER.max(suspect_after * 2),
            coverage,
        }
    }
}
