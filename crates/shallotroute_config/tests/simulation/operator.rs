//! Simulated operators who publish, and the outcomes reported to them.

use std::time::Duration;

use rand::RngExt;
use shallotroute_config::{
    adoption,
    bundle::{Bundle, HEAD_KEY, Metadata},
    object::{Limit, Object},
    publication::{Action, Event, Outcome, Plan, Publication, WriteResult},
    set::Set,
};

use super::{FAILURE_LATENCY_MS, Simulation};

/// The timeout of a publication; shorter than in production, so that more outcomes are unknown.
const TIMEOUT: Duration = Duration::from_secs(4);

/// How long an unknown outcome is determined in the background.
const RESOLVE_TIMEOUT: Duration = Duration::from_secs(10);

/// The timeout of a write, after which its response counts as lost.
const RESPONSE_TIMEOUT_MS: u64 = 300;

/// The maximum delay of a write whose response is lost.
const MAX_WRITE_DELAY_MS: u64 = 8_000;

/// A publication in progress or ended.
pub(super) struct Operation {
    pub(super) hash: String,
    machine: Publication,
    node: usize,
    incarnation: u64,
    /// The outcomes reported to the operator, in order.
    outcomes: Vec<Outcome>,
}

/// A scheduled step of a publication. A `usize` is the index of the [`Operation`].
pub(super) enum Occurrence {
    /// An operator asks a node to publish.
    Submit { node: usize, delay: u64 },
    /// The first action is due.
    Begin(usize, Action),
    /// A write reaches the key-value service; its response is lost unless `is_answered`.
    Write {
        operation: usize,
        key: String,
        expected: u64,
        value: Vec<u8>,
        is_answered: bool,
    },
    /// A read of the head reaches the key-value service.
    Read(usize),
    /// The response to an action reaches the node.
    ActionEnded(usize, Event),
}

impl Operation {
    /// Returns a violation if a reported outcome contradicts the chain.
    pub(super) fn contradiction(&self, is_in_chain: bool) -> Option<String> {
        let contradicted = self.outcomes.iter().find(|outcome| match outcome {
            Outcome::Published => !is_in_chain,
            Outcome::Conflict { .. } | Outcome::NotPublished { .. } => is_in_chain,
            Outcome::Unknown => false,
        });
        contradicted.map(|outcome| {
            let hash = &self.hash[..8];
            format!("{hash} was told {outcome:?}, in the chain: {is_in_chain}")
        })
    }
}

impl Simulation {
    pub(super) fn process_operation(&mut self, occurrence: Occurrence) {
        match occurrence {
            Occurrence::Submit { node, delay } => self.submit(node, delay),
            Occurrence::Begin(operation, action) => self.execute_action(operation, action),
            Occurrence::Write {
                operation,
                key,
                expected,
                value,
                is_answered,
            } => {
                let result = self.store.write(&key, expected, value);
                if result == WriteResult::Done && key == HEAD_KEY {
                    self.wake_watches();
                }
                if is_answered {
                    self.respond(operation, Event::Written(result));
                }
            }
            Occurrence::Read(operation) => {
                let is_lost = self.store.is_lossy && self.rng.random_bool(0.5);
                let is_reachable = self.is_served(self.operations[operation].node) && !is_lost;
                let read = is_reachable.then(|| self.store.head());
                self.respond(operation, Event::Read(read));
            }
            Occurrence::ActionEnded(operation, event) => {
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
                    self.execute_action(operation, action);
                }
            }
        }
    }

    fn submit(&mut self, node: usize, delay: u64) {
        if !self.is_served(node) || self.nodes[node].adoption.is_none() {
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
            at: self.wall_clock(),
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
        let deadline = self.instant() + TIMEOUT;
        let (machine, action) = Publication::new(plan, deadline).expect("the record is readable");
        self.operations.push(Operation {
            hash,
            machine,
            node,
            incarnation: self.nodes[node].incarnation,
            outcomes: Vec::new(),
        });
        let operation = self.operations.len() - 1;
        self.schedule(
            delay,
            super::Occurrence::Operator(Occurrence::Begin(operation, action)),
        );
    }

    fn respond(&mut self, operation: usize, event: Event) {
        let latency = self.latency();
        self.schedule_end(latency, operation, event);
    }

    fn schedule_end(&mut self, delay: u64, operation: usize, event: Event) {
        let end = Occurrence::ActionEnded(operation, event);
        self.schedule(delay, super::Occurrence::Operator(end));
    }

    fn execute_action(&mut self, operation: usize, action: Action) {
        let delay = self.latency() + self.store.delay;
        match action {
            Action::Write {
                key,
                expected,
                value,
            } => self.send_write(operation, &key, expected, &value),
            Action::Read => self.schedule(
                delay,
                super::Occurrence::Operator(Occurrence::Read(operation)),
            ),
            Action::Record(hash) => {
                let is_reachable = self.is_served(self.operations[operation].node);
                let record = self.store.record(&hash).filter(|_| is_reachable);
                self.schedule_end(delay, operation, Event::Record(record.map(Box::new)));
            }
            Action::Wait(backoff) => {
                let backoff = u64::try_from(backoff.as_millis()).unwrap_or(u64::MAX);
                self.schedule_end(backoff, operation, Event::WaitEnded);
            }
            Action::Done(outcome) => self.on_done(operation, &outcome),
        }
    }

    fn send_write(&mut self, operation: usize, key: &str, expected: u64, value: &[u8]) {
        let write = |is_answered| {
            let key = key.to_owned();
            let value = value.to_vec();
            super::Occurrence::Operator(Occurrence::Write {
                operation,
                key,
                expected,
                value,
                is_answered,
            })
        };
        let delay = self.latency() + self.store.delay;
        if !self.is_served(self.operations[operation].node) {
            let result = match self.rng.random_bool(0.5) {
                true => WriteResult::NotRun,
                false => WriteResult::Lost,
            };
            return self.schedule_end(FAILURE_LATENCY_MS, operation, Event::Written(result));
        }
        let is_lost = self.store.is_lossy && self.rng.random_bool(0.5);
        if !is_lost && delay < RESPONSE_TIMEOUT_MS {
            return self.schedule(delay, write(true));
        }
        // Of the writes without a response, a third never arrive, a third arrive in time, and a
        // third arrive late.
        let arrival = match self.rng.random_range(0..3) {
            0 => None,
            1 => Some(delay),
            _ => Some(
                self.rng
                    .random_range(RESPONSE_TIMEOUT_MS..MAX_WRITE_DELAY_MS),
            ),
        };
        if let Some(arrival) = arrival {
            self.schedule(arrival, write(false));
        }
        self.schedule_end(
            RESPONSE_TIMEOUT_MS,
            operation,
            Event::Written(WriteResult::Lost),
        );
    }

    fn on_done(&mut self, operation: usize, outcome: &Outcome) {
        let deadline = self.instant() + RESOLVE_TIMEOUT;
        let is_in_chain = self.store.contains(&self.operations[operation].hash);
        let current = &mut self.operations[operation];
        let is_first = current.outcomes.is_empty();
        current.outcomes.push(outcome.clone());
        let violation = current.contradiction(is_in_chain);
        if *outcome == Outcome::Unknown && is_first {
            let action = current.machine.resolve(deadline);
            self.execute_action(operation, action);
        }
        self.violations.extend(violation);
        if *outcome == Outcome::Published {
            let current = &self.operations[operation];
            let (node, incarnation) = (current.node, current.incarnation);
            let event = adoption::Event::Published(current.machine.bundle().clone());
            self.deliver(node, incarnation, event);
        }
    }
}
