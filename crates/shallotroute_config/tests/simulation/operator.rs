//! Operators who publish, and the outcomes that they are told.

use std::time::Duration;

use rand::RngExt;
use shallotroute_config::{
    adoption,
    bundle::{Bundle, HEAD_KEY, Metadata},
    object::{Limit, Object},
    publication::{Action, Event, Outcome, Plan, Publication, WriteResult},
    set::Set,
};

use super::{FAILURE, Simulation};

/// The time limit of a publication, shorter than the real one so that more of them end unknown.
const LIMIT: Duration = Duration::from_secs(4);

/// How long an unknown result is looked for.
const RESOLVE_TIMEOUT: Duration = Duration::from_secs(10);

/// When the sender of a write gives up its answer, in milliseconds.
const ANSWER_TIMEOUT: u64 = 300;

/// The longest delay of a write whose answer is lost, in milliseconds.
const LONGEST_DELAY: u64 = 8_000;

/// A publication that was begun.
pub(super) struct Operation {
    pub(super) hash: String,
    machine: Publication,
    node: usize,
    incarnation: u64,
    /// What the operator was told, in order.
    outcomes: Vec<Outcome>,
}

/// What happens to publications.
pub(super) enum Occurrence {
    /// An operator asks a node to publish.
    Submit { node: usize, delay: u64 },
    /// The first write is due.
    Begin(usize, Action),
    /// A write reaches the store; the answer goes back unless it is lost.
    Write {
        operation: usize,
        key: String,
        expected: u64,
        value: Vec<u8>,
        answered: bool,
    },
    /// A read reaches the store.
    Read(usize),
    /// The end of an action reaches the node.
    End(usize, Event),
}

impl Operation {
    /// Returns the promises that the final chain breaks.
    pub(super) fn check_invariants(&self, listed: bool) -> Option<String> {
        let violations = self.outcomes.iter().find(|outcome| match outcome {
            Outcome::Published => !listed,
            Outcome::Conflict { .. } | Outcome::NotPublished { .. } => listed,
            Outcome::Unknown => false,
        });
        violations.map(|outcome| {
            let hash = &self.hash[..8];
            format!("{hash} was told {outcome:?}, in the chain: {listed}")
        })
    }
}

impl Simulation {
    pub(super) fn operate(&mut self, occurrence: Occurrence) {
        match occurrence {
            Occurrence::Submit { node, delay } => self.submit(node, delay),
            Occurrence::Begin(operation, action) => self.publish(operation, action),
            Occurrence::Write {
                operation,
                key,
                expected,
                value,
                answered,
            } => {
                let answer = self.store.write(&key, expected, value);
                if answer == WriteResult::Done && key == HEAD_KEY {
                    self.head_written();
                }
                if answered {
                    self.tell(operation, Event::Written(answer));
                }
            }
            Occurrence::Read(operation) => {
                let lost = self.store.lossy && self.rng.random_bool(0.5);
                let served = self.served(self.operations[operation].node) && !lost;
                let read = served.then(|| self.store.head());
                self.tell(operation, Event::Read(read));
            }
            Occurrence::End(operation, event) => {
                let now = self.instant();
                let Operation {
                    machine,
                    node,
                    incarnation,
                    ..
                } = &mut self.operations[operation];
                let (node, incarnation) = (*node, *incarnation);
                let action = machine.handle(event, now, &mut self.rng);
                if self.is_current(node, incarnation) {
                    self.publish(operation, action);
                }
            }
        }
    }

