//! The set of all objects of a configuration, indexed by name.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use shallotroute_types::name::Name;

use crate::object::{
    Adapter, Caller, Limit, Model, ModelVersion, Object, Pool, Route, Scorer, Server, Trainer,
};

/// All objects of one revision, indexed by kind and name.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Set {
    /// Models by name, the value of the `model` field of requests.
    pub models: BTreeMap<Name, Model>,
    /// Permitted uses of model versions, by the name of the object (not of the model).
    pub model_versions: BTreeMap<Name, ModelVersion>,
    /// Adapters by name, the value of the `model` field of requests.
    pub adapters: BTreeMap<Name, Adapter>,
    /// Pools of backend servers by name.
    pub pools: BTreeMap<Name, Pool>,
    /// Routes by name, in no order of precedence.
    pub routes: BTreeMap<Name, Route>,
    /// Limits by name, to which callers refer.
    pub limits: BTreeMap<Name, Limit>,
    /// Callers by name.
    pub callers: BTreeMap<Name, Caller>,
    /// Scorers by name, to which trainers refer.
    pub scorers: BTreeMap<Name, Scorer>,
    /// Trainers by name.
    pub trainers: BTreeMap<Name, Trainer>,
}

impl Set {
    /// Creates a set of objects; of two objects with the same kind and name it contains the later
    /// one.
    pub fn new(objects: impl IntoIterator<Item = Object>) -> Self {
        let mut set = Self::default();
        for object in objects {
            set.insert(object);
        }
        set
    }

    /// Adds an object, replacing one with the same kind and name.
    pub fn insert(&mut self, object: Object) {
        let name = object.name().clone();
        match object {
            Object::Model(model) => drop(self.models.insert(name, model)),
            Object::ModelVersion(version) => drop(self.model_versions.insert(name, version)),
            Object::Adapter(adapter) => drop(self.adapters.insert(name, adapter)),
            Object::Pool(pool) => drop(self.pools.insert(name, pool)),
            Object::Route(route) => drop(self.routes.insert(name, route)),
            Object::Limit(limit) => drop(self.limits.insert(name, limit)),
            Object::Caller(caller) => drop(self.callers.insert(name, caller)),
            Object::Scorer(scorer) => drop(self.scorers.insert(name, scorer)),
            Object::Trainer(trainer) => drop(self.trainers.insert(name, trainer)),
        }
    }

    /// Returns all objects, sorted by kind and name.
    pub fn objects(&self) -> Vec<Object> {
        let mut all = Vec::new();
        all.extend(self.models.values().cloned().map(Object::Model));
        all.extend(
            self.model_versions
                .values()
                .cloned()
                .map(Object::ModelVersion),
        );
        all.extend(self.adapters.values().cloned().map(Object::Adapter));
        all.extend(self.pools.values().cloned().map(Object::Pool));
        all.extend(self.routes.values().cloned().map(Object::Route));
        all.extend(self.limits.values().cloned().map(Object::Limit));
        all.extend(self.callers.values().cloned().map(Object::Caller));
        all.extend(self.scorers.values().cloned().map(Object::Scorer));
        all.extend(self.trainers.values().cloned().map(Object::Trainer));
        all
    }

    /// Returns the backend server `name` with its pool; `None` if no pool has such a server.
    pub fn server(&self, name: &str) -> Option<(&Pool, &Server)> {
        self.pools.values().find_map(|pool| {
            pool.servers
                .iter()
                .find(|server| server.name.as_str() == name)
                .map(|server| (pool, server))
        })
    }
}
