//! Commands to the engines of one pool by the holder of its lease.
//!
//! An engine that ignores fencing numbers would carry out a late command of a former holder. The new
//! holder therefore waits until such commands have ended, reads the engine's state, and only then
//! gives commands. The driver checks [`Controller::permits`] again immediately before it sends.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use shallotroute_types::{fence::Fence, name::Name, version::Version};

use crate::engine::{Engine, Phase, Report, Sent, Target, Trigger};

/// The settings of a controller.
#[derive(Clone, Debug)]
pub struct Config {
    /// After this time a command has ended or will never take effect. The same on all nodes.
    pub command_timeout: Duration,
    /// What is added to a former holder's command timeout; covers the drift between two clocks.
    pub margin: Duration,
    /// The time between two reads of an engine whose state is not settled.
    pub retry_every: Duration,
}

/// An input.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// The engine should have a version of a model.
    Target {
        /// The engine.
        engine: Name,
        /// The model or adapter.
        model: Name,
        /// The version and its source.
        target: Target,
    },
    /// The engine no longer belongs to the pool.
    Removed {
        /// The engine.
        engine: Name,
    },
    /// The answer to [`Action::Read`].
    Read {
        /// The engine.
        engine: Name,
        /// The serial of the read.
        serial: u64,
        /// What it reported.
        result: Result<Report, Failure>,
    },
    /// What an engine reported without being asked, as with a load report.
    Reported {
        /// The engine.
        engine: Name,
        /// The incarnation in the report.
        incarnation: u64,
    },
    /// The answer to [`Action::Load`].
    Loaded {
        /// The engine.
        engine: Name,
        /// The serial of the command.
        serial: u64,
        /// Whether it was done.
        result: Result<(), Failure>,
    },
}

/// Why a call to an engine failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The engine has seen a higher fencing number.
    Fenced,
    /// The command certainly did nothing.
    NotRun,
    /// The engine answered that the swap failed partway.
    Partway,
    /// The answer was lost.
    Lost,
}

/// An output.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the state of an engine.
    Read {
        /// The engine.
        engine: Name,
        /// Distinguishes the reads and commands of this controller.
        serial: u64,
    },
    /// Give a command if [`Controller::permits`] still holds.
    Load(Command),
}

/// A command to load a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Command {
    /// The engine.
    pub engine: Name,
    /// Distinguishes the reads and commands of this controller.
    pub serial: u64,
    /// The fencing number of the lease.
    pub fence: Fence,
    /// The model or adapter.
    pub model: Name,
    /// The version and its source.
    pub target: Target,
}

/// The commands of one node to the engines of a pool.
#[derive(Debug)]
pub struct Controller {
    config: Config,
    engines: BTreeMap<Name, Engine>,
    fence: Option<Fence>,
    settled: Instant,
    serial: u64,
}

impl Controller {
    /// Starts without engines.
    pub fn new(config: Config, now: Instant) -> Self {
        Self {
            config,
            engines: BTreeMap::new(),
            fence: None,
            settled: now,
            serial: 0,
        }
    }

    /// Processes an event; `held` is [`crate::lease::Lease::held`] at `now`.
    pub fn handle(&mut self, event: Event, held: Option<Fence>, now: Instant) -> Vec<Action> {
        if let Some(fence) = held
            && self.fence != held
        {
            self.take_over(fence, now);
        }
        match event {
            Event::Tick => {}
            Event::Target {
                engine,
                model,
                target,
            } => {
                let settled = self.settled;
                let engine = self
                    .engines
                    .entry(engine)
                    .or_insert_with(|| Engine::new(settled));
                engine.targets.insert(model, target);
            }
            Event::Removed { engine } => {
                self.engines.remove(&engine);
            }
            Event::Read {
                engine,
                serial,
                result,
            } => self.read(&engine, serial, result, now),
            Event::Reported {
                engine,
                incarnation,
            } => self.reported(&engine, incarnation),
            Event::Loaded {
                engine,
                serial,
                result,
            } => self.loaded(&engine, serial, result, now),
        }
        match held {
            Some(fence) => self.proceed(fence, now),
            None => Vec::new(),
        }
    }

    /// Tells whether a command may still be sent; `held` is the lease at this very moment.
    pub fn permits(&self, command: &Command, held: Option<Fence>) -> bool {
        held == Some(command.fence)
            && self.engines.get(&command.engine).is_some_and(|engine| {
                engine
                    .sent
                    .as_ref()
                    .is_some_and(|sent| sent.serial == command.serial)
            })
    }

