//! Handles the events of attempts: tokens, end markers, failures and scores.

use std::time::{Duration, Instant};

use shallotroute_types::{
    name::Name, outcome::Outcome, provenance::Span, sample::Identity, version::Version,
};

use super::{Action, Running, Scheduler, Score};
use crate::{
    provenance::{Chunk, Completion},
    staleness::oldest_version,
    step::{self, AttemptId, Key, Progress, Scoring},
};

/// How long a stream may deliver no tokens before its attempt counts as failed.
const STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// The back-off of a sample after a failed attempt, and the first back-off of a failing engine or
/// scorer.
const BACKOFF_MIN: Duration = Duration::from_millis(100);

/// The longest back-off after repeated failures of an engine or a scorer.
const BACKOFF_MAX: Duration = Duration::from_secs(5);

/// The weight of a new observation in an exponentially weighted mean.
const MEAN_WEIGHT: f64 = 0.1;

impl Scheduler {
    pub(super) fn handle_tokens(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        identity: &str,
        chunk: &Chunk,
    ) {
        let Some(running) = self.attempts.get_mut(&attempt) else {
            return;
        };
        match running.recorder.push(identity, chunk) {
            Ok(true) => running.last_token_at = now,
            Ok(false) => self.counters.for_trainer(&running.key.trainer).foreign += 1,
            Err(_) => return self.reject_malformed(now, attempt),
        }
        if self.is_attempt_undeliverable(attempt) {
            self.cancel_undeliverable_attempt(attempt);
            self.place_waiting(now);
        }
    }

    pub(super) fn handle_end(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        identity: &str,
        tokens: u32,
    ) {
        let Some(running) = self.attempts.get_mut(&attempt) else {
            return;
        };
        let completion = match running.recorder.finish(identity, tokens) {
            Ok(Some(completion)) => completion,
            Ok(None) => {
                self.counters.for_trainer(&running.key.trainer).foreign += 1;
                return;
            }
            Err(_) => return self.reject_malformed(now, attempt),
        };
        let Some(running) = self.release(attempt) else {
            return;
        };
        self.record_duration(now, &running, completion.tokens);
        self.accept_completion(now, attempt, running, completion);
    }

    /// Uses the completion of an attempt for its sample and cancels the other attempts at the
    /// sample.
    fn accept_completion(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        running: Running,
        completion: Completion,
    ) {
        let key = running.key;
        let Some(step) = self.steps.get_mut(&key) else {
            return;
        };
        let position = running.position;
        let index = step.group_and_index(position).1;
        let attempts = step.samples[position as usize].attempts;
        let sample = step::unscored_sample(index, completion, attempts, &running.origin);
        let scorer = self.configuration.trainers.get(&key.trainer);
        let progress = match scorer.and_then(|trainer| trainer.scorer.as_ref()) {
            Some(_) => Progress::Scoring(Box::new(Scoring {
                attempt,
                sample,
                due_at: Some(now),
                failures: 0,
            })),
            None => Progress::Done(Box::new(sample)),
        };
        let others = step.set_progress(position, progress);
        for other in others.into_iter().filter(|other| *other != attempt) {
            self.cancel(other);
        }
        self.request_due_scores(now);
        self.answer_pull(now, &key);
        self.place_waiting(now);
    }

    pub(super) fn handle_failure(&mut self, now: Instant, attempt: AttemptId, outcome: Outcome) {
        let Some(running) = self.attempts.get(&attempt) else {
            return;
        };
        self.counters.for_trainer(&running.key.trainer).failed += 1;
        if let Some(engine) = self.engines.get_mut(&running.origin.server) {
            engine.failures += 1;
            engine.backoff_until = Some(now + backoff(engine.failures));
            // A broken stream may mean that the engine has restarted, possibly with other weights.
            if outcome != Outcome::Ran {
                engine.invalidate();
            }
        }
        self.requeue(attempt, Some(now + BACKOFF_MIN));
        self.place_waiting(now);
    }

    /// Fails an attempt whose stream can't be used.
    fn reject_malformed(&mut self, now: Instant, attempt: AttemptId) {
        if let Some(running) = self.attempts.get(&attempt) {
            self.counters.for_trainer(&running.key.trainer).malformed += 1;
        }
        self.cancel_stream(attempt);
        self.handle_failure(now, attempt, Outcome::Unknown);
    }

