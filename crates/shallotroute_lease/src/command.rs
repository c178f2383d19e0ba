//! The state machine by which the holder of a pool's lease sends commands to the engines of the pool.
//!
//! An engine that ignores fencing numbers would carry out a late command of a former holder. The new
//! holder therefore waits until such commands have ended, reads the engine's state, and only then
//! sends commands. The driver checks [`Controller::may_send`] again immediately before it sends.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use shallotroute_types::{fence::Fence, name::Name, version::Version};

use crate::engine::{Engine, Phase, Report, SentCommand, Target, Trigger};

/// The settings of a controller.
#[derive(Clone, Debug)]
pub struct Config {
    /// The time after which a command has ended or will never take effect. Must be the same on all
    /// nodes.
    pub command_timeout: Duration,
    /// The time that a new holder waits beyond `command_timeout` before it trusts the state of an
    /// engine; covers the drift between two clocks.
    pub clock_margin: Duration,
    /// The delay before an engine is read again after a failed call or an inconclusive read.
    pub retry_interval: Duration,
}

/// An input of the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// The engine is to load a version of a model.
    TargetSet {
        /// The name of the engine.
        engine: Name,
        /// The model or adapter.
        model: Name,
        /// The version to load, and where to copy it from.
        target: Target,
    },
    /// The engine no longer belongs to the pool, or all that is known of it must be discarded.
    Removed {
        /// The name of the engine.
        engine: Name,
    },
    /// The result of [`Action::Read`].
    Read {
        /// The name of the engine.
        engine: Name,
        /// The serial of the read.
        serial: u64,
        /// The state that the engine reported.
        result: Result<Report, Failure>,
    },
    /// An engine sent a report that was not requested by [`Action::Read`], such as a load report.
    Reported {
        /// The name of the engine.
        engine: Name,
        /// The incarnation in the report.
        incarnation: u64,
    },
    /// The result of [`Action::Load`].
    Loaded {
        /// The name of the engine.
        engine: Name,
        /// The serial of the command.
        serial: u64,
        /// Whether the command succeeded.
        result: Result<(), Failure>,
    },
}

/// Why a call to an engine failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The engine has seen a higher fencing number.
    Fenced,
    /// The command had no effect and never will.
    NotRun,
    /// The engine reported that the load failed after it had started to replace weights.
    PartiallyLoaded,
    /// No response arrived; the command may have taken effect or may still do so.
    Lost,
}

/// An output of the state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the state of an engine.
    Read {
        /// The name of the engine.
        engine: Name,
        /// The number that identifies this read among the reads and commands of the controller.
        serial: u64,
    },
    /// Send a command if [`Controller::may_send`] is still true.
    Load(Command),
}

/// A command to an engine to load a version of a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Command {
    /// The name of the engine.
    pub engine: Name,
    /// The number that identifies this command among the reads and commands of the controller.
    pub serial: u64,
    /// The fencing number of the lease under which the command is sent.
    pub fence: Fence,
    /// The model or adapter.
    pub model: Name,
    /// The version to load, and where to copy it from.
    pub target: Target,
}

/// Decides which commands one node sends to the engines of a pool.
#[derive(Debug)]
pub struct Controller {
    config: Config,
    engines: BTreeMap<Name, Engine>,
    /// The fencing number under which the node last held the lease.
    fence: Option<Fence>,
    /// When the last command of a former holder has ended or will never take effect.
    former_commands_end: Instant,
    /// The serial of the last read or command.
    serial: u64,
}

impl Controller {
    /// Creates a controller without engines.
    pub fn new(config: Config, now: Instant) -> Self {
        Self {
            config,
            engines: BTreeMap::new(),
            fence: None,
            former_commands_end: now,
            serial: 0,
        }
    }

    /// Processes an event and returns the actions that the driver must perform. `valid_fence` is the
    /// result of [`crate::lease::Lease::valid_fence`] at `now`; without it there are no actions.
    pub fn handle(
        &mut self,
        event: Event,
        valid_fence: Option<Fence>,
        now: Instant,
    ) -> Vec<Action> {
        if let Some(fence) = valid_fence
            && self.fence != valid_fence
        {
            self.take_over(fence, now);
        }
        match event {
            Event::Tick => {}
            Event::TargetSet {
                engine,
                model,
                target,
            } => {
                let former_commands_end = self.former_commands_end;
                let engine = self
                    .engines
                    .entry(engine)
                    .or_insert_with(|| Engine::new(former_commands_end));
                engine.targets.insert(model, target);
            }
            Event::Removed { engine } => {
                self.engines.remove(&engine);
            }
            Event::Read {
                engine,
                serial,
                result,
            } => self.on_read(&engine, serial, result, now),
            Event::Reported {
                engine,
                incarnation,
            } => self.on_reported(&engine, incarnation),
            Event::Loaded {
                engine,
                serial,
                result,
            } => self.on_loaded(&engine, serial, result, now),
        }
        match valid_fence {
            Some(fence) => self.send_due(fence, now),
            None => Vec::new(),
        }
    }

    /// Returns whether `command` may still be sent: its lease is still held and it has not timed out
    /// or been cancelled. `valid_fence` is the lease's fencing number at the time of the call.
    pub fn may_send(&self, command: &Command, valid_fence: Option<Fence>) -> bool {
        valid_fence == Some(command.fence)
            && self.engines.get(&command.engine).is_some_and(|engine| {
                engine
                    .command_in_flight
                    .as_ref()
                    .is_some_and(|sent| sent.serial == command.serial)
            })
    }

