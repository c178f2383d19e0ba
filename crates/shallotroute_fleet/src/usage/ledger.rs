//! The leader's part: adds counts up, and decides what is closed in the store and reported when.

use std::{collections::BTreeMap, time::Duration};

use shallotroute_types::fence::Fence;

use super::{Counts, RETENTION, Receipt, Tally, window_end};

/// The maximum number of windows that one write closes. With [`MAX_REMOVALS`] and the conditions it stays below
/// the 32 entries that the store accepts in a write.
const MAX_CLOSED: usize = 6;

/// The maximum number of windows whose keys one write removes.
const MAX_REMOVALS: usize = 12;

/// How far a window may begin in the future by the leader's clock. Counts of later ones come from a node with a
/// wrong clock.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(5);

/// The delay after the first failure of a call. It doubles with each further one.
const MIN_BACK_OFF: Duration = Duration::from_millis(250);

/// The longest delay after a failure.
const MAX_BACK_OFF: Duration = Duration::from_secs(4);

/// The number of doublings after which the delay is [`MAX_BACK_OFF`].
const MAX_DOUBLINGS: u32 = 4;

/// A point in time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Moment {
    /// The time since 1970, by which windows are numbered.
    pub unix: Duration,
    /// The time since boot, for delays.
    pub boot: Duration,
}

/// When windows are closed and reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Schedule {
    /// The length of a window.
    pub window: Duration,
    /// How long after its end a window is closed, so that the last counts of all nodes have arrived.
    pub close_after: Duration,
    /// How long a new leader waits for the counts that nodes send again.
    pub collect: Duration,
    /// How long after its end a window is due.
    pub report_within: Duration,
    /// How long after its end a window is no longer reported.
    pub give_up_after: Duration,
}

/// The state of a window that is closed in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reported {
    /// Not accepted yet.
    Pending,
    /// Accepted in time.
    InTime,
    /// Accepted after it was due.
    Late,
    /// Given up.
    Abandoned,
}

/// A window that is closed in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Window {
    /// The stored counts.
    pub counts: Counts,
    /// Whether they have been reported.
    pub reported: Reported,
    /// How often a report was sent.
    pub attempts: u32,
}

/// What the store has.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stored {
    /// The last window that was closed, and the revision of the key that says so; `None` without the key.
    pub head: Option<(u64, u64)>,
    /// The closed windows whose keys exist.
    pub windows: Vec<Tally>,
}

/// One write to the store. It takes effect only if the head has the revision `head_revision`, or does not exist
/// for 0, the keys of the windows do not exist, and the leader still leads.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Close {
    /// The revision of the head.
    pub head_revision: u64,
    /// The last window that is closed after this write, which becomes the value of the head.
    pub closed_through: u64,
    /// The windows that this write closes.
    pub windows: Vec<Tally>,
    /// The windows whose keys this write removes.
    pub removals: Vec<u64>,
}

/// What is to be done next. Its outcome has to be recorded before the next action is asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read what the store has.
    Load,
    /// Close windows in the store.
    Close(Close),
    /// Report a window.
    Report(Tally),
}

/// The end of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportEnd {
    /// The platform accepted it.
    Accepted,
    /// The report was rejected or got no answer, and is sent again. The platform may name a delay.
    Failed(Option<Duration>),
    /// The report was not sent, and may be sent after this time since boot.
    NotBefore(Duration),
}

/// Numbers for operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// The last closed window; `None` before the store has been read or the first window is closed.
    pub closed_through: Option<u64>,
    /// The windows that wait to be closed.
    pub open: usize,
    /// The closed windows that wait to be accepted.
    pub pending: usize,
}

/// When calls of one kind may be made again.
#[derive(Clone, Copy, Debug, Default)]
struct BackOff {
    failures: u32,
    until: Duration,
}

impl BackOff {
    /// Delays the next call. `jitter` is uniform in [0, 1).
    fn record_failure(&mut self, now: Duration, jitter: f64) {
        let delay = MIN_BACK_OFF * 2_u32.pow(self.failures.min(MAX_DOUBLINGS));
        self.failures = self.failures.saturating_add(1);
        self.until = now + delay.min(MAX_BACK_OFF).mul_f64(0.75 + jitter / 2.0);
    }
}

/// The counts of all processes during the time for which a node leads. `P` identifies a process.
#[derive(Clone, Debug)]
pub struct Ledger<P> {
    schedule: Schedule,
    fence: Fence,
    /// When this node became the leader, since boot.
    since: Duration,
    /// The counts by process of the windows that are not closed.
    collected: BTreeMap<u64, BTreeMap<P, Counts>>,
    /// Whether the store has been read, and has not been written with an unknown outcome since.
    is_loaded: bool,
    /// The last closed window and the revision of the head; `None` without a head.
    head: Option<(u64, u64)>,
    /// The closed windows whose keys exist in the store.
    closed: BTreeMap<u64, Window>,
    /// The windows that were given up since the last [`Ledger::take_abandoned`].
    abandoned: Vec<u64>,
    store_back_off: BackOff,
    report_back_off: BackOff,
}

