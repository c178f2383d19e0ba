//! Drives the state machine of one batch job: performs its actions, feeds it what happens, and
//! writes its results.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use shallotroute_batch::{
    record::Specification,
    run::{Action, Event, Limits, Wish},
};
use shallotroute_fleet::{
    route::{Route, Table},
    server::Need,
};
use shallotroute_types::name::Name;
use tokio::{
    sync::{mpsc, oneshot},
    task::AbortHandle,
};

use crate::{
    claim, generate,
    job::{CLAIM_TRUST, Owned},
    metric::Metrics,
    score,
    shared::{InFlight, Shared},
    spare,
};

/// The longest pause between two looks at a job: stalled runs are found at most this much later.
const TICK: Duration = Duration::from_millis(50);

/// A run is moved when it makes no event for this many times the usual time between two.
const STALL_FACTOR: u32 = 12;

/// The least time after which a run is moved: a server that loads a version pauses for about this
/// long.
const MIN_STALL: Duration = Duration::from_millis(700);

/// The share of the slots of a rating service that all trainers together take, in percent; the rest
/// is for callers who wait for an answer.
const RATING_PERCENT: usize = 50;

/// The ratings that a job may always have in progress.
const MIN_RATINGS: usize = 4;

/// The longest time after which a run is moved.
const MAX_STALL: Duration = Duration::from_millis(1500);

/// After this time without an answer to a write of results, other nodes keep them too; a slow store
/// answers sooner.
const WRITE_PATIENCE: Duration = Duration::from_millis(400);

/// The pause between two looks at what other nodes should keep.
const SHARE_PAUSE: Duration = Duration::from_millis(500);

/// The pause between two lines of the log on a job's progress.
const LOG_PAUSE: Duration = Duration::from_secs(1);

/// How long the owner of an ended job keeps it for readers.
const ENDED_TIME: Duration = Duration::from_secs(20);

/// The ratings that may fail on a route that is not in the configuration any more.
const DEFAULT_RATING_ATTEMPTS: usize = 3;

/// The runs that may fail on a route that is not in the configuration any more.
const DEFAULT_ATTEMPTS: usize = 3;

/// A job's attempts in progress.
struct Driver {
    shared: Arc<Shared>,
    owned: Arc<Owned>,
    attempts: HashMap<u64, AbortHandle>,
    writing: Option<oneshot::Receiver<bool>>,
    /// Whether the store is being asked to confirm the claim.
    confirming: Arc<AtomicBool>,
    /// When the write in progress began.
    writing_since: Instant,
    /// When the job's progress is logged next.
    next_log: Instant,
    /// How far each item was when other nodes were last asked to keep it.
    checkpointed: BTreeMap<u32, u64>,
    next_share: Instant,
}

/// Runs a job until all its items are listed, its trainer ends it, or another node owns it.
pub(crate) async fn run(
    shared: Arc<Shared>,
    owned: Arc<Owned>,
    mut events: mpsc::UnboundedReceiver<(u64, Event)>,
) {
    shared.metrics.owned_jobs.inc();
    let mut driver = Driver {
        shared: Arc::clone(&shared),
        owned: Arc::clone(&owned),
        attempts: HashMap::new(),
        writing: None,
        confirming: Arc::default(),
        writing_since: shared.now(),
        next_log: shared.now() + LOG_PAUSE,
        checkpointed: BTreeMap::new(),
        next_share: shared.now() + SHARE_PAUSE,
    };
    let mut progress = owned.progress.subscribe();
    let mut last_pass = shared.now();
    loop {
        let current = *progress.borrow_and_update();
        if current.lost || current.ended || owned.state().run.finished() {
            break;
        }
        let frozen = shared.now().saturating_duration_since(last_pass) >= CLAIM_TRUST;
        // Another node may have taken the job while this process stood still.
        if frozen && !claim::confirm(&shared, &owned).await {
            continue;
        }
        last_pass = shared.now();
        driver.confirm();
        driver.advance();
        driver.write();
        driver.share();
        driver.log_progress();
        tokio::select! {
            received = events.recv() => {
                if let Some((attempt, event)) = received {
                    driver.handle(attempt, event);
                }
                while let Ok((attempt, event)) = events.try_recv() {
                    driver.handle(attempt, event);
                }
            }
            written = wait_for(&mut driver.writing) => driver.written(written),
            _ = progress.changed() => {}
            () = tokio::time::sleep(TICK) => {}
        }
    }
    shared.metrics.owned_jobs.dec();
    driver.stop();
    // Readers come back for a while; after that the store answers them.
    let ended = progress.wait_for(|progress| progress.ended || progress.lost);
    // The job itself holds the sender, so that the wait can't fail.
    let _ = ended.await;
    owned.state().run.release();
    tokio::time::sleep(ENDED_TIME).await;
    shared.jobs.remove(&owned.id);
}

