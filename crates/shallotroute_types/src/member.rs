//! The members of the fleet as one node sees them, and the assignment of keys to them by rendezvous
//! hashing.

use std::{cmp::Reverse, net::SocketAddr};

use derive_more::Display;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{
    location::{Region, Zone},
    node::{Id, Incarnation},
    revision::Revision,
};

/// A node of the fleet, as it describes itself or as another node describes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The node's name.
    pub id: Id,
    /// The node's region.
    pub region: Region,
    /// The node's availability zone.
    pub zone: Zone,
    /// The address for heartbeats (UDP) and calls (TCP).
    pub address: SocketAddr,
    /// The incarnation to which `state` and the revisions belong.
    pub incarnation: Incarnation,
    /// Whether the node is alive.
    pub state: State,
    /// The newest revision of the configuration that the node holds.
    pub known: Revision,
    /// The revision of the configuration that the node applies.
    pub in_force: Revision,
}

/// The state of a node in the view of another.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Heard from within the suspicion timeout.
    #[display("alive")]
    Alive,
    /// Not heard from for the suspicion timeout; still counts as live.
    #[display("suspect")]
    Suspect,
    /// Draining: the node finishes its work and takes no roles.
    #[display("leaving")]
    Leaving,
    /// Not heard from for the death timeout, or stopped.
    #[display("dead")]
    Dead,
}

/// All members that a node knows, including itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// The node whose view this is; `None` in the empty default view.
    pub local: Option<Id>,
    /// The members, sorted by `id`.
    pub members: Vec<Member>,
    /// Whether the local node recently heard from a majority of the listed hosts, or of the known
    /// members while no host list is available.
    pub majority: bool,
}

impl View {
    /// Returns the members that may take roles: those that are alive or suspect.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        self.members
            .iter()
            .filter(|member| matches!(member.state, State::Alive | State::Suspect))
    }

    /// Returns the member named `id`, or `None` when it is unknown.
    pub fn get(&self, id: &str) -> Option<&Member> {
        self.members.iter().find(|member| member.id.as_str() == id)
    }

    /// Returns the live member that owns `key` by rendezvous hashing, or `None` when no member is
    /// live.
    pub fn owner(&self, key: &str) -> Option<&Member> {
        let key_hash = xxh3_64(key.as_bytes());
        self.live()
            .max_by_key(|member| (weight(key_hash, member), &member.id))
    }

    /// Returns whether the local node owns `key`. The empty default view counts as the owner.
    pub fn is_owner(&self, key: &str) -> bool {
        self.owner(key).map(|member| &member.id) == self.local.as_ref()
    }

    /// Returns up to `count` live members for `key`: the owner first, and a member of each
    /// availability zone before the second member of any zone.
    ///
    /// Rendezvous hashing: D. Thaler and C. Ravishankar, "Using name-based mappings to increase
    /// hit rates", IEEE/ACM Transactions on Networking 6(1), 1998.
    pub fn ranked(&self, key: &str, count: usize) -> Vec<&Member> {
        let key_hash = xxh3_64(key.as_bytes());
        let mut members: Vec<(u64, &Member)> = self
            .live()
            .map(|member| (weight(key_hash, member), member))
            .collect();
        members.sort_unstable_by_key(|(weight, member)| Reverse((*weight, &member.id)));
        let mut chosen: Vec<&Member> = Vec::with_capacity(count);
        let mut deferred = Vec::new();
        for (_, member) in members {
            if chosen.len() == count {
                break;
            }
            match chosen.iter().any(|other| other.zone == member.zone) {
                true => deferred.push(member),
                false => chosen.push(member),
            }
        }
        chosen.append(&mut deferred);
        chosen.truncate(count);
        chosen
    }
}

/// Returns the rendezvous weight of a member for the key with hash `key_hash`. The hash function
/// gives the same value in all processes and takes a few nanoseconds: a request may need the weights
/// of 1,700 members.
fn weight(key_hash: u64, member: &Member) -> u64 {
    xxh3_64_with_seed(member.id.as_bytes(), key_hash)
}
