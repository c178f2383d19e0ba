//! The live nodes as one node sees them, and the owner of a key among them.

use std::{cmp::Reverse, net::SocketAddr};

use derive_more::Display;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{
    node::{Id, Incarnation},
    place::{Region, Zone},
    revision::Revision,
};

/// What is known of a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The node.
    pub id: Id,
    /// Its region.
    pub region: Region,
    /// Its availability zone.
    pub zone: Zone,
    /// The address for heartbeats (UDP) and calls (TCP).
    pub address: SocketAddr,
    /// The node's incarnation.
    pub incarnation: Incarnation,
    /// Whether it is alive.
    pub state: State,
    /// The newest revision that it holds.
    pub known: Revision,
    /// The revision that it applies.
    pub in_force: Revision,
}

/// The state of a node in the view of another.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Heard from in time.
    #[display("alive")]
    Alive,
    /// Not heard from for the suspicion time; still counts as live.
    #[display("suspect")]
    Suspect,
    /// Finishes its work and takes no roles.
    #[display("leaving")]
    Leaving,
    /// Not heard from for the death time, or gone.
    #[display("dead")]
    Dead,
}

/// All members that a node knows, itself included.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// The node whose view this is.
    pub local: Option<Id>,
    /// All members, sorted by name.
    pub members: Vec<Member>,
    /// Whether the local node heard from a majority of the listed hosts in time.
    pub majority: bool,
}

impl View {
    /// Returns the members that may take roles.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        self.members
            .iter()
            .filter(|member| matches!(member.state, State::Alive | State::Suspect))
    }

    /// Returns the member of that name.
    pub fn get(&self, id: &str) -> Option<&Member> {
        self.members.iter().find(|member| member.id.as_str() == id)
    }

    /// Returns the live member that owns `key` by rendezvous hashing.
    pub fn owner(&self, key: &str) -> Option<&Member> {
        let seed = xxh3_64(key.as_bytes());
        self.live()
            .max_by_key(|member| (weight(seed, member), &member.id))
    }

    /// Tells whether the local node owns `key`.
    pub fn is_owner(&self, key: &str) -> bool {
        self.owner(key).map(|member| &member.id) == self.local.as_ref()
    }

    /// Returns up to `count` live members for `key`, the owner first, and members of distinct
    /// availability zones before a second one of any zone.
    ///
    /// Rendezvous hashing: D. Thaler and C. Ravishankar, "Using name-based mappings to increase
    /// hit rates", IEEE/ACM Transactions on Networking 6(1), 1998.
    pub fn ranked(&self, key: &str, count: usize) -> Vec<&Member> {
        let seed = xxh3_64(key.as_bytes());
        let mut members: Vec<(u64, &Member)> = self
            .live()
            .map(|member| (weight(seed, member), member))
            .collect();
        members.sort_unstable_by_key(|(weight, member)| Reverse((*weight, &member.id)));
        let mut first: Vec<&Member> = Vec::with_capacity(count);
        let mut rest = Vec::new();
        for (_, member) in members {
            if first.len() == count {
                break;
            }
            match first.iter().any(|other| other.zone == member.zone) {
                true => rest.push(member),
                false => first.push(member),
            }
        }
        first.append(&mut rest);
        first.truncate(count);
        first
    }
}

/// A hash that is the same in all processes and takes a few nanoseconds: a request may need that of
/// 1,700 members.
fn weight(seed: u64, member: &Member) -> u64 {
    xxh3_64_with_seed(member.id.as_bytes(), seed)
}