impl<P: Ord + Clone> Ledger<P> {
    /// Creates the state of a new leader with a fencing number.
    pub fn new(schedule: Schedule, fence: Fence, now: Moment) -> Self {
        Self {
            schedule,
            fence,
            since: now.boot,
            collected: BTreeMap::new(),
            is_loaded: false,
            head: None,
            closed: BTreeMap::new(),
            abandoned: Vec::new(),
            store_back_off: BackOff::default(),
            report_back_off: BackOff::default(),
        }
    }

    /// Returns the fencing number of the leader.
    pub fn fence(&self) -> Fence {
        self.fence
    }

    /// Records the cumulative counts of a process. An earlier message that arrives late changes nothing.
    pub fn receive(&mut self, process: &P, tallies: &[Tally], now: Moment) -> Receipt {
        let mut closed = Vec::new();
        for tally in tallies {
            if self.is_closed(tally.window) || self.is_too_old(tally.window, now) {
                closed.push(tally.window);
                continue;
            }
            let end = window_end(tally.window, self.schedule.window);
            if end > now.unix + self.schedule.window + MAX_CLOCK_SKEW {
                continue;
            }
            let processes = self.collected.entry(tally.window).or_default();
            let counts = processes.entry(process.clone()).or_default();
            for (workspace, count) in &tally.counts {
                let latest = counts.entry(workspace.clone()).or_default();
                *latest = (*latest).max(*count);
            }
        }
        Receipt {
            fence: self.fence,
            closed,
        }
    }

    /// Returns the next action; `None` if there is nothing to do now.
    pub fn next_action(&mut self, now: Moment) -> Option<Action> {
        self.give_up(now);
        if now.boot >= self.store_back_off.until {
            // Without counts there is nothing to close; a deployment without workspaces costs no call.
            if !self.is_loaded && !self.collected.is_empty() {
                return Some(Action::Load);
            }
            if let Some(close) = self.due_close(now) {
                return Some(Action::Close(close));
            }
        }
        self.due_report(now).map(Action::Report)
    }

    /// Records what the store has, as of a linearizable read during this leadership.
    pub fn record_loaded(&mut self, stored: Stored) {
        let known = std::mem::take(&mut self.closed);
        self.is_loaded = true;
        self.head = stored.head;
        for Tally { window, counts } in stored.windows {
            // What is known of a report holds for the same counts only.
            let earlier = known
                .get(&window)
                .filter(|earlier| earlier.counts == counts);
            let entry = earlier.cloned().unwrap_or(Window {
                counts,
                reported: Reported::Pending,
                attempts: 0,
            });
            self.closed.insert(window, entry);
        }
        self.drop_closed();
    }

    /// Records that reading the store failed, or that a write had no effect and will have none. `jitter` is
    /// uniform in [0, 1).
    pub fn record_store_failure(&mut self, now: Moment, jitter: f64) {
        self.store_back_off.record_failure(now.boot, jitter);
    }

    /// Records that a write had a conflict or may have taken effect. Nothing is written until the store has been
    /// read again.
    pub fn record_uncertain(&mut self, now: Moment, jitter: f64) {
        self.is_loaded = false;
        self.store_back_off.record_failure(now.boot, jitter);
    }

    /// Records that a write took effect with this revision.
    pub fn record_closed(&mut self, close: &Close, revision: u64) {
        self.store_back_off = BackOff::default();
        self.head = Some((close.closed_through, revision));
        for number in &close.removals {
            self.closed.remove(number);
        }
        for Tally { window, counts } in &close.windows {
            let entry = Window {
                counts: counts.clone(),
                reported: Reported::Pending,
                attempts: 0,
            };
            self.closed.insert(*window, entry);
        }
        self.drop_closed();
    }

    /// Records the end of the report of a window. `jitter` is uniform in [0, 1). Returns the state of the window;
    /// `None` if it is not known.
    pub fn record_report(
        &mut self,
        window: u64,
        end: ReportEnd,
        now: Moment,
        jitter: f64,
    ) -> Option<Reported> {
        let due = window_end(window, self.schedule.window) + self.schedule.report_within;
        let entry = self.closed.get_mut(&window)?;
        match end {
            ReportEnd::Accepted => {
                entry.attempts += 1;
                entry.reported = match now.unix <= due {
                    true => Reported::InTime,
                    false => Reported::Late,
                };
                self.report_back_off = BackOff::default();
            }
            ReportEnd::Failed(retry_after) => {
                entry.attempts += 1;
                self.report_back_off.record_failure(now.boot, jitter);
                if let Some(delay) = retry_after {
                    let named = now.boot + delay.min(MAX_BACK_OFF);
                    self.report_back_off.until = self.report_back_off.until.max(named);
                }
            }
            ReportEnd::NotBefore(until) => self.report_back_off.until = until,
        }
        Some(entry.reported)
    }

