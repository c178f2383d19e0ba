//! Events and actions of the adoption state machine.

use std::{net::SocketAddr, sync::Arc, time::Duration, time::Instant};

use derive_more::Display;
use serde::{Deserialize, Serialize};
use shallotroute_types::{
    location::Zone,
    member::View,
    name::Name,
    node::{Id, Incarnation},
    revision::Revision,
};

use crate::{
    bundle::{Bundle, Head, Part},
    snapshot::Snapshot,
};

/// The local node.
#[derive(Clone, Debug)]
pub struct Local {
    /// The node's name, unique in the fleet.
    pub id: Id,
    /// The node's availability zone.
    pub zone: Zone,
    /// The incarnation, greater after each restart.
    pub incarnation: Incarnation,
}

/// The state of a node, as exchanged between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The name of the reporting node.
    pub node: Id,
    /// The incarnation of the reporting node.
    pub incarnation: Incarnation,
    /// The newest revision that the node holds; 0 if it holds none.
    pub known: Revision,
    /// The revision that the node applies; 0 if it applies none.
    pub in_force: Revision,
    /// Whether the node is established and holds a revision at least as new as any that it may have
    /// had in force before its restart.
    pub established: bool,
}

/// The source of a replica.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Origin {
    /// The key-value service.
    #[display("store")]
    Store,
    /// Another node.
    #[display("{_0}")]
    Peer(Id),
    /// A publication by the local node.
    #[display("publication")]
    Publication,
}

/// The node's copy of a revision.
#[derive(Clone, Debug)]
pub struct Replica {
    /// The decoded revision.
    pub snapshot: Arc<Snapshot>,
    /// The encoded revision, for other nodes.
    pub bundle: Arc<Bundle>,
    /// The source of the replica.
    pub origin: Origin,
    /// The time at which the node received the replica.
    pub since: Instant,
}

impl Replica {
    /// Returns the part with this hash; `None` if the revision does not contain it.
    pub fn part(&self, hash: &str) -> Option<Part> {
        let hashes = &self.snapshot.record.parts;
        let index = hashes.iter().position(|other| other == hash)?;
        self.bundle.parts.get(index).cloned()
    }
}

/// An input of the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// The view of the members changed.
    Members(Arc<View>),
    /// The names of the live hosts in the host list: nodes and backend servers.
    Hosts(Vec<Name>),
    /// The head was read; ends [`Action::Watch`] or [`Action::Read`].
    Head {
        /// The call that ends.
        call: Call,
        /// The version of the head's key; 0 if the key has no value.
        version: u64,
        /// The value of the head's key.
        head: Head,
        /// The start of the call.
        asked: Instant,
    },
    /// A call to read the head failed.
    HeadFailed(Call),
    /// A call for a revision ended; ends [`Action::Load`] or [`Action::Fetch`].
    Received {
        /// The source that was called.
        origin: Origin,
        /// The encoded revision; `None` if the call failed.
        bundle: Option<Bundle>,
    },
    /// The local node published a revision. The node need not read it back from the key-value
    /// service, which takes seconds while the service is slow.
    Published(Bundle),
    /// Another node sent its report, in the response to [`Action::Compare`] or in a call of its
    /// own.
    Reported(Report),
    /// The process resumed after a pause, so its state may be outdated.
    Resumed,
    /// Time has passed; sent at least every 200 ms.
    Tick,
}

/// A call that reads the head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// The long poll of [`Action::Watch`].
    Watch,
    /// The plain read of [`Action::Read`].
    Read,
}

/// An output of the state machine. Actions run concurrently; each but [`Action::Apply`] ends with
/// an event.
#[derive(Clone, Debug)]
pub enum Action {
    /// Waits until the head has another version than `known` (a long poll).
    Watch {
        /// The newest version of the head's key that the node has read.
        known: u64,
        /// The timeout of the long poll.
        wait: Duration,
    },
    /// Reads the head.
    Read,
    /// Loads the revision with this record hash from the key-value service.
    Load(String),
    /// Fetches a revision from another node.
    Fetch {
        /// The name of the other node.
        peer: Id,
        /// The address of the other node.
        address: SocketAddr,
        /// The lowest acceptable revision.
        revision: Revision,
    },
    /// Exchanges reports with another node.
    Compare {
        /// The name of the other node.
        peer: Id,
        /// The address of the other node.
        address: SocketAddr,
    },
    /// Puts a revision in force at the local node.
    Apply(Arc<Snapshot>),
}
