//! The nodes on the platform, and the duty that one of them holds, as their entries in the store
//! tell. An entry lives as long as its node renews its lease.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use shallotroute_batch::record::{self, Owner};
use shallotroute_fleet::election;
use shallotroute_types::{fence::Fence, node::Id, place::Zone};

/// The prefix of the entries of nodes and of the duty; one watch follows them all.
pub(crate) const PREFIX: &str = "shallotroute/member/";

/// The prefix of nodes' entries.
const NODE_PREFIX: &str = "shallotroute/member/node/";

/// The key of the duty.
pub(crate) const DUTY_KEY: &str = "shallotroute/member/duty";

/// How long after an outage of the store missing entries of nodes may return.
const RETURN_TIME: Duration = Duration::from_millis(2500);

/// A node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Member {
    /// Its process.
    pub(crate) owner: Owner,
    /// Its availability zone.
    pub(crate) zone: Zone,
    /// Thousandths of a processor core.
    pub(crate) capacity: u32,
    /// Whether it stops and takes no new work.
    pub(crate) leaving: bool,
}

/// Who gives orders to model servers and looks after jobs without an owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Duty {
    /// The holder; none when the last one gave it up in good order.
    pub(crate) holder: Option<Owner>,
}

/// The duty as it stands in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct HeldDuty {
    /// The holder; none after an orderly end.
    pub(crate) holder: Option<Owner>,
    /// The revision of the entry, which is the holder's fencing number.
    pub(crate) fence: Fence,
}

/// What is known of the nodes.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Members {
    /// The live nodes.
    pub(crate) nodes: BTreeMap<Id, Member>,
    /// The duty; none when its holder's lease has ended.
    pub(crate) duty: Option<HeldDuty>,
    /// When the entries could be read again after an outage; some may still be missing then.
    pub(crate) regained: Option<Instant>,
    /// Whether the entries were read once.
    pub(crate) read: bool,
    /// How often the local node's entry was found to have vanished.
    pub(crate) own_losses: u64,
}

impl Members {
    /// Replaces what is known by the entries of a whole read.
    pub(crate) fn replace(&mut self, items: &[(String, Vec<u8>, u64)]) {
        self.nodes.clear();
        self.duty = None;
        for (key, value, revision) in items {
            self.put(key, value, *revision);
        }
    }

    /// Applies the write of an entry.
    pub(crate) fn put(&mut self, key: &str, value: &[u8], revision: u64) {
        if key == DUTY_KEY {
            match record::decode::<Duty>("duty", value) {
                Ok(duty) => {
                    self.duty = Some(HeldDuty {
                        holder: duty.holder,
                        fence: Fence(revision),
                    });
                }
                Err(error) => unreadable(key, &error),
            }
            return;
        }
        let Some(node) = key.strip_prefix(NODE_PREFIX) else {
            return;
        };
        match record::decode::<Member>("member", value) {
            Ok(member) => {
                self.nodes.insert(Id::from(node), member);
            }
            Err(error) => unreadable(key, &error),
        }
    }

    /// Applies the removal of an entry.
    pub(crate) fn remove(&mut self, key: &str) {
        if key == DUTY_KEY {
            self.duty = None;
            return;
        }
        if let Some(node) = key.strip_prefix(NODE_PREFIX) {
            self.nodes.remove(node);
        }
    }

    /// Tells whether a process is live.
    pub(crate) fn lives(&self, owner: &Owner) -> bool {
        let member = self.nodes.get(&owner.node);
        member.is_some_and(|member| member.owner == *owner)
    }

    /// Tells whether entries may still be missing after an outage.
    pub(crate) fn unsettled(&self, now: Instant) -> bool {
        self.regained
            .is_some_and(|regained| now < regained + RETURN_TIME)
    }

    /// Returns the node that takes new work under a key.
    pub(crate) fn home(&self, key: &str) -> Option<&Member> {
        let staying = self.nodes.iter().filter(|(_, member)| !member.leaving);
        let id = election::first(staying.map(|(id, member)| (id, member.capacity)), key)?;
        self.nodes.get(id)
    }

    /// Returns the node that watches the store for an availability zone.
    pub(crate) fn source(&self, zone: &Zone) -> Option<&Member> {
        let near = self
            .nodes
            .iter()
            .filter(|(_, member)| member.zone == *zone && !member.leaving);
        let id = election::first(near.map(|(id, member)| (id, member.capacity)), "source")?;
        self.nodes.get(id)
    }

    /// Returns the names of the live nodes.
    pub(crate) fn live(&self) -> Vec<Id> {
        self.nodes.keys().cloned().collect()
    }
}

/// Returns the key of a node's entry.
pub(crate) fn node_key(node: &str) -> String {
    format!("{NODE_PREFIX}{node}")
}

fn unreadable(key: &str, error: &record::Error) {
    spdlog::warn!("member entry can't be read", kv: { key, error = error.to_string() });
}
