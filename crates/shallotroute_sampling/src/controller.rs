//! The task that takes part in the lease of a pool's engines and, while it holds it, carries out
//! the commands of the pool's controller.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use serde_json::{Value, json};
use shallotroute_lease::{
    lease::{self, Lease},
    record::Record,
};
use shallotroute_platform::{
    engine::Load,
    error::{Error, Kind},
    store::Store,
};
use shallotroute_rollout::{
    configuration::Configuration,
    scheduler,
    swap::{Action, COMMAND_TIMEOUT, Command, Controller, Event, Outcome},
};
use shallotroute_types::{name::Name, version::Version};
use tokio::{
    sync::{mpsc, watch},
    time::MissedTickBehavior,
};
use tokio_util::sync::CancellationToken;

use crate::{Sampler, attempt};

/// How many members, first by rank, take part in the lease of a pool's engines.
pub(crate) const CHALLENGERS: usize = 2;

/// The interval at which time passes for the lease and the controller.
const TICK: Duration = Duration::from_millis(100);

/// How long an acquired or renewed lease is valid.
const LEASE_DURATION: Duration = Duration::from_secs(3);

/// How often the lease is renewed.
const LEASE_RENEWAL: Duration = Duration::from_secs(1);

/// What a challenger waits beyond the duration; 5% of clock drift and the precision of the tick.
const LEASE_MARGIN: Duration = Duration::from_millis(250);

/// How long a call to the key-value service may take.
const STORE_TIMEOUT: Duration = Duration::from_secs(1);

/// How often the holder asks the pool's owner for announcements that it may have missed.
const REFRESH_INTERVAL: Duration = Duration::from_secs(2);

/// How long the task goes on after its end was asked for, so that the lease is released.
const RELEASE_TIME: Duration = Duration::from_secs(2);

/// Messages that wait for the task.
const QUEUE: usize = 1024;

enum Message {
    Configured(Arc<Configuration>),
    Lease(lease::Event),
    Controller(Event),
}

/// A running controller.
#[derive(Clone)]
pub(crate) struct Handle {
    sender: mpsc::Sender<Message>,
    state: watch::Receiver<Value>,
    stop: CancellationToken,
}

impl Handle {
    /// Starts the task.
    pub(crate) fn start(sampler: &Arc<Sampler>, configuration: Configuration) -> Self {
        let (sender, receiver) = mpsc::channel(QUEUE);
        let (state, state_receiver) = watch::channel(Value::Null);
        let context = &sampler.context;
        let now = context.clock.now();
        let stop = context.drain.child_token();
        let configuration = Arc::new(configuration);
        let config = lease::Config {
            role: format!("engines-{}", configuration.pool).into(),
            holder: context.local.id.clone(),
            incarnation: context.local.incarnation,
            duration: LEASE_DURATION,
            renew_every: LEASE_RENEWAL,
            margin: LEASE_MARGIN,
        };
        let driver = Driver {
            key: Record::key(&config.role),
            lease: Lease::new(config, now),
            controller: Controller::new(now, Arc::clone(&configuration)),
            configuration,
            sampler: Arc::clone(sampler),
            sender: sender.clone(),
            state,
            refreshed: None,
        };
        tokio::spawn(driver.run(receiver, stop.clone()));
        Self {
            sender,
            state: state_receiver,
            stop,
        }
    }

    /// Tells the task of a revision.
    pub(crate) async fn configure(&self, configuration: Configuration) {
        let message = Message::Configured(Arc::new(configuration));
        let _ = self.sender.send(message).await;
    }

    /// Releases the lease and stops the task.
    pub(crate) fn stop(&self) {
        self.stop.cancel();
    }

    /// Returns the state.
    pub(crate) fn dump(&self) -> Value {
        self.state.borrow().clone()
    }
}

struct Driver {
    key: String,
    lease: Lease,
    controller: Controller,
    configuration: Arc<Configuration>,
    sampler: Arc<Sampler>,
    sender: mpsc::Sender<Message>,
    state: watch::Sender<Value>,
    refreshed: Option<Instant>,
}

impl Driver {
    async fn run(mut self, mut receiver: mpsc::Receiver<Message>, stop: CancellationToken) {
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        self.lease(lease::Event::Wanted(true));
        let mut end: Option<Instant> = None;
        while end.is_none_or(|end| self.now() < end) {
            tokio::select! {
                () = self.sampler.context.stop.cancelled() => break,
                () = stop.cancelled(), if end.is_none() => {
                    end = Some(self.now() + RELEASE_TIME);
                    self.lease(lease::Event::Wanted(false));
                }
                Some(message) = receiver.recv() => self.take(message),
                _ = tick.tick() => self.tick(),
            }
        }
    }

    fn take(&mut self, message: Message) {
        match message {
            Message::Configured(configuration) => {
                self.configuration = Arc::clone(&configuration);
                self.control(Event::Configured(configuration));
            }
            Message::Lease(event) => self.lease(event),
            Message::Controller(event) => self.control(event),
        }
    }

    fn tick(&mut self) {
        self.lease(lease::Event::Tick);
        let trainers: Vec<Name> = self.configuration.trainers.keys().cloned().collect();
        for trainer in trainers {
            if let Some(announcement) = self.sampler.copies.announced(&trainer) {
                self.control(Event::Announced(trainer, announcement.version));
            }
        }
        self.control(Event::Tick);
        self.refresh();
        let state = json!({
            "held": self.lease.held(self.now()),
            "controller": self.controller.dump(),
        });
        self.state.send_replace(state);
    }

