//! The part of a revision that concerns one pool's scheduler.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use shallotroute_config::{
    object::{Backend, Order, Selection, ServerState, Trainer, VersionState},
    set::Set,
};
use shallotroute_types::{location::Zone, name::Name, revision::Revision, version::Version};

/// The settings that the scheduler and the swap controller of one pool use.
#[derive(Clone, Debug, PartialEq)]
pub struct Configuration {
    /// The revision that the settings come from.
    pub revision: Revision,
    /// The name of the pool.
    pub pool: Name,
    /// How an engine is chosen for a sample.
    pub selection: Selection,
    /// The pool's engines by name.
    pub servers: BTreeMap<Name, Server>,
    /// The trainers that sample on the pool, by name.
    pub trainers: BTreeMap<Name, Trainer>,
    /// Models with versions whose samples must not be delivered.
    pub withdrawn: BTreeSet<(Name, Version)>,
    /// Whether callers' requests are routed to the pool, so that trainers share its engines with
    /// them.
    pub serves_callers: bool,
    /// The models and adapters that the engines serve, with the version to load while no trainer
    /// has announced one.
    pub models: BTreeMap<Name, Version>,
}

/// An engine of the pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Server {
    /// The address that the engine listens on.
    pub address: SocketAddr,
    /// The engine's availability zone.
    pub zone: Zone,
    /// How many requests the engine runs at the same time.
    pub slots: u32,
    /// Whether the engine is draining and takes no new work.
    pub is_leaving: bool,
}

impl Configuration {
    /// Extracts the configuration of `pool` from a set of objects. Returns `None` when the pool
    /// does not exist or its backend servers are not engines.
    pub fn new(set: &Set, revision: Revision, pool: &Name) -> Option<Self> {
        let object = set
            .pools
            .get(pool)
            .filter(|object| object.backend == Backend::Engine)?;
        let servers = object.servers.iter().map(|server| {
            let entry = Server {
                address: server.address,
                zone: server.zone.clone(),
                slots: server.slots,
                is_leaving: server.state == ServerState::Leaving,
            };
            (server.name.clone(), entry)
        });
        let trainers = set
            .trainers
            .values()
            .filter(|trainer| trainer.pool == *pool)
            .map(|trainer| (trainer.name.clone(), trainer.clone()));
        let withdrawn = set
            .model_versions
            .values()
            .filter(|version| version.state == VersionState::Withdrawn)
            .map(|version| (version.model.clone(), version.version));
        Some(Self {
            revision,
            pool: pool.clone(),
            selection: object.selection,
            servers: servers.collect(),
            trainers: trainers.collect(),
            withdrawn: withdrawn.collect(),
            serves_callers: set.routes.values().any(|route| route.pool == *pool),
            models: initial_versions(set, &object.models),
        })
    }

    /// Returns the order between the trainers' steps: the order that the trainer with the greatest
    /// share asks for, the first by name among equals.
    pub fn order(&self) -> Order {
        let mut best: Option<&Trainer> = None;
        for trainer in self.trainers.values() {
            if best.is_none_or(|other| trainer.share > other.share) {
                best = Some(trainer);
            }
        }
        best.map_or_else(Order::default, |trainer| trainer.order)
    }
}

fn initial_versions(set: &Set, names: &[Name]) -> BTreeMap<Name, Version> {
    let initial = |name: &Name| {
        let base = set
            .adapters
            .get(name)
            .map_or(name, |adapter| &adapter.model);
        set.models.get(base).map(|model| model.initial)
    };
    let known = names
        .iter()
        .map(|name| (name.clone(), initial(name).unwrap_or_default()));
    known.collect()
}
