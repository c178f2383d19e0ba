//! What goes into and comes out of the adoption of revisions.

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

/// The node itself.
#[derive(Clone, Debug)]
pub struct Local {
    /// Its name.
    pub id: Id,
    /// Its availability zone.
    pub zone: Zone,
    /// The incarnation of this start.
    pub incarnation: Incarnation,
}

/// What a node tells another one about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The node.
    pub node: Id,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The newest revision that it holds.
    pub known: Revision,
    /// The revision that it applies.
    pub in_force: Revision,
    /// Whether it knows of every revision that it had in force before its start.
    pub established: bool,
}

/// Where a revision came from.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Origin {
    /// The key-value service.
    #[display("store")]
    Store,
    /// A node.
    #[display("{_0}")]
    Peer(Id),
    /// A publication of the node itself.
    #[display("publication")]
    Publication,
}

/// A revision that the node holds.
#[derive(Clone, Debug)]
pub struct Replica {
    /// The objects.
    pub snapshot: Arc<Snapshot>,
    /// The bytes, for other nodes.
    pub bundle: Arc<Bundle>,
    /// Where it came from.
    pub origin: Origin,
    /// When the node got it.
    pub since: Instant,
}

impl Replica {
    /// Returns the part with that hash.
    pub fn part(&self, hash: &str) -> Option<Part> {
        let names = &self.snapshot.record.parts;
        let index = names.iter().position(|name| name == hash)?;
        self.bundle.parts.get(index).cloned()
    }
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// Another view of the members.
    Members(Arc<View>),
    /// The names of the live hosts in the host list.
    Hosts(Vec<Name>),
    /// The head was read; ends [`Action::Watch`] or [`Action::Read`].
    Head {
        /// Which of the two it ends.
        call: Call,
        /// The version of the head's key.
        version: u64,
        /// The head.
        head: Head,
        /// When the call was made.
        asked: Instant,
    },
    /// The head could not be read.
    HeadFailed(Call),
    /// A revision came in, or could not be had; ends [`Action::Load`] or [`Action::Fetch`].
    Received {
        /// From where.
        origin: Origin,
        /// The bytes.
        bundle: Option<Bundle>,
    },
    /// The node itself published a revision. It need not wait until it reads its own head, which
    /// takes seconds while the key-value service is slow.
    Published(Bundle),
    /// A node told about itself, in an answer to [`Action::Compare`] or in a call of its own.
    Reported(Report),
    /// The process was stopped for a while, and what it knows may be old.
    Resumed,
    /// Time has passed; at least every 200 ms.
    Tick,
}

/// A way to read the head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// [`Action::Watch`].
    Watch,
    /// [`Action::Read`].
    Read,
}

/// What the driver does; each runs on its own and ends with an event.
#[derive(Clone, Debug)]
pub enum Action {
    /// Waits for another version of the head.
    Watch {
        /// The version that the node knows.
        known: u64,
        /// How long at most.
        wait: Duration,
    },
    /// Reads the head.
    Read,
    /// Loads the revision with this record hash from the key-value service.
    Load(String),
    /// Gets this or a later revision from a node.
    Fetch {
        /// The node.
        peer: Id,
        /// Its address.
        address: SocketAddr,
        /// The revision.
        revision: Revision,
    },
    /// Exchanges reports with a node.
    Compare {
        /// The node.
        peer: Id,
        /// Its address.
        address: SocketAddr,
    },
    /// Puts a revision in force.
    Apply(Arc<Snapshot>),
}