    /// Returns the version of a model on an engine while it is known.
    pub fn version(&self, engine: &str, model: &str) -> Option<Version> {
        let engine = self.engines.get(engine)?;
        let known = engine.phase() == Phase::Known;
        known.then(|| engine.report.models.get(model).copied())?
    }

    /// Returns the phase of an engine.
    pub fn phase(&self, engine: &str) -> Option<Phase> {
        self.engines.get(engine).map(Engine::phase)
    }

    /// Doubts all engines, because another node may have commanded them.
    fn take_over(&mut self, fence: Fence, now: Instant) {
        // The first number of all has no former holder whose commands could be in flight.
        let wait = match fence {
            Fence(0..=1) => Duration::ZERO,
            _ => self.config.command_timeout + self.config.margin,
        };
        self.fence = Some(fence);
        self.settled = now + wait;
        for engine in self.engines.values_mut() {
            engine.machine.fire(Trigger::Reset);
            engine.settled = engine.settled.max(self.settled);
            engine.fenced = false;
            engine.sent = None;
            engine.lost = None;
        }
    }

    fn read(&mut self, name: &Name, serial: u64, result: Result<Report, Failure>, now: Instant) {
        let Some(engine) = self.engines.get_mut(name) else {
            return;
        };
        let Some((_, asked)) = engine.asked.take_if(|(asked, _)| *asked == serial) else {
            return;
        };
        let retry = now + self.config.retry_every;
        match result {
            Ok(report) => {
                if engine.is_settled(&report, asked, self.config.command_timeout) {
                    engine.lost = None;
                    engine.machine.fire(Trigger::Confirmed);
                } else {
                    engine.defer(retry);
                }
                engine.report = report;
            }
            Err(_) => engine.defer(retry),
        }
    }

    fn reported(&mut self, name: &Name, incarnation: u64) {
        if let Some(engine) = self.engines.get_mut(name)
            && engine.report.incarnation != incarnation
        {
            engine.machine.fire(Trigger::Doubted);
        }
    }

    fn loaded(&mut self, name: &Name, serial: u64, result: Result<(), Failure>, now: Instant) {
        let Some(engine) = self.engines.get_mut(name) else {
            return;
        };
        let Some(sent) = engine.sent.take_if(|sent| sent.serial == serial) else {
            return;
        };
        let retry = now + self.config.retry_every;
        match result {
            Ok(()) => {
                engine.report.models.insert(sent.model, sent.version);
                engine.machine.fire(Trigger::Done);
            }
            Err(Failure::NotRun) => engine.defer(retry),
            Err(Failure::Fenced) => {
                engine.fenced = true;
                engine.defer(retry);
            }
            Err(Failure::Partway) => engine.defer(now),
            Err(Failure::Lost) => {
                engine.lost = Some(sent);
                engine.defer(now);
            }
        }
    }

    fn proceed(&mut self, fence: Fence, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        for (name, engine) in &mut self.engines {
            expire(engine, &self.config, now);
            if engine.phase() == Phase::Settling && now >= engine.due {
                engine.machine.fire(Trigger::Due);
            }
            match engine.phase() {
                Phase::Unknown => {
                    self.serial += 1;
                    engine.asked = Some((self.serial, now));
                    engine.machine.fire(Trigger::Asked);
                    actions.push(Action::Read {
                        engine: name.clone(),
                        serial: self.serial,
                    });
                }
                Phase::Known if !engine.fenced => {
                    let serial = self.serial + 1;
                    if let Some(command) = command(name, engine, fence, serial, now) {
                        self.serial = serial;
                        actions.push(Action::Load(command));
                    }
                }
                Phase::Known | Phase::Reading | Phase::Settling | Phase::Commanding => {}
            }
        }
        actions
    }
}

/// Gives up on a command whose answer did not come in time.
fn expire(engine: &mut Engine, config: &Config, now: Instant) {
    let late = |sent: &mut Sent| now >= sent.at + config.command_timeout;
    if let Some(sent) = engine.sent.take_if(late) {
        engine.lost = Some(sent);
        engine.defer(now);
    }
}

fn command(
    name: &Name,
    engine: &mut Engine,
    fence: Fence,
    serial: u64,
    now: Instant,
) -> Option<Command> {
    let (model, target) = engine.outdated()?;
    let (model, target) = (model.clone(), target.clone());
    engine.machine.fire(Trigger::Commanded);
    engine.sent = Some(Sent {
        serial,
        model: model.clone(),
        version: target.version,
        at: now,
    });
    Some(Command {
        engine: name.clone(),
        serial,
        fence,
        model,
        target,
    })
}
