//! Swaps the weights of a pool's engines: decides which engine loads which version, when, and from
//! where.
//!
//! Engines whose version is of use to trainers or callers load the next one in waves: only a share of
//! them, a wave, may load it at a time. Without callers, the trainers may ask for all at once.

use std::{
    collections::BTreeMap,
    mem,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use serde_json::{Value, json};
use shallotroute_config::object::{Swap, Trainer};
use shallotroute_types::{fence::Fence, name::Name, version::Version};

use crate::{configuration::Configuration, engine::Report, staleness::Policy};

/// The timeout of a load command, after which it counts as lost.
pub const COMMAND_TIMEOUT: Duration = Duration::from_secs(10);

/// How long the controller waits for the end of a command. This is longer than two command timeouts
/// because an earlier command may have to time out first and the engine's state is read in between.
const LOST_COMMAND_TIMEOUT: Duration = Duration::from_secs(25);

/// The time between two polls of an engine's state by the controller.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// How many engines load a version from the rate-limited weight store at the same time.
const MAX_STORE_TRANSFERS: usize = 2;

/// How many engines load a version from the same engine at the same time.
const MAX_TRANSFERS_PER_SOURCE: usize = 2;

/// The share of a trainer's samplers that one wave swaps with `idle_weight` 0.0. Smaller waves
/// lengthen the trainers' idle time without making samples fresher (`docs/notes/rollouts.md`).
const MIN_WAVE_SHARE: f64 = 0.25;

/// The share of a trainer's samplers that one wave swaps with `idle_weight` 1.0.
const MAX_WAVE_SHARE: f64 = 0.5;

/// The back-off after the first failed command. Each further failure doubles it.
const BACKOFF_MIN: Duration = Duration::from_millis(500);

/// The longest back-off after repeated failures.
const BACKOFF_MAX: Duration = Duration::from_secs(8);

/// An input of the controller.
#[derive(Clone, Debug)]
pub enum Event {
    /// A new revision is active.
    Configured(Arc<Configuration>),
    /// The node holds the pool's lease with this fencing number, or holds no lease.
    LeaseChanged(Option<Fence>),
    /// A trainer announced a version whose weights are in the weight store.
    Announced(Name, Version),
    /// The poll of this number returned an engine's state, or `None` when it failed.
    Polled(Name, u64, Option<Report>),
    /// The load command of an engine ended.
    CommandEnded(Name, Outcome),
    /// Time has passed since the last event.
    Tick,
}

/// The outcome of a load command. The engine's state is read back before the next command in any
/// case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The engine confirmed the load.
    Done,
    /// The engine rejected the command because it has seen a higher fencing number.
    Fenced,
    /// The command failed, or its response was lost.
    Failed,
}

/// An output of the controller, which the caller carries out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read an engine's state.
    Poll {
        /// The engine.
        server: Name,
        /// The address that the engine listens on.
        address: SocketAddr,
        /// The number to pass to [`Event::Polled`].
        number: u64,
    },
    /// Command an engine to load a version, as soon as the lease and earlier commands permit it.
    Load(Command),
}

/// A command to an engine to load a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Command {
    /// The engine.
    pub server: Name,
    /// The address that the engine listens on.
    pub address: SocketAddr,
    /// The fencing number of the lease under which the command is sent.
    pub fence: Fence,
    /// The model or adapter to load.
    pub model: Name,
    /// The version to load.
    pub version: Version,
    /// An engine to load the weights from, or `None` for the weight store.
    pub source: Option<SocketAddr>,
}

/// Keeps the engines of one pool at the versions that the trainers announce.
#[derive(Debug)]
pub struct Controller {
    configuration: Arc<Configuration>,
    announced: BTreeMap<Name, Version>,
    engines: BTreeMap<Name, Engine>,
    fence: Option<Fence>,
    last_number: u64,
    actions: Vec<Action>,
}

#[derive(Debug)]
struct Engine {
    address: SocketAddr,
    is_leaving: bool,
    report: Option<Report>,
    pending_poll: Option<u64>,
    poll_sent_at: Option<Instant>,
    loading: Option<Loading>,
    /// The model and version of the last successful command, until the state is read back.
    unconfirmed: Option<(Name, Version)>,
    failures: u32,
    backoff_until: Option<Instant>,
}