    /// Returns the counts of the windows that are not closed, by process. A leader that steps down passes on those
    /// of processes that have ended, which nobody else has.
    pub fn open_tallies(&self) -> BTreeMap<P, Vec<Tally>> {
        let mut tallies: BTreeMap<P, Vec<Tally>> = BTreeMap::new();
        for (window, processes) in &self.collected {
            for (process, counts) in processes {
                tallies.entry(process.clone()).or_default().push(Tally {
                    window: *window,
                    counts: counts.clone(),
                });
            }
        }
        tallies
    }

    /// Returns the windows that were given up since the last call.
    pub fn take_abandoned(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.abandoned)
    }

    /// Returns the closed windows whose keys exist in the store.
    pub fn closed(&self) -> impl Iterator<Item = (u64, &Window)> {
        self.closed.iter().map(|(number, window)| (*number, window))
    }

    /// Returns numbers for operators.
    pub fn summary(&self) -> Summary {
        let is_pending = |window: &&Window| window.reported == Reported::Pending;
        Summary {
            closed_through: self.head.map(|(number, _)| number),
            open: self.collected.len(),
            pending: self.closed.values().filter(is_pending).count(),
        }
    }

    fn is_closed(&self, number: u64) -> bool {
        self.head.is_some_and(|(through, _)| number <= through)
    }

    /// Returns whether no node has the counts of a window any more, so that it can't be complete.
    fn is_too_old(&self, number: u64, now: Moment) -> bool {
        let kept_until = window_end(number, self.schedule.window) + RETENTION;
        !self.collected.contains_key(&number) && kept_until <= now.unix
    }

    fn drop_closed(&mut self) {
        if let Some((through, _)) = self.head {
            self.collected = self.collected.split_off(&through.saturating_add(1));
        }
    }

    fn give_up(&mut self, now: Moment) {
        let Schedule {
            window,
            give_up_after,
            ..
        } = self.schedule;
        let is_past = |number: u64| window_end(number, window) + give_up_after <= now.unix;
        for (number, entry) in &mut self.closed {
            if entry.reported == Reported::Pending && is_past(*number) {
                entry.reported = Reported::Abandoned;
                self.abandoned.push(*number);
            }
        }
        // A window that could not be closed for so long would not be reported either.
        let abandoned = &mut self.abandoned;
        self.collected.retain(|number, _| {
            if is_past(*number) {
                abandoned.push(*number);
            }
            !is_past(*number)
        });
    }

    fn due_close(&self, now: Moment) -> Option<Close> {
        if !self.is_loaded || now.boot < self.since + self.schedule.collect {
            return None;
        }
        let is_due = |number: u64| {
            window_end(number, self.schedule.window) + self.schedule.close_after <= now.unix
        };
        let windows: Vec<Tally> = self
            .collected
            .iter()
            .filter(|(number, _)| is_due(**number))
            .take(MAX_CLOSED)
            .map(|(number, processes)| Tally {
                window: *number,
                counts: sum(processes.values()),
            })
            .collect();
        let closed_through = windows.last()?.window;
        let removals = self
            .closed
            .iter()
            .filter(|(_, window)| window.reported != Reported::Pending)
            .take(MAX_REMOVALS)
            .map(|(number, _)| *number)
            .collect();
        Some(Close {
            head_revision: self.head.map_or(0, |(_, revision)| revision),
            closed_through,
            windows,
            removals,
        })
    }

    /// Returns the oldest of the windows that were reported least often, so that one which the platform never
    /// accepts does not keep the others back.
    fn due_report(&self, now: Moment) -> Option<Tally> {
        if now.boot < self.report_back_off.until {
            return None;
        }
        let pending = self
            .closed
            .iter()
            .filter(|(_, window)| window.reported == Reported::Pending);
        let (number, window) =
            pending.min_by_key(|(number, window)| (window.attempts, **number))?;
        Some(Tally {
            window: *number,
            counts: window.counts.clone(),
        })
    }
}

fn sum<'a>(parts: impl Iterator<Item = &'a Counts>) -> Counts {
    let mut total = Counts::new();
    for (workspace, count) in parts.flatten() {
        let sum = total.entry(workspace.clone()).or_default();
        *sum = sum.saturating_add(*count);
    }
    total
}
