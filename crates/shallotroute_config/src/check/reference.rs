//! Models, versions, adapters and what pools say of them.

use shallotroute_types::name::Name;

use super::{Context, Notes, dangling};
use crate::object::{Adapter, Backend, Model, ModelVersion, Pool, Scorer};

impl Context<'_> {
    /// Tells whether a request may name `name` as its model.
    pub(super) fn is_model(&self, name: &Name) -> bool {
        self.set.models.contains_key(name) || self.set.adapters.contains_key(name)
    }

    pub(super) fn model(&self, model: &Model, notes: &mut Notes<'_>) {
        let withdrawn = self.set.model_versions.values().any(|version| {
            version.model == model.name
                && version.version == model.initial
                && version.state == crate::object::VersionState::Withdrawn
        });
        if withdrawn {
            notes.error("initial", "the initial version is withdrawn");
        }
        let served = self
            .set
            .pools
            .values()
            .any(|pool| pool.models.contains(&model.name));
        if !served {
            notes.warning("name", "no pool serves the model");
        }
    }

    pub(super) fn model_version(&self, version: &ModelVersion, notes: &mut Notes<'_>) {
        let exists = self.set.models.contains_key(&version.model);
        dangling(notes, "model", "model", &version.model, exists);
    }

    pub(super) fn adapter(&self, adapter: &Adapter, notes: &mut Notes<'_>) {
        if self.set.models.contains_key(&adapter.model) {
            return;
        }
        let mut chain = vec![&adapter.name];
        let mut below = &adapter.model;
        while let Some(next) = self.set.adapters.get(below) {
            let cycle = chain.contains(&below);
            chain.push(below);
            if cycle {
                break;
            }
            below = &next.model;
        }
        let path: Vec<&str> = chain.iter().map(|name| name.as_str()).collect();
        let path = path.join(" -> ");
        match (chain.len(), chain.first() == chain.last()) {
            (1, _) => dangling(notes, "model", "model", &adapter.model, false),
            (_, true) => notes.error("model", format!("adapters form a cycle: {path}")),
            (_, false) => notes.error("model", format!("adapters do not stack: {path}")),
        }
    }

    pub(super) fn pool_kind(&self, pool: &Pool, notes: &mut Notes<'_>) {
        match pool.backend {
            Backend::Engine => {
                if pool.fencing.is_none() {
                    notes.error(
                        "fencing",
                        "a pool of engines should say whether they check fencing numbers: \
                         `checked` or `ignored`",
                    );
                }
                if pool.models.is_empty() {
                    notes.error("models", "a pool of engines should serve a model");
                }
            }
            Backend::Service => {
                if pool.fencing.is_some() {
                    notes.error("fencing", "plain services take no commands");
                }
                if !pool.models.is_empty() {
                    notes.error("models", "plain services serve no models");
                }
            }
        }
        for (index, model) in pool.models.iter().enumerate() {
            let field = format!("models[{index}]");
            dangling(
                notes,
                &field,
                "model or adapter",
                model,
                self.is_model(model),
            );
            self.adapter_base(pool, model, &field, notes);
        }
    }

    /// An engine can load an adapter only on top of its model.
    fn adapter_base(&self, pool: &Pool, name: &Name, field: &str, notes: &mut Notes<'_>) {
        let Some(adapter) = self.set.adapters.get(name) else {
            return;
        };
        if self.set.models.contains_key(&adapter.model) && !pool.models.contains(&adapter.model) {
            let model = &adapter.model;
            notes.error(
                field,
                format!("the pool does not serve the adapter's model `{model}`"),
            );
        }
    }

    pub(super) fn scorer(&self, scorer: &Scorer, notes: &mut Notes<'_>) {
        if scorer.timeout_ms == 0 {
            notes.error("timeout_ms", "a time limit of 0 lets no score through");
        }
        if scorer.address.port() == 0 {
            notes.error("address", "port 0 can't be connected to");
        }
        let used = |name: &Option<Name>| name.as_ref() == Some(&scorer.name);
        if !self
            .set
            .trainers
            .values()
            .any(|trainer| used(&trainer.scorer))
        {
            notes.warning("name", "no trainer uses the scorer");
        }
    }
}
