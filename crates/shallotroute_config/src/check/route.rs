//! Routes: whether requests reach them and which one a request takes.

use shallotroute_types::name::Name;

use super::{Context, Notes, dangling};
use crate::object::{Backend, Route};

/// Paths that the nodes serve themselves before they look at routes.
const RESERVED_PATHS: [&str; 3] = ["/v1/completions", "/v1/chat/completions", "/v1/trainers"];

impl Context<'_> {
    pub(super) fn route(&self, route: &Route, notes: &mut Notes<'_>) {
        let exists = self.set.pools.contains_key(&route.pool);
        dangling(notes, "pool", "pool", &route.pool, exists);
        if route.timeout_ms == 0 {
            notes.error("timeout_ms", "a time limit of 0 lets no request through");
        }
        match (&route.model, &route.path_prefix) {
            (Some(model), None) => self.model_route(route, model, notes),
            (None, Some(prefix)) => self.path_route(route, prefix, notes),
            (None, None) => notes.error("", "no request reaches it: it names no model and no path"),
            (Some(_), Some(_)) => notes.error(
                "path_prefix",
                "no request reaches the path: a route with a model serves inference requests only",
            ),
        }
    }

    fn model_route(&self, route: &Route, model: &Name, notes: &mut Notes<'_>) {
        dangling(
            notes,
            "model",
            "model or adapter",
            model,
            self.is_model(model),
        );
        let Some(pool) = self.set.pools.get(&route.pool) else {
            return;
        };
        if pool.backend != Backend::Engine {
            notes.error("pool", "a route for a model should name a pool of engines");
        } else if !pool.models.contains(model) {
            let message = format!("pool `{}` does not serve `{model}`", pool.name);
            notes.error("model", message);
        }
    }

    fn path_route(&self, route: &Route, prefix: &str, notes: &mut Notes<'_>) {
        if !prefix.starts_with('/') {
            notes.error("path_prefix", "no request reaches it: paths start with `/`");
        }
        if let Some(path) = RESERVED_PATHS
            .iter()
            .find(|path| prefix.starts_with(**path))
        {
            let message = format!("no request reaches it: nodes serve `{path}` themselves");
            notes.error("path_prefix", message);
        }
        let pool = self.set.pools.get(&route.pool);
        if pool.is_some_and(|pool| pool.backend != Backend::Service) {
            notes.error(
                "pool",
                "a route for a path should name a pool of plain services",
            );
        }
    }
}
