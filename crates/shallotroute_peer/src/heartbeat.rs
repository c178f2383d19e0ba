//! Heartbeats over UDP: the driver of [`Table`].

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use prometheus_client::registry::Registry;
use shallotroute_config::snapshot::Snapshot;
use shallotroute_context::Local;
use shallotroute_membership::{
    codec::{Codec, Rejection},
    datagram::MAX_BYTES,
    table::{Action, Config, Event, ListedHost, PAUSE_THRESHOLD, Table},
};
use shallotroute_platform::host::{self, Host};
use shallotroute_types::{
    clock::Clock,
    member::{Member, State, View},
    revision::Revision,
};
use tokio::{
    net::UdpSocket,
    sync::watch,
    time::{MissedTickBehavior, interval},
};
use tokio_util::sync::CancellationToken;

use crate::metrics::Metrics;

/// How often the table looks at the clock.
const TICK_EVERY: Duration = Duration::from_millis(50);

/// Datagrams that are processed before the other inputs get their turn.
const BATCH: usize = 64;

/// What the heartbeats of a node need.
pub struct Options {
    /// The identity of the node.
    pub local: Local,
    /// Addresses through which other nodes are found.
    pub seeds: Vec<SocketAddr>,
    /// The key of the fleet.
    pub key: [u8; 32],
    /// The socket at the node's address.
    pub socket: UdpSocket,
    /// The node's clock.
    pub clock: Arc<dyn Clock>,
    /// The newest revision that the node holds.
    pub known_revision: watch::Receiver<Revision>,
    /// The configuration in force.
    pub configuration: watch::Receiver<Option<Arc<Snapshot>>>,
    /// The platform's host list, as last read.
    pub hosts: watch::Receiver<Arc<Vec<Host>>>,
    /// Receives the view.
    pub members: watch::Sender<Arc<View>>,
    /// Cancelled when the node stops taking new work.
    pub drain: CancellationToken,
    /// Cancelled when the node stops.
    pub stop: CancellationToken,
    /// The seed of the random choice of targets.
    pub seed: u64,
}

/// Sends and receives the heartbeats of a node.
pub struct Heartbeat {
    options: Options,
    codec: Codec,
    table: Mutex<Table>,
    metrics: Metrics,
}

impl Heartbeat {
    /// Makes the heartbeats of a node and registers their metrics.
    pub fn new(options: Options, registry: &mut Registry) -> Arc<Self> {
        let local = Member {
            id: options.local.id.clone(),
            region: options.local.region.clone(),
            zone: options.local.zone.clone(),
            address: options.local.address,
            incarnation: options.local.incarnation,
            state: State::Alive,
            known: *options.known_revision.borrow(),
            in_force: in_force(&options.configuration),
        };
        let config = Config {
            local,
            seeds: options.seeds.clone(),
            seed: options.seed,
        };
        Arc::new(Self {
            codec: Codec::new(options.key),
            table: Mutex::new(Table::new(config, options.clock.now())),
            metrics: Metrics::register(registry),
            options,
        })
    }

    /// Sends and receives until the node stops, then announces the departure.
    pub async fn run(self: Arc<Self>) {
        let mut known = self.options.known_revision.clone();
        let mut configuration = self.options.configuration.clone();
        let mut hosts = self.options.hosts.clone();
        let mut ticks = interval(TICK_EVERY);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut draining = false;
        self.publish();
        self.handle(self.listed()).await;
        let mut last = self.options.clock.now();
        loop {
            let event = tokio::select! {
                biased;
                () = self.options.stop.cancelled() => break,
                () = self.options.drain.cancelled(), if !draining => {
                    draining = true;
                    Event::Drain
                }
                _ = ticks.tick() => Event::Tick,
                () = changed(&mut known) => Event::RevisionKnown(*known.borrow_and_update()),
                () = changed(&mut configuration) => {
                    configuration.borrow_and_update();
                    self.handle(self.listed()).await;
                    Event::RevisionInForce(in_force(&configuration))
                }
                () = changed(&mut hosts) => {
                    hosts.borrow_and_update();
                    self.listed()
                }
                _ = self.options.socket.readable() => {
                    last = self.discard_after_pause(last).await;
                    self.receive().await;
                    continue;
                }
            };
            last = self.discard_after_pause(last).await;
            self.handle(event).await;
        }
        self.handle(Event::Stop).await;
    }

