//! Random histories of jobs over several owners that pause, die and come back, servers that break off,
//! and a store whose writes are refused, lost after they took effect, or done late. An oracle that
//! knows each item's whole text checks what readers see.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::{Duration, Instant},
};

use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use shallotroute_batch::{
    record::{Chunk, Draft, Item, Listed, Outcome, Reward, Specification},
    run::{Action, Close, Event, Limits, Rating, Run, Wish},
};
use shallotroute_types::{name::Name, version::Version};

const ITEMS: usize = 12;
const OWNERS: usize = 3;
const OLDEST: u64 = 5;

/// The store's part of one job.
#[derive(Default)]
struct Store {
    revision: u64,
    head: u64,
    chunks: BTreeMap<u32, Chunk>,
    late: Vec<(u64, Chunk)>,
}

impl Store {
    /// Writes a chunk under the condition that the head is the claim and the position is free.
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

    fn results(&self) -> Vec<Listed> {
        let chunks = self.chunks.values();
        chunks.flat_map(|chunk| chunk.results.clone()).collect()
    }
}

/// A run at a server.
struct Stream {
    item: usize,
    next: u64,
    version: u64,
}

/// An owner's process.
struct Owner {
    run: Run,
    claim: u64,
    streams: BTreeMap<u64, Stream>,
    ratings: BTreeMap<u64, usize>,
    /// A write whose answer did not come; it is tried again as it was.
    unanswered: Option<Chunk>,
    paused: bool,
}

struct World {
    random: ChaCha8Rng,
    store: Store,
    owners: Vec<Option<Owner>>,
    /// What a dead owner had shared.
    spares: Vec<Draft>,
    specification: Arc<Specification>,
    now: Instant,
    start: Instant,
    /// What readers have seen, by position.
    seen: Vec<Listed>,
    /// The versions that generated each event, by item and event, over all runs.
    generated: BTreeMap<(usize, u64), BTreeSet<u64>>,
    failures: BTreeMap<usize, usize>,
}

fn length(item: usize) -> u64 {
    1 + (item as u64 * 7) % 23
}

fn data(item: usize, number: u64) -> String {
    format!("item {item} event {number}")
}

