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

/// What a scheduler needs of a revision.
#[derive(Clone, Debug, PartialEq)]
pub struct Configuration {
    /// The revision.
    pub revision: Revision,
    /// The pool.
    pub pool: Name,
    /// How an engine is chosen.
    pub selection: Selection,
    /// The pool's engines.
    pub servers: BTreeMap<Name, Server>,
    /// The trainers that sample on the pool.
    pub trainers: BTreeMap<Name, Trainer>,
    /// Versions whose samples are not delivered, by model.
    pub withdrawn: BTreeSet<(Name, Version)>,
    /// Whether callers' requests are routed to the pool.
    pub serves_callers: bool,
    /// The models and adapters that the engines serve, with the version that is loaded when no
    /// trainer has announced one.
    pub models: BTreeMap<Name, Version>,
}

/// An engine of the pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Server {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Zone,
    /// How many requests it runs at once.
    pub slots: u32,
    /// Whether it takes no new work.
    pub is_leaving: bool,
}

impl Configuration {
    /// Makes the configuration of `pool`, or none when it is no pool of engines.
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

    /// Returns the order between trainers' steps: that of the trainer with the greatest share, the
    /// first by name among equals.
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