#[derive(Clone, Debug)]
struct Loading {
    model: Name,
    version: Version,
    source: Option<SocketAddr>,
    commanded_at: Instant,
}

impl Controller {
    /// Creates a controller that does not hold the lease.
    pub fn new(configuration: Arc<Configuration>) -> Self {
        let mut controller = Self {
            configuration: Arc::clone(&configuration),
            announced: BTreeMap::new(),
            engines: BTreeMap::new(),
            fence: None,
            last_number: 0,
            actions: Vec::new(),
        };
        controller.configure(configuration);
        controller
    }

    /// Processes an event and returns the actions to carry out. Returns no actions without the
    /// lease.
    pub fn handle(&mut self, now: Instant, event: Event) -> Vec<Action> {
        match event {
            Event::Configured(configuration) => self.configure(configuration),
            Event::LeaseChanged(fence) => self.change_lease(fence),
            Event::Announced(trainer, version) => drop(self.announced.insert(trainer, version)),
            Event::Polled(server, number, report) => self.handle_poll(&server, number, report),
            Event::CommandEnded(server, outcome) => self.handle_command_end(now, &server, outcome),
            Event::Tick => {}
        }
        if self.fence.is_some() {
            self.fail_lost_commands(now);
            self.poll_engines(now);
            self.command_engines(now);
        }
        mem::take(&mut self.actions)
    }

    /// Returns the version of a model that the engines should have: the newest that its trainers
    /// last announced. Without an announcement this is the newest version that an engine has
    /// loaded, but at least the configured initial one.
    pub fn target(&self, model: &Name) -> Version {
        let trainers = self.trainers_of(model);
        let announced = trainers
            .filter_map(|trainer| self.announced.get(&trainer.name))
            .max();
        let newest_loaded = || {
            self.engines
                .values()
                .filter_map(|engine| engine.loaded_version(model))
                .max()
        };
        let initial = self
            .configuration
            .models
            .get(model)
            .copied()
            .unwrap_or_default();
        announced
            .copied()
            .unwrap_or_else(|| newest_loaded().unwrap_or(initial).max(initial))
    }

    fn configure(&mut self, configuration: Arc<Configuration>) {
        let mut engines = mem::take(&mut self.engines);
        for (name, server) in &configuration.servers {
            let known = engines
                .remove(name)
                .filter(|engine| engine.address == server.address);
            let mut engine = known.unwrap_or_else(|| Engine::new(server.address));
            engine.is_leaving = server.is_leaving;
            self.engines.insert(name.clone(), engine);
        }
        self.configuration = configuration;
    }

    fn change_lease(&mut self, fence: Option<Fence>) {
        if self.fence == fence {
            return;
        }
        self.fence = fence;
        for engine in self.engines.values_mut() {
            engine.invalidate();
            engine.loading = None;
            engine.unconfirmed = None;
        }
    }

    fn handle_poll(&mut self, server: &str, number: u64, report: Option<Report>) {
        if let Some(engine) = self.engines.get_mut(server)
            && engine.pending_poll == Some(number)
        {
            engine.pending_poll = None;
            engine.report = report;
            engine.unconfirmed = None;
        }
    }

    fn handle_command_end(&mut self, now: Instant, server: &str, outcome: Outcome) {
        let Some(engine) = self.engines.get_mut(server) else {
            return;
        };
        let loading = engine.loading.take();
        engine.invalidate();
        match outcome {
            Outcome::Done => {
                engine.failures = 0;
                engine.unconfirmed = loading.map(|loading| (loading.model, loading.version));
            }
            Outcome::Failed => {
                engine.failures += 1;
                let factor = 1 << (engine.failures - 1).min(8);
                engine.backoff_until = Some(now + (BACKOFF_MIN * factor).min(BACKOFF_MAX));
            }
            // Another node holds the lease, so commands stop until this node acquires it again.
            Outcome::Fenced => self.fence = None,
        }
    }

