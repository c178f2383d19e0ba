//! The proxy of UDP datagrams.

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

/// The longest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 64 << 10;

/// A UDP proxy; each client gets a socket of its own towards the target.
#[derive(Debug)]
pub struct Udp {
    address: SocketAddr,
    control: Control,
    _stop: DropGuard,
}

struct Relay {
    socket: Arc<UdpSocket>,
    control: Control,
    count: AtomicU64,
    stop: CancellationToken,
}

impl Udp {
    /// Starts a proxy to `target`.
    ///
    /// # Errors
    ///
    /// No address can be bound.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let socket = Arc::new(UdpSocket::bind(ANY).await?);
        let address = socket.local_addr()?;
        let control = Control::new();
        let stop = CancellationToken::new();
        let relay = Arc::new(Relay {
            socket,
            control: control.clone(),
            count: AtomicU64::new(0),
            stop: stop.clone(),
        });
        tokio::spawn(stop.clone().run_until_cancelled_owned(relay.run(target)));
        Ok(Self {
            address,
            control,
            _stop: stop.drop_guard(),
        })
    }

    /// Returns the address for clients.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets what goes wrong from now on.
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
                    let Ok(upstream) = self.open(client, target).await else {
                        continue;
                    };
                    clients.insert(client, Arc::clone(&upstream));
                    upstream
                }
            };
            self.pass(
                Direction::Request,
                upstream,
                target,
                buffer[..length].to_vec(),
            );
        }
    }

    async fn open(
        self: &Arc<Self>,
        client: SocketAddr,
        target: SocketAddr,
    ) -> io::Result<Arc<UdpSocket>> {
        let upstream = Arc::new(UdpSocket::bind(ANY).await?);
        upstream.connect(target).await?;
        let answers = Arc::clone(self).answer(Arc::clone(&upstream), client);
        tokio::spawn(self.stop.clone().run_until_cancelled_owned(answers));
        Ok(upstream)
    }

    async fn answer(self: Arc<Self>, upstream: Arc<UdpSocket>, client: SocketAddr) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            if let Ok(length) = upstream.recv(&mut buffer).await {
                let socket = Arc::clone(&self.socket);
                self.pass(Direction::Answer, socket, client, buffer[..length].to_vec());
            }
        }
    }

    /// Sends a datagram after the delay, unless a fault drops it.
    fn pass(&self, direction: Direction, by: Arc<UdpSocket>, to: SocketAddr, datagram: Vec<u8>) {
        let fault = self.control.get();
        let number = self.count.fetch_add(1, Ordering::Relaxed) + 1;
        let dropped = fault.drop_every > 0 && number.is_multiple_of(fault.drop_every);
        if fault.cut || fault.is_blackhole(direction) || dropped {
            return;
        }
        let due = Instant::now() + fault.delay;
        let sending = async move {
            tokio::time::sleep_until(due.into()).await;
            // A datagram that can't be sent is lost, as on a network.
            let _ = match direction {
                Direction::Request => by.send(&datagram).await,
                Direction::Answer => by.send_to(&datagram, to).await,
            };
        };
        tokio::spawn(self.stop.clone().run_until_cancelled_owned(sending));
    }
}
