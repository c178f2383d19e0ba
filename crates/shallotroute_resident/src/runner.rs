//! Runs one batch job: performs the actions of its state machine, passes events to it, and writes
//! its results to the platform's store.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use shallotroute_batch::{
    checkpoint as checkpoint_schedule,
    job::{Action, Choice, Discard, DiscardReason, Event, Limits, Preference},
    record::Specification,
};
use shallotroute_fleet::{
    admission::Policy,
    limit::Class,
    route::{Route, Table},
    server::{Rank, Requirements},
};
use tokio::{
    sync::{mpsc, oneshot},
    task::AbortHandle,
};

use crate::{
    capacity, checkpoint,
    claim::{self, Confirmation},
    generate,
    job::{CLAIM_TTL, Owned, Progress},
    metric::Metrics,
    score,
    shared::{InFlight, Shared},
};

/// The interval at which a job is polled without events; it bounds how late a stall is found.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// An attempt is migrated to another server when it has no event for this many times the service's
/// median time between two events.
const STALL_FACTOR: u32 = 12;

/// The lower bound of the stall timeout; a server that loads a version pauses for about this long.
const MIN_STALL_TIMEOUT: Duration = Duration::from_millis(700);

/// The share of a scoring service's slots that batch jobs use together, in percent; the rest is
/// left for callers, who wait for the response.
const SCORING_PERCENT: usize = 50;

/// The number of concurrent scoring requests that every job may have.
const MIN_CONCURRENT_SCORINGS: usize = 4;

/// The upper bound of the stall timeout; it applies as long as no latency is known.
const MAX_STALL_TIMEOUT: Duration = Duration::from_millis(1500);

/// After this time without a response to a write of results, they are replicated to other nodes; a
/// slow store responds sooner.
const SLOW_WRITE_THRESHOLD: Duration = Duration::from_millis(400);

/// The interval at which checkpoints are sent to other nodes.
const CHECKPOINT_INTERVAL: Duration = Duration::from_millis(500);

/// How long a new job has the equal share of the slots only: the reports of jobs that were submitted at
/// the same time arrive meanwhile.
const SETTLING_TIME: Duration = Duration::from_millis(250);

/// The interval at which a job's share of the slots is computed.
const SHARE_INTERVAL: Duration = Duration::from_millis(20);

/// The interval at which a job's progress is logged.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// How long the owner of an ended job holds its results in memory for readers.
const ENDED_RETENTION: Duration = Duration::from_secs(20);

/// The maximum number of scoring attempts for an item whose scorer has no route in the
/// configuration.
const DEFAULT_SCORING_ATTEMPTS: usize = 3;

/// The maximum number of generation attempts for an item whose route has left the configuration.
const DEFAULT_ATTEMPTS: usize = 3;

/// The attempts in progress of one job and the state of its periodic work.
struct Runner {
    shared: Arc<Shared>,
    owned: Arc<Owned>,
    attempts: HashMap<u64, AbortHandle>,
    pending_write: Option<oneshot::Receiver<bool>>,
    /// Whether a read of the store that confirms the claim is in progress.
    is_confirming: Arc<AtomicBool>,
    /// When the pending write began.
    write_started_at: Instant,
    /// The number of items that may generate at once.
    share: usize,
    /// When the share is computed next.
    next_share: Instant,
    /// When the job's progress is logged next.
    next_log: Instant,
    /// The progress of each item, by position, at its last checkpoint.
    replicated_progress: BTreeMap<u32, u64>,
    /// When checkpoints are sent next.
    next_checkpoint: Instant,
    /// When checkpoints are written to the store.
    stored_checkpoints: checkpoint_schedule::Schedule,
    /// Whether a write of checkpoints is in progress.
    is_storing: Arc<AtomicBool>,
}

