//! Simulates two schedulers that may run at the same time, engines, a scorer and two trainers, with
//! faults. The trainers check provenance, staleness and delivery in every response that they
//! receive.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::{Duration, Instant},
};

use shallotroute_config::object::Tail;
use shallotroute_rollout::{
    configuration::Configuration,
    delivery::{Refusal, Response, Sample},
    engine::Report,
    provenance::Chunk,
    receipt::Receipt,
    scheduler::{Action, Event, Pull, Scheduler, Score, Start},
    step::{AttemptId, Key},
};
use shallotroute_types::{
    name::Name, node::Incarnation, outcome::Outcome, sample::Identity, version::Version,
};

use crate::support::{configuration, key, pool, specification, trainer};

const GROUPS: u32 = 3;
const GROUP_SIZE: u32 = 2;
const ENGINES: usize = 3;
const BOUND: u64 = 1;

/// The origin of an action: a node and its incarnation.
type Source = (usize, u64);

struct Node {
    scheduler: Scheduler,
    incarnation: u64,
}

struct Engine {
    /// The version that generates tokens, and whether it is completely loaded, by model.
    models: BTreeMap<Name, (u64, bool)>,
    swapping: Option<(Name, u64)>,
    incarnation: u64,
}

struct Stream {
    start: Start,
    emitted: u32,
    length: u32,
}

#[derive(Clone, Default)]
struct Progress {
    version: u64,
    step: u64,
    receipt: BTreeSet<u32>,
}

struct Trainer {
    name: Name,
    progress: Progress,
    checkpoint: Progress,
    open_pull: Option<(Source, u64)>,
}

pub(crate) struct Simulation {
    now: Instant,
    configuration: Arc<Configuration>,
    nodes: Vec<Node>,
    owner: usize,
    engines: Vec<Engine>,
    streams: BTreeMap<(Source, AttemptId), Stream>,
    polls: Vec<(Source, Name, u64)>,
    scores: Vec<(Source, Score)>,
    emitted_events: Vec<(Source, Event)>,
    trainers: Vec<Trainer>,
    /// The sample of each attempt and the versions that generated its tokens, by the attempt's
    /// identity.
    ground_truth: BTreeMap<String, (Identity, Vec<u64>)>,
    pulls: u64,
    lose_responses: bool,
}

impl Simulation {
    pub(crate) fn new() -> Self {
        let mut objects = vec![trainer("a"), trainer("b")];
        objects[0].scorer = Some("rewards".into());
        for object in &mut objects {
            object.staleness_bound = BOUND;
            object.tail = Tail::Hedge;
        }
        let configuration = configuration(pool(ENGINES, 3), objects);
        let now = Instant::now();
        let engine = || Engine {
            models: ["model-a", "model-b"]
                .map(|model| (model.into(), (0, true)))
                .into(),
            swapping: None,
            incarnation: 1,
        };
        let trainer = |name: &str| Trainer {
            name: name.into(),
            progress: Progress::default(),
            checkpoint: Progress::default(),
            open_pull: None,
        };
        let mut simulation = Self {
            now,
            nodes: (0..2)
                .map(|index| node(now, &configuration, index, 1))
                .collect(),
            configuration,
            owner: 0,
            engines: (0..ENGINES).map(|_| engine()).collect(),
            streams: BTreeMap::new(),
            polls: Vec::new(),
            scores: Vec::new(),
            emitted_events: Vec::new(),
            trainers: ["a", "b"].map(trainer).into(),
            ground_truth: BTreeMap::new(),
            pulls: 0,
            lose_responses: false,
        };
        simulation.pass_time(250);
        simulation
    }

    fn source(&self, node: usize) -> Source {
        (node, self.nodes[node].incarnation)
    }

    /// Passes an event to a node unless it has restarted since `source`.
    fn send(&mut self, source: Source, event: Event) {
        if self.source(source.0) != source {
            return;
        }
        for action in self.nodes[source.0].scheduler.handle(self.now, event) {
            self.perform(source, action);
        }
    }

    fn perform(&mut self, source: Source, action: Action) {
        match action {
            Action::Start(start) => {
                let previous = self
                    .ground_truth
                    .insert(start.identity.clone(), (start.sample.clone(), vec![]));
                assert!(
                    previous.is_none(),
                    "the identity {} was used before",
                    start.identity
                );
                // Lengths differ by a factor of up to 40, so that some samples straggle.
                let length = 1 + (start.attempt.0 as u32 * 7919) % 40;
                let stream = Stream {
                    start: *start,
                    emitted: 0,
                    length,
                };
                self.streams.insert((source, stream.start.attempt), stream);
            }
            Action::Cancel(attempt) => drop(self.streams.remove(&(source, attempt))),
            Action::Poll { server, number, .. } => self.polls.push((source, server, number)),
            Action::Score(score) => self.scores.push((source, *score)),
            Action::Respond(number, response) => self.handle_response(source, number, response),
        }
    }

