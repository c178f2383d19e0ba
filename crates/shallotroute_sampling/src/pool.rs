//! The task that runs the scheduler of one pool and performs its actions.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use serde_json::Value;
use shallotroute_config::snapshot::Snapshot;
use shallotroute_context::Context;
use shallotroute_rollout::{
    configuration::Configuration,
    delivery::{Refusal, Response},
    scheduler::{Action, Event, Pull, Scheduler, Start},
    step::{AttemptId, Key, Specification},
};
use shallotroute_types::version::Version;
use tokio::{
    sync::{mpsc, oneshot, watch},
    task::AbortHandle,
    time::MissedTickBehavior,
};
use tokio_util::sync::CancellationToken;

use crate::{
    Clients, Sampler,
    failure::{Failure, Result},
    ledger::Ledger,
    metric::Metrics,
    outbound::{self, EventSender},
    service,
};

/// The interval of the scheduler's tick, and so the precision of its deadlines.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// The interval at which the state for the dump and the metrics are updated.
const DUMP_INTERVAL: Duration = Duration::from_secs(1);

/// The capacity of the task's message queue. Engines' streams are not read while it is full.
const QUEUE_CAPACITY: usize = 4096;

/// A message to the task of a pool.
pub(crate) enum Message {
    /// An event for the scheduler.
    Event(Event),
    /// A trainer submits a step; the reply says whether the scheduler admitted it.
    Submit(Key, Arc<Specification>, oneshot::Sender<Result<()>>),
    /// A trainer pulls groups; the reply is sent when the scheduler answers the pull.
    Pull(
        service::Pull,
        oneshot::Sender<std::result::Result<Response, Refusal>>,
    ),
    /// A request for the specification of a step, `None` when the scheduler does not have it.
    Specification(Key, oneshot::Sender<Option<Arc<Specification>>>),
}

/// A handle to the task of a pool.
#[derive(Clone)]
pub(crate) struct Handle {
    sender: mpsc::Sender<Message>,
    state: watch::Receiver<Value>,
    stop: CancellationToken,
}

impl Handle {
    /// Starts the task of a pool. `seed` is the seed of the scheduler's random choices.
    pub(crate) fn start(sampler: &Sampler, configuration: Configuration, seed: u64) -> Self {
        let context = &sampler.context;
        let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
        let (state, state_receiver) = watch::channel(Value::Null);
        let stop = context.stop.child_token();
        let now = context.clock.now();
        let configuration = Arc::new(configuration);
        let worker = Worker {
            context: context.clone(),
            clients: sampler.clients.clone(),
            ledger: Arc::clone(&sampler.ledger),
            metrics: sampler.metrics.clone(),
            scheduler: Scheduler::new(
                now,
                Arc::clone(&configuration),
                context.local.id.clone(),
                context.local.incarnation,
                seed,
            ),
            event_sender: EventSender(sender.clone()),
            attempts: HashMap::new(),
            pulls: HashMap::new(),
            last_pull: 0,
            resumed_at: context.freshness.resumed(),
            state,
            dumped_at: None,
        };
        tokio::spawn(worker.run(receiver, stop.clone()));
        Self {
            sender,
            state: state_receiver,
            stop,
        }
    }

    /// Stops the task, which cancels its attempts and refuses the pulls that are waiting.
    pub(crate) fn stop(&self) {
        self.stop.cancel();
    }

    /// Sends an event to the scheduler; has no effect when the task has stopped.
    pub(crate) async fn send_event(&self, event: Event) {
        let _ = self.sender.send(Message::Event(event)).await;
    }

    /// Sends the message that `message` makes of a reply channel, and returns the reply.
    ///
    /// # Errors
    ///
    /// The task has stopped.
    pub(crate) async fn request<T>(
        &self,
        message: impl FnOnce(oneshot::Sender<T>) -> Message,
    ) -> Result<T> {
        let stopped_failure = || Failure::from(Refusal::Moved);
        let (sender, receiver) = oneshot::channel();
        self.sender
            .send(message(sender))
            .await
            .map_err(|_| stopped_failure())?;
        receiver.await.map_err(|_| stopped_failure())
    }

    /// Returns the scheduler's state for the dump, at most about [`DUMP_INTERVAL`] old; null until
    /// the first update.
    pub(crate) fn dump(&self) -> Value {
        self.state.borrow().clone()
    }
}

/// A pull that the scheduler has not answered yet.
struct OpenPull {
    key: Key,
    version: Version,
    reply: oneshot::Sender<std::result::Result<Response, Refusal>>,
}

struct Worker {
    context: Context,
    clients: Clients,
    ledger: Arc<Ledger>,
    metrics: Metrics,
    scheduler: Scheduler,
    event_sender: EventSender,
    attempts: HashMap<AttemptId, AbortHandle>,
    pulls: HashMap<u64, OpenPull>,
    /// The number of the last pull that was opened.
    last_pull: u64,
    /// When the process started or was last resumed. Marked as changed until the scheduler has got
    /// [`Event::Resumed`].
    resumed_at: watch::Receiver<Instant>,
    state: watch::Sender<Value>,
    /// When the state for the dump was last updated.
    dumped_at: Option<Instant>,
}

