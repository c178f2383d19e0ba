//! Drives the state machine of a publication: executes its actions and records the outcome.

use std::time::{Duration, Instant};

use shallotroute_config::{
    adoption,
    api::{self, Outcome},
    publication::{self, Action, Event, Publication, RESOLVE_TIMEOUT, WriteResult},
};
use tokio::{
    sync::watch,
    time::{sleep, timeout},
};

use super::{
    Progress, Publisher, not_published, preparation::Prepared, publication_with, unknown_result,
};

impl Publisher {
    /// Writes a publication and records its result. If the outcome is unknown at `deadline`,
    /// continues for [`RESOLVE_TIMEOUT`] to determine it, and then records the result again.
    pub(super) async fn publish(
        &self,
        identity: &str,
        prepared: Prepared,
        deadline: Instant,
        sender: &watch::Sender<Progress>,
    ) {
        let Prepared {
            plan,
            base_set,
            changes,
            findings,
        } = prepared;
        let Ok((mut machine, first)) = Publication::new(plan, deadline) else {
            self.record_result(
                sender,
                not_published(identity, "the record is not readable"),
            );
            return;
        };
        let outcome = self.drive(&mut machine, first, deadline).await;
        let is_unknown = outcome == publication::Outcome::Unknown;
        let finish = async |outcome, machine: &Publication| {
            let result = self
                .apply_outcome(identity, machine, outcome, &base_set)
                .await;
            let publication = api::Publication {
                findings: findings.clone(),
                changes: changes.clone(),
                ..result
            };
            self.record_result(sender, publication);
        };
        finish(outcome, &machine).await;
        if is_unknown {
            let deadline = self.clock.now() + RESOLVE_TIMEOUT;
            let action = machine.resolve(deadline);
            let outcome = self.drive(&mut machine, action, deadline).await;
            if outcome != publication::Outcome::Unknown {
                finish(outcome, &machine).await;
            }
        }
    }

    /// Returns the result for the operator; passes a published revision to the adopter.
    async fn apply_outcome(
        &self,
        identity: &str,
        machine: &Publication,
        outcome: publication::Outcome,
        base_set: &shallotroute_config::set::Set,
    ) -> api::Publication {
        match outcome {
            publication::Outcome::Published => {
                let bundle = machine.bundle().clone();
                self.adopter
                    .handle_event(adoption::Event::Published(bundle));
                let revision = machine.head().revision;
                publication_with(identity, Outcome::Published { revision })
            }
            publication::Outcome::Conflict { winner } => {
                publication_with(identity, self.conflict(&winner, base_set).await)
            }
            publication::Outcome::NotPublished { reason } => not_published(identity, reason),
            publication::Outcome::Unknown => unknown_result(identity),
        }
    }

    /// Executes `action` and those that follow it, and returns the outcome.
    async fn drive(
        &self,
        machine: &mut Publication,
        mut action: Action,
        deadline: Instant,
    ) -> publication::Outcome {
        loop {
            let remaining = deadline.saturating_duration_since(self.clock.now());
            let event = match action {
                Action::Done(outcome) => return outcome,
                other => self.execute(other, remaining).await,
            };
            let now = self.clock.now();
            let mut rng = self
                .rng
                .lock()
                .unwrap_or_else(std::sync::PoisonError::into_inner);
            action = machine.handle(event, now, &mut rng);
        }
    }

    /// Executes an action within `remaining` and returns the event that reports its end.
    async fn execute(&self, action: Action, remaining: Duration) -> Event {
        let repository = &self.repository;
        match action {
            Action::Write {
                key,
                expected,
                value,
            } => {
                let write = timeout(remaining, repository.write(&key, expected, value)).await;
                Event::Written(write.unwrap_or(WriteResult::Lost))
            }
            Action::Read => {
                let read = timeout(remaining, repository.head()).await;
                Event::Read(read.ok().and_then(|read| read.ok()))
            }
            Action::Record(hash) => {
                let read = timeout(remaining, repository.record(&hash)).await;
                Event::Record(read.ok().and_then(|read| read.ok()).map(Box::new))
            }
            Action::Wait(pause) => {
                sleep(pause.min(remaining)).await;
                Event::WaitEnded
            }
            Action::Done(_) => Event::WaitEnded,
        }
    }
}
