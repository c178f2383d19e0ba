//! Indexes the callers and routes of one revision for lookups by requests.

use std::{cmp::Reverse, collections::BTreeMap, sync::Arc};

use shallotroute_config::{
    object::{Caller, Limit, Pool, Route},
    set::Set,
};
use shallotroute_types::name::Name;

/// The callers, routes and adapters of one revision.
#[derive(Clone, Debug, Default)]
pub struct Table {
    callers: Vec<(blake3::Hash, Arc<CallerEntry>)>,
    /// The routes, most specific first.
    routes: Vec<Arc<Route>>,
    models: Vec<Name>,
    /// The base model of each adapter.
    adapters: BTreeMap<Name, Name>,
}

/// A caller with the limit that applies to it.
#[derive(Clone, Debug)]
pub struct CallerEntry {
    /// The caller's object in the configuration.
    pub caller: Caller,
    /// The limit on the caller's requests; `None` when they are unlimited.
    pub limit: Option<Limit>,
}

impl Table {
    /// Indexes a validated set. Callers with a malformed key hash and routes without a pool are left
    /// out.
    pub fn new(set: &Set) -> Self {
        let callers = set.callers.values().filter_map(|caller| {
            let hash = blake3::Hash::from_hex(&caller.key_hash).ok()?;
            let limit = caller.limit.as_ref().and_then(|name| set.limits.get(name));
            let entry = CallerEntry {
                caller: caller.clone(),
                limit: limit.cloned(),
            };
            Some((hash, Arc::new(entry)))
        });
        let mut routes: Vec<Arc<Route>> = set
            .routes
            .values()
            .filter(|route| route.model.is_some() || route.path_prefix.is_some())
            .filter(|route| set.pools.contains_key(&route.pool))
            .cloned()
            .map(Arc::new)
            .collect();
        routes.sort_by_key(|route| Reverse((route.model.is_some(), prefix_or_empty(route).len())));
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
    pub fn caller_by_key(&self, key: &[u8]) -> Option<&Arc<CallerEntry>> {
        let hash = blake3::hash(key);
        let mut found = None;
        for (known, entry) in &self.callers {
            // `blake3::Hash` compares in constant time, and the loop has no early exit.
            if *known == hash {
                found = Some(entry);
            }
        }
        found
    }

    /// Returns the most specific route for a path and, for inference requests, a model. A route for a
    /// model goes before one for any model, then a longer path prefix before a shorter one.
    pub fn route(&self, path: &str, model: Option<&str>) -> Option<&Arc<Route>> {
        self.routes.iter().find(|route| {
            let is_model_match = route
                .model
                .as_ref()
                .is_none_or(|name| model == Some(name.as_str()));
            is_model_match && path.starts_with(prefix_or_empty(route))
        })
    }

    /// Returns the base model of an adapter; `None` for other names.
    pub fn base_model(&self, adapter: &str) -> Option<&Name> {
        self.adapters.get(adapter)
    }

    /// Returns the models and adapters that have a route, sorted and without duplicates.
    pub fn models(&self) -> &[Name] {
        &self.models
    }
}

/// Returns whether a request with this method on this route may run twice.
pub fn is_idempotent(route: &Route, method: &str) -> bool {
    route.idempotent || matches!(method, "GET" | "HEAD" | "OPTIONS")
}

/// Returns the sum of the slots of a pool's servers.
pub fn total_slots(pool: &Pool) -> u32 {
    pool.servers.iter().map(|server| server.slots).sum()
}

fn prefix_or_empty(route: &Route) -> &str {
    route.path_prefix.as_deref().unwrap_or("")
}