    fn submit(&mut self, node: usize, delay: u64) {
        if !self.served(node) || self.nodes[node].adoption.is_none() {
            return;
        }
        let (version, parent) = self.store.head();
        let limit = Limit {
            name: "members".into(),
            requests_per_second: 1.0 + f64::from(u32::try_from(self.operations.len()).unwrap_or(0)),
            burst: 1,
            concurrency: None,
        };
        let metadata = Metadata {
            publication: format!("p{}", self.operations.len()),
            author: "ona".into(),
            at: self.wall(),
            reason: "test".into(),
            warnings: Vec::new(),
        };
        let snapshot = self.store.newest();
        let set = Set::new([Object::Limit(limit)]);
        let bundle = Bundle::new(snapshot.as_ref(), &set, metadata).expect("the set is small");
        let stored = snapshot.map(|snapshot| snapshot.record.parts);
        let plan = Plan {
            stored: stored.unwrap_or_default(),
            publication: format!("p{}", self.operations.len()),
            parent,
            version,
            bundle,
        };
        let hash = plan.bundle.hash();
        let deadline = self.instant() + LIMIT;
        let (machine, action) = Publication::new(plan, deadline).expect("the record is readable");
        self.operations.push(Operation {
            hash,
            machine,
            node,
            incarnation: self.nodes[node].incarnation,
            outcomes: Vec::new(),
        });
        let operation = self.operations.len() - 1;
        self.after(
            delay,
            super::Occurrence::Operator(Occurrence::Begin(operation, action)),
        );
    }

    fn tell(&mut self, operation: usize, event: Event) {
        let latency = self.latency();
        self.end_after(latency, operation, event);
    }

    fn end_after(&mut self, delay: u64, operation: usize, event: Event) {
        let end = Occurrence::End(operation, event);
        self.after(delay, super::Occurrence::Operator(end));
    }

    fn publish(&mut self, operation: usize, action: Action) {
        let delay = self.latency() + self.store.delay;
        match action {
            Action::Write {
                key,
                expected,
                value,
            } => self.send(operation, &key, expected, &value),
            Action::Read => self.after(
                delay,
                super::Occurrence::Operator(Occurrence::Read(operation)),
            ),
            Action::Record(hash) => {
                let served = self.served(self.operations[operation].node);
                let record = self.store.record(&hash).filter(|_| served);
                self.end_after(delay, operation, Event::Record(record.map(Box::new)));
            }
            Action::Wait(pause) => {
                let pause = u64::try_from(pause.as_millis()).unwrap_or(u64::MAX);
                self.end_after(pause, operation, Event::WaitEnded);
            }
            Action::Done(outcome) => self.done(operation, &outcome),
        }
    }

    fn send(&mut self, operation: usize, key: &str, expected: u64, value: &[u8]) {
        let write = |answered| {
            let key = key.to_owned();
            let value = value.to_vec();
            super::Occurrence::Operator(Occurrence::Write {
                operation,
                key,
                expected,
                value,
                answered,
            })
        };
        let delay = self.latency() + self.store.delay;
        if !self.served(self.operations[operation].node) {
            let answer = match self.rng.random_bool(0.5) {
                true => WriteResult::NotRun,
                false => WriteResult::Lost,
            };
            return self.end_after(FAILURE, operation, Event::Written(answer));
        }
        let lost = self.store.lossy && self.rng.random_bool(0.5);
        if !lost && delay < ANSWER_TIMEOUT {
            return self.after(delay, write(true));
        }
        // A third never arrives, a third arrives in time, and a third arrives late.
        let arrival = match self.rng.random_range(0..3) {
            0 => None,
            1 => Some(delay),
            _ => Some(self.rng.random_range(ANSWER_TIMEOUT..LONGEST_DELAY)),
        };
        if let Some(arrival) = arrival {
            self.after(arrival, write(false));
        }
        self.end_after(ANSWER_TIMEOUT, operation, Event::Written(WriteResult::Lost));
    }

    fn done(&mut self, operation: usize, outcome: &Outcome) {
        let deadline = self.instant() + RESOLVE_TIMEOUT;
        let listed = self.store.contains(&self.operations[operation].hash);
        let current = &mut self.operations[operation];
        let first = current.outcomes.is_empty();
        current.outcomes.push(outcome.clone());
        let violations = current.check_invariants(listed);
        if *outcome == Outcome::Unknown && first {
            let action = current.machine.resolve(deadline);
            self.publish(operation, action);
        }
        self.violations.extend(violations);
        if *outcome == Outcome::Published {
            let current = &self.operations[operation];
            let (node, incarnation) = (current.node, current.incarnation);
            let event = adoption::Event::Published(current.machine.bundle().clone());
            self.feed(node, incarnation, event);
        }
    }
}
