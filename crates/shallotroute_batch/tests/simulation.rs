//! Simulation of a job over several owners that pause, die and restart, servers that interrupt streams,
//! and a store whose writes are rejected, applied without a response, or applied late. An oracle that
//! knows each item's complete output checks the results that readers see. Histories are random by seed.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::{Duration, Instant},
};

use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use shallotroute_batch::{
    job::{Action, Choice, Event, GenerationEnd, Job, Limits, Preference, ScoringEnd},
    record::{Checkpoint, Chunk, Item, ItemResult, Outcome, Scorer, Specification},
};
use shallotroute_types::{name::Name, version::Version};

const ITEMS: usize = 12;
const OWNERS: usize = 3;
const MIN_VERSION: u64 = 5;

/// The records of the job in the store.
#[derive(Default)]
struct Store {
    revision: u64,
    /// The claim of the current owner: the revision at which it wrote the head.
    head: u64,
    chunks: BTreeMap<u32, Chunk>,
    /// Writes that will be applied later, with the claims they are conditional on.
    late: Vec<(u64, Chunk)>,
}

impl Store {
    /// Writes a chunk on condition that the head is the claim and the position is free. Fails with the
    /// chunk at that position, if there is one.
    fn write(&mut self, claim: u64, chunk: &Chunk) -> std::result::Result<(), Option<Chunk>> {
        let present = self.chunks.get(&chunk.start).cloned();
        if self.head != claim || present.is_some() {
            return Err(present);
        }
        self.revision += 1;
        self.chunks.insert(chunk.start, chunk.clone());
        Ok(())
    }

    fn claim(&mut self) -> u64 {
        self.revision += 1;
        self.head = self.revision;
        self.head
    }

    fn results(&self) -> Vec<ItemResult> {
        let chunks = self.chunks.values();
        chunks.flat_map(|chunk| chunk.results.clone()).collect()
    }
}

/// An attempt to generate at a server.
struct Stream {
    item: usize,
    /// The number of the next event.
    next: u64,
    version: u64,
}

/// An owner's process.
struct Owner {
    job: Job,
    /// The revision of the head that this owner has written.
    claim: u64,
    /// The attempts to generate, by attempt number.
    streams: BTreeMap<u64, Stream>,
    /// The items of the attempts to score, by attempt number.
    scoring: BTreeMap<u64, usize>,
    /// A write without a response; it is repeated unchanged.
    unanswered: Option<Chunk>,
    is_paused: bool,
}

struct Simulation {
    random: ChaCha8Rng,
    store: Store,
    owners: Vec<Option<Owner>>,
    /// The checkpoints that a dead owner had replicated.
    replicated: Vec<Checkpoint>,
    specification: Arc<Specification>,
    now: Instant,
    start: Instant,
    /// The results that readers have seen, by position.
    seen: Vec<ItemResult>,
    /// The versions that generated each event, by item and event, over all attempts.
    generated: BTreeMap<(usize, u64), BTreeSet<u64>>,
    /// The number of failed attempts, by item.
    failures: BTreeMap<usize, usize>,
}

fn event_count(item: usize) -> u64 {
    1 + (item as u64 * 7) % 23
}

