//! A scheduler with scripted engines: the test decides what they report and generate.
#![allow(dead_code, reason = "each test file uses another part")]

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use shallotroute_config::{
    object::{
        Backend, Fencing, Object, Order, Pool, Selection, Server, ServerState, Swap, Tail, Trainer,
    },
    set::Set,
};
use shallotroute_rollout::{
    configuration::Configuration,
    counters::Counters,
    delivery::{Refusal, Response},
    engine::Report,
    provenance::Chunk,
    receipt::Receipt,
    scheduler::{Action, Event, Pull, Scheduler, Start},
    step::{AttemptId, Key, Specification},
};
use shallotroute_types::{name::Name, node::Incarnation, revision::Revision, version::Version};

pub(crate) fn trainer(name: &str) -> Trainer {
    Trainer {
        name: name.into(),
        model: format!("model-{name}").into(),
        pool: "samplers".into(),
        scorer: None,
        staleness_bound: 1,
        idle_weight: 0.5,
        share: 1.0,
        order: Order::Fcfs,
        tail: Tail::None,
        swap: Swap::AllAtOnce,
    }
}

pub(crate) fn pool(engines: usize, slots: u32) -> Pool {
    let server = |index: usize| Server {
        name: format!("engine-{index}").into(),
        address: ([127, 0, 0, 1], 9000 + index as u16).into(),
        zone: "colombo".into(),
        slots,
        state: ServerState::Active,
    };
    Pool {
        name: "samplers".into(),
        backend: Backend::Engine,
        fencing: Some(Fencing::Checked),
        models: vec!["model-a".into(), "model-b".into()],
        selection: Selection::LeastLoaded,
        servers: (0..engines).map(server).collect(),
    }
}

pub(crate) fn configuration(pool: Pool, trainers: Vec<Trainer>) -> Arc<Configuration> {
    let name = pool.name.clone();
    let objects = trainers
        .into_iter()
        .map(Object::Trainer)
        .chain([Object::Pool(pool)]);
    let set = Set::new(objects);
    Arc::new(Configuration::new(&set, Revision(7), &name).expect("the pool should exist"))
}

pub(crate) fn specification(groups: usize, group_size: u32) -> Arc<Specification> {
    Arc::new(Specification {
        prompts: (0..groups)
            .map(|group| format!("prompt {group}").into())
            .collect(),
        group_size,
        max_tokens: 100,
    })
}

pub(crate) fn key(trainer: &str, step: u64) -> Key {
    Key {
        trainer: trainer.into(),
        step,
    }
}

/// A scheduler with the attempts, polls and responses that its actions have started.
pub(crate) struct Harness {
    pub(crate) scheduler: Scheduler,
    pub(crate) now: Instant,
    pub(crate) running: BTreeMap<AttemptId, Start>,
    pub(crate) cancelled: Vec<AttemptId>,
    pub(crate) polls: Vec<(Name, u64)>,
    pub(crate) responses: BTreeMap<u64, Result<Response, Refusal>>,
    pub(crate) started: usize,
    pulls: u64,
}

impl Harness {
    pub(crate) fn new(configuration: Arc<Configuration>) -> Self {
        let now = Instant::now();
        let scheduler = Scheduler::new(now, configuration, "node-1".into(), Incarnation(1), 1);
        let mut harness = Self {
            scheduler,
            now,
            running: BTreeMap::new(),
            cancelled: Vec::new(),
            polls: Vec::new(),
            responses: BTreeMap::new(),
            started: 0,
            pulls: 0,
        };
        harness.event(Event::Tick);
        harness
    }

    pub(crate) fn event(&mut self, event: Event) {
        for action in self.scheduler.handle(self.now, event) {
            match action {
                Action::Start(start) => {
                    self.started += 1;
                    self.running.insert(start.attempt, *start);
                }
                Action::Cancel(attempt) => {
                    self.running.remove(&attempt);
                    self.cancelled.push(attempt);
                }
                Action::Respond(number, response) => drop(self.responses.insert(number, response)),
                Action::Poll { server, number, .. } => self.polls.push((server, number)),
                Action::Score(_) => {}
            }
        }
    }

    /// Answers all polls with `version` of both models.
    pub(crate) fn report(&mut self, version: u64) {
        for (server, number) in std::mem::take(&mut self.polls) {
            let report = loaded(version);
            self.event(Event::Polled(server, number, Some(report)));
        }
    }

    /// Advances the time by poll intervals and answers the polls with `version`.
    pub(crate) fn pass(&mut self, time: Duration, version: u64) {
        let end = self.now + time;
        while self.now < end {
            self.now += Duration::from_millis(250);
            self.event(Event::Tick);
            self.report(version);
        }
    }

    pub(crate) fn tokens(&mut self, attempt: AttemptId, start: u32, count: u32, version: u64) {
        let identity = self.running[&attempt].identity.clone();
        let text = format!("[{attempt}:{start}]");
        let chunk = Chunk {
            start,
            count,
            text,
            version: Version(version),
        };
        self.event(Event::Tokens(attempt, identity, chunk));
    }

    pub(crate) fn end(&mut self, attempt: AttemptId, tokens: u32) {
        let Some(start) = self.running.remove(&attempt) else {
            return;
        };
        self.event(Event::AttemptEnded(attempt, start.identity, tokens));
    }

    /// Completes all attempts with ten tokens of `version` until none runs.
    pub(crate) fn finish(&mut self, version: u64) {
        while let Some(attempt) = self.running.keys().next().copied() {
            self.tokens(attempt, 0, 10, version);
            self.end(attempt, 10);
        }
    }

    /// Opens a pull and returns its number.
    pub(crate) fn pull(&mut self, key: &Key, groups: &[u32], version: u64) -> u64 {
        self.pulls += 1;
        let mut receipt = Receipt::default();
        groups.iter().for_each(|group| receipt.insert(*group));
        self.event(Event::Pulled(Pull {
            number: self.pulls,
            key: key.clone(),
            receipt,
            version: Version(version),
            max_groups: 100,
            opened_at: self.now,
            deadline: self.now + Duration::from_secs(10),
        }));
        self.pulls
    }

    /// Returns the counts of trainer `a`.
    pub(crate) fn counters(&mut self) -> Counters {
        self.scheduler
            .take_counters()
            .for_trainer(&"a".into())
            .clone()
    }

    /// Returns the groups in the response to a pull, or `None` without a successful response.
    pub(crate) fn groups(&self, pull: u64) -> Option<Vec<u32>> {
        let response = self.responses.get(&pull)?.as_ref().ok()?;
        Some(response.groups.iter().map(|group| group.group).collect())
    }
}

pub(crate) fn loaded(version: u64) -> Report {
    let models = ["model-a", "model-b"].map(|model| (model.into(), Version(version)));
    Report {
        incarnation: 1,
        models: models.into_iter().collect(),
        slots: 8,
        ..Report::default()
    }
}
