//! Starts nodes that exchange heartbeats over loopback sockets.

use std::{net::SocketAddr, sync::Arc};

use prometheus_client::registry::Registry;
use shallotroute_context::Local;
use shallotroute_peer::heartbeat::{Heartbeat, Options};
use shallotroute_platform::host::Host;
use shallotroute_types::{
    clock::System, member::View, name::Name, node::Incarnation, revision::Revision,
};
use tokio::{net::UdpSocket, sync::watch};
use tokio_util::sync::CancellationToken;

/// The key of the fleet under test.
pub(crate) const KEY: [u8; 32] = [7; 32];

#[expect(clippy::rc_buffer, reason = "the type that Options takes")]
pub(crate) struct Node {
    pub(crate) address: SocketAddr,
    pub(crate) heartbeat: Arc<Heartbeat>,
    pub(crate) known: watch::Sender<Revision>,
    pub(crate) hosts: watch::Sender<Arc<Vec<Host>>>,
    pub(crate) members: watch::Receiver<Arc<View>>,
    pub(crate) drain: CancellationToken,
    pub(crate) stop: CancellationToken,
    pub(crate) registry: Registry,
}

/// Starts the heartbeats of node `n{index}`; `seeds` are the addresses that it knows at first.
pub(crate) async fn start(index: u64, seeds: Vec<SocketAddr>, key: [u8; 32]) -> Node {
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let address = socket.local_addr().unwrap();
    let (known, known_receiver) = watch::channel(Revision(0));
    let (_, configuration) = watch::channel(None);
    let (hosts, hosts_receiver) = watch::channel(Arc::new(Vec::new()));
    let (members_sender, members) = watch::channel(Arc::new(View::default()));
    let (drain, stop) = (CancellationToken::new(), CancellationToken::new());
    let options = Options {
        local: local(index, address),
        seeds,
        key,
        socket,
        clock: Arc::new(System),
        known_revision: known_receiver,
        configuration,
        hosts: hosts_receiver,
        members: members_sender,
        drain: drain.clone(),
        stop: stop.clone(),
        seed: index,
    };
    let mut registry = Registry::default();
    let heartbeat = Heartbeat::new(options, &mut registry);
    tokio::spawn(Arc::clone(&heartbeat).run());
    Node {
        address,
        heartbeat,
        known,
        hosts,
        members,
        drain,
        stop,
        registry,
    }
}

fn local(index: u64, address: SocketAddr) -> Local {
    Local {
        id: Name::new(format!("n{index}")),
        region: Name::new("r"),
        zone: Name::new("z"),
        address,
        incarnation: Incarnation(1),
    }
}
