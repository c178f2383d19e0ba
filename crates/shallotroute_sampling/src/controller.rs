//! The task that competes for the lease of a pool's engines and, while it holds the lease, commands
//! the engines to load versions.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use serde_json::{Value, json};
use shallotroute_lease::{
    command,
    engine::{Report, Target},
    lease::{self, Lease},
    record::Record,
};
use shallotroute_platform::{
    engine::{Load, State},
    error::{Error, Kind},
    store::Store,
};
use shallotroute_rollout::{
    configuration::Configuration,
    scheduler,
    swap::{Action, COMMAND_TIMEOUT, Command, Controller, Event, Outcome},
};
use shallotroute_types::{fence::Fence, name::Name};
use tokio::{
    sync::{mpsc, watch},
    time::MissedTickBehavior,
};
use tokio_util::sync::CancellationToken;

use crate::{Sampler, outbound};

/// The number of members, the highest-ranked first, that compete for the lease of a pool's engines.
pub(crate) const LEASE_CANDIDATES: usize = 2;

/// The interval of the ticks of the lease and the controllers.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// How long an acquired or renewed lease is valid.
const LEASE_TTL: Duration = Duration::from_secs(3);

/// The interval between renewals of the lease.
const LEASE_RENEWAL_INTERVAL: Duration = Duration::from_secs(1);

/// The time that a candidate waits beyond the duration of a lease before it takes the lease over;
/// covers 5% of clock drift and [`TICK_INTERVAL`].
const CLOCK_MARGIN: Duration = Duration::from_millis(250);

/// The settings of the command controller; must be the same on all nodes.
const COMMAND_CONFIG: command::Config = command::Config {
    command_timeout: COMMAND_TIMEOUT,
    clock_margin: CLOCK_MARGIN,
    retry_interval: COMMAND_RETRY_INTERVAL,
};

/// The interval between reads of an engine whose earlier commands may still take effect.
const COMMAND_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// The timeout of a call to the key-value service.
const STORE_TIMEOUT: Duration = Duration::from_secs(1);

/// The interval at which the lease holder reads the announcements that the pool's owner has, in
/// case it missed one.
const REFRESH_INTERVAL: Duration = Duration::from_secs(2);

/// How long a stopping task continues, so that it can release the lease.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);

/// The capacity of the task's message queue.
const QUEUE_CAPACITY: usize = 1024;

enum Message {
    Configured(Arc<Configuration>),
    Lease(lease::Event),
    /// The result of the command controller's read of an engine's state with this serial number.
    Read {
        engine: Name,
        serial: u64,
        report: Option<State>,
    },
    /// The result of the command with this serial number to load a version.
    Loaded {
        engine: Name,
        serial: u64,
        result: Result<(), command::Failure>,
    },
    /// An event for the swap controller.
    Swap(Event),
}

/// A handle to the controller task of a pool.
#[derive(Clone)]
pub(crate) struct Handle {
    sender: mpsc::Sender<Message>,
    state: watch::Receiver<Value>,
    stop: CancellationToken,
}

impl Handle {
    /// Starts the task, which competes for the lease until it is stopped or the node drains.
    pub(crate) fn start(sampler: &Arc<Sampler>, configuration: Configuration) -> Self {
        let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
        let (state, state_receiver) = watch::channel(Value::Null);
        let context = &sampler.context;
        let now = context.clock.now();
        let stop = context.drain.child_token();
        let configuration = Arc::new(configuration);
        let config = lease::Config {
            role: format!("engines-{}", configuration.pool).into(),
            holder: context.local.id.clone(),
            incarnation: context.local.incarnation,
            ttl: LEASE_TTL,
            renewal_interval: LEASE_RENEWAL_INTERVAL,
            clock_margin: CLOCK_MARGIN,
        };
        let worker = Worker {
            key: Record::key(&config.role),
            lease: Lease::new(config, now),
            swaps: Controller::new(Arc::clone(&configuration)),
            commands: command::Controller::new(COMMAND_CONFIG, now),
            fence: None,
            configuration,
            sampler: Arc::clone(sampler),
            sender: sender.clone(),
            state,
            refreshed_at: None,
        };
        tokio::spawn(worker.run(receiver, stop.clone()));
        Self {
            sender,
            state: state_receiver,
            stop,
        }
    }

    /// Passes the configuration of another revision to the task.
    pub(crate) async fn update_configuration(&self, configuration: Configuration) {
        let message = Message::Configured(Arc::new(configuration));
        let _ = self.sender.send(message).await;
    }

