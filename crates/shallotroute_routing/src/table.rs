//! Callers and routes of one revision, indexed for requests.

use std::{cmp::Reverse, collections::BTreeMap, sync::Arc};

use shallotroute_config::{
    object::{Caller, Limit, Pool, Route},
    set::Set,
};
use shallotroute_types::name::Name;

/// The callers and routes of one revision.
#[derive(Clone, Debug, Default)]
pub struct Table {
    callers: Vec<(blake3::Hash, Arc<Client>)>,
    routes: Vec<Arc<Route>>,
    models: Vec<Name>,
    /// The model below each adapter.
    adapters: BTreeMap<Name, Name>,
}

/// A caller with the limit that applies to it.
#[derive(Clone, Debug)]
pub struct Client {
    /// The operators' object.
    pub caller: Caller,
    /// The limit on the caller's requests.
    pub limit: Option<Limit>,
}

impl Table {
    /// Indexes a checked set. Callers whose key hash is malformed and routes without a pool are left
    /// out.
    pub fn new(set: &Set) -> Self {
        let callers = set.callers.values().filter_map(|caller| {
            let hash = blake3::Hash::from_hex(&caller.key_hash).ok()?;
            let limit = caller.limit.as_ref().and_then(|name| set.limits.get(name));
            let client = Client {
                caller: caller.clone(),
                limit: limit.cloned(),
            };
            Some((hash, Arc::new(client)))
        });
        let mut routes: Vec<Arc<Route>> = set
            .routes
            .values()
            .filter(|route| route.model.is_some() || route.path_prefix.is_some())
            .filter(|route| set.pools.contains_key(&route.pool))
            .cloned()
            .map(Arc::new)
            .collect();
        routes.sort_by_key(|route| Reverse((route.model.is_some(), prefix(route).len())));
        let mut models: Vec<Name> = routes.iter().filter_map(|r| r.model.clone()).collect();
        models.sort();
        models.dedup();
        Self {
            callers: callers.collect(),
            routes,
            models,
            adapters: set
                .adapters
                .iter()
                .map(|(name, adapter)| (name.clone(), adapter.model.clone()))
                .collect(),
        }
    }

    /// Returns the caller that owns `key`. The time taken does not depend on the key's content.
    pub fn client(&self, key: &[u8]) -> Option<&Arc<Client>> {
        let hash = blake3::hash(key);
        let mut found = None;
        for (known, client) in &self.callers {
            // The comparison of `blake3::Hash` is in constant time; the loop has no early exit.
            if *known == hash {
                found = Some(client);
            }
        }
        found
    }

    /// Returns the most specific route for a path and, for inference requests, a model.
    pub fn route(&self, path: &str, model: Option<&str>) -> Option<&Arc<Route>> {
        self.routes.iter().find(|route| {
            let model_matches = route
                .model
                .as_ref()
                .is_none_or(|name| model == Some(name.as_str()));
            model_matches && path.starts_with(prefix(route))
        })
    }

    /// Returns the model below an adapter.
    pub fn base(&self, adapter: &str) -> Option<&Name> {
        self.adapters.get(adapter)
    }

    /// Returns the models and adapters that have a route, sorted.
    pub fn models(&self) -> &[Name] {
        &self.models
    }
}

/// Tells whether a request of this method on this route may run twice.
pub fn is_idempotent(route: &Route, method: &str) -> bool {
    route.idempotent || matches!(method, "GET" | "HEAD" | "OPTIONS")
}

/// Returns the slots of all servers of a pool.
pub fn slots(pool: &Pool) -> u32 {
    pool.servers.iter().map(|server| server.slots).sum()
}

fn prefix(route: &Route) -> &str {
    route.path_prefix.as_deref().unwrap_or("")
}
