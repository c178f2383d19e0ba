//! The live nodes as one node sees them, and the owner of a key among them.

use std::{cmp::Reverse, net::SocketAddr};

use derive_more::Display;
use serde::{Deserialize, Serialize};

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
        self.live().max_by_key(|member| weight(key, &member.id))
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
        let mut members: Vec<&Member> = self.live().collect();
        members.sort_by_cached_key(|member| Reverse(weight(key, &member.id)));
        let mut first = Vec::with_capacity(members.len());
        let mut rest = Vec::new();
        for member in members {
            if first
                .iter()
                .any(|other: &&Member| other.zone == member.zone)
            {
                rest.push(member);
            } else {
                first.push(member);
            }
        }
        first.append(&mut rest);
        first.truncate(count);
        first
    }
}

fn weight(key: &str, id: &Id) -> (u64, Id) {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(key.len() as u64).to_le_bytes());
    hasher.update(key.as_bytes());
    hasher.update(id.as_bytes());
    let hash = hasher.finalize();
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hash.as_bytes()[..8]);
    (u64::from_le_bytes(bytes), id.clone())
}
