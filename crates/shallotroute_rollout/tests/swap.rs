//! Load commands to the engines of a pool: waves, sources, the lease and failures.

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

struct Harness {
    controller: Controller,
    now: Instant,
    versions: BTreeMap<Name, u64>,
    loading: Vec<Command>,
}

impl Harness {
    fn new(engines: usize, trainer: Trainer) -> Self {
        let mut pool = pool(engines, 4);
        pool.models.truncate(1);
        let now = Instant::now();
        let mut harness = Self {
            controller: Controller::new(configuration(pool, vec![trainer])),
            now,
            versions: (0..engines)
                .map(|index| (format!("engine-{index}").into(), 5))
                .collect(),
            loading: Vec::new(),
        };
        harness.event(Event::LeaseChanged(Some(Fence(3))));
        harness
    }

    /// Passes an event to the controller. Polls are answered immediately, commands stay in
    /// `loading`.
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

/// Guards against a wave that makes all samplers unavailable, and against unnecessary loads from
/// the rate-limited weight store.
#[gtest]
fn waves_leave_samplers_and_use_engines_as_sources() {
    for (idle_weight, wave) in [(0.0, 2), (0.5, 3), (1.0, 4)] {
        let mut harness = Harness::new(8, waves(idle_weight));
        harness.event(Event::Announced("a".into(), Version(6)));
        expect_that!(harness.sources(), eq(&vec![None; wave.min(2)]));
        let mut commands = 0;
        let mut from_store = 0;
        while !harness.loading.is_empty() {
            expect_that!(harness.loading.len(), le(wave));
            let command = harness.loading.remove(0);
            from_store += usize::from(command.source.is_none());
            commands += 1;
            harness.end(command, Outcome::Done);
        }
        expect_that!(commands, eq(8));
        expect_that!(from_store, le(2));
        expect_true!(harness.versions.values().all(|version| *version == 6));
    }
}

/// Guards against waves with the `all_at_once` policy, where only the sources limit the loads.
#[gtest]
fn all_at_once_swaps_all_engines() {
    let mut harness = Harness::new(8, trainer("a"));
    harness.event(Event::Announced("a".into(), Version(6)));
    let first = harness.loading.remove(0);
    harness.end(first, Outcome::Done);
    let busy: Vec<_> = harness
        .loading
        .iter()
        .map(|command| command.server.clone())
        .collect();
    expect_that!(
        busy.len(),
        eq(3),
        "one from the store, two from the engine that has it"
    );
    while let Some(command) = harness.loading.pop() {
        harness.end(command, Outcome::Done);
    }
    expect_true!(harness.versions.values().all(|version| *version == 6));
}

/// Guards against an engine that stays partly loaded, and against repeating a command without
/// knowing the engine's state.
#[gtest]
fn a_failed_command_is_repeated_after_the_state_is_read_back() {
    let mut harness = Harness::new(1, waves(0.5));
    harness.event(Event::Announced("a".into(), Version(6)));
    for loaded in [5, 6] {
        let command = harness.loading.pop().unwrap();
        harness.versions.insert(command.server.clone(), loaded);
        harness.end(command, Outcome::Failed);
        expect_that!(
            harness.loading.len(),
            eq(0),
            "there is a back-off after a failure"
        );
        harness.now += Duration::from_secs(1);
        harness.event(Event::Tick);
        // The second command succeeded but its response was lost, so it is not repeated.
        expect_that!(harness.loading.len(), eq(6 - loaded as usize));
    }
}

/// Guards against commands without the lease, and after another node has acquired it.
#[gtest]
fn commands_need_the_lease() {
    let mut harness = Harness::new(2, waves(0.5));
    harness.event(Event::LeaseChanged(None));
    harness.event(Event::Announced("a".into(), Version(6)));
    expect_that!(harness.loading.len(), eq(0));
    harness.event(Event::LeaseChanged(Some(Fence(4))));
    expect_that!(harness.loading.len(), eq(1));
    expect_that!(harness.loading[0].fence, eq(Fence(4)));
    let command = harness.loading.pop().unwrap();
    harness.end(command, Outcome::Fenced);
    harness.now += Duration::from_secs(60);
    harness.event(Event::Tick);
    expect_that!(harness.loading.len(), eq(0));
    harness.event(Event::LeaseChanged(Some(Fence(6))));
    expect_that!(harness.loading.len(), eq(1));
}

/// Guards against a command whose end is never reported and that blocks all other engines.
#[gtest]
fn a_command_without_an_end_times_out() {
    let mut harness = Harness::new(2, waves(0.5));
    harness.event(Event::Announced("a".into(), Version(6)));
    let first = harness.loading.pop().unwrap().server;
    harness.now += Duration::from_secs(25);
    harness.event(Event::Tick);
    expect_that!(harness.loading[0].server, not(eq(&first)));
}

/// Guards against a new lease holder that has received no announcement and replaces newer versions
/// by the initial one, and against engines that stay at an outdated version.
#[gtest]
fn the_newest_loaded_version_is_the_target_without_an_announcement() {
    let mut harness = Harness::new(2, waves(0.5));
    expect_that!(harness.loading.len(), eq(0));
    harness.versions.insert("engine-1".into(), 0);
    harness.now += Duration::from_secs(1);
    harness.event(Event::Tick);
    expect_that!(harness.loading.len(), eq(1));
    expect_that!(harness.loading[0].version, eq(Version(5)));
}