/// Runs a job until all results are committed, its trainer ends it, or another process owns it.
/// Returns [`ENDED_RETENTION`] after the job has ended or was lost; until then this node holds its
/// results.
pub(crate) async fn run(
    shared: Arc<Shared>,
    owned: Arc<Owned>,
    mut events: mpsc::UnboundedReceiver<(u64, Event)>,
) {
    shared.metrics.owned_jobs.inc();
    let mut runner = Runner::new(&shared, &owned);
    let mut progress = owned.progress.subscribe();
    // A claim that only another node's message says to hold is checked before anything starts.
    let mut last_iteration = owned
        .state()
        .claim
        .age(shared.boot_time())
        .map(|_| shared.boot_time());
    loop {
        let current = *progress.borrow_and_update();
        if current.is_ended {
            runner.cancel_attempts();
        }
        if current.is_lost || runner.is_done(current) {
            break;
        }
        // Another node may have taken the job over while this process was suspended. If the store can't
        // be read, the job goes on: its writes are conditional on the claim.
        let is_doubtful =
            last_iteration.is_none_or(|last| shared.boot_time().saturating_sub(last) >= CLAIM_TTL);
        if is_doubtful && claim::confirm(&shared, &owned, CLAIM_TTL).await == Confirmation::Lost {
            continue;
        }
        last_iteration = Some(shared.boot_time());
        runner.confirm();
        runner.advance();
        runner.start_write();
        runner.send_checkpoints();
        runner.store_checkpoints();
        runner.log_progress();
        tokio::select! {
            received = events.recv() => {
                if let Some((attempt, event)) = received {
                    runner.handle(attempt, event);
                }
                while let Ok((attempt, event)) = events.try_recv() {
                    runner.handle(attempt, event);
                }
            }
            written = write_outcome(&mut runner.pending_write) => runner.finish_write(written),
            _ = progress.changed() => {}
            () = tokio::time::sleep(POLL_INTERVAL) => {}
        }
    }
    shared.metrics.owned_jobs.dec();
    runner.stop();
    // A finished job serves its trainer until the trainer ends it, and late readers for a while
    // after that; then the store serves them.
    let closed = progress.wait_for(|progress| progress.is_ended || progress.is_lost);
    // The wait can't fail, because `owned` holds the sender.
    let _ = closed.await;
    owned.state().job.release_payloads();
    tokio::time::sleep(ENDED_RETENTION).await;
    shared.jobs.remove(&owned);
}

/// Waits for the pending write and returns whether it succeeded; never returns without one.
async fn write_outcome(pending_write: &mut Option<oneshot::Receiver<bool>>) -> bool {
    match pending_write {
        Some(receiver) => receiver.await.unwrap_or(false),
        None => std::future::pending().await,
    }
}

impl Runner {
    fn new(shared: &Arc<Shared>, owned: &Arc<Owned>) -> Self {
        Self {
            shared: Arc::clone(shared),
            owned: Arc::clone(owned),
            attempts: HashMap::new(),
            pending_write: None,
            is_confirming: Arc::default(),
            write_started_at: shared.now(),
            share: 1,
            next_share: shared.now(),
            next_log: shared.now() + LOG_INTERVAL,
            replicated_progress: BTreeMap::new(),
            next_checkpoint: shared.now() + CHECKPOINT_INTERVAL,
            stored_checkpoints: checkpoint_schedule::Schedule::default(),
            is_storing: Arc::default(),
        }
    }

    /// Confirms the claim with the store in the background if the last confirmation is old. The job
    /// goes on meanwhile, so that an outage of the store does not stop it.
    fn confirm(&self) {
        if self.is_confirming.swap(true, Ordering::Relaxed) {
            return;
        }
        let (shared, owned) = (Arc::clone(&self.shared), Arc::clone(&self.owned));
        let is_confirming = Arc::clone(&self.is_confirming);
        if claim::is_confirmed(&shared, &owned, CLAIM_TTL) {
            is_confirming.store(false, Ordering::Relaxed);
            return;
        }
        tokio::spawn(async move {
            // The job's progress tells the runner if the claim no longer holds.
            claim::confirm(&shared, &owned, CLAIM_TTL).await;
            is_confirming.store(false, Ordering::Relaxed);
        });
    }

    /// Returns whether nothing is left to do. A write in progress may take effect, and other nodes
    /// then read its results from the store, so that its outcome is awaited even for an ended job.
    fn is_done(&self, progress: Progress) -> bool {
        let state = self.owned.state();
        (progress.is_ended || state.job.is_finished()) && !state.job.is_writing()
    }

    /// Cancels all attempts of an ended job.
    fn cancel_attempts(&mut self) {
        let mut state = self.owned.state();
        if state.job.is_stopped() {
            return;
        }
        let specification = Arc::clone(state.job.specification());
        let actions = state.job.stop();
        drop(state);
        self.perform(actions, &specification, VecDeque::new());
    }

