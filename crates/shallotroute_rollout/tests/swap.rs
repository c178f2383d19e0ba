//! Commands to the engines of a pool.

mod support;

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use googletest::prelude::*;
use shallotroute_config::object::{Swap, Trainer};
use shallotroute_rollout::{
    engine::Report,
    swap::{Action, Command, Controller, Event, Outcome},
};
use shallotroute_types::{fence::Fence, name::Name, version::Version};
use support::{configuration, pool, trainer};

struct Bench {
    controller: Controller,
    now: Instant,
    versions: BTreeMap<Name, u64>,
    loading: Vec<Command>,
}

impl Bench {
    fn new(engines: usize, trainer: Trainer) -> Self {
        let mut pool = pool(engines, 4);
        pool.models.truncate(1);
        let now = Instant::now();
        let mut bench = Self {
            controller: Controller::new(configuration(pool, vec![trainer])),
            now,
            versions: (0..engines)
                .map(|index| (format!("engine-{index}").into(), 5))
                .collect(),
            loading: Vec::new(),
        };
        bench.event(Event::LeaseChanged(Some(Fence(3))));
        bench
    }

    /// Engines answer polls at once; commands stay in `loading`.
    fn event(&mut self, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for action in self.controller.handle(self.now, event) {
                match action {
                    Action::Poll { server, number, .. } => {
                        let version = Version(self.versions[&server]);
                        let models = [(Name::from("model-a"), version)].into();
                        let report = Report {
                            models,
                            ..Report::default()
                        };
                        events.push(Event::Polled(server, number, Some(report)));
                    }
                    Action::Load(command) => self.loading.push(command),
                }
            }
        }
    }

    fn end(&mut self, command: Command, outcome: Outcome) {
        if outcome == Outcome::Done {
            self.versions
                .insert(command.server.clone(), command.version.0);
        }
        self.event(Event::CommandEnded(command.server, outcome));
    }

    fn sources(&self) -> Vec<Option<SocketAddr>> {
        self.loading.iter().map(|command| command.source).collect()
    }
}

fn waves(idle_weight: f64) -> Trainer {
    let mut object = trainer("a");
    object.swap = Swap::Waves;
    object.idle_weight = idle_weight;
    object
}

/// Guards against a wave that takes all samplers, and against more fetches from the rate-limited
/// weight store than needed.
#[gtest]
fn waves_leave_samplers_and_use_engines_as_sources() {
    for (idle_weight, wave) in [(0.0, 2), (0.5, 3), (1.0, 4)] {
        let mut bench = Bench::new(8, waves(idle_weight));
        bench.event(Event::Announced("a".into(), Version(6)));
        expect_that!(bench.sources(), eq(&vec![None; wave.min(2)]));
        let mut commands = 0;
        let mut from_store = 0;
        while !bench.loading.is_empty() {
            expect_that!(bench.loading.len(), le(wave));
            let command = bench.loading.remove(0);
            from_store += usize::from(command.source.is_none());
            commands += 1;
            bench.end(command, Outcome::Done);
        }
        expect_that!(commands, eq(8));
        expect_that!(from_store, le(2));
        expect_true!(bench.versions.values().all(|version| *version == 6));
    }
}

/// Guards against a baseline that waits for a part of the samplers.
#[gtest]
fn all_at_once_takes_all() {
    let mut bench = Bench::new(8, trainer("a"));
    bench.event(Event::Announced("a".into(), Version(6)));
    let first = bench.loading.remove(0);
    bench.end(first, Outcome::Done);
    let busy: Vec<_> = bench
        .loading
        .iter()
        .map(|command| command.server.clone())
        .collect();
    expect_that!(
        busy.len(),
        eq(3),
        "one from the store, two from the engine that has it"
    );
    while let Some(command) = bench.loading.pop() {
        bench.end(command, Outcome::Done);
    }
    expect_true!(bench.versions.values().all(|version| *version == 6));
}

/// Guards against an engine that is left half loaded, and against commands on an assumed state.
#[gtest]
fn a_failed_command_is_repeated_after_the_state_is_read_back() {
    let mut bench = Bench::new(1, waves(0.5));
    bench.event(Event::Announced("a".into(), Version(6)));
    for loaded in [5, 6] {
        let command = bench.loading.pop().unwrap();
        bench.versions.insert(command.server.clone(), loaded);
        bench.end(command, Outcome::Failed);
        expect_that!(
            bench.loading.len(),
            eq(0),
            "there is a pause after a failure"
        );
        bench.now += Duration::from_secs(1);
        bench.event(Event::Tick);
        // The lost answer of the second command hid that it was done.
        expect_that!(bench.loading.len(), eq(6 - loaded as usize));
    }
}

/// Guards against commands without the lease, and after another node has acquired it.
#[gtest]
fn commands_need_the_lease() {
    let mut bench = Bench::new(2, waves(0.5));
    bench.event(Event::LeaseChanged(None));
    bench.event(Event::Announced("a".into(), Version(6)));
    expect_that!(bench.loading.len(), eq(0));
    bench.event(Event::LeaseChanged(Some(Fence(4))));
    expect_that!(bench.loading.len(), eq(1));
    expect_that!(bench.loading[0].fence, eq(Fence(4)));
    let command = bench.loading.pop().unwrap();
    bench.end(command, Outcome::Fenced);
    bench.now += Duration::from_secs(60);
    bench.event(Event::Tick);
    expect_that!(bench.loading.len(), eq(0));
    bench.event(Event::LeaseChanged(Some(Fence(6))));
    expect_that!(bench.loading.len(), eq(1));
}

/// Guards against a command whose end is never reported and that holds back all other engines.
#[gtest]
fn a_command_without_an_end_is_given_up() {
    let mut bench = Bench::new(2, waves(0.5));
    bench.event(Event::Announced("a".into(), Version(6)));
    let first = bench.loading.pop().unwrap().server;
    bench.now += Duration::from_secs(25);
    bench.event(Event::Tick);
    expect_that!(bench.loading[0].server, not(eq(&first)));
}

/// Guards against a new holder that knows of no announcement and loads the initial version over
/// newer ones, and against engines that stay without a model.
#[gtest]
fn without_an_announcement_the_newest_loaded_version_counts() {
    let mut bench = Bench::new(2, waves(0.5));
    expect_that!(bench.loading.len(), eq(0));
    bench.versions.insert("engine-1".into(), 0);
    bench.now += Duration::from_secs(1);
    bench.event(Event::Tick);
    expect_that!(bench.loading.len(), eq(1));
    expect_that!(bench.loading[0].version, eq(Version(5)));
}