impl World {
    fn new(seed: u64) -> Self {
        let items = (0..ITEMS)
            .map(|index| Item {
                id: format!("item-{index}").into(),
                group: format!("group-{}", index / 3).into(),
                path: "/run".to_owned(),
                headers: Vec::new(),
                body: Vec::new(),
                expected_tokens: None,
                reward: Some(Reward {
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
            oldest: Version(OLDEST),
            wanted_groups: 4,
            items,
        });
        let now = Instant::now();
        let mut world = Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            store: Store::default(),
            owners: (0..OWNERS).map(|_| None).collect(),
            spares: Vec::new(),
            specification,
            now,
            start: now,
            seen: Vec::new(),
            generated: BTreeMap::new(),
            failures: BTreeMap::new(),
        };
        world.take_over(0);
        world
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.random.random_range(0..100) < percent
    }

    fn limits() -> Limits {
        Limits {
            concurrency: 5,
            ratings: 4,
            attempts: 3,
            rating_attempts: 3,
            stall: Duration::from_millis(400),
            slow: vec!["server-1".into()],
            spare: 1,
            single_version: false,
        }
    }

    fn take_over(&mut self, node: usize) {
        let claim = self.store.claim();
        let give_up_at = self.start + Duration::from_secs(3600);
        let mut run = Run::new(
            Arc::clone(&self.specification),
            self.store.results(),
            give_up_at,
        );
        run.restore(std::mem::take(&mut self.spares), self.now);
        self.owners[node] = Some(Owner {
            run,
            claim,
            streams: BTreeMap::new(),
            ratings: BTreeMap::new(),
            unanswered: None,
            paused: false,
        });
    }

    /// Lets one owner act, with faults of the servers.
    fn act(&mut self, node: usize) {
        let Some(mut owner) = self.owners[node].take() else {
            return;
        };
        if !owner.paused {
            self.serve(&mut owner);
            self.rate(&mut owner);
            let mut picks = Vec::new();
            for _ in 0..OWNERS * ITEMS {
                picks.push(self.random.random_range(0..4));
            }
            let mut choose = |_: &Wish<'_>| {
                let pick = picks.pop()?;
                (pick > 0).then(|| Name::from(format!("server-{pick}")))
            };
            let actions = owner.run.advance(&Self::limits(), self.now, &mut choose);
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
                    after,
                    ..
                } => {
                    let version = self.random.random_range(OLDEST - 1..OLDEST + 4);
                    let stream = Stream {
                        item,
                        next: after + 1,
                        version,
                    };
                    owner.streams.insert(attempt, stream);
                }
                Action::Rate { attempt, item } => {
                    owner.ratings.insert(attempt, item);
                }
                // What a cancelled run still sends is seen as late events.
                Action::Cancel { attempt } => {
                    if !self.chance(30) {
                        owner.streams.remove(&attempt);
                        owner.ratings.remove(&attempt);
                    }
                }
            }
        }
    }

    fn serve(&mut self, owner: &mut Owner) {
        let attempts: Vec<u64> = owner.streams.keys().copied().collect();
        for attempt in attempts {
            let fate = self.random.random_range(0..100);
            let Some(stream) = owner.streams.get_mut(&attempt) else {
                continue;
            };
            let item = stream.item;
            let close = match fate {
                0..60 if stream.next <= length(item) => None,
                60..64 => {
                    stream.version += 1;
                    continue;
                }
                64..76 => continue,
                // A server skips an event and goes on. After the last event nothing would show it: a
                // stream has no other end than that of its connection's framing.
                76..80 if stream.next < length(item) => {
                    stream.next += 1;
                    continue;
                }
                80..86 => Some(Close::Broken),
                86..90 => Some(Close::Refused),
                90..92 => Some(Close::Failed),
                _ if stream.next == length(item) + 1 => Some(Close::Whole),
                _ => continue,
            };
            let event = match close {
                None => {
                    let event = Event::Piece {
                        number: stream.next,
                        data: data(item, stream.next),
                        version: Version(stream.version),
                    };
                    let versions = self.generated.entry((item, stream.next)).or_default();
                    versions.insert(stream.version);
                    stream.next += 1;
                    event
                }
                Some(close) => {
                    owner.streams.remove(&attempt);
                    let runs = owner.run.attempts().contains(&attempt);
                    if close == Close::Failed && runs {
                        *self.failures.entry(item).or_default() += 1;
                    }
                    Event::Closed(close)
                }
            };
            let actions = owner.run.handle(attempt, event, &Self::limits(), self.now);
            self.perform(owner, actions);
        }
    }

    fn rate(&mut self, owner: &mut Owner) {
        let ratings: Vec<(u64, usize)> = owner.ratings.iter().map(|(a, b)| (*a, *b)).collect();
        for (attempt, item) in ratings {
            let rating = match self.random.random_range(0..10) {
                0..5 => Rating::Score(format!("score {item}")),
                5 => {
                    *self.failures.entry(item).or_default() += 1;
                    Rating::Failed
                }
                6 => Rating::Lost,
                _ => continue,
            };
            owner.ratings.remove(&attempt);
            owner
                .run
                .handle(attempt, Event::Rated(rating), &Self::limits(), self.now);
        }
    }

    fn write(&mut self, owner: &mut Owner) {
        let chunk = owner
            .unanswered
            .take()
            .or_else(|| owner.run.chunk(self.now));
        let Some(chunk) = chunk else {
            return;
        };
        match self.random.random_range(0..10) {
            // Refused: nothing was done.
            0..2 => owner.unanswered = Some(chunk),
            // Lost; done now.
            2 => {
                let _ = self.store.write(owner.claim, &chunk);
                owner.unanswered = Some(chunk);
            }
            // Lost; done later if the condition still holds.
            3 => {
                self.store.late.push((owner.claim, chunk.clone()));
                owner.unanswered = Some(chunk);
            }
            _ => match self.store.write(owner.claim, &chunk) {
                Ok(()) => owner.run.written(),
                Err(Some(present)) if present == chunk => owner.run.written(),
                // Another process owns the job.
                Err(_) => {
                    owner.run.end();
                    owner.paused = true;
                }
            },
        }
    }

    fn disturb(&mut self) {
        if self.chance(30) && !self.store.late.is_empty() {
            let (claim, chunk) = self.store.late.remove(0);
            let _ = self.store.write(claim, &chunk);
        }
        if self.chance(3) {
            let node = self.random.random_range(0..OWNERS);
            if let Some(owner) = &mut self.owners[node] {
                owner.paused = !owner.paused;
            }
        }
        if self.chance(2) {
            let node = self.random.random_range(0..OWNERS);
            if let Some(owner) = self.owners[node].take()
                && self.chance(50)
            {
                let results = self.random.random_bool(0.5);
                self.spares
                    .extend(owner.run.drafts(&mut BTreeMap::new(), results));
            }
        }
        if self.chance(2) {
            let node = self.random.random_range(0..OWNERS);
            self.take_over(node);
        }
    }

    /// Reads the job as a trainer does, and compares it with what the trainer has seen.
    fn read(&mut self) -> std::result::Result<(), String> {
        let results = self.store.results();
        for (position, listed) in self.seen.iter().enumerate() {
            if results.get(position) != Some(listed) {
                return Err(format!("position {position} changed"));
            }
        }
        for listed in &results[self.seen.len()..] {
            self.check(listed)?;
        }
        self.seen = results;
        let items: BTreeSet<u32> = self.seen.iter().map(|listed| listed.item).collect();
        match items.len() == self.seen.len() {
            true => Ok(()),
            false => Err("an item stands twice".to_owned()),
        }
    }

    fn check(&self, listed: &Listed) -> std::result::Result<(), String> {
        let item = listed.item as usize;
        let Outcome::Completed(sample) = &listed.outcome else {
            let failures = self.failures.get(&item).copied().unwrap_or(0);
            return match failures >= 3 {
                true => Ok(()),
                false => Err(format!("item {item} abandoned after {failures} failures")),
            };
        };
        let whole: Vec<String> = (1..=length(item))
            .map(|number| data(item, number))
            .collect();
        if sample.text != whole.join("\n") {
            return Err(format!("text of item {item} is `{}`", sample.text));
        }
        if sample.score.as_deref() != Some(&*format!("score {item}")) {
            return Err(format!("score of item {item} is {:?}", sample.score));
        }
        let made: BTreeSet<u64> = (1..=length(item))
            .filter_map(|number| self.generated.get(&(item, number)))
            .flatten()
            .copied()
            .collect();
        let claimed = sample.versions.iter().map(|version| version.0);
        let mut wrong = claimed.filter(|version| *version < OLDEST || !made.contains(version));
        match wrong.next() {
            None => Ok(()),
            Some(version) => Err(format!("item {item} names version {version}")),
        }
    }

    fn step(&mut self) -> std::result::Result<(), String> {
        self.now += Duration::from_millis(self.random.random_range(5..60));
        for node in 0..OWNERS {
            self.act(node);
        }
        self.disturb();
        self.read()
    }
}

fn play(seed: u64) -> std::result::Result<usize, String> {
    let mut world = World::new(seed);
    for step in 0..1500 {
        world
            .step()
            .map_err(|error| format!("seed {seed}, step {step}: {error}"))?;
        if world.seen.len() == ITEMS {
            break;
        }
    }
    // Whatever happened before, an owner without faults finishes the job.
    world.owners = (0..OWNERS).map(|_| None).collect();
    world.take_over(0);
    for step in 0..4000 {
        if world.seen.len() == ITEMS {
            break;
        }
        world.now += Duration::from_millis(50);
        world.act(0);
        world
            .read()
            .map_err(|error| format!("seed {seed}, last step {step}: {error}"))?;
    }
    Ok(world.seen.len())
}

/// Guards against a lost, doubled, mixed or moved result, whatever fails.
#[gtest]
fn readers_see_each_item_once_and_whole() {
    for seed in 0..300 {
        expect_that!(play(seed), ok(eq(&ITEMS)), "seed {seed}");
    }
}
