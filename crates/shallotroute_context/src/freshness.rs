//! Whether a node has read again, since it started or was resumed, what its decisions rest on.
//!
//! A process that was stopped for a while acts on a configuration, a host list and states of servers
//! from before. Work waits until these were asked for again. Start with [`Freshness`].

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use derive_more::Display;
use shallotroute_types::clock::Clock;
use tokio::{sync::watch, time::timeout_at};

/// Beats that are further apart mean that the process was stopped. A machine under load delays a beat
/// by less, and the state of so short a pause is younger than the 3 s after which a leaving server may
/// get no new work.
pub const MAX_PAUSE: Duration = Duration::from_secs(1);

/// How long work waits after a start or a pause for what can't be read, so that a node serves while
/// the platform is away. It is below the 3 s of [`MAX_PAUSE`].
pub const LIMIT: Duration = Duration::from_secs(2);

/// What decisions rest on.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Input {
    /// The head of the configuration, with the revision that it names in force.
    #[display("the configuration")]
    Configuration,
    /// The platform's host list.
    #[display("the host list")]
    Hosts,
    /// What engines report, and which servers refused other nodes as leaving.
    #[display("the servers' states")]
    Servers,
}

impl Input {
    const ALL: [Self; 3] = [Self::Configuration, Self::Hosts, Self::Servers];
}

/// The decision whether the inputs are fresh.
#[derive(Clone, Debug)]
pub struct Machine {
    woken: Instant,
    beat: Option<Instant>,
    /// When the inputs that were read were asked for, in the order of [`Input::ALL`].
    asked: [Option<Instant>; 3],
}

impl Machine {
    /// Makes the state of a node that starts at `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            woken: now,
            beat: None,
            asked: [None; 3],
        }
    }

    /// Notes that the process runs.
    pub fn beat(&mut self, now: Instant) {
        self.look(now);
        self.beat = Some(now);
    }

    /// Notes that an input was read that was asked for at `asked`.
    pub fn note(&mut self, input: Input, asked: Instant) {
        let known = &mut self.asked[input as usize];
        *known = (*known).max(Some(asked));
    }

    /// Returns how long the process was stopped when it looks again after a pause, and starts to wait
    /// for the inputs.
    pub fn look(&mut self, now: Instant) -> Option<Duration> {
        let pause = now.saturating_duration_since(self.beat?);
        if pause < MAX_PAUSE {
            return None;
        }
        self.woken = now;
        self.beat = Some(now);
        Some(pause)
    }

    /// Returns the inputs that were not asked for again since the process started or was resumed.
    pub fn missing(&self) -> impl Iterator<Item = Input> {
        let is_old = |input: &Input| {
            let asked = self.asked[*input as usize];
            asked.is_none_or(|asked| asked < self.woken)
        };
        Input::ALL.into_iter().filter(is_old)
    }

    /// Returns until when work waits for the missing inputs; none when it need not wait.
    pub fn wait_until(&self, now: Instant) -> Option<Instant> {
        let until = self.woken + LIMIT;
        (now < until && self.missing().next().is_some()).then_some(until)
    }
}

/// The machine, shared by the parts of a node.
#[derive(Debug)]
pub struct Freshness {
    machine: Mutex<Machine>,
    woken: watch::Sender<Instant>,
    /// Changes with each input that was read.
    read: watch::Sender<()>,
}

impl Freshness {
    /// Makes the state of a node that starts at `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            machine: Mutex::new(Machine::new(now)),
            woken: watch::Sender::new(now),
            read: watch::Sender::new(()),
        }
    }

    /// Notes that the process runs; to be called several times within [`MAX_PAUSE`].
    pub fn beat(&self, now: Instant) {
        let mut machine = self.look(now);
        machine.beat(now);
    }

    /// Notes that an input was read that was asked for at `asked`.
    pub fn note(&self, input: Input, asked: Instant) {
        let mut machine = self.lock();
        let was_missing = machine.missing().any(|it| it == input);
        machine.note(input, asked);
        if was_missing && !machine.missing().any(|it| it == input) {
            spdlog::info!(
                "read since the start or pause: {}, asked for after {:?}",
                input,
                asked.saturating_duration_since(machine.woken)
            );
        }
        drop(machine);
        self.read.send_replace(());
    }

    /// Tells whether an input was not asked for again since the process started or was resumed.
    pub fn needs(&self, input: Input, now: Instant) -> bool {
        self.look(now).missing().any(|it| it == input)
    }

    /// Tells whether work need not wait.
    pub fn is_fresh(&self, now: Instant) -> bool {
        self.look(now).wait_until(now).is_none()
    }

    /// Returns when the process started or was last resumed, and its changes.
    pub fn woken(&self) -> watch::Receiver<Instant> {
        self.woken.subscribe()
    }

    /// Waits until work need not wait, at most [`LIMIT`].
    pub async fn wait(&self, clock: &dyn Clock) {
        let mut read = self.read.subscribe();
        let until = |now| self.look(now).wait_until(now);
        while let Some(until) = until(clock.now()) {
            // The end of the wait is looked at like a read; the sender lives as long as this.
            let _ = timeout_at(until.into(), read.changed()).await;
        }
    }

    /// Locks the machine after a look whether the process was stopped.
    fn look(&self, now: Instant) -> MutexGuard<'_, Machine> {
        let mut machine = self.lock();
        if let Some(pause) = machine.look(now) {
            spdlog::warn!(
                "the process was stopped for {:?}; work waits for what is read again",
                pause
            );
            self.woken.send_replace(now);
        }
        machine
    }

    fn lock(&self) -> MutexGuard<'_, Machine> {
        self.machine.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