    /// Starts, migrates and cancels attempts as the job's state and the fleet require.
    fn advance(&mut self) {
        let Some(table) = self.shared.table() else {
            return;
        };
        let now = self.shared.now();
        let (specification, open_items, age) = {
            let state = self.owned.state();
            let age = now.saturating_duration_since(state.started_at);
            let specification = Arc::clone(state.job.specification());
            (specification, state.job.open_item_count(), age)
        };
        self.owned.set_open_items(open_items);
        let route = table
            .find(&specification.host, &specification.path)
            .cloned();
        let Some(route) = route else {
            // The route was removed, so that no attempt of the job may run any more.
            let actions = self.owned.state().job.cancel_all();
            self.perform(actions, &specification, VecDeque::new());
            return;
        };
        self.update_share(&table, &route, &specification, age, now);
        let mut state = self.owned.state();
        let limits = limits(&self.shared, &table, &route, &specification, self.share);
        let rank = Some(rank(&route, state.head.submitted_ms));
        let mut in_flight = VecDeque::new();
        let mut choose = |preference: &Preference<'_>| {
            let choice = choose_server(&self.shared, &route, &specification, rank, preference)?;
            in_flight.push_back(self.shared.start_request(&choice.server, rank));
            Some(choice)
        };
        let actions = state.job.advance(&limits, now, &mut choose);
        drop(state);
        self.perform(actions, &specification, in_flight);
    }

    /// Computes the job's share of the slots anew when it is due.
    fn update_share(
        &mut self,
        table: &Table,
        route: &Route,
        specification: &Specification,
        age: Duration,
        now: Instant,
    ) {
        if now < self.next_share {
            return;
        }
        self.next_share = now + SHARE_INTERVAL;
        let service = route.service_for(&specification.path);
        let job_routes = table.batch_route_count(service).max(1);
        let oldest = specification.min_version;
        let share = || capacity::job_slots(&self.shared, &self.owned, service, oldest);
        let equal = || (self.shared.balancer().total_slots(service) / job_routes).max(1);
        self.share = match (age < SETTLING_TIME, self.shared.governors.policy()) {
            (false, _) => share(),
            (true, Policy::FirstCome) => equal(),
            (true, Policy::ByCost) => equal().min(share()),
        };
    }

    /// Passes an event of an attempt to the job and performs the resulting actions.
    fn handle(&mut self, attempt: u64, event: Event) {
        if matches!(event, Event::GenerationEnded(_) | Event::ScoringEnded(_)) {
            self.attempts.remove(&attempt);
        }
        let now = self.shared.now();
        let Some(table) = self.shared.table() else {
            return;
        };
        let mut state = self.owned.state();
        let specification = Arc::clone(state.job.specification());
        let route = table
            .find(&specification.host, &specification.path)
            .cloned();
        let limits = match &route {
            Some(route) => limits(&self.shared, &table, route, &specification, self.share),
            None => unrouted_limits(),
        };
        let actions = state.job.handle_event(attempt, event, &limits, now);
        drop(state);
        self.perform(actions, &specification, VecDeque::new());
    }

    /// Performs actions. `in_flight` holds the server slots that were taken for the generation
    /// attempts among them, in the same order.
    fn perform(
        &mut self,
        actions: Vec<Action>,
        specification: &Arc<Specification>,
        mut in_flight: VecDeque<InFlight>,
    ) {
        for action in actions {
            match action {
                Action::Generate {
                    attempt,
                    item,
                    server,
                    software,
                    resume_after,
                } => {
                    let task = generate::Attempt {
                        shared: Arc::clone(&self.shared),
                        specification: Arc::clone(specification),
                        owned: Arc::clone(&self.owned),
                        attempt,
                        item,
                        software,
                        resume_after,
                    };
                    let in_flight = in_flight
                        .pop_front()
                        .unwrap_or_else(|| self.shared.start_request(&server, None));
                    let handle = tokio::spawn(task.run(server, in_flight));
                    self.attempts.insert(attempt, handle.abort_handle());
                }
                Action::RequestScore { attempt, item } => {
                    let scoring = score::run(
                        Arc::clone(&self.shared),
                        Arc::clone(specification),
                        Arc::clone(&self.owned),
                        attempt,
                        item,
                    );
                    let handle = tokio::spawn(scoring);
                    self.attempts.insert(attempt, handle.abort_handle());
                }
                Action::Cancel { attempt } => {
                    if let Some(handle) = self.attempts.remove(&attempt) {
                        Metrics::count(&self.shared.metrics.runs, "cancelled");
                        handle.abort();
                    }
                }
                Action::ReportDiscard(discard) => self.report_discard(&discard, specification),
            }
        }
    }

    /// Logs and counts an output that was discarded because of its software.
    fn report_discard(&self, discard: &Discard, specification: &Specification) {
        let reason = match discard.reason {
            DiscardReason::NotOffered => "not_offered",
            DiscardReason::NoSlot => "no_slot",
            DiscardReason::Unattributed => "unattributed",
        };
        Metrics::count(&self.shared.metrics.discards, reason);
        spdlog::info!("output discarded", kv: {
            request = specification.items[discard.item].id.as_str(),
            job = self.owned.id.as_str(),
            software = discard.software.as_str(),
            reason,
            events = discard.events,
        });
    }

    /// Starts to write the next results unless a write is pending.
    fn start_write(&mut self) {
        if self.pending_write.is_some() {
            return;
        }
        let Some(chunk) = self.owned.state().job.next_chunk(self.shared.now()) else {
            return;
        };
        let (sender, receiver) = oneshot::channel();
        let (shared, owned) = (Arc::clone(&self.shared), Arc::clone(&self.owned));
        tokio::spawn(async move {
            let written = claim::write_chunk(&shared, &owned, &chunk).await;
            // The receiver is dropped when the runner has stopped.
            let _ = sender.send(written);
        });
        self.pending_write = Some(receiver);
        self.write_started_at = self.shared.now();
    }

    /// Logs the number of items by state at [`LOG_INTERVAL`].
    fn log_progress(&mut self) {
        let now = self.shared.now();
        if now < self.next_log {
            return;
        }
        self.next_log = now + LOG_INTERVAL;
        let state = self.owned.state();
        let counts = state.job.item_counts();
        let age = now.saturating_duration_since(state.started_at);
        drop(state);
        spdlog::info!("job in progress", kv: {
            job = self.owned.id.as_str(),
            age_ms = age.as_millis(),
            waiting = counts.waiting,
            generating = counts.generating,
            rating = counts.scoring,
            ready = counts.ready,
            listed = counts.committed,
        });
        if self.shared.governors.policy() == Policy::ByCost && counts.waiting > 0 {
            capacity::log_share(&self.shared, &self.owned, self.share);
        }
    }

    /// Replicates to other nodes what would be lost if this one failed.
    fn send_checkpoints(&mut self) {
        let now = self.shared.now();
        if now < self.next_checkpoint {
            return;
        }
        self.next_checkpoint = now + CHECKPOINT_INTERVAL;
        let write_age = now.saturating_duration_since(self.write_started_at);
        let is_write_slow = self.pending_write.is_some() && write_age >= SLOW_WRITE_THRESHOLD;
        checkpoint::replicate(
            &self.shared,
            &self.owned,
            &mut self.replicated_progress,
            is_write_slow,
        );
    }

    /// Writes the progress of long outputs to the store when it is due.
    fn store_checkpoints(&mut self) {
        if self.is_storing.load(Ordering::Relaxed) {
            return;
        }
        let now = self.shared.now();
        let due = self.stored_checkpoints.due(&self.owned.state().job, now);
        let Some(checkpoints) = due else {
            return;
        };
        self.is_storing.store(true, Ordering::Relaxed);
        let (shared, owned) = (Arc::clone(&self.shared), Arc::clone(&self.owned));
        let is_storing = Arc::clone(&self.is_storing);
        tokio::spawn(async move {
            checkpoint::store(&shared, &owned, &checkpoints).await;
            is_storing.store(false, Ordering::Relaxed);
        });
    }

    /// Records the outcome of the pending write and wakes readers.
    fn finish_write(&mut self, written: bool) {
        self.pending_write = None;
        let mut state = self.owned.state();
        match written {
            true => state.job.commit_chunk(),
            false => state.job.abort_chunk(),
        }
        let listed = state.job.results().len();
        let finished = state.job.is_finished();
        let elapsed = self
            .shared
            .now()
            .saturating_duration_since(state.started_at);
        drop(state);
        self.owned
            .progress
            .send_modify(|progress| progress.committed = listed);
        if finished {
            Metrics::count(&self.shared.metrics.jobs, "finished");
            Metrics::observe(&self.shared.metrics.job_seconds, elapsed);
            spdlog::info!("job finished", kv: {
                job = self.owned.id.as_str(), listed, taken_ms = elapsed.as_millis(),
            });
        }
    }

    /// Cancels all attempts, and removes the job from this node if another process owns it.
    fn stop(mut self) {
        let progress = *self.owned.progress.borrow();
        let mut state = self.owned.state();
        let specification = Arc::clone(state.job.specification());
        let in_progress = state.job.active_attempt_count();
        let actions = state.job.stop();
        drop(state);
        self.perform(actions, &specification, VecDeque::new());
        if progress.is_lost {
            Metrics::count(&self.shared.metrics.jobs, "lost");
            self.shared.jobs.remove(&self.owned);
        }
        if progress.is_ended {
            Metrics::count(&self.shared.metrics.jobs, "ended");
        }
        spdlog::info!("job stopped at this node", kv: {
            job = self.owned.id.as_str(),
            listed = progress.committed,
            total = specification.items.len(),
            ended = progress.is_ended,
            lost = progress.is_lost,
            in_progress,
        });
    }
}