    /// Advances the time, ticks the schedulers and answers their polls.
    pub(crate) fn pass_time(&mut self, milliseconds: u64) {
        self.now += Duration::from_millis(milliseconds);
        for node in 0..self.nodes.len() {
            self.send(self.source(node), Event::Tick);
        }
        self.answer_polls(true);
    }

    pub(crate) fn answer_polls(&mut self, success: bool) {
        for (source, server, number) in std::mem::take(&mut self.polls) {
            let index = index_of(&server);
            let engine = &self.engines[index];
            let loaded = engine
                .models
                .iter()
                .filter(|(_, (_, is_loaded))| *is_loaded);
            let load = self
                .streams
                .values()
                .filter(|stream| stream.start.server == server);
            let report = Report {
                incarnation: engine.incarnation,
                models: loaded
                    .map(|(model, (version, _))| (model.clone(), Version(*version)))
                    .collect(),
                swapping: engine.swapping.as_ref().map(|(model, _)| model.clone()),
                load: load.count() as u32,
                slots: 3,
                is_leaving: false,
            };
            self.send(
                source,
                Event::Polled(server, number, success.then_some(report)),
            );
        }
    }

    pub(crate) fn answer_scores(&mut self, success: bool) {
        for (source, score) in std::mem::take(&mut self.scores) {
            let value = success.then_some(score.text.len() as f64);
            let event = Event::Scored(score.key, score.position, score.attempt, value);
            self.send(source, event);
        }
    }

    fn streams_on(&self, engine: usize) -> Vec<(Source, AttemptId)> {
        let streams = self.streams.iter();
        let on_engine = streams.filter(|(_, stream)| index_of(&stream.start.server) == engine);
        on_engine.map(|(key, _)| *key).collect()
    }

    /// Generates up to `count` tokens for each stream of an engine. With `lost` they never arrive.
    pub(crate) fn generate_tokens(&mut self, engine: usize, count: u32, lost: bool) {
        for key in self.streams_on(engine) {
            let Some(stream) = self.streams.get_mut(&key) else {
                continue;
            };
            let identity = stream.start.identity.clone();
            let version = self.engines[engine].models[&stream.start.model].0;
            let start = stream.emitted;
            let count = count.min(stream.length - start);
            stream.emitted += count;
            let ended = stream.emitted == stream.length;
            let tokens = stream.length;
            let text = (start..start + count)
                .map(|index| format!("{identity}#{index};"))
                .collect();
            let ground_truth = &mut self
                .ground_truth
                .get_mut(&identity)
                .expect("the attempt was started")
                .1;
            ground_truth.extend(std::iter::repeat_n(version, count as usize));
            let chunk = Chunk {
                start,
                count,
                text,
                version: Version(version),
            };
            let event = Event::Tokens(key.1, identity.clone(), chunk);
            self.emitted_events.push((key.0, event.clone()));
            if !lost {
                self.send(key.0, event);
            }
            if ended {
                self.streams.remove(&key);
                self.send(key.0, Event::AttemptEnded(key.1, identity, tokens));
            }
        }
    }

    /// Breaks the streams of an engine. With `with_end_marker` the schedulers receive an early end
    /// marker, as from a faulty engine, and otherwise a failure.
    pub(crate) fn cut_streams(&mut self, engine: usize, with_end_marker: bool) {
        for key in self.streams_on(engine) {
            let Some(stream) = self.streams.remove(&key) else {
                continue;
            };
            let event = match with_end_marker {
                true => Event::AttemptEnded(key.1, stream.start.identity, stream.length),
                false => Event::AttemptFailed(key.1, Outcome::Unknown),
            };
            self.send(key.0, event);
        }
    }

    pub(crate) fn crash_engine(&mut self, engine: usize) {
        let broken = &mut self.engines[engine];
        broken.incarnation += 1;
        broken.swapping = None;
        broken
            .models
            .values_mut()
            .for_each(|model| *model = (0, true));
        self.cut_streams(engine, false);
    }

