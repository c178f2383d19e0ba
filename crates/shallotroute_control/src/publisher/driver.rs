//! Carries out what the state machine of a publication asks for.

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

use super::{Publisher, State, ended, not_published, preparation::Prepared, unknown};

impl Publisher {
    /// Writes a publication and records its result; an unknown one is looked for afterwards.
    pub(super) async fn publish(
        &self,
        identity: &str,
        prepared: Prepared,
        deadline: Instant,
        sender: &watch::Sender<State>,
    ) {
        let Prepared {
            plan,
            base,
            changes,
            findings,
        } = prepared;
        let Ok((mut machine, first)) = Publication::new(plan, deadline) else {
            self.end(
                sender,
                not_published(identity, "the record is not readable"),
            );
            return;
        };
        let outcome = self.drive(&mut machine, first, deadline).await;
        let unknown = outcome == publication::Outcome::Unknown;
        let finish = async |outcome, machine: &Publication| {
            let result = self.result(identity, machine, outcome, &base).await;
            let publication = api::Publication {
                findings: findings.clone(),
                changes: changes.clone(),
                ..result
            };
            self.end(sender, publication);
        };
        finish(outcome, &machine).await;
        if unknown {
            let deadline = self.clock.now() + RESOLVE_TIMEOUT;
            let action = machine.resolve(deadline);
            let outcome = self.drive(&mut machine, action, deadline).await;
            if outcome != publication::Outcome::Unknown {
                finish(outcome, &machine).await;
            }
        }
    }

    async fn result(
        &self,
        identity: &str,
        machine: &Publication,
        outcome: publication::Outcome,
        base: &shallotroute_config::set::Set,
    ) -> api::Publication {
        match outcome {
            publication::Outcome::Published => {
                let bundle = machine.bundle().clone();
                self.adopter.feed(adoption::Event::Published(bundle));
                let revision = machine.head().revision;
                ended(identity, Outcome::Published { revision })
            }
            publication::Outcome::Conflict { winner } => {
                ended(identity, self.conflict(&winner, base).await)
            }
            publication::Outcome::NotPublished { reason } => not_published(identity, reason),
            publication::Outcome::Unknown => unknown(identity),
        }
    }

    async fn drive(
        &self,
        machine: &mut Publication,
        mut action: Action,
        deadline: Instant,
    ) -> publication::Outcome {
        loop {
            let left = deadline.saturating_duration_since(self.clock.now());
            let event = match action {
                Action::Done(outcome) => return outcome,
                other => self.carry_out(other, left).await,
            };
            let now = self.clock.now();
            let mut rng = self
                .rng
                .lock()
                .unwrap_or_else(std::sync::PoisonError::into_inner);
            action = machine.handle(event, now, &mut rng);
        }
    }

    async fn carry_out(&self, action: Action, left: Duration) -> Event {
        let repository = &self.repository;
        match action {
            Action::Write {
                key,
                expected,
                value,
            } => {
                let write = timeout(left, repository.write(&key, expected, value)).await;
                Event::Written(write.unwrap_or(WriteResult::Lost))
            }
            Action::Read => {
                let read = timeout(left, repository.head()).await;
                Event::Read(read.ok().and_then(|read| read.ok()))
            }
            Action::Record(hash) => {
                let read = timeout(left, repository.record(&hash)).await;
                Event::Record(read.ok().and_then(|read| read.ok()).map(Box::new))
            }
            Action::Wait(pause) => {
                sleep(pause.min(left)).await;
                Event::WaitEnded
            }
            Action::Done(_) => Event::WaitEnded,
        }
    }
}
