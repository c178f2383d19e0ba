//! Proxies on loopback addresses that inject faults into TCP connections and UDP datagrams.

mod tcp;
mod udp;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::sync::watch;

pub use self::{tcp::Tcp, udp::Udp};

/// What goes wrong; the default passes everything on.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Fault {
    /// Closes all connections and accepts no new ones; drops all datagrams.
    pub cut: bool,
    /// Holds each piece of data for this long, in each direction.
    pub delay: Duration,
    /// Passes on nothing from the client and leaves connections open.
    pub blackhole_requests: bool,
    /// Passes on nothing to the client and leaves connections open.
    pub blackhole_answers: bool,
    /// Closes each connection when its first answer comes, so that the request has passed and its
    /// answer is lost.
    pub lose_answers: bool,
    /// Drops every n-th datagram; 0 drops none.
    pub drop_every: u64,
}

/// A direction through a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    Request,
    Answer,
}

impl Fault {
    fn is_blackhole(&self, direction: Direction) -> bool {
        match direction {
            Direction::Request => self.blackhole_requests,
            Direction::Answer => self.blackhole_answers,
        }
    }
}

/// The faults of a proxy, which its tasks follow as they change.
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

    /// Returns once the proxy is cut.
    async fn cut(&self) {
        // The sender is part of `self`, so the wait can't fail.
        let _ = self.0.subscribe().wait_for(|fault| fault.cut).await;
    }

    /// Waits out the delay since `received` and returns once the direction is open.
    async fn pass(&self, direction: Direction, received: Instant) {
        tokio::time::sleep_until((received + self.get().delay).into()).await;
        let mut faults = self.0.subscribe();
        let _ = faults
            .wait_for(|fault| !fault.is_blackhole(direction))
            .await;
    }
}