    /// Returns the version of a model that an engine has loaded, or `None` while the engine's state is
    /// not known or when the model is not loaded.
    pub fn version(&self, engine: &str, model: &str) -> Option<Version> {
        let engine = self.engines.get(engine)?;
        let is_known = engine.phase() == Phase::Known;
        is_known.then(|| engine.report.models.get(model).copied())?
    }

    /// Returns how far the state of an engine is known, or `None` for an unknown engine.
    pub fn phase(&self, engine: &str) -> Option<Phase> {
        self.engines.get(engine).map(Engine::phase)
    }

    /// Discards the known state of all engines, because another node may have sent them commands.
    fn take_over(&mut self, fence: Fence, now: Instant) {
        // The lease had no holder before its first fencing number, so no command can be in flight.
        let command_wait = match fence {
            Fence(0..=1) => Duration::ZERO,
            _ => self.config.command_timeout + self.config.clock_margin,
        };
        self.fence = Some(fence);
        self.former_commands_end = now + command_wait;
        for engine in self.engines.values_mut() {
            engine.machine.fire(Trigger::Reset);
            engine.former_commands_end = engine.former_commands_end.max(self.former_commands_end);
            engine.is_fenced = false;
            engine.command_in_flight = None;
            engine.lost_command = None;
        }
    }

    fn on_read(&mut self, name: &Name, serial: u64, result: Result<Report, Failure>, now: Instant) {
        let Some(engine) = self.engines.get_mut(name) else {
            return;
        };
        let Some((_, read_sent_at)) = engine
            .read_in_flight
            .take_if(|(in_flight, _)| *in_flight == serial)
        else {
            return;
        };
        let retry_at = now + self.config.retry_interval;
        match result {
            Ok(report) => {
                if engine.is_conclusive(&report, read_sent_at, self.config.command_timeout) {
                    engine.lost_command = None;
                    engine.machine.fire(Trigger::Confirmed);
                } else {
                    engine.defer(retry_at);
                }
                engine.report = report;
            }
            Err(_) => engine.defer(retry_at),
        }
    }

    fn on_reported(&mut self, name: &Name, incarnation: u64) {
        if let Some(engine) = self.engines.get_mut(name)
            && engine.report.incarnation != incarnation
        {
            engine.machine.fire(Trigger::Invalidated);
        }
    }

    fn on_loaded(&mut self, name: &Name, serial: u64, result: Result<(), Failure>, now: Instant) {
        let Some(engine) = self.engines.get_mut(name) else {
            return;
        };
        let Some(sent) = engine
            .command_in_flight
            .take_if(|sent| sent.serial == serial)
        else {
            return;
        };
        let retry_at = now + self.config.retry_interval;
        match result {
            Ok(()) => {
                engine.report.models.insert(sent.model, sent.version);
                engine.machine.fire(Trigger::CommandDone);
            }
            Err(Failure::NotRun) => engine.defer(retry_at),
            Err(Failure::Fenced) => {
                engine.is_fenced = true;
                engine.defer(retry_at);
            }
            Err(Failure::PartiallyLoaded) => engine.defer(now),
            Err(Failure::Lost) => {
                engine.lost_command = Some(sent);
                engine.defer(now);
            }
        }
    }

    /// Starts a read or a command for each engine that is due for one.
    fn send_due(&mut self, fence: Fence, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        for (name, engine) in &mut self.engines {
            expire_command(engine, &self.config, now);
            if engine.phase() == Phase::Settling && now >= engine.next_read_at {
                engine.machine.fire(Trigger::RetryDue);
            }
            match engine.phase() {
                Phase::Unknown => {
                    self.serial += 1;
                    engine.read_in_flight = Some((self.serial, now));
                    engine.machine.fire(Trigger::ReadSent);
                    actions.push(Action::Read {
                        engine: name.clone(),
                        serial: self.serial,
                    });
                }
                Phase::Known if !engine.is_fenced => {
                    let serial = self.serial + 1;
                    if let Some(command) = next_command(name, engine, fence, serial, now) {
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

/// Treats a command whose response did not arrive in time as lost.
fn expire_command(engine: &mut Engine, config: &Config, now: Instant) {
    let is_late = |sent: &mut SentCommand| now >= sent.sent_at + config.command_timeout;
    if let Some(sent) = engine.command_in_flight.take_if(is_late) {
        engine.lost_command = Some(sent);
        engine.defer(now);
    }
}

/// Marks the next command to an engine as sent and returns it, or `None` when all models have their
/// target version.
fn next_command(
    name: &Name,
    engine: &mut Engine,
    fence: Fence,
    serial: u64,
    now: Instant,
) -> Option<Command> {
    let (model, target) = engine.outdated_model()?;
    let (model, target) = (model.clone(), target.clone());
    engine.machine.fire(Trigger::CommandSent);
    engine.command_in_flight = Some(SentCommand {
        serial,
        model: model.clone(),
        version: target.version,
        sent_at: now,
    });
    Some(Command {
        engine: name.clone(),
        serial,
        fence,
        model,
        target,
    })
}