    /// Asks the pool's owner for announcements.
    fn refresh(&mut self) {
        let now = self.now();
        let due = self.refreshed.is_none_or(|at| now >= at + REFRESH_INTERVAL);
        if !due || self.lease.held(now).is_none() {
            return;
        }
        self.refreshed = Some(now);
        let sampler = Arc::clone(&self.sampler);
        let configuration = Arc::clone(&self.configuration);
        tokio::spawn(async move {
            for trainer in configuration.trainers.keys() {
                sampler.refresh(&configuration.pool, trainer).await;
            }
        });
    }

    fn lease(&mut self, event: lease::Event) {
        let now = self.now();
        for action in self.lease.handle(event, now) {
            match action {
                lease::Action::Read => self.read(),
                lease::Action::Swap { expected, record } => self.swap(expected, &record),
                lease::Action::Acquired(fence) => {
                    spdlog::info!("{} acquired with fencing number {}", self.key, fence);
                }
                lease::Action::Released => spdlog::info!("{} no longer held", self.key),
            }
        }
        self.control(Event::Held(self.lease.held(self.now())));
    }

    fn read(&self) {
        let (store, key) = (Arc::clone(&self.sampler.edges.store), self.key.clone());
        self.report(async move {
            let result = read(&*store, &key).await;
            Message::Lease(lease::Event::Read { result })
        });
    }

    fn swap(&self, expected: u64, record: &Record) {
        let (store, key) = (Arc::clone(&self.sampler.edges.store), self.key.clone());
        let nonce = record.nonce;
        let value = serde_json::to_vec(record).unwrap_or_default();
        self.report(async move {
            let call = store.swap(&key, expected, value.into());
            let result = match tokio::time::timeout(STORE_TIMEOUT, call).await {
                Ok(Ok(version)) => Ok(version),
                Ok(Err(report)) => Err(failure(report.current_context())),
                Err(_) => Err(lease::Failure::Lost),
            };
            Message::Lease(lease::Event::Swapped { nonce, result })
        });
    }

    fn control(&mut self, event: Event) {
        let now = self.now();
        for action in self.controller.handle(now, event) {
            match action {
                Action::Poll {
                    server,
                    address,
                    number,
                } => {
                    let engine = Arc::clone(&self.sampler.edges.engine);
                    self.report(async move {
                        let report = attempt::state(&*engine, &server, address).await;
                        Message::Controller(Event::Polled(server, number, report))
                    });
                }
                Action::Load(command) => self.load(command),
            }
        }
    }

    fn load(&self, command: Command) {
        let sampler = Arc::clone(&self.sampler);
        let pool = self.configuration.pool.clone();
        let held = self.lease.held(self.now()) == Some(command.fence);
        let deadline = self.lease.deadline().filter(|_| held);
        self.report(async move {
            let server = command.server.clone();
            if let Some(handle) = sampler.pool(&pool) {
                let (server, model) = (server.clone(), command.model.clone());
                handle
                    .tell(scheduler::Event::Commanded(server, model))
                    .await;
            }
            let outcome = send(&sampler, deadline, &command).await;
            if let Some(handle) = sampler.pool(&pool) {
                handle
                    .tell(scheduler::Event::CommandEnded(server.clone()))
                    .await;
            }
            Message::Controller(Event::Ended(server, outcome))
        });
    }

    fn report(&self, task: impl Future<Output = Message> + Send + 'static) {
        let sender = self.sender.clone();
        tokio::spawn(async move {
            let _ = sender.send(task.await).await;
        });
    }

    fn now(&self) -> Instant {
        self.sampler.context.clock.now()
    }
}

/// Sends a command unless the lease has expired in the meantime.
async fn send(sampler: &Sampler, deadline: Option<Instant>, command: &Command) -> Outcome {
    let load = Load {
        fence: command.fence,
        model: command.model.clone(),
        version: command.version,
        source: command.source,
    };
    let engine = &sampler.edges.engine;
    if deadline.is_none_or(|deadline| sampler.context.clock.now() >= deadline) {
        return Outcome::Failed;
    }
    let call = engine.load(command.address, load, COMMAND_TIMEOUT);
    match tokio::time::timeout(COMMAND_TIMEOUT, call).await {
        Ok(Ok(())) => Outcome::Done,
        Ok(Err(report)) => {
            let Version(version) = command.version;
            spdlog::warn!(
                "engine {} did not load {version}: {}",
                command.server,
                report
            );
            match report.current_context().kind {
                Kind::Fenced => Outcome::Fenced,
                _ => Outcome::Failed,
            }
        }
        Err(_) => Outcome::Failed,
    }
}

async fn read(store: &dyn Store, key: &str) -> Result<Option<(Record, u64)>, lease::Failure> {
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
            spdlog::error!("{} holds no lease record: {}", key, error);
            Err(lease::Failure::Unreachable)
        }
    }
}

fn failure(error: &Error) -> lease::Failure {
    match error.kind {
        Kind::Conflict { .. } => lease::Failure::Conflict,
        Kind::Lost | Kind::Malformed(_) => lease::Failure::Lost,
        Kind::Unreachable | Kind::Refused(_) | Kind::Throttled | Kind::Fenced => {
            lease::Failure::Unreachable
        }
    }
}