    /// Starts to load a trainer's version into an engine. The owner is notified unless another node
    /// holds the lease.
    pub(crate) fn begin_swap(&mut self, engine: usize, trainer: usize, is_owner_notified: bool) {
        if self.engines[engine].swapping.is_some() {
            return;
        }
        let model = self.model(trainer);
        let version = self.trainers[trainer].progress.version;
        self.engines[engine].swapping = Some((model.clone(), version));
        if let Some(entry) = self.engines[engine].models.get_mut(&model) {
            entry.1 = false;
        }
        if is_owner_notified {
            let event = Event::LoadStarted(name_of(engine), model);
            self.send(self.source(self.owner), event);
        }
    }

    /// Ends the load. After a failure, tokens come from the new weights if `new`, else from the
    /// old.
    pub(crate) fn end_swap(&mut self, engine: usize, success: bool, new: bool) {
        let Some((model, version)) = self.engines[engine].swapping.take() else {
            return;
        };
        if let Some(entry) = self.engines[engine].models.get_mut(&model) {
            entry.1 = success;
            if success || new {
                entry.0 = version;
            }
        }
        self.send(self.source(self.owner), Event::LoadEnded(name_of(engine)));
    }

    /// Passes an earlier token event to its scheduler again, and to the stream of another attempt.
    pub(crate) fn replay_tokens(&mut self, pick: usize, into: usize) {
        if self.emitted_events.is_empty() {
            return;
        }
        let (source, event) = self.emitted_events[pick % self.emitted_events.len()].clone();
        self.send(source, event.clone());
        let streams: Vec<_> = self.streams.keys().copied().collect();
        if let (Some(key), Event::Tokens(attempt, identity, chunk)) =
            (streams.get(into % streams.len().max(1)), event)
            && (source, attempt) != *key
        {
            self.send(key.0, Event::Tokens(key.1, identity, chunk));
        }
    }

    pub(crate) fn crash_node(&mut self, node: usize) {
        let incarnation = self.nodes[node].incarnation + 1;
        self.nodes[node] = self::node(self.now, &self.configuration, node, incarnation);
        self.streams.retain(|(source, _), _| source.0 != node);
        for trainer in &mut self.trainers {
            trainer.open_pull.take_if(|(source, _)| source.0 == node);
        }
    }

    /// Makes the other node the owner. The former one continues to run, as in a network partition.
    pub(crate) fn change_owner(&mut self) {
        self.owner = 1 - self.owner;
    }

    pub(crate) fn lose_responses(&mut self, lose: bool) {
        self.lose_responses = lose;
    }

    /// Moves a trainer to its next version and announces it, unless the announcement is lost.
    pub(crate) fn announce_next_version(&mut self, index: usize, lost: bool) {
        let trainer = &mut self.trainers[index];
        trainer.progress.version += 1;
        let (name, version) = (trainer.name.clone(), Version(trainer.progress.version));
        // The trainer abandons a pull at a node that does not receive the announcement.
        if lost
            || trainer
                .open_pull
                .is_some_and(|(source, _)| source.0 != self.owner)
        {
            trainer.open_pull = None;
        }
        if !lost {
            self.send(self.source(self.owner), Event::Announced(name, version));
        }
    }

    pub(crate) fn save_checkpoint(&mut self, index: usize) {
        self.trainers[index].checkpoint = self.trainers[index].progress.clone();
    }

    pub(crate) fn restart_trainer(&mut self, index: usize) {
        self.trainers[index].progress = self.trainers[index].checkpoint.clone();
        self.trainers[index].open_pull = None;
    }

    /// Opens a trainer's pull at the owner, or at the other node as with an outdated view.
    pub(crate) fn send_pull(&mut self, index: usize, is_at_owner: bool) {
        let node = if is_at_owner {
            self.owner
        } else {
            1 - self.owner
        };
        let source = self.source(node);
        let step = self.key(index);
        // Trainers submit the step after the current one in advance.
        for ahead in 0..2 {
            let key = Key {
                step: step.step + ahead,
                ..step.clone()
            };
            let body = specification(GROUPS as usize, GROUP_SIZE);
            if self.nodes[node].scheduler.admit(&key, &body).is_ok() {
                self.send(source, Event::Submitted(key, body));
            }
        }
        self.pulls += 1;
        let trainer = &mut self.trainers[index];
        trainer.open_pull = Some((source, self.pulls));
        let mut receipt = Receipt::default();
        trainer
            .progress
            .receipt
            .iter()
            .for_each(|group| receipt.insert(*group));
        let pull = Pull {
            number: self.pulls,
            key: step,
            receipt,
            version: Version(trainer.progress.version),
            max_groups: 2,
            opened_at: self.now,
            deadline: self.now + Duration::from_secs(2),
        };
        self.send(source, Event::Pulled(pull));
    }