    /// Stops the task, which first releases the lease if it holds it.
    pub(crate) fn stop(&self) {
        self.stop.cancel();
    }

    /// Returns the state for the dump, at most about [`TICK_INTERVAL`] old; null until the first
    /// tick.
    pub(crate) fn dump(&self) -> Value {
        self.state.borrow().clone()
    }
}

struct Worker {
    key: String,
    lease: Lease,
    /// Decides which version each engine should load, and when.
    swaps: Controller,
    /// Decides when a command may be sent to an engine: not while commands of a former lease
    /// holder, or commands of this one that got no response, may still take effect.
    commands: command::Controller,
    /// The fencing number of the lease under which the targets in `commands` were set.
    fence: Option<Fence>,
    configuration: Arc<Configuration>,
    sampler: Arc<Sampler>,
    sender: mpsc::Sender<Message>,
    state: watch::Sender<Value>,
    /// When announcements were last read from the pool's owner.
    refreshed_at: Option<Instant>,
}

impl Worker {
    async fn run(mut self, mut receiver: mpsc::Receiver<Message>, stop: CancellationToken) {
        let mut tick = tokio::time::interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        self.handle_lease_event(lease::Event::Wanted(true));
        let mut release_deadline: Option<Instant> = None;
        while release_deadline.is_none_or(|until| self.now() < until) {
            tokio::select! {
                () = self.sampler.context.stop.cancelled() => break,
                () = stop.cancelled(), if release_deadline.is_none() => {
                    release_deadline = Some(self.now() + RELEASE_TIMEOUT);
                    self.handle_lease_event(lease::Event::Wanted(false));
                }
                Some(message) = receiver.recv() => self.handle_message(message),
                _ = tick.tick() => self.tick(),
            }
        }
    }

    fn handle_message(&mut self, message: Message) {
        match message {
            Message::Configured(configuration) => {
                self.configuration = Arc::clone(&configuration);
                self.handle_swap_event(Event::Configured(configuration));
            }
            Message::Lease(event) => self.handle_lease_event(event),
            Message::Read {
                engine,
                serial,
                report,
            } => {
                let result = report.map(command_report).ok_or(command::Failure::Lost);
                self.handle_command_event(command::Event::Read {
                    engine,
                    serial,
                    result,
                });
            }
            Message::Loaded {
                engine,
                serial,
                result,
            } => self.finish_load(engine, serial, result),
            Message::Swap(Event::Polled(engine, number, Some(report))) => {
                let incarnation = report.incarnation;
                self.handle_command_event(command::Event::Reported {
                    engine: engine.clone(),
                    incarnation,
                });
                self.handle_swap_event(Event::Polled(engine, number, Some(report)));
            }
            Message::Swap(event) => self.handle_swap_event(event),
        }
    }

    fn tick(&mut self) {
        self.handle_lease_event(lease::Event::Tick);
        self.handle_command_event(command::Event::Tick);
        let trainers: Vec<Name> = self.configuration.trainers.keys().cloned().collect();
        for trainer in trainers {
            if let Some(announcement) = self.sampler.replicas.get_announcement(&trainer) {
                self.handle_swap_event(Event::Announced(trainer, announcement.version));
            }
        }
        self.handle_swap_event(Event::Tick);
        self.refresh_announcements();
        let state = json!({
            "held": self.lease.valid_fence(self.now()),
            "controller": self.swaps.dump(),
        });
        self.state.send_replace(state);
    }

    /// Reads announcements from the pool's owner, if this node holds the lease and a read is due.
    fn refresh_announcements(&mut self) {
        let now = self.now();
        let is_due = self
            .refreshed_at
            .is_none_or(|at| now >= at + REFRESH_INTERVAL);
        if !is_due || self.lease.valid_fence(now).is_none() {
            return;
        }
        self.refreshed_at = Some(now);
        let sampler = Arc::clone(&self.sampler);
        let configuration = Arc::clone(&self.configuration);
        tokio::spawn(async move {
            for trainer in configuration.trainers.keys() {
                sampler
                    .refresh_announcement(&configuration.pool, trainer)
                    .await;
            }
        });
    }

