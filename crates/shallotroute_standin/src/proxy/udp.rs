//! A proxy for UDP datagrams.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Instant,
};

use tokio::net::UdpSocket;
use tokio_util::sync::{CancellationToken, DropGuard};

use super::{Control, Direction, Fault};
use crate::server::ANY;

/// The size limit of a datagram.
const MAX_DATAGRAM_BYTES: usize = 64 << 10;

/// A UDP proxy, with a separate socket to the target for each client; dropping it stops it.
#[derive(Debug)]
pub struct Udp {
    address: SocketAddr,
    control: Control,
    _stop: DropGuard,
}

struct Relay {
    socket: Arc<UdpSocket>,
    control: Control,
    datagrams: AtomicU64,
    stop: CancellationToken,
}

impl Udp {
    /// Starts a proxy without faults that forwards to `target`.
    ///
    /// # Errors
    ///
    /// Fails when no address can be bound.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let socket = Arc::new(UdpSocket::bind(ANY).await?);
        let address = socket.local_addr()?;
        let control = Control::new();
        let stop = CancellationToken::new();
        let relay = Arc::new(Relay {
            socket,
            control: control.clone(),
            datagrams: AtomicU64::new(0),
            stop: stop.clone(),
        });
        tokio::spawn(stop.clone().run_until_cancelled_owned(relay.run(target)));
        Ok(Self {
            address,
            control,
            _stop: stop.drop_guard(),
        })
    }

    /// Returns the address to which clients send datagrams.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the faults of later datagrams.
    pub fn set_fault(&self, fault: Fault) {
        self.control.set(fault);
    }
}

impl Relay {
    async fn run(self: Arc<Self>, target: SocketAddr) {
        let mut clients: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let Ok((length, client)) = self.socket.recv_from(&mut buffer).await else {
                continue;
            };
            let upstream = match clients.get(&client) {
                Some(upstream) => Arc::clone(upstream),
                None => {
                    let Ok(upstream) = self.connect_client(client, target).await else {
                        continue;
                    };
                    clients.insert(client, Arc::clone(&upstream));
                    upstream
                }
            };
            self.forward(
                Direction::Request,
                upstream,
                target,
                buffer[..length].to_vec(),
            );
        }
    }

    /// Opens the socket to the target for a client and forwards the target's datagrams to the
    /// client.
    async fn connect_client(
        self: &Arc<Self>,
        client: SocketAddr,
        target: SocketAddr,
    ) -> io::Result<Arc<UdpSocket>> {
        let upstream = Arc::new(UdpSocket::bind(ANY).await?);
        upstream.connect(target).await?;
        let responses = Arc::clone(self).forward_responses(Arc::clone(&upstream), client);
        tokio::spawn(self.stop.clone().run_until_cancelled_owned(responses));
        Ok(upstream)
    }

    async fn forward_responses(self: Arc<Self>, upstream: Arc<UdpSocket>, client: SocketAddr) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            if let Ok(length) = upstream.recv(&mut buffer).await {
                let socket = Arc::clone(&self.socket);
                self.forward(
                    Direction::Response,
                    socket,
                    client,
                    buffer[..length].to_vec(),
                );
            }
        }
    }

    /// Sends a datagram through `socket` after the delay, unless a fault drops the datagram.
    fn forward(
        &self,
        direction: Direction,
        socket: Arc<UdpSocket>,
        to: SocketAddr,
        datagram: Vec<u8>,
    ) {
        let fault = self.control.get();
        let number = self.datagrams.fetch_add(1, Ordering::Relaxed) + 1;
        let is_dropped = fault.drop_every > 0 && number.is_multiple_of(fault.drop_every);
        if fault.cut || fault.is_blackhole(direction) || is_dropped {
            return;
        }
        let due = Instant::now() + fault.delay;
        let send_when_due = async move {
            tokio::time::sleep_until(due.into()).await;
            // A datagram that can't be sent is lost, as on a network.
            let _ = match direction {
                Direction::Request => socket.send(&datagram).await,
                Direction::Response => socket.send_to(&datagram, to).await,
            };
        };
        tokio::spawn(self.stop.clone().run_until_cancelled_owned(send_when_due));
    }
}