impl Worker {
    async fn run(mut self, mut receiver: mpsc::Receiver<Message>, stop: CancellationToken) {
        let mut tick = tokio::time::interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = stop.cancelled() => break,
                message = receiver.recv() => match message {
                    Some(message) => self.handle_message(message),
                    None => break,
                },
                _ = tick.tick() => self.tick(),
            }
        }
        for (_, handle) in self.attempts.drain() {
            handle.abort();
        }
        for (_, open) in self.pulls.drain() {
            let _ = open.reply.send(Err(Refusal::Moved));
        }
    }

    fn handle_message(&mut self, message: Message) {
        match message {
            Message::Event(event) => self.handle_event(event),
            Message::Submit(key, specification, reply) => {
                let admitted = self.scheduler.admit(&key, &specification);
                if admitted.is_ok() {
                    self.handle_event(Event::Submitted(key, specification));
                }
                let _ = reply.send(admitted.map_err(Failure::from));
            }
            Message::Pull(pull, reply) => self.open_pull(pull, reply),
            Message::Specification(key, reply) => {
                let _ = reply.send(self.scheduler.specification(&key));
            }
        }
    }

    fn open_pull(
        &mut self,
        pull: service::Pull,
        reply: oneshot::Sender<std::result::Result<Response, Refusal>>,
    ) {
        self.last_pull += 1;
        let now = self.context.clock.now();
        let open = OpenPull {
            key: pull.key.clone(),
            version: pull.version,
            reply,
        };
        self.pulls.insert(self.last_pull, open);
        self.handle_event(Event::Pulled(Pull {
            number: self.last_pull,
            key: pull.key,
            receipt: pull.receipt,
            version: pull.version,
            max_groups: pull.max_groups,
            opened_at: now,
            deadline: now + Duration::from_millis(pull.wait_ms),
        }));
    }

    fn tick(&mut self) {
        let abandoned: Vec<u64> = self
            .pulls
            .iter()
            .filter(|(_, open)| open.reply.is_closed())
            .map(|(number, _)| *number)
            .collect();
        for number in abandoned {
            self.pulls.remove(&number);
            self.handle_event(Event::PullAbandoned(number));
        }
        self.attempts.retain(|_, handle| !handle.is_finished());
        self.handle_event(Event::Tick);
        let now = self.context.clock.now();
        if self.dumped_at.is_none_or(|at| now >= at + DUMP_INTERVAL) {
            self.dumped_at = Some(now);
            self.metrics.add_counters(&self.scheduler.take_counters());
            self.metrics.set_ledger_counts(self.ledger.counts());
            self.state.send_replace(self.scheduler.dump(now));
        }
    }

    /// Passes an event to the scheduler, preceded by [`Event::Resumed`] if the process was paused.
    fn handle_event(&mut self, event: Event) {
        let now = self.context.clock.now();
        // Detects a pause of the process that ended just now, which changes `resumed_at`.
        self.context.freshness.is_fresh(now);
        if self.resumed_at.has_changed().unwrap_or(false) {
            self.resumed_at.mark_unchanged();
            self.apply(Event::Resumed, now);
        }
        self.apply(event, now);
    }

    /// Passes one event to the scheduler and performs the resulting actions.
    fn apply(&mut self, event: Event, now: Instant) {
        for action in self.scheduler.handle(now, event) {
            self.perform(action);
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Start(start) => self.start_attempt(*start),
            // Aborting the task drops the engine's stream, which closes the connection and ends the
            // generation.
            Action::Cancel(attempt) => {
                if let Some(handle) = self.attempts.remove(&attempt) {
                    handle.abort();
                }
            }
            Action::Score(score) => {
                let scorer = self.scorer_client(&score.scorer);
                tokio::spawn(outbound::score(scorer, self.event_sender.clone(), *score));
            }
            Action::Respond(number, response) => {
                if let Some(open) = self.pulls.remove(&number) {
                    if let Ok(response) = &response {
                        self.ledger.record(&open.key, open.version, response);
                    }
                    let _ = open.reply.send(response);
                }
            }
            Action::Poll {
                server,
                address,
                number,
            } => {
                let engine = Arc::clone(&self.clients.engine);
                let event_sender = self.event_sender.clone();
                let context = self.context.clone();
                tokio::spawn(async move {
                    // The scheduler starts no attempt before it has the engine's report. Waiting
                    // here keeps attempts away from servers that left while the process was paused.
                    context.freshness.wait_until_fresh(&*context.clock).await;
                    outbound::poll(engine, event_sender, server, address, number).await;
                });
            }
        }
    }

    fn start_attempt(&mut self, start: Start) {
        let attempt = start.attempt;
        let engine = Arc::clone(&self.clients.engine);
        let task = outbound::generate(engine, self.event_sender.clone(), start);
        let handle = tokio::spawn(task).abort_handle();
        self.attempts.insert(attempt, handle);
    }

    /// Returns the client of a scorer, or `None` when the configuration in force does not have it.
    fn scorer_client(&self, name: &str) -> Option<outbound::ScorerClient> {
        let snapshot: Option<Arc<Snapshot>> = self.context.configuration.borrow().clone();
        let object = snapshot?.set.scorers.get(name).cloned()?;
        Some(outbound::ScorerClient {
            scorer: Arc::clone(&self.clients.scorer),
            address: object.address,
            timeout: Duration::from_millis(object.timeout_ms),
        })
    }
}