/// Returns the limits of a job that may generate `max_generating` items at once.
fn limits(
    shared: &Shared,
    table: &Table,
    route: &Route,
    specification: &Specification,
    max_generating: usize,
) -> Limits {
    let service = route.service_for(&specification.path);
    let sharing_routes = table.batch_route_count(service).max(1);
    let balancer = shared.balancer();
    let event_interval = balancer.median_latency(service);
    let stall_timeout = event_interval
        .map_or(MAX_STALL_TIMEOUT, |latency| latency * STALL_FACTOR)
        .clamp(MIN_STALL_TIMEOUT, MAX_STALL_TIMEOUT);
    let (slow_servers, free_slots) =
        balancer.slow_servers(service, &specification.model, specification.min_version);
    let scorer = specification
        .items
        .iter()
        .find_map(|item| item.scorer.as_ref());
    let scoring_route = scorer.and_then(|scorer| table.find(&scorer.host, &scorer.path));
    let max_scoring_attempts =
        scoring_route.map_or(DEFAULT_SCORING_ATTEMPTS, |route| route.max_attempts);
    let scoring_slots = scoring_route.map_or(0, |route| {
        balancer.total_slots(route.service_for(&route.name))
    });
    let scoring_room = scoring_route.map_or(usize::MAX, |route| {
        let service = route.service_for(&route.name);
        shared.governors.scoring_room(service, shared.now())
    });
    let max_scoring =
        (scoring_slots * SCORING_PERCENT / 100 / sharing_routes).max(MIN_CONCURRENT_SCORINGS);
    Limits {
        max_generating,
        max_scoring,
        max_attempts: route.max_attempts,
        max_scoring_attempts,
        stall_timeout,
        slow_servers,
        leaving_servers: balancer.departures(service, shared.now()),
        free_slots,
        event_interval,
        requires_single_version: route
            .batch
            .is_some_and(|batch| batch.requires_single_version),
        scoring_room,
        random: rand::random(),
    }
}

