//! Renders the scheduler's state for the dump.

use std::time::Instant;

use serde_json::{Value, json};

use super::Scheduler;

impl Scheduler {
    /// Returns the steps with their progress and the engines with their versions. For each engine,
    /// `blocked` holds the reason why it gets no samples of a trainer, by trainer.
    pub fn dump(&self, now: Instant) -> Value {
        let trainers: Vec<Value> = self
            .trainers
            .iter()
            .map(|(name, trainer)| {
                json!({
                    "trainer": name,
                    "version": trainer.version,
                    "sample_s": trainer.sample_seconds,
                    "pulls": self.pulls.values().filter(|pull| pull.key.trainer == *name).count(),
                })
            })
            .collect();
        json!({
            "pool": self.configuration.pool,
            "revision": self.configuration.revision,
            "order": self.configuration.order(),
            "selection": self.configuration.selection,
            "steps": self.dump_steps(now),
            "trainers": trainers,
            "engines": self.dump_engines(now),
        })
    }

    fn dump_steps(&self, now: Instant) -> Vec<Value> {
        self.steps
            .iter()
            .map(|(key, step)| {
                json!({
                    "trainer": key.trainer,
                    "step": key.step,
                    "groups": step.specification.group_count(),
                    "waiting": step.waiting.len(),
                    "running": step.running.len(),
                    "scoring": step.scoring.len(),
                    "ready_groups": step.ready_groups.len(),
                    "answered_groups": step.sent.count(),
                    "acknowledged_groups": step.receipt.count(),
                    "age_s": now.saturating_duration_since(step.submitted_at).as_secs_f64(),
                })
            })
            .collect()
    }

    fn dump_engines(&self, now: Instant) -> Vec<Value> {
        self.engines
            .iter()
            .map(|(name, engine)| {
                let blocked: serde_json::Map<String, Value> = self
                    .configuration
                    .trainers
                    .keys()
                    .filter_map(|trainer| {
                        let blocked = self.check_engine(now, trainer, 0, engine).err()?;
                        Some((trainer.to_string(), json!(blocked)))
                    })
                    .collect();
                json!({
                    "server": name,
                    "models": engine.report.as_ref().map(|report| &report.models),
                    "attempts": engine.attempts.len(),
                    "others": engine.other_load,
                    "slots": engine.slots,
                    "reserved": self.reserved_slots(engine),
                    "failures": engine.failures,
                    "commanded": engine.loading_model,
                    "blocked": blocked,
                })
            })
            .collect()
    }
}
