//! Trainers: what they sample from and whether their bounds can be met.

use super::{Context, Notes, dangling};
use crate::object::{Backend, Swap, Trainer};

impl Context<'_> {
    pub(super) fn trainer(&self, trainer: &Trainer, notes: &mut Notes<'_>) {
        let exists = self.set.models.contains_key(&trainer.model);
        dangling(notes, "model", "model", &trainer.model, exists);
        if let Some(scorer) = &trainer.scorer {
            let exists = self.set.scorers.contains_key(scorer);
            dangling(notes, "scorer", "scorer", scorer, exists);
        }
        self.trainer_pool(trainer, notes);
        if !(0.0..=1.0).contains(&trainer.idle_weight) {
            notes.error("idle_weight", "it should be between 0.0 and 1.0");
        }
        if !trainer.share.is_finite() || trainer.share <= 0.0 {
            notes.error(
                "share",
                "it should be a number above 0; without a share nothing runs",
            );
        }
        // Delivery enforces the bound, so no stale sample arrives. But samplers that wait for their
        // wave produce only samples that are thrown away, so waves cost time and gain nothing.
        if trainer.staleness_bound == 0 && trainer.swap == Swap::Waves {
            notes.warning(
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
            notes.warning("model", message);
        }
    }

    fn trainer_pool(&self, trainer: &Trainer, notes: &mut Notes<'_>) {
        match self.set.pools.get(&trainer.pool) {
            None => dangling(notes, "pool", "pool", &trainer.pool, false),
            Some(pool) if pool.backend != Backend::Engine => {
                notes.error("pool", "a trainer should sample from a pool of engines");
            }
            Some(pool) if !pool.models.contains(&trainer.model) => {
                let message = format!("pool `{}` does not serve `{}`", pool.name, trainer.model);
                notes.error("pool", message);
            }
            Some(_) => {}
        }
    }
}