    /// Returns the state for the dump.
    pub fn dump(&self) -> serde_json::Value {
        let now = self.options.clock.now();
        let table = self.table();
        let silence: serde_json::Map<String, serde_json::Value> = table
            .entries()
            .map(|entry| {
                let silence = entry.silence(now).as_millis() as u64;
                (entry.member.id.to_string(), silence.into())
            })
            .collect();
        let dropped: serde_json::Map<String, serde_json::Value> = Rejection::ALL
            .into_iter()
            .map(|reason| (reason.to_string(), self.metrics.dropped(reason).into()))
            .collect();
        let timing = table.timing();
        serde_json::json!({
            "view": table.view(),
            "silence_ms": silence,
            "interval_ms": timing.interval.as_millis() as u64,
            "suspect_after_ms": timing.suspect_after.as_millis() as u64,
            "dead_after_ms": timing.dead_after.as_millis() as u64,
            "datagrams_in": self.metrics.datagrams_in.get(),
            "datagrams_out": self.metrics.datagrams_out.get(),
            "bytes_in": self.metrics.bytes_in.get(),
            "bytes_out": self.metrics.bytes_out.get(),
            "dropped": dropped,
        })
    }

    /// Reports the number of requests in progress, which heartbeats carry.
    pub fn set_load(&self, load: u32) {
        self.table()
            .handle(Event::Load(load), self.options.clock.now());
    }

    /// Drops what arrived while the process was paused: its ages would count from the wrong instant.
    async fn discard_after_pause(&self, last: Instant) -> Instant {
        let now = self.options.clock.now();
        if now.saturating_duration_since(last) > PAUSE_THRESHOLD {
            let mut buffer = [0; MAX_BYTES + 1];
            while let Ok((length, _)) = self.options.socket.try_recv_from(&mut buffer) {
                self.count_received(length);
                self.metrics.drop(Rejection::Late);
            }
            // The tick lets the table notice the pause before it takes further datagrams.
            self.handle(Event::Tick).await;
        }
        now
    }

    async fn receive(&self) {
        // One byte more than the limit, so that an oversized datagram is not mistaken for a whole one.
        let mut buffer = [0; MAX_BYTES + 1];
        for _ in 0..BATCH {
            let Ok((length, _)) = self.options.socket.try_recv_from(&mut buffer) else {
                return;
            };
            self.count_received(length);
            match self.codec.decode(&buffer[..length]) {
                Ok(frame) => self.handle(Event::Received(Box::new(frame))).await,
                Err(rejection) => self.metrics.drop(rejection),
            }
        }
    }

    async fn handle(&self, event: Event) {
        let actions = self.table().handle(event, self.options.clock.now());
        let mut publish = false;
        for action in actions {
            match action {
                Action::Send { to, frame } => match self.codec.encode(&frame) {
                    Ok(bytes) => self.send(&bytes, &to).await,
                    Err(reason) => spdlog::error!("heartbeat can't be encoded: {}", reason),
                },
                Action::Replayed => self.metrics.drop(Rejection::Replayed),
                Action::Own => self.metrics.drop(Rejection::Own),
                Action::ViewChanged => publish = true,
            }
        }
        if publish {
            self.publish();
        }
    }

    async fn send(&self, bytes: &[u8], to: &[SocketAddr]) {
        for address in to {
            match self.options.socket.send_to(bytes, address).await {
                Ok(_) => {
                    self.metrics.datagrams_out.inc();
                    self.metrics.bytes_out.inc_by(bytes.len() as u64);
                }
                Err(_) => {
                    self.metrics.send_errors.inc();
                }
            }
        }
    }

    fn publish(&self) {
        let view = self.table().view();
        self.metrics.show(&view);
        self.options.members.send_if_modified(|current| {
            let modified = **current != view;
            if modified {
                *current = Arc::new(view);
            }
            modified
        });
    }

    /// Returns the nodes in the host list, which also names backend servers.
    fn listed(&self) -> Event {
        let snapshot = self.options.configuration.borrow().clone();
        let servers: BTreeSet<&str> = snapshot
            .iter()
            .flat_map(|snapshot| snapshot.set.pools.values())
            .flat_map(|pool| pool.servers.iter().map(|server| server.name.as_str()))
            .collect();
        let hosts = Arc::clone(&self.options.hosts.borrow());
        let nodes = hosts
            .iter()
            .filter(|host| !servers.contains(host.name.as_str()));
        Event::HostsListed(
            nodes
                .map(|host| ListedHost {
                    id: host.name.clone(),
                    leaving: host.state == host::State::Leaving,
                })
                .collect(),
        )
    }

    fn count_received(&self, length: usize) {
        self.metrics.datagrams_in.inc();
        self.metrics.bytes_in.inc_by(length as u64);
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn in_force(configuration: &watch::Receiver<Option<Arc<Snapshot>>>) -> Revision {
    let snapshot = configuration.borrow();
    snapshot
        .as_ref()
        .map_or(Revision(0), |snapshot| snapshot.revision())
}

/// Waits for a change; for ever when the sender is gone.
async fn changed<T>(receiver: &mut watch::Receiver<T>) {
    if receiver.changed().await.is_err() {
        std::future::pending().await
    }
}