    fn handle_response(
        &mut self,
        source: Source,
        number: u64,
        response: Result<Response, Refusal>,
    ) {
        let is_answered = |trainer: &Trainer| trainer.open_pull == Some((source, number));
        let Some(index) = self.trainers.iter().position(is_answered) else {
            return;
        };
        self.trainers[index].open_pull = None;
        let Ok(response) = response else { return };
        if self.lose_responses {
            return;
        }
        let key = self.key(index);
        for group in &response.groups {
            let indices = group.samples.iter().map(|sample| sample.index);
            assert!(
                indices.eq(0..GROUP_SIZE),
                "delivery: a group is delivered whole"
            );
            for sample in &group.samples {
                let identity = Identity {
                    trainer: key.trainer.clone(),
                    step: key.step,
                    group: group.group,
                    index: sample.index,
                };
                self.check_sample(&identity, sample, self.trainers[index].progress.version);
            }
            let is_new = self.trainers[index].progress.receipt.insert(group.group);
            assert!(
                is_new,
                "delivery: group {} of {key} was delivered twice",
                group.group
            );
        }
        let progress = &mut self.trainers[index].progress;
        let complete = progress.receipt.len() == GROUPS as usize;
        assert_eq!(
            response.complete, complete,
            "delivery: the response says whether the step is complete"
        );
        if complete {
            progress.step += 1;
            progress.receipt.clear();
        }
    }

    fn check_sample(&self, identity: &Identity, sample: &Sample, version: u64) {
        let first = sample.text.split('#').next().unwrap_or_default();
        let (expected, versions) = &self.ground_truth[first];
        assert_eq!(
            expected, identity,
            "provenance: the text is that of an attempt at the sample"
        );
        let text: String = (0..sample.tokens)
            .map(|index| format!("{first}#{index};"))
            .collect();
        assert_eq!(
            sample.text, text,
            "provenance: the text has all tokens of one attempt"
        );
        let spans = sample.spans.iter();
        let spans = spans.flat_map(|span| (span.start..span.end).map(|_| span.version.0));
        assert!(
            spans.eq(versions.iter().copied()),
            "provenance: the spans are those of {first}"
        );
        let oldest = versions.iter().min().expect("a sample has tokens");
        assert!(
            version.saturating_sub(*oldest) <= BOUND,
            "staleness: the trainer is at {version}, the oldest token at {oldest}"
        );
    }

    /// Runs without faults until each trainer has completed a step.
    ///
    /// # Panics
    ///
    /// Panics when a step does not complete.
    pub(crate) fn settle_without_faults(&mut self) {
        self.lose_responses = false;
        let steps: Vec<u64> = self
            .trainers
            .iter()
            .map(|trainer| trainer.progress.step)
            .collect();
        for _ in 0..400 {
            for index in 0..self.trainers.len() {
                for engine in 0..ENGINES {
                    self.end_swap(engine, true, true);
                    let loaded = self.engines[engine].models[&self.model(index)];
                    if loaded != (self.trainers[index].progress.version, true) {
                        self.begin_swap(engine, index, true);
                        self.end_swap(engine, true, true);
                    }
                }
                if self.trainers[index].open_pull.is_none() {
                    self.send_pull(index, true);
                }
            }
            self.pass_time(250);
            self.answer_scores(true);
            (0..ENGINES).for_each(|engine| self.generate_tokens(engine, 10, false));
            let done = self.trainers.iter().zip(&steps);
            if done
                .into_iter()
                .all(|(trainer, step)| trainer.progress.step > *step)
            {
                return;
            }
        }
        panic!(
            "a step did not complete: {:#}",
            self.nodes[self.owner].scheduler.dump(self.now)
        );
    }

    fn key(&self, index: usize) -> Key {
        key(
            &self.trainers[index].name,
            self.trainers[index].progress.step,
        )
    }

    fn model(&self, index: usize) -> Name {
        format!("model-{}", self.trainers[index].name).into()
    }
}

fn node(now: Instant, configuration: &Arc<Configuration>, index: usize, incarnation: u64) -> Node {
    let id = format!("node-{index}").into();
    let configuration = Arc::clone(configuration);
    Node {
        scheduler: Scheduler::new(
            now,
            configuration,
            id,
            Incarnation(incarnation),
            incarnation,
        ),
        incarnation,
    }
}

fn index_of(server: &str) -> usize {
    server
        .trim_start_matches("engine-")
        .parse()
        .expect("engines are numbered")
}

fn name_of(engine: usize) -> Name {
    format!("engine-{engine}").into()
}
