//! The checks of routes: whether any request can match them and whether their pools fit.

use shallotroute_types::name::Name;

use super::{Context, Reporter, check_reference};
use crate::object::{Backend, Route};

/// Paths that nodes serve themselves, before they consult the routes.
const RESERVED_PATHS: [&str; 3] = ["/v1/completions", "/v1/chat/completions", "/v1/trainers"];

impl Context<'_> {
    pub(super) fn check_route(&self, route: &Route, reporter: &mut Reporter<'_>) {
        let exists = self.set.pools.contains_key(&route.pool);
        check_reference(reporter, "pool", "pool", &route.pool, exists);
        if route.timeout_ms == 0 {
            reporter.error("timeout_ms", "a time limit of 0 lets no request through");
        }
        match (&route.model, &route.path_prefix) {
            (Some(model), None) => self.check_model_route(route, model, reporter),
            (None, Some(prefix)) => self.check_path_route(route, prefix, reporter),
            (None, None) => {
                reporter.error("", "no request reaches it: it names no model and no path")
            }
            (Some(_), Some(_)) => reporter.error(
                "path_prefix",
                "no request reaches the path: a route with a model serves inference requests only",
            ),
        }
    }

    fn check_model_route(&self, route: &Route, model: &Name, reporter: &mut Reporter<'_>) {
        check_reference(
            reporter,
            "model",
            "model or adapter",
            model,
            self.is_model(model),
        );
        let Some(pool) = self.set.pools.get(&route.pool) else {
            return;
        };
        if pool.backend != Backend::Engine {
            reporter.error("pool", "a route for a model should name a pool of engines");
        } else if !pool.models.contains(model) {
            let message = format!("pool `{}` does not serve `{model}`", pool.name);
            reporter.error("model", message);
        }
    }

    fn check_path_route(&self, route: &Route, prefix: &str, reporter: &mut Reporter<'_>) {
        if !prefix.starts_with('/') {
            reporter.error("path_prefix", "no request reaches it: paths start with `/`");
        }
        if let Some(path) = RESERVED_PATHS
            .iter()
            .find(|path| prefix.starts_with(**path))
        {
            let message = format!("no request reaches it: nodes serve `{path}` themselves");
            reporter.error("path_prefix", message);
        }
        let pool = self.set.pools.get(&route.pool);
        if pool.is_some_and(|pool| pool.backend != Backend::Service) {
            reporter.error(
                "pool",
                "a route for a path should name a pool of plain services",
            );
        }
    }
}