    /// Passes an event to the lease, performs the resulting actions, and tells the swap
    /// controller whether this node holds the lease.
    fn handle_lease_event(&mut self, event: lease::Event) {
        let now = self.now();
        for action in self.lease.handle(event, now) {
            match action {
                lease::Action::Read => self.read_lease(),
                lease::Action::CompareAndSwap { expected, record } => {
                    self.swap_lease(expected, &record)
                }
                lease::Action::Acquired(fence) => {
                    spdlog::info!("acquired {} with fencing number {}", self.key, fence);
                }
                lease::Action::NoLongerHeld => {
                    spdlog::info!("no longer holding {}", self.key)
                }
            }
        }
        let held_fence = self.lease.valid_fence(self.now());
        if held_fence.is_some() && held_fence != self.fence {
            self.fence = held_fence;
            // Discards targets of an earlier term, which may be older than what another holder has
            // loaded since.
            let servers: Vec<Name> = self.configuration.servers.keys().cloned().collect();
            for engine in servers {
                self.handle_command_event(command::Event::Removed { engine });
            }
        }
        self.handle_swap_event(Event::LeaseChanged(held_fence));
    }

    fn read_lease(&self) {
        let (store, key) = (Arc::clone(&self.sampler.clients.store), self.key.clone());
        self.spawn_report(async move {
            let result = read_record(&*store, &key).await;
            Message::Lease(lease::Event::Read { result })
        });
    }

    fn swap_lease(&self, expected: u64, record: &Record) {
        let (store, key) = (Arc::clone(&self.sampler.clients.store), self.key.clone());
        let nonce = record.nonce;
        let value = serde_json::to_vec(record).unwrap_or_default();
        self.spawn_report(async move {
            let call = store.compare_and_swap(&key, expected, value.into());
            let result = match tokio::time::timeout(STORE_TIMEOUT, call).await {
                Ok(Ok(version)) => Ok(version),
                Ok(Err(report)) => Err(lease_failure(report.current_context())),
                Err(_) => Err(lease::Failure::Lost),
            };
            Message::Lease(lease::Event::Swapped { nonce, result })
        });
    }

    /// Passes an event to the swap controller and performs the resulting actions.
    fn handle_swap_event(&mut self, event: Event) {
        let now = self.now();
        for action in self.swaps.handle(now, event) {
            match action {
                Action::Poll {
                    server,
                    address,
                    number,
                } => {
                    let engine = Arc::clone(&self.sampler.clients.engine);
                    self.spawn_report(async move {
                        let report = outbound::read_report(&*engine, &server, address).await;
                        Message::Swap(Event::Polled(server, number, report))
                    });
                }
                Action::Load(command) => self.set_target(command),
            }
        }
    }

    /// Sets the version that an engine should load.
    fn set_target(&mut self, wanted: Command) {
        let engine = wanted.server;
        // `commands` believes that the version is loaded, but `swaps` has read another one
        // from the engine. Discards the outdated state so that the engine is read again.
        if self.commands.version(&engine, &wanted.model) == Some(wanted.version) {
            self.handle_command_event(command::Event::Removed {
                engine: engine.clone(),
            });
        }
        self.handle_command_event(command::Event::TargetSet {
            engine,
            model: wanted.model,
            target: Target {
                version: wanted.version,
                source: wanted.source,
            },
        });
    }

    /// Passes an event to the command controller and performs the resulting actions.
    fn handle_command_event(&mut self, event: command::Event) {
        let now = self.now();
        let held_fence = self.lease.valid_fence(now);
        for action in self.commands.handle(event, held_fence, now) {
            match action {
                command::Action::Read { engine, serial } => self.read_engine(engine, serial),
                command::Action::Load(command) => self.send_load(command),
            }
        }
    }

    fn read_engine(&self, engine: Name, serial: u64) {
        let Some(server) = self.configuration.servers.get(&engine) else {
            return;
        };
        let (client, address) = (Arc::clone(&self.sampler.clients.engine), server.address);
        self.spawn_report(async move {
            let report = outbound::read_state(&*client, &engine, address).await;
            Message::Read {
                engine,
                serial,
                report,
            }
        });
    }

    /// Sends a command in the background. Tells the pool's scheduler, if it runs on this node, when
    /// the load starts and ends.
    fn send_load(&self, command: command::Command) {
        let Some(server) = self.configuration.servers.get(&command.engine) else {
            return;
        };
        let address = server.address;
        let sampler = Arc::clone(&self.sampler);
        let pool = self.configuration.pool.clone();
        let held_fence = self.lease.valid_fence(self.now());
        let is_permitted = self.commands.may_send(&command, held_fence);
        let deadline = self.lease.deadline().filter(|_| is_permitted);
        self.spawn_report(async move {
            let (engine, serial) = (command.engine.clone(), command.serial);
            if let Some(handle) = sampler.pool(&pool) {
                let event = scheduler::Event::LoadStarted(engine.clone(), command.model.clone());
                handle.send_event(event).await;
            }
            let result = send_command(&sampler, deadline, address, &command).await;
            if let Some(handle) = sampler.pool(&pool) {
                let event = scheduler::Event::LoadEnded(engine.clone());
                handle.send_event(event).await;
            }
            Message::Loaded {
                engine,
                serial,
                result,
            }
        });
    }

