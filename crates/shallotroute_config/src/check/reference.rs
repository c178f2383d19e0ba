//! The checks of models, versions, adapters, scorers, and of the models that pools serve.

use shallotroute_types::name::Name;

use super::{Context, Reporter, check_reference};
use crate::object::{Adapter, Backend, Model, ModelVersion, Pool, Scorer};

impl Context<'_> {
    /// Returns whether a request may have `name` in its `model` field.
    pub(super) fn is_model(&self, name: &Name) -> bool {
        self.set.models.contains_key(name) || self.set.adapters.contains_key(name)
    }

    pub(super) fn check_model(&self, model: &Model, reporter: &mut Reporter<'_>) {
        let is_withdrawn = self.set.model_versions.values().any(|version| {
            version.model == model.name
                && version.version == model.initial
                && version.state == crate::object::VersionState::Withdrawn
        });
        if is_withdrawn {
            reporter.error("initial", "the initial version is withdrawn");
        }
        let is_served = self
            .set
            .pools
            .values()
            .any(|pool| pool.models.contains(&model.name));
        if !is_served {
            reporter.warning("name", "no pool serves the model");
        }
    }

    pub(super) fn check_model_version(&self, version: &ModelVersion, reporter: &mut Reporter<'_>) {
        let exists = self.set.models.contains_key(&version.model);
        check_reference(reporter, "model", "model", &version.model, exists);
    }

    pub(super) fn check_adapter(&self, adapter: &Adapter, reporter: &mut Reporter<'_>) {
        if self.set.models.contains_key(&adapter.model) {
            return;
        }
        let mut chain = vec![&adapter.name];
        let mut base = &adapter.model;
        while let Some(next) = self.set.adapters.get(base) {
            let is_cycle = chain.contains(&base);
            chain.push(base);
            if is_cycle {
                break;
            }
            base = &next.model;
        }
        let path: Vec<&str> = chain.iter().map(|name| name.as_str()).collect();
        let path = path.join(" -> ");
        match (chain.len(), chain.first() == chain.last()) {
            (1, _) => check_reference(reporter, "model", "model", &adapter.model, false),
            (_, true) => reporter.error("model", format!("adapters form a cycle: {path}")),
            (_, false) => reporter.error("model", format!("adapters do not stack: {path}")),
        }
    }

    /// Checks the fields of a pool that depend on the kind of its backend servers.
    pub(super) fn check_backend(&self, pool: &Pool, reporter: &mut Reporter<'_>) {
        match pool.backend {
            Backend::Engine => {
                if pool.fencing.is_none() {
                    reporter.error(
                        "fencing",
                        "a pool of engines should say whether they check fencing numbers: \
                         `checked` or `ignored`",
                    );
                }
                if pool.models.is_empty() {
                    reporter.error("models", "a pool of engines should serve a model");
                }
            }
            Backend::Service => {
                if pool.fencing.is_some() {
                    reporter.error("fencing", "plain services take no commands");
                }
                if !pool.models.is_empty() {
                    reporter.error("models", "plain services serve no models");
                }
            }
        }
        for (index, model) in pool.models.iter().enumerate() {
            let field = format!("models[{index}]");
            check_reference(
                reporter,
                &field,
                "model or adapter",
                model,
                self.is_model(model),
            );
            self.check_adapter_base(pool, model, &field, reporter);
        }
    }

    /// Checks that a pool with an adapter also serves the adapter's base model, which an engine
    /// needs to load the adapter.
    fn check_adapter_base(
        &self,
        pool: &Pool,
        name: &Name,
        field: &str,
        reporter: &mut Reporter<'_>,
    ) {
        let Some(adapter) = self.set.adapters.get(name) else {
            return;
        };
        if self.set.models.contains_key(&adapter.model) && !pool.models.contains(&adapter.model) {
            let model = &adapter.model;
            reporter.error(
                field,
                format!("the pool does not serve the adapter's model `{model}`"),
            );
        }
    }

    pub(super) fn check_scorer(&self, scorer: &Scorer, reporter: &mut Reporter<'_>) {
        if scorer.timeout_ms == 0 {
            reporter.error("timeout_ms", "a time limit of 0 lets no score through");
        }
        if scorer.address.port() == 0 {
            reporter.error("address", "port 0 can't be connected to");
        }
        let is_scorer = |name: &Option<Name>| name.as_ref() == Some(&scorer.name);
        if !self
            .set
            .trainers
            .values()
            .any(|trainer| is_scorer(&trainer.scorer))
        {
            reporter.warning("name", "no trainer uses the scorer");
        }
    }
}
