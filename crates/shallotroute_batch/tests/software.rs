//! Replays of a job in virtual time on servers of two software versions, with crashes, drains, restarts
//! under the same identity, broken streams, slow servers and changes of the job's owner. Histories are
//! random by seed. Each event names the software that generated it, so that an output shows whether its
//! events fit together.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::{Duration, Instant},
};

use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use shallotroute_batch::{
    checkpoint::Schedule,
    job::{Action, Choice, Discard, Event, GenerationEnd, Job, Limits, Preference},
    record::{self, Checkpoint, Item, Outcome, Specification},
};
use shallotroute_fleet::limit::Class;
use shallotroute_fleet::server::{self, Balancer, Rank, Requirements, Server};
use shallotroute_types::{name::Name, version::Version};

const TICK: Duration = Duration::from_millis(10);
const EVENT_INTERVAL: Duration = Duration::from_millis(20);
const DRAIN_TIME: Duration = Duration::from_millis(800);
const OWNER_PAUSE: Duration = Duration::from_millis(250);
const CHECKPOINT_INTERVAL: Duration = Duration::from_millis(500);
const TIME_LIMIT: Duration = Duration::from_secs(60);
const SERVERS: usize = 6;
const SLOTS: usize = 5;
const ITEMS: usize = 60;
const OLD: &str = "v1";
const NEW: &str = "v2";
const RANK: Rank = Rank(1);

/// How the software of the servers changes during the replay.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Release {
    /// Half of the servers run each version; a server that fails is replaced by one of its version.
    None,
    /// All servers start with the old version and are replaced by servers of the new one.
    Rolling,
}

/// The process behind an entry of the host list.
struct Process {
    software: &'static str,
    interval: Duration,
    /// When a draining process exits.
    exits_at: Option<Instant>,
}

struct Stream {
    item: usize,
    server: Name,
    next: u64,
    next_at: Instant,
}

struct Replay {
    random: ChaCha8Rng,
    release: Release,
    start: Instant,
    now: Instant,
    specification: Arc<Specification>,
    job: Job,
    balancer: Balancer,
    processes: BTreeMap<Name, Process>,
    created: usize,
    streams: BTreeMap<u64, Stream>,
    /// What another node holds of the job, by item.
    held: BTreeMap<u32, Checkpoint>,
    /// The last write of progress to the store.
    stored: Vec<u8>,
    schedule: Schedule,
    replicated_progress: BTreeMap<u32, u64>,
    next_checkpoint: Instant,
    /// The number of attempts that resumed an output.
    resumed: usize,
    discards: Vec<Discard>,
}

fn length(item: usize) -> u64 {
    10 + (item as u64 * 37) % 130
}

fn specification() -> Arc<Specification> {
    let items = (0..ITEMS).map(|index| Item {
        id: format!("item-{index}").into(),
        group: format!("group-{}", index / 4).into(),
        path: "/run".to_owned(),
        headers: Vec::new(),
        body: Vec::new(),
        expected_tokens: u32::try_from(length(index)).ok(),
        scorer: None,
    });
    Arc::new(Specification {
        host: "llm.example".to_owned(),
        path: "/jobs/1".to_owned(),
        model: "m".into(),
        min_version: Version(1),
        wanted_groups: 15,
        items: items.collect(),
        workspace: None,
    })
}