/// Waits for the end of a write; for ever when there is none.
async fn wait_for(writing: &mut Option<oneshot::Receiver<bool>>) -> bool {
    match writing {
        Some(receiver) => receiver.await.unwrap_or(false),
        None => std::future::pending().await,
    }
}

impl Driver {
    /// Has the store confirm the claim when the last confirmation is old. The job runs on meanwhile:
    /// an outage would hold it up otherwise.
    fn confirm(&self) {
        if self.confirming.swap(true, Ordering::Relaxed) {
            return;
        }
        let (shared, owned) = (Arc::clone(&self.shared), Arc::clone(&self.owned));
        let confirming = Arc::clone(&self.confirming);
        if claim::is_fresh(&shared, &owned) {
            confirming.store(false, Ordering::Relaxed);
            return;
        }
        tokio::spawn(async move {
            // A claim that no longer holds is told to the runner by the job's progress.
            claim::confirm(&shared, &owned).await;
            confirming.store(false, Ordering::Relaxed);
        });
    }

    fn advance(&mut self) {
        let Some(table) = self.shared.table() else {
            return;
        };
        let now = self.shared.now();
        let mut state = self.owned.state();
        let specification = Arc::clone(state.run.specification());
        let route = table
            .find(&specification.host, &specification.path)
            .cloned();
        let Some(route) = route else {
            // The route of the job was removed: nothing of it may run any more.
            let actions = state.run.cancel_all();
            drop(state);
            self.perform(actions, &specification, VecDeque::new());
            return;
        };
        let limits = limits(&self.shared, &table, &route, &specification);
        let mut running = VecDeque::new();
        let mut choose = |wish: &Wish<'_>| {
            let server = choose(&self.shared, &route, &specification, wish)?;
            running.push_back(self.shared.start_request(&server));
            Some(server)
        };
        let actions = state.run.advance(&limits, now, &mut choose);
        drop(state);
        self.perform(actions, &specification, running);
    }

    fn handle(&mut self, attempt: u64, event: Event) {
        if matches!(event, Event::Closed(_) | Event::Rated(_)) {
            self.attempts.remove(&attempt);
        }
        let now = self.shared.now();
        let Some(table) = self.shared.table() else {
            return;
        };
        let mut state = self.owned.state();
        let specification = Arc::clone(state.run.specification());
        let route = table
            .find(&specification.host, &specification.path)
            .cloned();
        let limits = match &route {
            Some(route) => limits(&self.shared, &table, route, &specification),
            None => unrouted_limits(),
        };
        let actions = state.run.handle(attempt, event, &limits, now);
        drop(state);
        self.perform(actions, &specification, VecDeque::new());
    }

    /// Performs actions; `running` counts the runs among them at their servers, in their order.
    fn perform(
        &mut self,
        actions: Vec<Action>,
        specification: &Arc<Specification>,
        mut running: VecDeque<InFlight>,
    ) {
        for action in actions {
            match action {
                Action::Generate {
                    attempt,
                    item,
                    server,
                    after,
                } => {
                    let task = generate::Task {
                        shared: Arc::clone(&self.shared),
                        specification: Arc::clone(specification),
                        owned: Arc::clone(&self.owned),
                        attempt,
                        item,
                        after,
                    };
                    let running = running
                        .pop_front()
                        .unwrap_or_else(|| self.shared.start_request(&server));
                    let handle = tokio::spawn(task.run(server, running));
                    self.attempts.insert(attempt, handle.abort_handle());
                }
                Action::Rate { attempt, item } => {
                    let rating = score::run(
                        Arc::clone(&self.shared),
                        Arc::clone(specification),
                        Arc::clone(&self.owned),
                        attempt,
                        item,
                    );
                    let handle = tokio::spawn(rating);
                    self.attempts.insert(attempt, handle.abort_handle());
                }
                Action::Cancel { attempt } => {
                    if let Some(handle) = self.attempts.remove(&attempt) {
                        Metrics::count(&self.shared.metrics.runs, "cancelled");
                        handle.abort();
                    }
                }
            }
        }
    }

    /// Starts to write the next results.
    fn write(&mut self) {
        if self.writing.is_some() {
            return;
        }
        let Some(chunk) = self.owned.state().run.chunk(self.shared.now()) else {
            return;
        };
        let (sender, receiver) = oneshot::channel();
        let (shared, owned) = (Arc::clone(&self.shared), Arc::clone(&self.owned));
        tokio::spawn(async move {
            let written = claim::write_chunk(&shared, &owned, &chunk).await;
            // The driver has stopped when nobody waits for the outcome.
            let _ = sender.send(written);
        });
        self.writing = Some(receiver);
        self.writing_since = self.shared.now();
    }

    /// Logs how far the job is, now and then.
    fn log_progress(&mut self) {
        let now = self.shared.now();
        if now < self.next_log {
            return;
        }
        self.next_log = now + LOG_PAUSE;
        let state = self.owned.state();
        let tally = state.run.tally();
        let age = now.saturating_duration_since(state.since);
        drop(state);
        spdlog::info!("job runs", kv: {
            job = self.owned.id.as_str(),
            age_ms = age.as_millis(),
            waiting = tally.waiting,
            generating = tally.generating,
            rating = tally.rating,
            ready = tally.ready,
            listed = tally.listed,
        });
    }

    /// Has other nodes keep what would be lost with this one.
    fn share(&mut self) {
        let now = self.shared.now();
        if now < self.next_share {
            return;
        }
        self.next_share = now + SHARE_PAUSE;
        let waiting = now.saturating_duration_since(self.writing_since);
        let stuck = self.writing.is_some() && waiting >= WRITE_PATIENCE;
        spare::share(&self.shared, &self.owned, &mut self.checkpointed, stuck);
    }

    fn written(&mut self, written: bool) {
        self.writing = None;
        let mut state = self.owned.state();
        match written {
            true => state.run.written(),
            false => state.run.not_written(),
        }
        let listed = state.run.results().len();
        let finished = state.run.finished();
        let taken = self.shared.now().saturating_duration_since(state.since);
        drop(state);
        self.owned
            .progress
            .send_modify(|progress| progress.listed = listed);
        if finished {
            Metrics::count(&self.shared.metrics.jobs, "finished");
            Metrics::observe(&self.shared.metrics.job_seconds, taken);
            spdlog::info!("job finished", kv: {
                job = self.owned.id.as_str(), listed, taken_ms = taken.as_millis(),
            });
        }
    }

    /// Ends all attempts, and forgets the job if it is another node's.
    fn stop(mut self) {
        let progress = *self.owned.progress.borrow();
        let mut state = self.owned.state();
        let specification = Arc::clone(state.run.specification());
        let in_progress = state.run.in_progress();
        let actions = state.run.end();
        drop(state);
        self.perform(actions, &specification, VecDeque::new());
        if progress.lost {
            Metrics::count(&self.shared.metrics.jobs, "lost");
            self.shared.jobs.remove(&self.owned.id);
        }
        if progress.ended {
            Metrics::count(&self.shared.metrics.jobs, "ended");
        }
        spdlog::info!("job no longer runs here", kv: {
            job = self.owned.id.as_str(),
            listed = progress.listed,
            total = specification.items.len(),
            ended = progress.ended,
            lost = progress.lost,
            in_progress,
        });
    }
}