    /// Treats commands whose end was never reported as failed, so that they don't block a wave
    /// forever.
    fn fail_lost_commands(&mut self, now: Instant) {
        let is_lost = |engine: &Engine| {
            let loading = engine.loading.as_ref();
            loading.is_some_and(|loading| now >= loading.commanded_at + LOST_COMMAND_TIMEOUT)
        };
        let servers = self.engines.iter().filter(|(_, engine)| is_lost(engine));
        let servers: Vec<Name> = servers.map(|(name, _)| name.clone()).collect();
        for server in servers {
            self.handle_command_end(now, &server, Outcome::Failed);
        }
    }

    fn poll_engines(&mut self, now: Instant) {
        for (name, engine) in &mut self.engines {
            let is_due = engine
                .poll_sent_at
                .is_none_or(|at| now >= at + POLL_INTERVAL);
            if engine.pending_poll.is_some() || engine.loading.is_some() || !is_due {
                continue;
            }
            self.last_number += 1;
            engine.poll_sent_at = Some(now);
            engine.pending_poll = Some(self.last_number);
            self.actions.push(Action::Poll {
                server: name.clone(),
                address: engine.address,
                number: self.last_number,
            });
        }
    }

    fn command_engines(&mut self, now: Instant) {
        let Some(fence) = self.fence else {
            return;
        };
        let models: Vec<Name> = self.configuration.models.keys().cloned().collect();
        for model in models {
            let target = self.target(&model);
            while let Some((server, source)) = self.choose_engine(now, &model, target) {
                let Some(engine) = self.engines.get_mut(&server) else {
                    break;
                };
                engine.loading = Some(Loading {
                    model: model.clone(),
                    version: target,
                    source,
                    commanded_at: now,
                });
                // The response to a poll sent before the command would not show its effect.
                engine.pending_poll = None;
                self.actions.push(Action::Load(Command {
                    server,
                    address: engine.address,
                    fence,
                    model: model.clone(),
                    version: target,
                    source,
                }));
            }
        }
    }

    /// Returns the next engine to load `target` and the engine to load it from, `None` for the
    /// weight store.
    fn choose_engine(
        &self,
        now: Instant,
        model: &Name,
        target: Version,
    ) -> Option<(Name, Option<SocketAddr>)> {
        let source = self.choose_source(model, target)?;
        let headroom = self.wave_headroom(model, target);
        let mut waiting: Vec<(&Name, &Engine)> = self
            .engines
            .iter()
            .filter(|(_, engine)| engine.can_load(now, model, target))
            .filter(|(_, engine)| headroom > 0 || !self.is_serving(engine, model, target))
            .collect();
        // Engines whose version is of no use to any client load first, since no trainer loses a
        // sampler.
        waiting
            .sort_by_key(|(_, engine)| (self.is_serving(engine, model, target), engine.failures));
        let (server, _) = waiting.first()?;
        Some(((*server).clone(), source))
    }

    /// Returns the source for the next load: `Some(Some(address))` for an engine that has the
    /// version, `Some(None)` for the weight store, or `None` when no source may serve another
    /// transfer now.
    fn choose_source(&self, model: &Name, target: Version) -> Option<Option<SocketAddr>> {
        let transfers = |source: Option<SocketAddr>| {
            let all = self
                .engines
                .values()
                .filter_map(|engine| engine.loading.as_ref());
            all.filter(|loading| {
                loading.model == *model && loading.version == target && loading.source == source
            })
            .count()
        };
        let sources: Vec<SocketAddr> = self
            .engines
            .values()
            .filter(|engine| engine.loading.is_none() && !engine.is_leaving)
            .filter(|engine| engine.loaded_version(model) == Some(target))
            .map(|engine| engine.address)
            .collect();
        if sources.is_empty() {
            // The engine that has just loaded the version becomes a source once its state is read.
            let loaded = Some((model.clone(), target));
            if self
                .engines
                .values()
                .any(|engine| engine.unconfirmed == loaded)
            {
                return None;
            }
            return (transfers(None) < MAX_STORE_TRANSFERS).then_some(None);
        }
        let best = sources
            .into_iter()
            .min_by_key(|address| transfers(Some(*address)))?;
        (transfers(Some(best)) < MAX_TRANSFERS_PER_SOURCE).then_some(Some(best))
    }