impl Replay {
    fn new(seed: u64, release: Release) -> Self {
        let start = Instant::now();
        let specification = specification();
        let mut replay = Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            release,
            start,
            now: start,
            job: Job::new(
                Arc::clone(&specification),
                Vec::new(),
                start + TIME_LIMIT * 2,
            ),
            specification,
            balancer: Balancer::new("zone".into()).with_seed(seed + 1),
            processes: BTreeMap::new(),
            created: 0,
            streams: BTreeMap::new(),
            held: BTreeMap::new(),
            stored: Vec::new(),
            schedule: Schedule::default(),
            replicated_progress: BTreeMap::new(),
            next_checkpoint: start,
            resumed: 0,
            discards: Vec::new(),
        };
        for index in 0..SERVERS {
            let software = match release {
                Release::None if index % 2 == 1 => NEW,
                _ => OLD,
            };
            replay.create_server(software);
        }
        replay
    }

    fn chance(&mut self, per_mille: u32) -> bool {
        self.random.random_range(0..1000) < per_mille
    }

    fn create_server(&mut self, software: &'static str) {
        self.created += 1;
        let id = Name::from(format!("server-{}", self.created));
        self.start_process(id, software);
    }

    fn start_process(&mut self, id: Name, software: &'static str) {
        self.balancer.insert(Server {
            id: id.clone(),
            service: "llm".into(),
            address: ([10, 0, 0, 1], 80).into(),
            zone: "zone".into(),
            slots: SLOTS,
            is_draining: false,
            leaves_after: None,
            is_spot: false,
            born: (self.now - self.start).as_millis() as u64,
            software: software.into(),
            models: BTreeMap::from([("m".into(), Version(1))]),
        });
        let process = Process {
            software,
            interval: EVENT_INTERVAL,
            exits_at: None,
        };
        self.processes.insert(id, process);
    }

    /// Returns the software of the server that replaces one of `software`.
    fn successor(&self, software: &'static str) -> &'static str {
        match self.release {
            Release::None => software,
            Release::Rolling => NEW,
        }
    }

    /// Ends a process with its streams, and starts its successor under the same or another identity.
    fn replace(&mut self, id: &Name, keeps_id: bool) {
        let Some(process) = self.processes.remove(id) else {
            return;
        };
        let broken: Vec<u64> = self
            .streams
            .iter()
            .filter(|(_, stream)| stream.server == *id)
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in broken {
            self.end(attempt, GenerationEnd::Interrupted);
        }
        self.balancer.remove(id, self.now);
        let software = self.successor(process.software);
        match keeps_id {
            true => self.start_process(id.clone(), software),
            false => self.create_server(software),
        }
    }

    fn inject_faults(&mut self) {
        let ids: Vec<Name> = self.processes.keys().cloned().collect();
        for id in &ids {
            let exits_at = self.processes[id].exits_at;
            if exits_at.is_some_and(|at| self.now >= at) {
                self.replace(id, false);
            }
        }
        let id = ids[self.random.random_range(0..ids.len())].clone();
        if self.chance(6) {
            let keeps_id = self.random.random_bool(0.5);
            self.replace(&id, keeps_id);
        } else if self.chance(6) && self.release == Release::Rolling {
            let exits_at = self.now + DRAIN_TIME;
            let Some(process) = self.processes.get_mut(&id) else {
                return;
            };
            process.exits_at.get_or_insert(exits_at);
            self.balancer.record_leaving(&id, self.now);
        } else if self.chance(10) {
            let factor = [1, 1, 4][self.random.random_range(0..3)];
            if let Some(process) = self.processes.get_mut(&id) {
                process.interval = EVENT_INTERVAL * factor;
            }
        }
        if self.chance(4) {
            self.replace_owner();
        }
    }

    fn replace_owner(&mut self) {
        let results = self.job.results().to_vec();
        for stream in std::mem::take(&mut self.streams).into_values() {
            self.balancer
                .record_end(&stream.server, server::Outcome::Neutral, self.now);
            self.balancer.record_batch_end(&stream.server, RANK);
        }
        let held: Vec<Checkpoint> = std::mem::take(&mut self.held).into_values().collect();
        let mut checkpoints = Vec::new();
        for encoded in [record::encode(&held), std::mem::take(&mut self.stored)] {
            if !encoded.is_empty() {
                let decoded: record::Result<Vec<Checkpoint>> =
                    record::decode("checkpoints", &encoded);
                checkpoints.extend(decoded.unwrap_or_default());
            }
        }
        self.now += OWNER_PAUSE;
        self.job = Job::new(
            Arc::clone(&self.specification),
            results,
            self.start + TIME_LIMIT * 2,
        );
        self.job.restore(checkpoints, self.now);
        self.schedule = Schedule::default();
        self.replicated_progress.clear();
    }

    /// Ends an attempt at its server.
    fn end(&mut self, attempt: u64, generation_end: GenerationEnd) {
        let Some(stream) = self.streams.remove(&attempt) else {
            return;
        };
        let outcome = match generation_end {
            GenerationEnd::Complete => server::Outcome::Neutral,
            _ => server::Outcome::Failed,
        };
        self.balancer.record_end(&stream.server, outcome, self.now);
        self.balancer.record_batch_end(&stream.server, RANK);
        let limits = self.limits();
        let event = Event::GenerationEnded(generation_end);
        let actions = self.job.handle_event(attempt, event, &limits, self.now);
        self.perform(actions);
    }

    fn generate(&mut self) {
        let due: Vec<u64> = self
            .streams
            .iter()
            .filter(|(_, stream)| stream.next_at <= self.now)
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in due {
            if self.chance(3) {
                self.end(attempt, GenerationEnd::Interrupted);
                continue;
            }
            let limits = self.limits();
            let Some(stream) = self.streams.get_mut(&attempt) else {
                continue;
            };
            if stream.next > length(stream.item) {
                self.end(attempt, GenerationEnd::Complete);
                continue;
            }
            let process = &self.processes[&stream.server];
            let number = stream.next;
            stream.next += 1;
            stream.next_at = self.now + process.interval;
            self.balancer
                .record_event_interval(&stream.server, process.interval);
            let event = Event::Generated {
                number,
                data: format!("{} {number}", process.software),
                version: Version(1),
            };
            let actions = self.job.handle_event(attempt, event, &limits, self.now);
            self.perform(actions);
        }
    }

    fn limits(&self) -> Limits {
        let (slow_servers, free_slots) = self.balancer.slow_servers("llm", "m", Version(1));
        Limits {
            leaving_servers: BTreeMap::new(),
            max_generating: SERVERS * SLOTS,
            max_scoring: 0,
            max_attempts: 3,
            max_scoring_attempts: 3,
            stall_timeout: Duration::from_millis(700),
            slow_servers,
            free_slots,
            event_interval: self.balancer.median_latency("llm"),
            requires_single_version: false,
            scoring_room: usize::MAX,
            random: 0.5,
        }
    }

    fn advance(&mut self) {
        let limits = self.limits();
        let (balancer, now) = (&mut self.balancer, self.now);
        let actions = self.job.advance(&limits, now, &mut |preference| {
            let choice = choose(balancer, preference, now)?;
            balancer.record_start(&choice.server);
            balancer.record_batch_start(&choice.server, RANK);
            Some(choice)
        });
        self.perform(actions);
        if self.job.next_chunk(self.now).is_some() {
            self.job.commit_chunk();
        }
        if self.now >= self.next_checkpoint {
            self.next_checkpoint = self.now + CHECKPOINT_INTERVAL;
            let include_results = self.random.random_bool(0.5);
            for checkpoint in self
                .job
                .checkpoints(&mut self.replicated_progress, include_results)
            {
                self.held.insert(checkpoint.item, checkpoint);
            }
        }
        if let Some(checkpoints) = self.schedule.due(&self.job, self.now) {
            self.stored = record::encode(&checkpoints);
        }
    }

    fn perform(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Generate {
                    attempt,
                    item,
                    server,
                    resume_after,
                    ..
                } => {
                    self.resumed += usize::from(resume_after > 0);
                    let stream = Stream {
                        item,
                        server,
                        next: resume_after + 1,
                        next_at: self.now + EVENT_INTERVAL,
                    };
                    self.streams.insert(attempt, stream);
                }
                Action::Cancel { attempt } => {
                    if let Some(stream) = self.streams.remove(&attempt) {
                        let outcome = server::Outcome::Neutral;
                        self.balancer.record_end(&stream.server, outcome, self.now);
                        self.balancer.record_batch_end(&stream.server, RANK);
                    }
                }
                Action::ReportDiscard(discard) => self.discards.push(discard),
                Action::RequestScore { .. } => {}
            }
        }
    }

    /// Runs the job to its end; returns the numbers of outputs that lack events and of outputs with
    /// events of two software versions.
    fn run(&mut self) -> (usize, usize) {
        while !self.job.is_finished() && self.now < self.start + TIME_LIMIT {
            self.now += TICK;
            self.inject_faults();
            self.generate();
            self.advance();
        }
        let mut complete = BTreeSet::new();
        let mut mixed = BTreeSet::new();
        for result in self.job.results() {
            let Outcome::Completed(sample) = &result.outcome else {
                continue;
            };
            let events: Vec<(&str, &str)> = sample
                .output
                .lines()
                .filter_map(|line| line.split_once(' '))
                .collect();
            let numbers = (1..=length(result.item as usize)).map(|number| number.to_string());
            if events.iter().map(|(_, number)| *number).eq(numbers) {
                complete.insert(result.item);
            }
            if events.iter().any(|(software, _)| *software != events[0].0) {
                mixed.insert(result.item);
            }
        }
        (ITEMS - complete.len(), mixed.len())
    }
}

