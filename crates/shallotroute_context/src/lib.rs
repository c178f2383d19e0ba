//! What the parts of a node share: identity, clock, configuration in force, members, hosts, shutdown.
//! Start with [`Context`].

pub mod freshness;

use std::{net::SocketAddr, sync::Arc};

use shallotroute_config::snapshot::Snapshot;
use shallotroute_platform::host::Host;
use shallotroute_types::{
    clock::Clock,
    member::View,
    node::{Id, Incarnation},
    place::{Region, Zone},
};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::freshness::Freshness;

/// Shared by all parts of a node.
#[derive(Clone)]
pub struct Context {
    /// The node itself.
    pub local: Local,
    /// The node's clock.
    pub clock: Arc<dyn Clock>,
    /// The configuration in force; none before the first one is.
    pub configuration: watch::Receiver<Option<Arc<Snapshot>>>,
    /// Whether the node has confirmed its configuration lately and may take new work.
    pub confirmed: watch::Receiver<bool>,
    /// The members of the fleet.
    pub members: watch::Receiver<Arc<View>>,
    /// The platform's host list, as last read.
    pub hosts: watch::Receiver<Arc<Vec<Host>>>,
    /// Whether the node has read these again since it started or was resumed.
    pub freshness: Arc<Freshness>,
    /// Cancelled when the node stops taking new work.
    pub drain: CancellationToken,
    /// Cancelled when the work in progress is finished.
    pub stop: CancellationToken,
}

/// The identity of a node.
#[derive(Clone, Debug)]
pub struct Local {
    /// Its name.
    pub id: Id,
    /// Its region.
    pub region: Region,
    /// Its availability zone.
    pub zone: Zone,
    /// Its address for other nodes, UDP and TCP.
    pub address: SocketAddr,
    /// The incarnation of this start.
    pub incarnation: Incarnation,
}

impl Context {
    /// Tells whether the node may take new work.
    pub fn ready(&self) -> bool {
        !self.drain.is_cancelled()
            && *self.confirmed.borrow()
            && self.configuration.borrow().is_some()
    }
}
