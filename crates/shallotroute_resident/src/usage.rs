//! Counts the requests that servers begin to run for each workspace, sends the counts to the leader, and has the
//! leader close windows in the store and report them. The decisions are in [`shallotroute_fleet::usage`].

use std::{
    collections::BTreeMap,
    future::Future,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use shallotroute_adapter::store::{Write, WriteOutcome};
use shallotroute_batch::record::{self, Owner};
use shallotroute_fleet::{
    duty::Refusal,
    usage::{
        Action, Close, Counter, Ledger, Message, Moment, RETENTION, Receipt, ReportEnd, Reported,
        Schedule, Stored, Summary, Tally, window_end,
    },
};
use shallotroute_settings::site::SiteSettings as Settings;
use shallotroute_types::{clock::Clock, fence::Fence, name::Name};

use crate::{
    duty::{Caller, Reply, Request},
    member::{self, LEADER_KEY},
    metric::Metrics,
    shared::Shared,
    store::{Error, Result},
};

/// The prefix of the usage in the store.
pub(crate) const PREFIX: &str = "shallotroute/usage/";

const _: () = assert!(
    !member::is_followed(PREFIX),
    "nodes must not follow what only the leader reads"
);

/// The key of the last closed window.
const HEAD_KEY: &str = "shallotroute/usage/head";

/// The prefix of the closed windows.
const WINDOW_PREFIX: &str = "shallotroute/usage/window/";

/// The version of the calls between nodes from which a leader takes counts.
const PROTOCOL: u32 = 1;

/// The interval at which a node sends counts that have changed.
const SEND_INTERVAL: Duration = Duration::from_secs(1);

/// The timeout of a message with counts, which the next one replaces.
const SEND_TIMEOUT: Duration = Duration::from_millis(500);

/// The interval at which the leader looks for windows to close and to report.
const LEDGER_INTERVAL: Duration = Duration::from_millis(200);

/// How long after its end a window is closed: two messages of each node fit in.
const CLOSE_AFTER: Duration = Duration::from_secs(3);

/// How long a new leader collects counts: two messages of each node, after it has learned who leads.
const COLLECT_PERIOD: Duration = Duration::from_millis(2500);

/// How long after its end a window is no longer reported.
const GIVE_UP_AFTER: Duration = Duration::from_secs(60);

/// The delay after a call that this node was not permitted to send.
const REFUSED_DELAY: Duration = Duration::from_millis(200);

/// How long a plain request without an answer waits until it is counted. A window is closed soon after its end, and a
/// request that a server has had for this long is hardly rejected as not run.
const COUNT_DELAY: Duration = Duration::from_secs(2);

/// The number of nodes that hold the counts of the leader's own node, which would be lost with it otherwise.
const HOLDERS: usize = 2;

/// How long a process that ends waits for the leader to take its last counts.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// The usage that this node knows.
pub(crate) struct Recorder {
    clock: Arc<dyn Clock>,
    counter: Mutex<Counter>,
    /// The ledger while this node leads.
    ledger: Mutex<Option<Ledger<Owner>>>,
    /// Counts of other processes for the next leader: those of the present leader, which it has sent to nobody else, and
    /// those of processes that had ended when this node stepped down.
    held: Mutex<BTreeMap<Owner, Vec<Tally>>>,
    schedule: Schedule,
}

/// Counts one caller's request, once over all its attempts.
///
/// There are three moments. [`Meter::begin`] is called when an attempt is about to be sent. That a server has begun to run
/// the request is recorded with the answer to a plain request, whatever its status is, for the time at which the
/// attempt was sent, and by [`Meter::record_event`] with the first event of a stream. [`Attempt::dismiss`] is called when
/// the server has not run the request and never will. An attempt that is dropped without it may have run and counts, also
/// if its caller has left.
#[derive(Clone)]
pub(crate) struct Meter(Option<Arc<Subject>>);

/// A caller's request of a workspace.
struct Subject {
    recorder: Arc<Recorder>,
    workspace: Name,
    is_counted: AtomicBool,
}

/// An attempt to have a server run a caller's request.
pub(crate) struct Attempt {
    subject: Option<Arc<Subject>>,
    /// When it was sent, since 1970.
    sent_at: Duration,
}

/// Returns the meter of a caller's request, which counts nothing without a workspace or where usage is not reported.
pub(crate) fn meter(shared: &Shared, workspace: Option<&Name>) -> Meter {
    let subject = shared.usage.as_ref().zip(workspace);
    Meter(subject.map(|(recorder, workspace)| {
        Arc::new(Subject {
            recorder: Arc::clone(recorder),
            workspace: workspace.clone(),
            is_counted: AtomicBool::new(false),
        })
    }))
}

impl Meter {
    /// Returns a meter that counts nothing, for requests that no caller has sent.
    pub(crate) fn none() -> Self {
        Self(None)
    }

    /// Starts an attempt, which is about to be sent.
    pub(crate) fn begin(&self) -> Attempt {
        let now = self.0.as_ref().map(|subject| subject.recorder.unix());
        Attempt {
            subject: self.0.clone(),
            sent_at: now.unwrap_or_default(),
        }
    }

    /// Records that a server has sent an event of the stream.
    pub(crate) fn record_event(&self) {
        if let Some(subject) = &self.0
            && !subject.is_counted.load(Ordering::Relaxed)
        {
            subject.record(subject.recorder.unix());
        }
    }
}

impl Subject {
    fn record(&self, unix: Duration) {
        if !self.is_counted.swap(true, Ordering::Relaxed) {
            self.recorder.record(&self.workspace, unix);
        }
    }
}

impl Attempt {
    /// Waits for the end of the attempt of a plain request, and counts it before that if it takes long.
    pub(crate) async fn observe<T>(&self, attempt: impl Future<Output = T>) -> T {
        let Some(subject) = &self.subject else {
            return attempt.await;
        };
        let mut attempt = std::pin::pin!(attempt);
        if let Ok(ended) = tokio::time::timeout(COUNT_DELAY, &mut attempt).await {
            return ended;
        }
        subject.record(self.sent_at);
        attempt.await
    }

    /// Ends an attempt that the server has not run and never will.
    pub(crate) fn dismiss(mut self) {
        self.subject = None;
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if let Some(subject) = &self.subject {
            subject.record(self.sent_at);
        }
    }
}

impl Recorder {
    /// Creates the recorder of a node; `None` if the deployment has no duties.
    pub(crate) fn new(settings: &Settings, clock: Arc<dyn Clock>) -> Option<Arc<Self>> {
        let duties = settings.duties.as_ref()?;
        Some(Arc::new(Self {
            clock,
            counter: Mutex::new(Counter::new(duties.window)),
            ledger: Mutex::new(None),
            held: Mutex::default(),
            schedule: Schedule {
                window: duties.window,
                close_after: CLOSE_AFTER,
                collect: COLLECT_PERIOD,
                report_within: duties.report_within,
                give_up_after: GIVE_UP_AFTER,
            },
        }))
    }

    /// Counts a request that a server began to run at `unix`, since 1970.
    fn record(&self, workspace: &Name, unix: Duration) {
        lock(&self.counter).record(workspace, unix);
    }

    /// Records the counts of a process. Returns `None` if this node does not lead; it holds the counts of the leader then.
    pub(crate) fn receive(
        &self,
        shared: &Shared,
        sender: &Owner,
        tallies: Vec<Tally>,
    ) -> Option<Receipt> {
        let now = self.moment();
        if let Some(ledger) = lock(&self.ledger).as_mut() {
            return Some(ledger.receive(sender, &tallies, now));
        }
        if leader(shared).is_some_and(|(leader, _)| leader == *sender) {
            lock(&self.held).insert(sender.clone(), tallies);
        }
        None
    }

    /// Drops the counts that are too old to be of use.
    fn expire_held(&self) {
        let (now, window) = (self.unix(), self.schedule.window);
        let mut held = lock(&self.held);
        held.retain(|_, tallies| {
            tallies.retain(|tally| window_end(tally.window, window) + RETENTION > now);
            !tallies.is_empty()
        });
    }

    /// Returns numbers for operators and the closed windows with their states; `None` if this node does not lead.
    pub(crate) fn summary(&self) -> Option<(Summary, Vec<(u64, Reported)>)> {
        let ledger = lock(&self.ledger);
        let ledger = ledger.as_ref()?;
        let closed = ledger.closed();
        let closed = closed.map(|(number, window)| (number, window.reported));
        Some((ledger.summary(), closed.collect()))
    }

    fn unix(&self) -> Duration {
        since_1970(self.clock.wall_time())
    }

    fn moment(&self) -> Moment {
        Moment {
            unix: self.unix(),
            boot: self.clock.boot_time(),
        }
    }
}

/// Starts the tasks of a node in a deployment that reports usage.
pub(crate) fn start(shared: &Arc<Shared>) {
    if shared.usage.is_some() {
        tokio::spawn(run(Arc::clone(shared)));
        tokio::spawn(run_ledger(Arc::clone(shared)));
    }
}

/// Sends the counts of this node to the leader, for as long as the process runs.
async fn run(shared: Arc<Shared>) {
    let Some(recorder) = shared.usage.clone() else {
        return;
    };
    loop {
        // The jitter spreads the messages that a leader gets.
        tokio::time::sleep(SEND_INTERVAL.mul_f64(rand::random_range(0.8..1.0))).await;
        // Their usage is reported also if it is zero.
        let has_workspaces = shared
            .table()
            .is_some_and(|table| table.workspaces().is_some());
        lock(&recorder.counter).observe(has_workspaces, recorder.unix());
        recorder.expire_held();
        send(&shared, &recorder).await;
        copy(&shared, &recorder).await;
    }
}

/// Has other nodes hold the counts of this one while it leads.
async fn copy(shared: &Shared, recorder: &Recorder) {
    if lock(&recorder.ledger).is_none() {
        return;
    }
    let mut tallies = lock(&recorder.counter).tallies();
    tallies.retain(|tally| !tally.counts.is_empty());
    if tallies.is_empty() {
        return;
    }
    let holders: Vec<Owner> = {
        let members = shared.members.borrow();
        let others = members.nodes.values().map(|member| &member.owner);
        others
            .filter(|owner| **owner != shared.owner && members.speaks(owner, PROTOCOL))
            .take(HOLDERS)
            .cloned()
            .collect()
    };
    let copies = holders
        .iter()
        .map(|holder| deliver(shared, holder, &shared.owner, &tallies));
    futures::future::join_all(copies).await;
}

/// Sends once more what the leader lacks, before the process ends.
pub(crate) async fn flush(shared: &Shared) {
    if let Some(recorder) = &shared.usage {
        // The loss of these counts is within the tolerance of a figure; the process must not stay for them.
        let _ = tokio::time::timeout(FLUSH_TIMEOUT, send(shared, recorder)).await;
    }
}

/// Sends what the leader lacks, unless the leader is this node or of a build that takes no counts.
async fn send(shared: &Shared, recorder: &Recorder) {
    let Some((leader, fence)) = leader(shared) else {
        return;
    };
    let message = lock(&recorder.counter).message(fence);
    if !message.tallies.is_empty()
        && let Some(receipt) = deliver(shared, &leader, &shared.owner, &message.tallies).await
    {
        lock(&recorder.counter).record_receipt(&message, &receipt);
    }
    let held = lock(&recorder.held).clone();
    for (owner, tallies) in held {
        if owner != leader && deliver(shared, &leader, &owner, &tallies).await.is_some() {
            lock(&recorder.held).remove(&owner);
        }
    }
}

/// Returns the leader and its fencing number if it is another node that takes counts.
fn leader(shared: &Shared) -> Option<(Owner, Fence)> {
    let members = shared.members.borrow();
    let leadership = members.leadership.as_ref()?;
    let leader = leadership.leader.as_ref()?;
    let takes_counts = *leader != shared.owner && members.speaks(leader, PROTOCOL);
    takes_counts.then(|| (leader.clone(), leadership.fence))
}

/// Sends the counts of a process to the leader. Returns `None` if it has not got them.
async fn deliver(
    shared: &Shared,
    leader: &Owner,
    owner: &Owner,
    tallies: &[Tally],
) -> Option<Receipt> {
    let (sender, content) = (owner.clone(), tallies.to_vec());
    let sent = shared
        .peers
        .call(leader.address, SEND_TIMEOUT, |client, context| async move {
            client.report_usage(context, sender, content).await
        })
        .await;
    match sent {
        Ok(receipt) => receipt,
        Err(error) => {
            spdlog::debug!("failed to send usage to the leader", kv: {
                node = leader.to_string(), reason = format!("{error:?}"),
            });
            None
        }
    }
}

/// Closes and reports windows while this node leads, for as long as the process runs.
async fn run_ledger(shared: Arc<Shared>) {
    let (Some(recorder), Some(caller)) = (shared.usage.clone(), &shared.duties) else {
        return;
    };
    loop {
        tokio::time::sleep(LEDGER_INTERVAL).await;
        update_leadership(&shared, &recorder, caller.token());
        while let Some(action) = next_action(&recorder) {
            perform(&shared, &recorder, caller, action).await;
        }
        record_abandoned(&shared, &recorder);
    }
}

/// Logs and counts the windows that were given up.
fn record_abandoned(shared: &Shared, recorder: &Recorder) {
    let abandoned = lock(&recorder.ledger).as_mut().map(Ledger::take_abandoned);
    for window in abandoned.into_iter().flatten() {
        Metrics::count(&shared.metrics.usage_windows, "abandoned");
        spdlog::error!("usage of a window given up", kv: { window });
    }
}

/// Begins a ledger when this node has become the leader, and ends it when it no longer leads.
fn update_leadership(shared: &Shared, recorder: &Recorder, token: Option<Fence>) {
    let mut ledger = lock(&recorder.ledger);
    if ledger.as_ref().map(Ledger::fence) != token {
        if let Some(former) = ledger.take() {
            inherit(shared, recorder, &former);
        }
        *ledger = token.map(|token| Ledger::new(recorder.schedule, token, recorder.moment()));
    }
    let Some(ledger) = ledger.as_mut() else {
        return;
    };
    let now = recorder.moment();
    let mut counter = lock(&recorder.counter);
    let receipt = ledger.receive(&shared.owner, &counter.tallies(), now);
    counter.record_receipt(&Message::default(), &receipt);
    for (owner, tallies) in std::mem::take(&mut *lock(&recorder.held)) {
        ledger.receive(&owner, &tallies, now);
    }
}

/// Keeps the counts of processes that have ended for the next leader. The others send theirs again.
fn inherit(shared: &Shared, recorder: &Recorder, former: &Ledger<Owner>) {
    let members = shared.members.borrow();
    let mut ended = former.open_tallies();
    ended.retain(|owner, _| *owner != shared.owner && !members.is_live(owner));
    lock(&recorder.held).append(&mut ended);
}

fn next_action(recorder: &Recorder) -> Option<Action> {
    let now = recorder.moment();
    lock(&recorder.ledger).as_mut()?.next_action(now)
}

/// Performs one action of the ledger and records its outcome. The ledger stays the same meanwhile, since only the calling
/// task replaces it.
async fn perform(shared: &Shared, recorder: &Recorder, caller: &Caller, action: Action) {
    let jitter = rand::random_range(0.0..1.0);
    match action {
        Action::Load => {
            let loaded = load(shared).await;
            with_ledger(recorder, |ledger, now| match loaded {
                Ok(stored) => ledger.record_loaded(stored),
                Err(error) => {
                    spdlog::warn!("failed to read usage from the platform store", kv: {
                        error = error.to_string(),
                    });
                    ledger.record_store_failure(now, jitter);
                }
            });
        }
        Action::Close(close) => {
            let Some(fence) = lock(&recorder.ledger).as_ref().map(Ledger::fence) else {
                return;
            };
            let outcome = shared.store.write(&closing_write(&close, fence)).await;
            with_ledger(recorder, |ledger, now| {
                record_write(shared, ledger, &close, outcome, (now, jitter));
            });
        }
        Action::Report(tally) => {
            let window = tally.window;
            let reply = caller.call(&Request::Usage(tally)).await;
            with_ledger(recorder, |ledger, now| {
                let end = report_end(&reply, now);
                let state = ledger.record_report(window, end, now, jitter);
                if let Some(name) = state.and_then(reported_name) {
                    Metrics::count(&shared.metrics.usage_windows, name);
                    spdlog::info!("usage of a window reported", kv: { window, outcome = name });
                }
            });
        }
    }
}

fn with_ledger(recorder: &Recorder, record: impl FnOnce(&mut Ledger<Owner>, Moment)) {
    let now = recorder.moment();
    if let Some(ledger) = lock(&recorder.ledger).as_mut() {
        record(ledger, now);
    }
}

/// Returns the conditional write that closes windows.
fn closing_write(close: &Close, fence: Fence) -> Write {
    let mut write = Write {
        conditions: vec![
            (HEAD_KEY.to_owned(), close.head_revision),
            // A leader whose record is gone closes nothing, so that its successor reads all that was closed.
            (LEADER_KEY.to_owned(), fence.0),
        ],
        puts: vec![(
            HEAD_KEY.to_owned(),
            record::encode(&close.closed_through),
            0,
        )],
        removals: close.removals.iter().map(|number| key(*number)).collect(),
    };
    for tally in &close.windows {
        write.conditions.push((key(tally.window), 0));
        let counts = record::encode(&tally.counts);
        write.puts.push((key(tally.window), counts, 0));
    }
    write
}

fn record_write(
    shared: &Shared,
    ledger: &mut Ledger<Owner>,
    close: &Close,
    outcome: Result<WriteOutcome>,
    (now, jitter): (Moment, f64),
) {
    let reason = match outcome {
        Ok(WriteOutcome::Applied(revision)) => {
            for tally in &close.windows {
                Metrics::count(&shared.metrics.usage_windows, "closed");
                spdlog::info!("usage of a window closed", kv: {
                    window = tally.window,
                    workspaces = tally.counts.len(),
                    count = tally.counts.values().sum::<u64>(),
                    revision,
                });
            }
            return ledger.record_closed(close, revision);
        }
        Ok(WriteOutcome::Conflict(_)) => {
            ledger.record_uncertain(now, jitter);
            "the store has other records".to_owned()
        }
        Err(error @ Error::NotApplied(_)) => {
            ledger.record_store_failure(now, jitter);
            error.to_string()
        }
        Err(error) => {
            ledger.record_uncertain(now, jitter);
            error.to_string()
        }
    };
    spdlog::warn!("failed to close windows in the platform store", kv: {
        window = close.closed_through, reason,
    });
}

/// Reads what the store has.
async fn load(shared: &Shared) -> Result<Stored> {
    let (items, _) = shared.store.range(PREFIX).await?;
    let undecodable = |error: record::Error| Error::OutcomeUnknown(error.to_string());
    let mut stored = Stored::default();
    for item in items {
        if item.key == HEAD_KEY {
            let through = record::decode("usage head", &item.value).map_err(undecodable)?;
            stored.head = Some((through, item.revision));
        } else if let Some(number) = item.key.strip_prefix(WINDOW_PREFIX) {
            let window = number.parse().map_err(|_| {
                Error::OutcomeUnknown(format!("the key {} names no window", item.key))
            })?;
            let counts = record::decode("usage window", &item.value).map_err(undecodable)?;
            stored.windows.push(Tally { window, counts });
        }
    }
    Ok(stored)
}

fn key(window: u64) -> String {
    format!("{WINDOW_PREFIX}{window}")
}

fn report_end(reply: &Reply, now: Moment) -> ReportEnd {
    match reply {
        Reply::Accepted => ReportEnd::Accepted,
        Reply::NotRun { retry_after } => ReportEnd::Failed(*retry_after),
        Reply::Refused(Refusal::NotBefore(until)) => ReportEnd::NotBefore(*until),
        Reply::Refused(_) => ReportEnd::NotBefore(now.boot + REFUSED_DELAY),
        Reply::Unavailable
        | Reply::Fenced
        | Reply::Invalid(_)
        | Reply::Unknown(_)
        | Reply::Unreachable(_) => ReportEnd::Failed(None),
    }
}

/// Returns the name of the state of a window that is not reported any more, for metrics and logs.
pub(crate) fn reported_name(reported: Reported) -> Option<&'static str> {
    match reported {
        Reported::Pending => None,
        Reported::InTime => Some("reported"),
        Reported::Late => Some("late"),
        Reported::Abandoned => Some("abandoned"),
    }
}

fn since_1970(time: SystemTime) -> Duration {
    time.duration_since(UNIX_EPOCH).unwrap_or_default()
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
