//! The live nodes and their leader, as read from the platform's store. An entry exists as long as
//! its node renews its lease.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use shallotroute_batch::record::{self, Owner};
use shallotroute_fleet::{election, source};
use shallotroute_types::{fence::Fence, location::Zone, node::Id};

/// The prefix of the nodes' entries and of the leadership; one watch covers them all.
pub(crate) const PREFIX: &str = "shallotroute/member/";

/// The prefix of nodes' entries.
const NODE_PREFIX: &str = "shallotroute/member/node/";

/// The prefix of the keys that exist while a registered node has lost its links to the backend servers.
const STRANDED_PREFIX: &str = "shallotroute/member/stranded/";

/// The key of the leadership.
pub(crate) const LEADER_KEY: &str = "shallotroute/member/duty";

/// How long entries may be missing after an outage of the store: nodes whose leases ended register
/// again.
const RECOVERY_PERIOD: Duration = Duration::from_millis(2500);

/// The entry of a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Member {
    /// The node's process.
    pub(crate) owner: Owner,
    /// The node's availability zone.
    pub(crate) zone: Zone,
    /// The node's processor cores, in thousandths.
    pub(crate) capacity: u32,
    /// Whether the node drains and takes no new work.
    pub(crate) leaving: bool,
    /// The version of the calls that the node answers to other nodes, [`PROTOCOL`] for this build. It
    /// follows the other fields in the record; 0 if the node's build does not write it.
    #[serde(skip)]
    pub(crate) protocol: u32,
}

/// The version of the calls between nodes. Calls that were added with a version go only to nodes whose
/// entry names at least that version: an earlier build closes the connection on an unknown call.
pub(crate) const PROTOCOL: u32 = 1;

/// The stored record of the leadership.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LeaderRecord {
    /// The leader; `None` after a leader has stepped down.
    pub(crate) holder: Option<Owner>,
}

/// The leadership as read from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Leadership {
    /// The leader; `None` after a leader has stepped down.
    pub(crate) leader: Option<Owner>,
    /// The revision of the record, which is the leader's fencing number.
    pub(crate) fence: Fence,
}

impl Member {
    /// Returns the stored form of the entry.
    pub(crate) fn encode(&self) -> Vec<u8> {
        record::encode_extended(self, &self.protocol)
    }

    fn decode(bytes: &[u8]) -> record::Result<Self> {
        let (member, protocol) = record::decode_extended("member", bytes)?;
        Ok(Self { protocol, ..member })
    }
}

/// The known nodes and their leader.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Members {
    /// The live nodes.
    pub(crate) nodes: BTreeMap<Id, Member>,
    /// The nodes that have lost their links to the backend servers.
    pub(crate) stranded: BTreeSet<Id>,
    /// The leadership; `None` if there is no record of it, as after the leader's lease has ended.
    pub(crate) leadership: Option<Leadership>,
    /// When the store responded again after an outage; entries may be missing for
    /// [`RECOVERY_PERIOD`] after that.
    pub(crate) reconnected_at: Option<Instant>,
    /// Whether the entries have been read from the store.
    pub(crate) is_loaded: bool,
    /// How often the local node's entry has disappeared from the store.
    pub(crate) entry_losses: u64,
}

impl Members {
    /// Applies the write of an entry.
    pub(crate) fn put(&mut self, key: &str, value: &[u8], revision: u64) {
        if key == LEADER_KEY {
            match record::decode::<LeaderRecord>("duty", value) {
                Ok(leadership) => {
                    self.leadership = Some(Leadership {
                        leader: leadership.holder,
                        fence: Fence(revision),
                    });
                }
                Err(error) => log_decode_error(key, &error),
            }
            return;
        }
        if let Some(node) = key.strip_prefix(STRANDED_PREFIX) {
            self.stranded.insert(Id::from(node));
            return;
        }
        let Some(node) = key.strip_prefix(NODE_PREFIX) else {
            return;
        };
        match Member::decode(value) {
            Ok(member) => {
                self.nodes.insert(Id::from(node), member);
            }
            Err(error) => log_decode_error(key, &error),
        }
    }