    /// Passes the result of a command to the command controller and to the swap controller.
    fn finish_load(&mut self, engine: Name, serial: u64, result: Result<(), command::Failure>) {
        let outcome = match &result {
            Ok(()) => Outcome::Done,
            Err(command::Failure::Fenced) => Outcome::Fenced,
            Err(_) => Outcome::Failed,
        };
        self.handle_command_event(command::Event::Loaded {
            engine: engine.clone(),
            serial,
            result,
        });
        if outcome == Outcome::Done {
            // Discards the engine's target, so that the version is loaded again only when the
            // swap controller sets it again, and the next command starts with a read.
            self.handle_command_event(command::Event::Removed {
                engine: engine.clone(),
            });
        }
        self.handle_swap_event(Event::CommandEnded(engine, outcome));
    }

    /// Spawns `task` and sends its message to this task.
    fn spawn_report(&self, task: impl Future<Output = Message> + Send + 'static) {
        let sender = self.sender.clone();
        tokio::spawn(async move {
            let _ = sender.send(task.await).await;
        });
    }

    fn now(&self) -> Instant {
        self.sampler.context.clock.now()
    }
}

/// Sends a command unless the lease has expired. `deadline` is the instant at which the lease
/// expires; without one the command is not sent.
async fn send_command(
    sampler: &Sampler,
    deadline: Option<Instant>,
    address: SocketAddr,
    command: &command::Command,
) -> Result<(), command::Failure> {
    let load = Load {
        fence: command.fence,
        model: command.model.clone(),
        version: command.target.version,
        source: command.target.source,
    };
    if deadline.is_none_or(|deadline| sampler.context.clock.now() >= deadline) {
        return Err(command::Failure::NotRun);
    }
    let call = sampler.clients.engine.load(address, load, COMMAND_TIMEOUT);
    match tokio::time::timeout(COMMAND_TIMEOUT, call).await {
        Ok(Ok(())) => Ok(()),
        Ok(Err(report)) => {
            spdlog::warn!(
                "failed to command engine {} to load a version: {}",
                command.engine,
                report
            );
            Err(match report.current_context().kind {
                Kind::Fenced => command::Failure::Fenced,
                Kind::Unreachable | Kind::Throttled | Kind::Refused(_) | Kind::Conflict { .. } => {
                    command::Failure::NotRun
                }
                Kind::Lost | Kind::Malformed(_) => command::Failure::Lost,
            })
        }
        Err(_) => Err(command::Failure::Lost),
    }
}

/// Returns the part of an engine's state that the command controller uses.
fn command_report(state: State) -> Report {
    Report {
        incarnation: state.incarnation,
        models: state.models,
        swapping: state.swapping.is_some(),
        fence: state.fence,
    }
}

/// Returns the lease record and the version of its key, or `None` when the key does not exist.
async fn read_record(
    store: &dyn Store,
    key: &str,
) -> Result<Option<(Record, u64)>, lease::Failure> {
    let result = tokio::time::timeout(STORE_TIMEOUT, store.get(key)).await;
    let Ok(Ok(entry)) = result else {
        return Err(lease::Failure::Unreachable);
    };
    let Some(entry) = entry else {
        return Ok(None);
    };
    match serde_json::from_slice(&entry.value) {
        Ok(record) => Ok(Some((record, entry.version))),
        Err(error) => {
            spdlog::error!(
                "key {} does not contain a valid lease record: {}",
                key,
                error
            );
            Err(lease::Failure::Unreachable)
        }
    }
}

/// Classifies a failed write of the lease record.
fn lease_failure(error: &Error) -> lease::Failure {
    match error.kind {
        Kind::Conflict { .. } => lease::Failure::Conflict,
        Kind::Lost | Kind::Malformed(_) => lease::Failure::Lost,
        Kind::Unreachable | Kind::Refused(_) | Kind::Throttled | Kind::Fenced => {
            lease::Failure::Unreachable
        }
    }
}