    /// Returns how many more serving engines may start to load the model now.
    fn wave_headroom(&self, model: &Name, target: Version) -> usize {
        let loading = |engine: &&Engine| engine.is_loading(model);
        let unavailable = self.engines.values().filter(loading).count();
        let serving = self
            .engines
            .values()
            .filter(|engine| engine.loading.is_none() && self.is_serving(engine, model, target))
            .count();
        let (mut swap, mut idle_weight): (Option<Swap>, f64) = (None, 0.0);
        for trainer in self.trainers_of(model) {
            idle_weight = idle_weight.max(trainer.idle_weight);
            if swap != Some(Swap::Waves) {
                swap = Some(trainer.swap);
            }
        }
        if swap == Some(Swap::AllAtOnce) && !self.configuration.serves_callers {
            return serving;
        }
        let total = unavailable + serving;
        let weight = idle_weight.clamp(0.0, 1.0);
        let share = MIN_WAVE_SHARE + weight * (MAX_WAVE_SHARE - MIN_WAVE_SHARE);
        let wave = ((total as f64 * share).ceil() as usize).max(1);
        // One sampler keeps serving, unless it is the only one, which would never be updated.
        let max_more = match total {
            1 => 1,
            _ => serving.saturating_sub(1),
        };
        wave.saturating_sub(unavailable).min(max_more)
    }

    /// Returns whether the engine's version of the model is of use to a trainer, within its
    /// staleness bound, or to callers.
    fn is_serving(&self, engine: &Engine, model: &Name, target: Version) -> bool {
        let Some(loaded) = engine.loaded_version(model) else {
            return false;
        };
        let allows = |trainer: &Trainer| {
            let policy = Policy {
                staleness_bound: trainer.staleness_bound,
                idle_weight: trainer.idle_weight,
            };
            policy.allows_delivery(target, loaded)
        };
        self.configuration.serves_callers || self.trainers_of(model).any(allows)
    }

    fn trainers_of<'a>(&'a self, model: &'a Name) -> impl Iterator<Item = &'a Trainer> {
        let trainers = self.configuration.trainers.values();
        trainers.filter(move |trainer| trainer.model == *model)
    }

    /// Returns the controller's state for the dump.
    pub fn dump(&self) -> Value {
        let engines: Vec<Value> = self
            .engines
            .iter()
            .map(|(name, engine)| {
                let loading = engine.loading.as_ref();
                json!({
                    "server": name,
                    "models": engine.report.as_ref().map(|report| &report.models),
                    "loading": loading.map(|loading| (&loading.model, loading.version)),
                    "failures": engine.failures,
                })
            })
            .collect();
        let models = self.configuration.models.keys();
        let targets: BTreeMap<&Name, Version> =
            models.map(|model| (model, self.target(model))).collect();
        json!({
            "pool": self.configuration.pool,
            "fence": self.fence,
            "targets": targets,
            "engines": engines,
        })
    }
}

impl Engine {
    fn new(address: SocketAddr) -> Self {
        Self {
            address,
            is_leaving: false,
            report: None,
            pending_poll: None,
            poll_sent_at: None,
            loading: None,
            unconfirmed: None,
            failures: 0,
            backoff_until: None,
        }
    }

    fn invalidate(&mut self) {
        self.report = None;
        self.pending_poll = None;
        self.poll_sent_at = None;
    }

    fn loaded_version(&self, model: &Name) -> Option<Version> {
        self.report.as_ref()?.models.get(model).copied()
    }

    /// Returns whether the engine is loading the model or has loaded it and was not polled since.
    fn is_loading(&self, model: &Name) -> bool {
        let loading = self.loading.as_ref().map(|loading| &loading.model);
        let unconfirmed = self.unconfirmed.as_ref().map(|(model, _)| model);
        loading.or(unconfirmed) == Some(model)
    }

    /// Returns whether the engine lacks `target` and may be commanded to load it now.
    fn can_load(&self, now: Instant, model: &Name, target: Version) -> bool {
        let Some(report) = &self.report else {
            return false;
        };
        self.loading.is_none()
            && !self.is_leaving
            && !report.is_leaving
            && report.swapping.is_none()
            && self.backoff_until.is_none_or(|time| now >= time)
            && report.models.get(model) != Some(&target)
    }
}