fn data(item: usize, number: u64) -> String {
    format!("item {item} event {number}")
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let items = (0..ITEMS)
            .map(|index| Item {
                id: format!("item-{index}").into(),
                group: format!("group-{}", index / 3).into(),
                path: "/run".to_owned(),
                headers: Vec::new(),
                body: Vec::new(),
                expected_tokens: None,
                scorer: Some(Scorer {
                    id: format!("reward-{index}").into(),
                    host: "desk.example".to_owned(),
                    path: "/rate".to_owned(),
                    body: Vec::new(),
                }),
            })
            .collect();
        let specification = Arc::new(Specification {
            host: "llm.example".to_owned(),
            path: "/jobs/1".to_owned(),
            model: "m".into(),
            min_version: Version(MIN_VERSION),
            wanted_groups: 4,
            items,
            workspace: None,
        });
        let now = Instant::now();
        let mut simulation = Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            store: Store::default(),
            owners: (0..OWNERS).map(|_| None).collect(),
            replicated: Vec::new(),
            specification,
            now,
            start: now,
            seen: Vec::new(),
            generated: BTreeMap::new(),
            failures: BTreeMap::new(),
        };
        simulation.take_over(0);
        simulation
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.random.random_range(0..100) < percent
    }

    fn limits() -> Limits {
        Limits {
            max_generating: 5,
            max_scoring: 4,
            max_attempts: 3,
            max_scoring_attempts: 3,
            stall_timeout: Duration::from_millis(400),
            slow_servers: vec!["server-1".into()],
            leaving_servers: BTreeMap::new(),
            free_slots: BTreeMap::from([("v1".into(), 1)]),
            event_interval: None,
            requires_single_version: false,
            scoring_room: usize::MAX,
            random: 0.5,
        }
    }

    fn take_over(&mut self, node: usize) {
        let claim = self.store.claim();
        let abandon_at = self.start + Duration::from_secs(3600);
        let mut job = Job::new(
            Arc::clone(&self.specification),
            self.store.results(),
            abandon_at,
        );
        job.restore(std::mem::take(&mut self.replicated), self.now);
        self.owners[node] = Some(Owner {
            job,
            claim,
            streams: BTreeMap::new(),
            scoring: BTreeMap::new(),
            unanswered: None,
            is_paused: false,
        });
    }

    /// Runs one step of an owner, with random faults of its servers.
    fn step_owner(&mut self, node: usize) {
        let Some(mut owner) = self.owners[node].take() else {
            return;
        };
        if !owner.is_paused {
            self.run_servers(&mut owner);
            self.run_scoring(&mut owner);
            let mut picks = Vec::new();
            for _ in 0..OWNERS * ITEMS {
                picks.push(self.random.random_range(0..4));
            }
            let mut choose = |_: &Preference<'_>| {
                let pick = picks.pop()?;
                (pick > 0).then(|| Choice {
                    server: Name::from(format!("server-{pick}")),
                    software: "v1".into(),
                })
            };
            let actions = owner.job.advance(&Self::limits(), self.now, &mut choose);
            self.perform(&mut owner, actions);
            self.write(&mut owner);
        }
        self.owners[node] = Some(owner);
    }

    fn perform(&mut self, owner: &mut Owner, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Generate {
                    attempt,
                    item,
                    resume_after,
                    ..
                } => {
                    let version = self.random.random_range(MIN_VERSION - 1..MIN_VERSION + 4);
                    let stream = Stream {
                        item,
                        next: resume_after + 1,
                        version,
                    };
                    owner.streams.insert(attempt, stream);
                }
                Action::RequestScore { attempt, item } => {
                    owner.scoring.insert(attempt, item);
                }
                // A cancelled attempt may still deliver late events.
                Action::Cancel { attempt } => {
                    if !self.chance(30) {
                        owner.streams.remove(&attempt);
                        owner.scoring.remove(&attempt);
                    }
                }
                Action::ReportDiscard(discard) => panic!("{discard:?} with one software version"),
            }
        }
    }

    fn run_servers(&mut self, owner: &mut Owner) {
        let attempts: Vec<u64> = owner.streams.keys().copied().collect();
        for attempt in attempts {
            let roll = self.random.random_range(0..100);
            let Some(stream) = owner.streams.get_mut(&attempt) else {
                continue;
            };
            let item = stream.item;
            let generation_end = match roll {
                0..60 if stream.next <= event_count(item) => None,
                60..64 => {
                    stream.version += 1;
                    continue;
                }
                64..76 => continue,
                // The server skips an event. A skip after the last event would go unnoticed: a stream
                // has no other end than that of its connection's framing.
                76..80 if stream.next < event_count(item) => {
                    stream.next += 1;
                    continue;
                }
                80..86 => Some(GenerationEnd::Interrupted),
                86..90 => Some(GenerationEnd::Rejected),
                90..92 => Some(GenerationEnd::Failed),
                _ if stream.next == event_count(item) + 1 => Some(GenerationEnd::Complete),
                _ => continue,
            };
            let event = match generation_end {
                None => {
                    let event = Event::Generated {
                        number: stream.next,
                        data: data(item, stream.next),
                        version: Version(stream.version),
                    };
                    let versions = self.generated.entry((item, stream.next)).or_default();
                    versions.insert(stream.version);
                    stream.next += 1;
                    event
                }
                Some(generation_end) => {
                    owner.streams.remove(&attempt);
                    let is_active = owner.job.active_attempts().contains(&attempt);
                    if generation_end == GenerationEnd::Failed && is_active {
                        *self.failures.entry(item).or_default() += 1;
                    }
                    Event::GenerationEnded(generation_end)
                }
            };
            let actions = owner
                .job
                .handle_event(attempt, event, &Self::limits(), self.now);
            self.perform(owner, actions);
        }
    }

    fn run_scoring(&mut self, owner: &mut Owner) {
        let scoring: Vec<(u64, usize)> = owner.scoring.iter().map(|(a, b)| (*a, *b)).collect();
        for (attempt, item) in scoring {
            let scoring_end = match self.random.random_range(0..10) {
                0..5 => ScoringEnd::Score(format!("score {item}")),
                5 => {
                    *self.failures.entry(item).or_default() += 1;
                    ScoringEnd::Failed
                }
                6 => ScoringEnd::NoResponse,
                _ => continue,
            };
            owner.scoring.remove(&attempt);
            owner.job.handle_event(
                attempt,
                Event::ScoringEnded(scoring_end),
                &Self::limits(),
                self.now,
            );
        }
    }

    fn write(&mut self, owner: &mut Owner) {
        let chunk = owner
            .unanswered
            .take()
            .or_else(|| owner.job.next_chunk(self.now));
        let Some(chunk) = chunk else {
            return;
        };
        match self.random.random_range(0..10) {
            // Rejected: the write was not applied.
            0..2 => owner.unanswered = Some(chunk),
            // The response is lost; the write was applied.
            2 => {
                let _ = self.store.write(owner.claim, &chunk);
                owner.unanswered = Some(chunk);
            }
            // The response is lost; the write is applied later if its condition still holds.
            3 => {
                self.store.late.push((owner.claim, chunk.clone()));
                owner.unanswered = Some(chunk);
            }
            _ => match self.store.write(owner.claim, &chunk) {
                Ok(()) => owner.job.commit_chunk(),
                Err(Some(present)) if present == chunk => owner.job.commit_chunk(),
                // Another process owns the job.
                Err(_) => {
                    owner.job.stop();
                    owner.is_paused = true;
                }
            },
        }
    }

    fn inject_faults(&mut self) {
        if self.chance(30) && !self.store.late.is_empty() {
            let (claim, chunk) = self.store.late.remove(0);
            let _ = self.store.write(claim, &chunk);
        }
        if self.chance(3) {
            let node = self.random.random_range(0..OWNERS);
            if let Some(owner) = &mut self.owners[node] {
                owner.is_paused = !owner.is_paused;
            }
        }
        if self.chance(2) {
            let node = self.random.random_range(0..OWNERS);
            if let Some(owner) = self.owners[node].take()
                && self.chance(50)
            {
                let include_results = self.random.random_bool(0.5);
                self.replicated
                    .extend(owner.job.checkpoints(&mut BTreeMap::new(), include_results));
            }
        }
        if self.chance(2) {
            let node = self.random.random_range(0..OWNERS);
            self.take_over(node);
        }
    }

    /// Reads the results as a trainer does, and compares them with those that it has seen before.
    fn read(&mut self) -> std::result::Result<(), String> {
        let results = self.store.results();
        for (position, item_result) in self.seen.iter().enumerate() {
            if results.get(position) != Some(item_result) {
                return Err(format!("position {position} changed"));
            }
        }
        for item_result in &results[self.seen.len()..] {
            self.check(item_result)?;
        }
        self.seen = results;
        let items: BTreeSet<u32> = self
            .seen
            .iter()
            .map(|item_result| item_result.item)
            .collect();
        match items.len() == self.seen.len() {
            true => Ok(()),
            false => Err("an item has two results".to_owned()),
        }
    }

    fn check(&self, item_result: &ItemResult) -> std::result::Result<(), String> {
        let item = item_result.item as usize;
        let Outcome::Completed(sample) = &item_result.outcome else {
            let failures = self.failures.get(&item).copied().unwrap_or(0);
            return match failures >= 3 {
                true => Ok(()),
                false => Err(format!("item {item} abandoned after {failures} failures")),
            };
        };
        let expected: Vec<String> = (1..=event_count(item))
            .map(|number| data(item, number))
            .collect();
        if sample.output != expected.join("\n") {
            return Err(format!("output of item {item} is `{}`", sample.output));
        }
        if sample.score.as_deref() != Some(&*format!("score {item}")) {
            return Err(format!("score of item {item} is {:?}", sample.score));
        }
        let known_versions: BTreeSet<u64> = (1..=event_count(item))
            .filter_map(|number| self.generated.get(&(item, number)))
            .flatten()
            .copied()
            .collect();
        let named = sample.versions.iter().map(|version| version.0);
        let mut wrong =
            named.filter(|version| *version < MIN_VERSION || !known_versions.contains(version));
        match wrong.next() {
            None => Ok(()),
            Some(version) => Err(format!("item {item} names version {version}")),
        }
    }

    fn step(&mut self) -> std::result::Result<(), String> {
        self.now += Duration::from_millis(self.random.random_range(5..60));
        for node in 0..OWNERS {
            self.step_owner(node);
        }
        self.inject_faults();
        self.read()
    }
}

fn simulate(seed: u64) -> std::result::Result<usize, String> {
    let mut simulation = Simulation::new(seed);
    for step in 0..1500 {
        simulation
            .step()
            .map_err(|error| format!("seed {seed}, step {step}: {error}"))?;
        if simulation.seen.len() == ITEMS {
            break;
        }
    }
    // After any history an owner without faults finishes the job.
    simulation.owners = (0..OWNERS).map(|_| None).collect();
    simulation.take_over(0);
    for step in 0..4000 {
        if simulation.seen.len() == ITEMS {
            break;
        }
        simulation.now += Duration::from_millis(50);
        simulation.step_owner(0);
        simulation
            .read()
            .map_err(|error| format!("seed {seed}, last step {step}: {error}"))?;
    }
    Ok(simulation.seen.len())
}

/// Guards against a lost, duplicated, corrupted or moved result after any sequence of faults.
#[gtest]
fn readers_see_each_item_once_and_complete() {
    for seed in 0..300 {
        expect_that!(simulate(seed), ok(eq(&ITEMS)), "seed {seed}");
    }
}