/// Returns the rank of a job that was submitted at this Unix time, in milliseconds.
fn rank(route: &Route, submitted_ms: u64) -> Rank {
    let due_after = route.batch.map_or(Duration::ZERO, |batch| batch.due_after);
    let due_after_ms = u64::try_from(due_after.as_millis()).unwrap_or(u64::MAX);
    Rank(submitted_ms.saturating_add(due_after_ms))
}

/// Returns the limits of a job whose route was removed; no attempt starts.
fn unrouted_limits() -> Limits {
    Limits {
        max_generating: 0,
        max_scoring: 0,
        max_attempts: DEFAULT_ATTEMPTS,
        max_scoring_attempts: DEFAULT_SCORING_ATTEMPTS,
        stall_timeout: MAX_STALL_TIMEOUT,
        slow_servers: Vec::new(),
        leaving_servers: BTreeMap::new(),
        free_slots: BTreeMap::new(),
        event_interval: None,
        requires_single_version: false,
        scoring_room: 0,
        random: rand::random(),
    }
}

/// Chooses the server for an item; `None` if no server has the model version, the software that the
/// item requires and a free slot.
fn choose_server(
    shared: &Shared,
    route: &Route,
    specification: &Specification,
    batch_rank: Option<Rank>,
    preference: &Preference<'_>,
) -> Option<Choice> {
    let balancer = shared.balancer();
    let service = route.service_for(&specification.path);
    let requirements = Requirements {
        service,
        model: Some((&specification.model, specification.min_version)),
        software: preference.software.map(|name| &**name),
        avoid: preference.avoid,
        cached_on: preference.cached_on.map(|name| &**name),
        batch_rank,
        class: Class::Batch,
    };
    let server = balancer.choose(&requirements, shared.now())?;
    Some(Choice {
        server: server.id.clone(),
        software: server.software.clone(),
    })
}
