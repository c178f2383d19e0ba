//! The checks of trainers: their references and the ranges of their fields.

use super::{Context, Reporter, check_reference};
use crate::object::{Backend, Swap, Trainer};

impl Context<'_> {
    pub(super) fn check_trainer(&self, trainer: &Trainer, reporter: &mut Reporter<'_>) {
        let exists = self.set.models.contains_key(&trainer.model);
        check_reference(reporter, "model", "model", &trainer.model, exists);
        if let Some(scorer) = &trainer.scorer {
            let exists = self.set.scorers.contains_key(scorer);
            check_reference(reporter, "scorer", "scorer", scorer, exists);
        }
        self.check_trainer_pool(trainer, reporter);
        if !(0.0..=1.0).contains(&trainer.idle_weight) {
            reporter.error("idle_weight", "it should be between 0.0 and 1.0");
        }
        if !trainer.share.is_finite() || trainer.share <= 0.0 {
            reporter.error(
                "share",
                "it should be a number above 0; without a share nothing runs",
            );
        }
        // Delivery enforces the bound, so no stale sample reaches the trainer. But with a bound of
        // 0, all samples of the samplers that wait for their wave are discarded, so waves only cost
        // time.
        if trainer.staleness_bound == 0 && trainer.swap == Swap::Waves {
            reporter.warning(
                "staleness_bound",
                "with a bound of 0, samples of servers that wait for their wave are thrown away; \
                 `swap: all_at_once` wastes less",
            );
        }
        let other = self
            .set
            .trainers
            .values()
            .find(|other| other.model == trainer.model && other.name < trainer.name);
        if let Some(other) = other {
            let message = format!("trainer `{}` renews the same model", other.name);
            reporter.warning("model", message);
        }
    }

    fn check_trainer_pool(&self, trainer: &Trainer, reporter: &mut Reporter<'_>) {
        match self.set.pools.get(&trainer.pool) {
            None => check_reference(reporter, "pool", "pool", &trainer.pool, false),
            Some(pool) if pool.backend != Backend::Engine => {
                reporter.error("pool", "a trainer should sample from a pool of engines");
            }
            Some(pool) if !pool.models.contains(&trainer.model) => {
                let message = format!("pool `{}` does not serve `{}`", pool.name, trainer.model);
                reporter.error("pool", message);
            }
            Some(_) => {}
        }
    }
}
