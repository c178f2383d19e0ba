//! Proxies on loopback addresses that inject network faults into TCP connections and UDP datagrams.

mod link;
mod tcp;
mod udp;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::sync::watch;

pub use self::{
    link::{Cut, Link},
    tcp::Tcp,
    udp::Udp,
};

/// The faults of a proxy; the default forwards everything.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Fault {
    /// Closes all connections, closes new ones at once and drops all datagrams.
    pub cut: bool,
    /// The delay of all data in each direction.
    pub delay: Duration,
    /// Holds data from clients, with connections left open; drops datagrams from clients.
    pub blackhole_requests: bool,
    /// Holds data to clients, with connections left open; drops datagrams to clients.
    pub blackhole_responses: bool,
    /// Closes each connection when data arrives from the server, so that the request has been
    /// forwarded and its response is lost. Has no effect on datagrams.
    pub lose_responses: bool,
    /// Drops every n-th datagram, counted over both directions; 0 drops none. Has no effect on
    /// connections.
    pub drop_every: u64,
}

/// The direction of data through a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    Request,
    Response,
}

impl Fault {
    fn is_blackhole(&self, direction: Direction) -> bool {
        match direction {
            Direction::Request => self.blackhole_requests,
            Direction::Response => self.blackhole_responses,
        }
    }
}

/// The faults of a proxy, shared by its tasks.
#[derive(Clone, Debug)]
struct Control(Arc<watch::Sender<Fault>>);

impl Control {
    fn new() -> Self {
        Self(Arc::new(watch::Sender::new(Fault::default())))
    }

    fn set(&self, fault: Fault) {
        self.0.send_replace(fault);
    }

    fn get(&self) -> Fault {
        *self.0.borrow()
    }

    /// Waits until [`Fault::cut`] is set.
    async fn wait_until_cut(&self) {
        // `self` holds the sender, so that the wait can't fail.
        let _ = self.0.subscribe().wait_for(|fault| fault.cut).await;
    }

    /// Waits until the delay since `received` has passed and the direction is not a black hole.
    async fn wait_to_forward(&self, direction: Direction, received: Instant) {
        tokio::time::sleep_until((received + self.get().delay).into()).await;
        let mut faults = self.0.subscribe();
        let _ = faults
            .wait_for(|fault| !fault.is_blackhole(direction))
            .await;
    }
}