    /// Applies the removal of an entry.
    pub(crate) fn remove(&mut self, key: &str) {
        if key == LEADER_KEY {
            self.leadership = None;
            return;
        }
        if let Some(node) = key.strip_prefix(STRANDED_PREFIX) {
            self.stranded.remove(node);
        }
        if let Some(node) = key.strip_prefix(NODE_PREFIX) {
            self.nodes.remove(node);
        }
    }

    /// Returns whether a process has an entry.
    pub(crate) fn is_live(&self, owner: &Owner) -> bool {
        let member = self.nodes.get(&owner.node);
        member.is_some_and(|member| member.owner == *owner)
    }

    /// Returns whether entries may be missing because of an outage.
    pub(crate) fn is_recovering(&self, now: Instant) -> bool {
        self.reconnected_at
            .is_some_and(|reconnected_at| now < reconnected_at + RECOVERY_PERIOD)
    }

    /// Returns the nodes that reach backend servers and are not leaving.
    pub(crate) fn linked_nodes(&self) -> impl Iterator<Item = (&Id, &Member)> + Clone {
        self.staying_nodes()
            .filter(|(id, _)| !self.stranded.contains(*id))
    }

    /// Returns the node that runs the batch jobs of a route; `None` if all nodes are leaving.
    pub(crate) fn node_for(&self, key: &str) -> Option<&Member> {
        let linked = self
            .linked_nodes()
            .map(|(id, member)| (id, member.capacity));
        let all = self
            .staying_nodes()
            .map(|(id, member)| (id, member.capacity));
        let id = election::job_node(linked, key).or_else(|| election::job_node(all, key))?;
        self.nodes.get(id)
    }

    fn staying_nodes(&self) -> impl Iterator<Item = (&Id, &Member)> + Clone {
        self.nodes.iter().filter(|(_, member)| !member.leaving)
    }

    /// Returns the nodes that may run batch jobs.
    pub(crate) fn job_nodes(&self) -> impl Iterator<Item = &Member> {
        let candidates = || self.nodes.values().filter(|member| !member.leaving);
        let smallest = election::job_capacity(candidates().map(|member| member.capacity));
        candidates().filter(move |member| member.capacity >= smallest)
    }

    /// Returns the nodes that are not leaving, as sources of the store's changes.
    pub(crate) fn source_nodes(&self) -> Vec<source::Node> {
        self.staying_nodes().map(source_node).collect()
    }

    /// Returns the nodes among [`Members::source_nodes`] that reach backend servers.
    pub(crate) fn linked_source_nodes(&self) -> Vec<source::Node> {
        self.linked_nodes().map(source_node).collect()
    }

    /// Returns whether a process answers the calls that were added with a protocol version.
    pub(crate) fn speaks(&self, owner: &Owner, protocol: u32) -> bool {
        let member = self.nodes.get(&owner.node);
        member.is_some_and(|member| member.owner == *owner && member.protocol >= protocol)
    }

    /// Returns the address at which a node answers other nodes.
    pub(crate) fn address(&self, id: &Id) -> Option<SocketAddr> {
        self.nodes.get(id).map(|member| member.owner.address)
    }

    /// Returns the identities of the live nodes.
    pub(crate) fn live_nodes(&self) -> Vec<Id> {
        self.nodes.keys().cloned().collect()
    }
}

/// Returns whether all nodes follow the keys with a prefix, as they follow those of the members.
pub(crate) const fn is_followed(prefix: &str) -> bool {
    let (followed, prefix) = (PREFIX.as_bytes(), prefix.as_bytes());
    let mut index = 0;
    while index < followed.len() {
        if index >= prefix.len() || prefix[index] != followed[index] {
            return false;
        }
        index += 1;
    }
    true
}

fn source_node((id, member): (&Id, &Member)) -> source::Node {
    source::Node {
        id: id.clone(),
        zone: member.zone.clone(),
        capacity: member.capacity,
    }
}

/// Returns the key that exists while a node has lost its links to the backend servers.
pub(crate) fn stranded_key(node: &str) -> String {
    format!("{STRANDED_PREFIX}{node}")
}

/// Returns the key of a node's entry.
pub(crate) fn node_key(node: &str) -> String {
    format!("{NODE_PREFIX}{node}")
}

fn log_decode_error(key: &str, error: &record::Error) {
    spdlog::warn!("failed to decode member entry", kv: { key, error = error.to_string() });
}
