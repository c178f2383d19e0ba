//! The state that all parts of a node share: identity, clock, configuration, members, hosts and shutdown
//! signals. The entry point is [`Context`].

pub mod freshness;

use std::{net::SocketAddr, sync::Arc};

use shallotroute_config::snapshot::Snapshot;
use shallotroute_platform::host::Host;
use shallotroute_types::{
    clock::Clock,
    location::{Region, Zone},
    member::View,
    node::{Id, Incarnation},
};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::freshness::Freshness;

/// The shared state of a node. Clones refer to the same channels and tokens.
#[derive(Clone)]
pub struct Context {
    /// The node's own identity and address.
    pub local: Local,
    /// The source of monotonic and wall-clock time; tests replace it.
    pub clock: Arc<dyn Clock>,
    /// The configuration in force; `None` until the first one has been adopted.
    pub configuration: watch::Receiver<Option<Arc<Snapshot>>>,
    /// Whether the node has confirmed its configuration recently and may take new work.
    pub confirmed: watch::Receiver<bool>,
    /// The members of the fleet.
    pub members: watch::Receiver<Arc<View>>,
    /// The platform's host list as of the last successful read.
    pub hosts: watch::Receiver<Arc<Vec<Host>>>,
    /// Which of these inputs the node has re-read since it started or was resumed.
    pub freshness: Arc<Freshness>,
    /// Cancelled when the node starts draining and takes no new work.
    pub drain: CancellationToken,
    /// Cancelled when the work in progress has finished and background tasks must end.
    pub stop: CancellationToken,
}

/// A node as it announces itself to others.
#[derive(Clone, Debug)]
pub struct Local {
    /// The name of the node, unique in the fleet.
    pub id: Id,
    /// The region that the node runs in.
    pub region: Region,
    /// The availability zone that the node runs in.
    pub zone: Zone,
    /// The address that other nodes use, for both UDP and TCP.
    pub address: SocketAddr,
    /// The incarnation of the process, which tells restarts of the node apart.
    pub incarnation: Incarnation,
}

impl Context {
    /// Returns whether the node may take new work: it is not draining, and its
    /// configuration is confirmed.
    pub fn is_ready(&self) -> bool {
        !self.drain.is_cancelled()
            && *self.confirmed.borrow()
            && self.configuration.borrow().is_some()
    }
}