    pub(super) fn handle_score(
        &mut self,
        now: Instant,
        key: &Key,
        position: u32,
        attempt: AttemptId,
        score: Option<f64>,
    ) {
        let Some(step) = self.steps.get_mut(key) else {
            return;
        };
        let Some(sample) = step.samples.get_mut(position as usize) else {
            return;
        };
        let Progress::Scoring(scoring) = &mut sample.progress else {
            return;
        };
        if scoring.attempt != attempt {
            return;
        }
        let Some(score) = score else {
            scoring.failures += 1;
            scoring.due_at = Some(now + backoff(scoring.failures));
            return;
        };
        let mut done = scoring.sample.clone();
        done.score = Some(score);
        step.set_progress(position, Progress::Done(Box::new(done)));
        self.answer_pull(now, key);
    }

    /// Calls the scorers for samples whose scoring is due.
    pub(super) fn request_due_scores(&mut self, now: Instant) {
        for (key, step) in &mut self.steps {
            let trainer = self.configuration.trainers.get(&key.trainer);
            let Some(scorer) = trainer.and_then(|trainer| trainer.scorer.as_ref()) else {
                continue;
            };
            for &position in &step.scoring {
                let (group, index) = (
                    position / step.specification.group_size,
                    position % step.specification.group_size,
                );
                let Progress::Scoring(scoring) = &mut step.samples[position as usize].progress
                else {
                    continue;
                };
                if scoring.due_at.is_none_or(|due| now < due) {
                    continue;
                }
                scoring.due_at = None;
                self.actions.push(Action::Score(Box::new(Score {
                    key: key.clone(),
                    position,
                    attempt: scoring.attempt,
                    sample: Identity {
                        trainer: key.trainer.clone(),
                        step: key.step,
                        group,
                        index,
                    },
                    scorer: scorer.clone(),
                    prompt: step.specification.prompts[group as usize].clone(),
                    text: scoring.sample.text.clone(),
                })));
            }
        }
    }

    /// Closes the stream of an attempt and frees its slot.
    pub(super) fn cancel(&mut self, attempt: AttemptId) {
        self.cancel_stream(attempt);
        self.release(attempt);
    }

    /// Closes the stream of an attempt that stays registered with its engine.
    pub(super) fn cancel_stream(&mut self, attempt: AttemptId) {
        if let Some(running) = self.attempts.get(&attempt) {
            self.counters.for_trainer(&running.key.trainer).cancelled += 1;
            self.actions.push(Action::Cancel(attempt));
        }
    }

    /// Removes an attempt from the scheduler and from its engine, without closing its stream.
    fn release(&mut self, attempt: AttemptId) -> Option<Running> {
        let running = self.attempts.remove(&attempt)?;
        if let Some(engine) = self.engines.get_mut(&running.origin.server) {
            engine.attempts.remove(&attempt);
        }
        Some(running)
    }

    /// Removes an attempt from its sample, which waits until `backoff_until` for a new attempt if
    /// no other one is running.
    pub(super) fn requeue(&mut self, attempt: AttemptId, backoff_until: Option<Instant>) {
        let Some(running) = self.release(attempt) else {
            return;
        };
        let Some(step) = self.steps.get_mut(&running.key) else {
            return;
        };
        let position = running.position;
        let sample = &mut step.samples[position as usize];
        let Progress::Running(attempts) = &mut sample.progress else {
            return;
        };
        attempts.retain(|other| *other != attempt);
        if attempts.is_empty() {
            sample.backoff_until = backoff_until;
            step.set_progress(position, Progress::Waiting);
        }
    }

    /// Cancels an undeliverable attempt. Its sample gets a new attempt.
    fn cancel_undeliverable_attempt(&mut self, attempt: AttemptId) {
        if let Some(running) = self.attempts.get(&attempt) {
            let (key, position) = (running.key.clone(), running.position);
            self.mark_undeliverable(&key, position);
        }
        self.cancel_stream(attempt);
        self.requeue(attempt, None);
    }

    /// Discards an undeliverable sample, which gets a new attempt.
    pub(super) fn discard(&mut self, key: &Key, position: u32) {
        self.mark_undeliverable(key, position);
        if let Some(step) = self.steps.get_mut(key) {
            step.set_progress(position, Progress::Waiting);
        }
    }

