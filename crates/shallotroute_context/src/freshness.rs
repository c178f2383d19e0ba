//! Detects process pauses and tracks whether a node has re-read its inputs since it started or was
//! resumed.
//!
//! A process that was paused for a while acts on an outdated configuration, host list and server
//! states. Work waits until these have been requested again. The entry point is [`Freshness`].

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use derive_more::Display;
use shallotroute_types::clock::Clock;
use tokio::{sync::watch, time::timeout_at};

/// The gap between two heartbeats from which the process counts as paused.
///
/// CPU load delays a heartbeat by less. State that is outdated by a shorter gap is still younger than
/// the 3 s after which a leaving server may get no new work.
pub const MAX_PAUSE: Duration = Duration::from_secs(1);

/// The longest time that work waits for stale inputs after a start or a pause, so that a node still
/// serves while the platform is unreachable.
///
/// It is below the 3 s that [`MAX_PAUSE`] refers to.
pub const MAX_WAIT: Duration = Duration::from_secs(2);

/// The sources of the state that routing decisions depend on.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Input {
    /// The head of the configuration, with the revision that it names in force.
    #[display("the configuration")]
    Configuration,
    /// The platform's host list.
    #[display("the host list")]
    Hosts,
    /// The engines' reports, and the servers that refused requests of other nodes as leaving.
    #[display("the servers' states")]
    Servers,
}

impl Input {
    const ALL: [Self; 3] = [Self::Configuration, Self::Hosts, Self::Servers];
}

/// The pause detection and the read times of the inputs, without locks or timers.
#[derive(Clone, Debug)]
pub struct Tracker {
    /// When the process started or was last resumed.
    resumed_at: Instant,
    last_heartbeat: Option<Instant>,
    /// The request times of the latest successful reads, in the order of [`Input::ALL`].
    requested: [Option<Instant>; 3],
}

impl Tracker {
    /// Creates the tracker of a node that starts at `now`; all inputs are stale.
    pub fn new(now: Instant) -> Self {
        Self {
            resumed_at: now,
            last_heartbeat: None,
            requested: [None; 3],
        }
    }

    /// Records that the process is running at `now`.
    pub fn heartbeat(&mut self, now: Instant) {
        self.check_for_pause(now);
        self.last_heartbeat = Some(now);
    }

    /// Records a successful read of an input that was requested at `requested`.
    pub fn record_read(&mut self, input: Input, requested: Instant) {
        let known = &mut self.requested[input as usize];
        *known = (*known).max(Some(requested));
    }

    /// Returns the length of a pause that has not been detected yet, and marks all inputs as stale.
    /// Returns `None` when the last heartbeat is recent.
    pub fn check_for_pause(&mut self, now: Instant) -> Option<Duration> {
        let pause = now.saturating_duration_since(self.last_heartbeat?);
        if pause < MAX_PAUSE {
            return None;
        }
        self.resumed_at = now;
        self.last_heartbeat = Some(now);
        Some(pause)
    }

    /// Returns the inputs that have not been requested again since the process started or was resumed.
    pub fn stale_inputs(&self) -> impl Iterator<Item = Input> {
        let is_outdated = |input: &Input| {
            let requested = self.requested[*input as usize];
            requested.is_none_or(|requested| requested < self.resumed_at)
        };
        Input::ALL.into_iter().filter(is_outdated)
    }

    /// Returns the instant until which work waits for stale inputs; `None` when it may proceed.
    pub fn wait_deadline(&self, now: Instant) -> Option<Instant> {
        let deadline = self.resumed_at + MAX_WAIT;
        (now < deadline && self.stale_inputs().next().is_some()).then_some(deadline)
    }
}

/// A [`Tracker`] that all parts of a node share.
#[derive(Debug)]
pub struct Freshness {
    tracker: Mutex<Tracker>,
    resumed_at: watch::Sender<Instant>,
    /// Signals each successful read of an input.
    read: watch::Sender<()>,
}

impl Freshness {
    /// Creates the state of a node that starts at `now`; all inputs are stale.
    pub fn new(now: Instant) -> Self {
        Self {
            tracker: Mutex::new(Tracker::new(now)),
            resumed_at: watch::Sender::new(now),
            read: watch::Sender::new(()),
        }
    }

    /// Records that the process is running. Call this several times within [`MAX_PAUSE`].
    pub fn heartbeat(&self, now: Instant) {
        let mut tracker = self.check_for_pause(now);
        tracker.heartbeat(now);
    }

    /// Records a successful read of an input that was requested at `requested`.
    pub fn record_read(&self, input: Input, requested: Instant) {
        let mut tracker = self.lock();
        let was_stale = tracker.stale_inputs().any(|it| it == input);
        tracker.record_read(input, requested);
        if was_stale && !tracker.stale_inputs().any(|it| it == input) {
            spdlog::info!(
                "refreshed {} after the start or pause; requested {:?} after it",
                input,
                requested.saturating_duration_since(tracker.resumed_at)
            );
        }
        drop(tracker);
        self.read.send_replace(());
    }

    /// Returns whether an input has not been requested again since the process started or was resumed.
    pub fn is_stale(&self, input: Input, now: Instant) -> bool {
        self.check_for_pause(now)
            .stale_inputs()
            .any(|it| it == input)
    }

    /// Returns whether work may proceed: all inputs are fresh, or [`MAX_WAIT`] is over.
    pub fn is_fresh(&self, now: Instant) -> bool {
        self.check_for_pause(now).wait_deadline(now).is_none()
    }

    /// Subscribes to the instant at which the process started or was last resumed.
    pub fn resumed(&self) -> watch::Receiver<Instant> {
        self.resumed_at.subscribe()
    }

    /// Waits until all inputs are fresh, at most [`MAX_WAIT`] from the start or resumption.
    pub async fn wait_until_fresh(&self, clock: &dyn Clock) {
        let mut read = self.read.subscribe();
        let deadline = |now| self.check_for_pause(now).wait_deadline(now);
        while let Some(deadline) = deadline(clock.now()) {
            // A timeout is handled like a read: the loop condition decides. The channel can't close
            // while `self` owns the sender.
            let _ = timeout_at(deadline.into(), read.changed()).await;
        }
    }

    /// Locks the tracker and checks for a pause.
    fn check_for_pause(&self, now: Instant) -> MutexGuard<'_, Tracker> {
        let mut tracker = self.lock();
        if let Some(pause) = tracker.check_for_pause(now) {
            spdlog::warn!(
                "process was paused for {:?}; work waits until its inputs are refreshed",
                pause
            );
            self.resumed_at.send_replace(now);
        }
        tracker
    }

    fn lock(&self) -> MutexGuard<'_, Tracker> {
        self.tracker.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