fn choose(balancer: &Balancer, preference: &Preference<'_>, now: Instant) -> Option<Choice> {
    let requirements = Requirements {
        service: "llm",
        model: Some(("m", Version(1))),
        software: preference.software.map(|name| &**name),
        avoid: preference.avoid,
        cached_on: preference.cached_on.map(|name| &**name),
        batch_rank: Some(RANK),
        class: Class::Batch,
    };
    let server = balancer.choose(&requirements, now)?;
    Some(Choice {
        server: server.id.clone(),
        software: server.software.clone(),
    })
}

/// Guards against outputs that hold events of two software versions, and against items that never
/// complete because the software of their events has left.
#[gtest]
fn the_events_of_an_output_come_from_one_software_version() {
    for release in [Release::None, Release::Rolling] {
        let (mut incomplete, mut mixed, mut resumed) = (0, 0, 0);
        for seed in 0..40 {
            let mut replay = Replay::new(seed, release);
            let (lacking, of_two) = replay.run();
            incomplete += lacking;
            mixed += of_two;
            resumed += replay.resumed;
        }
        expect_that!(resumed, gt(40), "{release:?}: outputs resumed");
        expect_that!(
            mixed,
            eq(0),
            "{release:?}: outputs of two software versions"
        );
        expect_that!(incomplete, eq(0), "{release:?}: incomplete outputs");
    }
}

/// Guards against outputs that start again although servers of their software are left.
#[gtest]
fn outputs_go_on_while_their_software_is_served() {
    let (mut resumed, mut discarded) = (0, 0);
    for seed in 0..40 {
        let mut replay = Replay::new(seed, Release::None);
        replay.run();
        resumed += replay.resumed;
        discarded += replay.discards.len();
    }
    expect_that!(
        discarded * 20,
        lt(resumed),
        "{discarded} discarded, {resumed} resumed"
    );
}
