//! Sends and receives heartbeats over UDP, and publishes the resulting view of the members. The
//! protocol itself is the [`Table`], which has no sockets or timers.

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

/// The interval at which the table checks its timeouts.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// The maximum number of datagrams that are processed before the other inputs are checked.
const MAX_DATAGRAMS_PER_TURN: usize = 64;

/// The settings, inputs and outputs of a node's heartbeats.
pub struct Options {
    /// The identity of the node.
    pub local: Local,
    /// Addresses of nodes through which the others are discovered.
    pub seeds: Vec<SocketAddr>,
    /// The secret that authenticates datagrams; nodes with another key belong to another fleet.
    pub key: [u8; 32],
    /// The socket, bound to the node's address.
    pub socket: UdpSocket,
    /// The clock for timeouts and ages.
    pub clock: Arc<dyn Clock>,
    /// The newest revision of the configuration that the node knows.
    pub known_revision: watch::Receiver<Revision>,
    /// The configuration in force; `None` until the first is adopted.
    pub configuration: watch::Receiver<Option<Arc<Snapshot>>>,
    /// The most recently read host list of the platform.
    pub hosts: watch::Receiver<Arc<Vec<Host>>>,
    /// Receives each new view of the members.
    pub members: watch::Sender<Arc<View>>,
    /// Cancelled when the node starts to drain: it then announces that it takes no new work.
    pub drain: CancellationToken,
    /// Cancelled when the node stops.
    pub stop: CancellationToken,
    /// The seed of the random choice of the members that heartbeats are sent to.
    pub seed: u64,
}

/// The heartbeats of a node.
pub struct Heartbeat {
    options: Options,
    codec: Codec,
    table: Mutex<Table>,
    metrics: Metrics,
}

impl Heartbeat {
    /// Creates the heartbeats of a node and registers their metrics. Nothing is sent before
    /// [`Heartbeat::run`].
    pub fn new(options: Options, registry: &mut Registry) -> Arc<Self> {
        let local = Member {
            id: options.local.id.clone(),
            region: options.local.region.clone(),
            zone: options.local.zone.clone(),
            address: options.local.address,
            incarnation: options.local.incarnation,
            state: State::Alive,
            known: *options.known_revision.borrow(),
            in_force: revision_in_force(&options.configuration),
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

    /// Sends and receives heartbeats until the node stops, then announces the departure.
    pub async fn run(self: Arc<Self>) {
        let mut known = self.options.known_revision.clone();
        let mut configuration = self.options.configuration.clone();
        let mut hosts = self.options.hosts.clone();
        let mut tick_interval = interval(TICK_INTERVAL);
        tick_interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut draining = false;
        self.publish();
        self.handle(self.host_list_event()).await;
        let mut last_wakeup = self.options.clock.now();
        loop {
            let event = tokio::select! {
                biased;
                () = self.options.stop.cancelled() => break,
                () = self.options.drain.cancelled(), if !draining => {
                    draining = true;
                    Event::Drain
                }
                _ = tick_interval.tick() => Event::Tick,
                () = changed(&mut known) => Event::RevisionKnown(*known.borrow_and_update()),
                () = changed(&mut configuration) => {
                    configuration.borrow_and_update();
                    self.handle(self.host_list_event()).await;
                    Event::RevisionInForce(revision_in_force(&configuration))
                }
                () = changed(&mut hosts) => {
                    hosts.borrow_and_update();
                    self.host_list_event()
                }
                _ = self.options.socket.readable() => {
                    last_wakeup = self.discard_after_pause(last_wakeup).await;
                    self.receive().await;
                    continue;
                }
            };
            last_wakeup = self.discard_after_pause(last_wakeup).await;
            self.handle(event).await;
        }
        self.handle(Event::Stop).await;
    }

    /// Returns the view, the silence of each member, the timeouts and the traffic counters for the
    /// node's dump.
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

    /// Sets the node's load, in requests in progress, which its heartbeats carry.
    pub fn set_load(&self, load: u32) {
        self.table()
            .handle(Event::Load(load), self.options.clock.now());
    }

    /// Drops the datagrams that arrived while the process was paused, since their ages would be
    /// counted from the time of reading. Returns the current time.
    async fn discard_after_pause(&self, last_wakeup: Instant) -> Instant {
        let now = self.options.clock.now();
        if now.saturating_duration_since(last_wakeup) > PAUSE_THRESHOLD {
            let mut buffer = [0; MAX_BYTES + 1];
            while let Ok((length, _)) = self.options.socket.try_recv_from(&mut buffer) {
                self.count_received(length);
                self.metrics.count_dropped(Rejection::Late);
            }
            // The tick lets the table detect the pause before it handles further datagrams.
            self.handle(Event::Tick).await;
        }
        now
    }

    async fn receive(&self) {
        // One byte above the limit, so that an oversized datagram, which the read truncates, is
        // recognized by its length.
        let mut buffer = [0; MAX_BYTES + 1];
        for _ in 0..MAX_DATAGRAMS_PER_TURN {
            let Ok((length, _)) = self.options.socket.try_recv_from(&mut buffer) else {
                return;
            };
            self.count_received(length);
            match self.codec.decode(&buffer[..length]) {
                Ok(frame) => self.handle(Event::Received(Box::new(frame))).await,
                Err(rejection) => self.metrics.count_dropped(rejection),
            }
        }
    }

    async fn handle(&self, event: Event) {
        let actions = self.table().handle(event, self.options.clock.now());
        let mut publish = false;
        for action in actions {
            match action {
                Action::Send { to, frame } => match self.codec.encode(&frame) {
                    Ok(bytes) => self.send_datagram(&bytes, &to).await,
                    Err(error) => spdlog::error!("failed to encode heartbeat: {}", error),
                },
                Action::Replayed => self.metrics.count_dropped(Rejection::Replayed),
                Action::Own => self.metrics.count_dropped(Rejection::Own),
                Action::ViewChanged => publish = true,
            }
        }
        if publish {
            self.publish();
        }
    }

    async fn send_datagram(&self, bytes: &[u8], to: &[SocketAddr]) {
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
        self.metrics.set_view(&view);
        self.options.members.send_if_modified(|current| {
            let modified = **current != view;
            if modified {
                *current = Arc::new(view);
            }
            modified
        });
    }

    /// Returns the event with the nodes of the host list. The list also contains backend servers,
    /// which are removed by their names in the configuration.
    fn host_list_event(&self) -> Event {
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

fn revision_in_force(configuration: &watch::Receiver<Option<Arc<Snapshot>>>) -> Revision {
    let snapshot = configuration.borrow();
    snapshot
        .as_ref()
        .map_or(Revision(0), |snapshot| snapshot.revision())
}

/// Waits for a change. Never returns once the sender is dropped.
async fn changed<T>(receiver: &mut watch::Receiver<T>) {
    if receiver.changed().await.is_err() {
        std::future::pending().await
    }
}