/// Returns what a run may use now.
fn limits(shared: &Shared, table: &Table, route: &Route, specification: &Specification) -> Limits {
    let service = route.service(&specification.path);
    let roster = shared.roster();
    let slots = roster.slots(service);
    let stall = roster
        .typical_pace(service)
        .map_or(MAX_STALL, |pace| pace * STALL_FACTOR)
        .clamp(MIN_STALL, MAX_STALL);
    let (slow, spare) = roster.slow(service, &specification.model, specification.oldest);
    let reward = specification
        .items
        .iter()
        .find_map(|item| item.reward.as_ref());
    let rating_route = reward.and_then(|reward| table.find(&reward.host, &reward.path));
    let rating_attempts = rating_route.map_or(DEFAULT_RATING_ATTEMPTS, |route| route.attempts);
    let trainers = table.batch_routes(service).max(1);
    let rating_slots = rating_route.map_or(0, |route| roster.slots(route.service(&route.name)));
    let ratings = (rating_slots * RATING_PERCENT / 100 / trainers).max(MIN_RATINGS);
    Limits {
        concurrency: (slots / trainers).max(1),
        ratings,
        attempts: route.attempts,
        rating_attempts,
        stall,
        slow,
        spare,
        single_version: route.batch.is_some_and(|batch| batch.single_version),
    }
}

/// Returns the limits of a job whose route was removed; nothing of it starts.
fn unrouted_limits() -> Limits {
    Limits {
        concurrency: 0,
        ratings: 0,
        attempts: DEFAULT_ATTEMPTS,
        rating_attempts: DEFAULT_RATING_ATTEMPTS,
        stall: MAX_STALL,
        slow: Vec::new(),
        spare: 0,
        single_version: false,
    }
}

/// Chooses the server for an item.
fn choose(
    shared: &Shared,
    route: &Route,
    specification: &Specification,
    wish: &Wish<'_>,
) -> Option<Name> {
    let roster = shared.roster();
    let service = route.service(&specification.path);
    let need = Need {
        service,
        model: Some((&specification.model, specification.oldest)),
        avoid: wish.avoid,
        cached: wish.cached.map(|name| &**name),
        within_slots: true,
    };
    roster
        .choose(&need, shared.now())
        .map(|server| server.id.clone())
}