    fn mark_undeliverable(&mut self, key: &Key, position: u32) {
        self.counters.for_trainer(&key.trainer).doomed += 1;
        if let Some(step) = self.steps.get_mut(key) {
            step.samples[position as usize].was_undeliverable = true;
        }
    }

    /// Cancels attempts of the trainer, and discards samples that are being scored, whose tokens
    /// are too stale for its version or of a withdrawn one.
    pub(super) fn cancel_undeliverable(&mut self, trainer: &Name) {
        let undeliverable: Vec<AttemptId> = self
            .attempts
            .iter()
            .filter(|(_, running)| running.key.trainer == *trainer)
            .map(|(attempt, _)| *attempt)
            .filter(|attempt| self.is_attempt_undeliverable(*attempt))
            .collect();
        for attempt in undeliverable {
            self.cancel_undeliverable_attempt(attempt);
        }
        let unscored: Vec<(Key, u32)> = self
            .steps_of(trainer)
            .flat_map(|(key, step)| {
                step.scoring
                    .iter()
                    .map(move |position| (key, step, *position))
            })
            .filter(
                |(_, step, position)| match &step.samples[*position as usize].progress {
                    Progress::Scoring(scoring) => {
                        self.has_undeliverable_tokens(trainer, &scoring.sample.spans)
                    }
                    _ => false,
                },
            )
            .map(|(key, _, position)| (key.clone(), position))
            .collect();
        for (key, position) in unscored {
            self.discard(&key, position);
        }
    }

    fn is_attempt_undeliverable(&self, attempt: AttemptId) -> bool {
        self.attempts.get(&attempt).is_some_and(|running| {
            self.has_undeliverable_tokens(&running.key.trainer, running.recorder.spans())
        })
    }

    fn has_undeliverable_tokens(&self, trainer: &Name, spans: &[Span]) -> bool {
        let (Some(policy), Some(oldest)) = (self.policy(trainer), oldest_version(spans)) else {
            return false;
        };
        !policy.allows_delivery(self.trainer_version(trainer), oldest)
            || self.has_withdrawn(trainer, spans)
    }

    /// Returns whether any token was generated by a version that operators withdrew.
    pub(super) fn has_withdrawn(&self, trainer: &str, spans: &[Span]) -> bool {
        !self.configuration.withdrawn.is_empty()
            && spans
                .iter()
                .any(|span| self.is_withdrawn(trainer, span.version))
    }

    pub(super) fn is_withdrawn(&self, trainer: &str, version: Version) -> bool {
        let object = self.configuration.trainers.get(trainer);
        object.is_some_and(|object| {
            self.configuration
                .withdrawn
                .contains(&(object.model.clone(), version))
        })
    }

    /// Fails attempts whose streams have delivered no tokens for [`STALL_TIMEOUT`].
    pub(super) fn fail_stalled(&mut self, now: Instant) {
        let mut stalled: Vec<AttemptId> = self
            .attempts
            .iter()
            .filter(|(_, running)| now >= running.last_token_at + STALL_TIMEOUT)
            .map(|(attempt, _)| *attempt)
            .collect();
        stalled.sort_unstable();
        for attempt in stalled {
            self.cancel_stream(attempt);
            self.handle_failure(now, attempt, Outcome::Unknown);
        }
    }

    fn record_duration(&mut self, now: Instant, running: &Running, tokens: u32) {
        let seconds = now
            .saturating_duration_since(running.started_at)
            .as_secs_f64();
        let trainer = self
            .trainers
            .entry(running.key.trainer.clone())
            .or_default();
        trainer.sample_seconds = Some(updated_mean(trainer.sample_seconds, seconds));
        if let Some(engine) = self.engines.get_mut(&running.origin.server) {
            engine.failures = 0;
            engine.token_seconds = Some(updated_mean(
                engine.token_seconds,
                seconds / f64::from(tokens.max(1)),
            ));
        }
    }
}

fn updated_mean(mean: Option<f64>, value: f64) -> f64 {
    mean.map_or(value, |mean| mean + MEAN_WEIGHT * (value - mean))
}

fn backoff(failures: u32) -> Duration {
    let factor = 1 << failures.saturating_sub(1).min(10);
    (BACKOFF_MIN * factor).min(BACKOFF_MAX)
}
