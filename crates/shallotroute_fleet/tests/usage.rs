//! Tests of the usage by window: counters at the nodes and the ledger at the leader, with a store whose writes may
//! come late and whose answers may be lost.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use googletest::prelude::*;
use proptest::{collection::vec, prelude::*};
use shallotroute_fleet::usage::{
    Action, Close, Counter, Counts, Ledger, Moment, ReportEnd, Reported, Schedule, Stored, Tally,
    window_at, window_end,
};
use shallotroute_types::fence::Fence;

const MS: Duration = Duration::from_millis(1);

const WINDOW: Duration = Duration::from_secs(5);

/// The number of the first window of the tests; nodes' clocks begin with it.
const FIRST: u64 = 1000;

/// A process: its node and its incarnation.
type Process = (usize, u64);

fn schedule() -> Schedule {
    Schedule {
        window: WINDOW,
        close_after: 3000 * MS,
        collect: 2500 * MS,
        report_within: 10_000 * MS,
        give_up_after: 60_000 * MS,
    }
}

/// Returns the time `after` the start of the first window.
fn moment(after: Duration) -> Moment {
    Moment {
        unix: WINDOW * FIRST as u32 + after,
        boot: Duration::from_secs(100) + after,
    }
}

fn counts(count: u64) -> Counts {
    match count {
        0 => Counts::new(),
        count => [("w".into(), count)].into(),
    }
}

fn tally(window: u64, count: u64) -> Tally {
    Tally {
        window,
        counts: counts(count),
    }
}

fn loaded_ledger() -> Ledger<Process> {
    let mut ledger = Ledger::new(schedule(), Fence(1), moment(Duration::ZERO));
    ledger.record_loaded(Stored::default());
    ledger
}

// Guards against a window that is closed before the last counts have arrived, or reported before it is closed.
#[gtest]
fn window_is_closed_then_reported() {
    let mut ledger = loaded_ledger();
    ledger.receive(&(0, 1), &[tally(FIRST, 3)], moment(4000 * MS));
    ledger.receive(&(1, 1), &[tally(FIRST, 4)], moment(6000 * MS));
    expect_that!(ledger.next_action(moment(7999 * MS)), none());
    let now = moment(8000 * MS);
    let Some(Action::Close(close)) = ledger.next_action(now) else {
        panic!("the window is not closed");
    };
    let expected = Close {
        head_revision: 0,
        closed_through: FIRST,
        windows: vec![tally(FIRST, 7)],
        removals: vec![],
    };
    expect_that!(close, eq(&expected));
    ledger.record_closed(&close, 50);
    let report = Action::Report(tally(FIRST, 7));
    expect_that!(ledger.next_action(now), some(eq(&report)));
    let reported = ledger.record_report(FIRST, ReportEnd::Accepted, now, 0.5);
    expect_that!(reported, some(eq(Reported::InTime)));
    expect_that!(ledger.next_action(now), none());
}

// Guards against a restarted process that erases what its former incarnation had counted, and against an old
// message that lowers a newer one.
#[gtest]
fn counts_are_kept_by_process_and_never_fall() {
    let mut ledger = loaded_ledger();
    let now = moment(2000 * MS);
    ledger.receive(&(0, 1), &[tally(FIRST, 5)], now);
    ledger.receive(&(0, 1), &[tally(FIRST, 3)], now);
    ledger.receive(&(0, 2), &[tally(FIRST, 1)], now);
    let Some(Action::Close(close)) = ledger.next_action(moment(9000 * MS)) else {
        panic!("the window is not closed");
    };
    expect_that!(close.windows, elements_are![eq(&tally(FIRST, 6))]);
}

// Guards against a window without requests that is never reported, and against windows from before the
// process had a configuration.
#[gtest]
fn windows_without_requests_are_counted_while_there_are_workspaces() {
    let mut counter = Counter::new(WINDOW);
    counter.observe(false, moment(Duration::ZERO).unix);
    counter.observe(true, moment(7000 * MS).unix);
    // The process stood still in the meantime.
    counter.observe(true, moment(16_000 * MS).unix);
    counter.observe(false, moment(21_000 * MS).unix);
    let expected = [1, 2, 3].map(|number| tally(FIRST + number, 0));
    expect_that!(counter.tallies(), container_eq(expected));
    expect_that!(counter.message(Fence(1)).tallies, is_empty());
}

// Guards against messages without new counts, and against counts that a new leader never gets.
#[gtest]
fn counts_are_sent_until_the_leader_has_them() {
    let mut counter = Counter::new(WINDOW);
    let at = moment(1000 * MS).unix;
    counter.record(&"w".into(), at);
    let message = counter.message(Fence(1));
    expect_that!(message.tallies, elements_are![eq(&tally(FIRST, 1))]);
    let receipt = loaded_ledger().receive(&(0, 1), &message.tallies, moment(1000 * MS));
    counter.record_receipt(&message, &receipt);
    expect_that!(counter.message(Fence(1)).tallies, is_empty());
    expect_that!(counter.message(Fence(2)).tallies, len(eq(1)));
    counter.record(&"w".into(), at);
    expect_that!(
        counter.message(Fence(1)).tallies,
        elements_are![eq(&tally(FIRST, 2))]
    );
}

// Guards against a store whose failures are answered with calls without a pause, and against a write whose
// predecessor may still take effect without a read in between.
#[gtest]
fn uncertain_write_is_followed_by_a_read() {
    let mut ledger = loaded_ledger();
    ledger.receive(&(0, 1), &[tally(FIRST, 5)], moment(1000 * MS));
    let now = moment(8000 * MS);
    expect_that!(
        ledger.next_action(now),
        some(matches_pattern!(Action::Close(anything())))
    );
    ledger.record_uncertain(now, 0.5);
    expect_that!(ledger.next_action(now), none());
    let later = moment(8250 * MS);
    expect_that!(ledger.next_action(later), some(eq(&Action::Load)));
    ledger.record_loaded(Stored {
        head: Some((FIRST, 9)),
        windows: vec![tally(FIRST, 4)],
    });
    let report = Action::Report(tally(FIRST, 4));
    expect_that!(ledger.next_action(later), some(eq(&report)));
}

// Guards against a window that the platform never accepts and that keeps the others back, and against one that is
// sent for ever.
#[gtest]
fn refused_window_is_given_up() {
    let mut ledger = loaded_ledger();
    ledger.record_loaded(Stored {
        head: Some((FIRST + 1, 9)),
        windows: vec![tally(FIRST, 1), tally(FIRST + 1, 2)],
    });
    let mut now = moment(10_000 * MS);
    ledger.record_report(FIRST, ReportEnd::Failed(None), now, 0.5);
    now = moment(11_000 * MS);
    let next = Action::Report(tally(FIRST + 1, 2));
    expect_that!(ledger.next_action(now), some(eq(&next)));
    ledger.record_report(FIRST + 1, ReportEnd::Accepted, now, 0.5);
    expect_that!(ledger.next_action(moment(64_999 * MS)), some(anything()));
    expect_that!(ledger.next_action(moment(65_000 * MS)), none());
    // The keys of both are removed by the write that closes the next window.
    ledger.receive(&(0, 1), &[tally(FIRST + 12, 1)], moment(64_000 * MS));
    let Some(Action::Close(close)) = ledger.next_action(moment(68_000 * MS)) else {
        panic!("the window is not closed");
    };
    expect_that!(close.removals, elements_are![eq(&FIRST), eq(&(FIRST + 1))]);
}

/// What the answer to a write of the store or to a report is.
#[derive(Clone, Copy, Debug)]
enum Fate {
    Done,
    /// It has no effect, and the caller knows.
    Refused,
    /// It takes effect, and the answer is lost.
    AnswerLost,
    /// It takes effect this many milliseconds later if its condition still holds, without an answer.
    Late(u64),
}

#[derive(Clone, Debug)]
enum Step {
    Pass(u64),
    /// Requests begin to run for a node.
    Count(usize, u64),
    /// A node sends its counts; the answer may be lost.
    Send(usize, bool),
    /// The leader acts, as often as it has something to do.
    Act(Fate),
    /// A node becomes the leader.
    Elect(usize),
    /// A node starts again, without what it has counted.
    Restart(usize),
}

/// A store with the conditions of the ledger's writes.
#[derive(Debug, Default)]
struct Store {
    revision: u64,
    leader: Fence,
    head: Option<(u64, u64)>,
    windows: BTreeMap<u64, Counts>,
}

impl Store {
    fn write(&mut self, leader: Fence, close: &Close) -> Option<u64> {
        let revision = self.head.map_or(0, |(_, revision)| revision);
        let is_free = |tally: &Tally| !self.windows.contains_key(&tally.window);
        if leader != self.leader
            || revision != close.head_revision
            || !close.windows.iter().all(is_free)
        {
            return None;
        }
        self.revision += 1;
        self.head = Some((close.closed_through, self.revision));
        for removal in &close.removals {
            self.windows.remove(removal);
        }
        for tally in &close.windows {
            self.windows.insert(tally.window, tally.counts.clone());
        }
        Some(self.revision)
    }

    fn read(&self) -> Stored {
        let windows = self.windows.iter().map(|(window, counts)| Tally {
            window: *window,
            counts: counts.clone(),
        });
        Stored {
            head: self.head,
            windows: windows.collect(),
        }
    }
}

struct World {
    now: Duration,
    counters: Vec<(u64, Counter)>,
    /// The leader and its ledger, and former leaders, which go on until they learn of it.
    ledgers: Vec<(usize, Ledger<Process>)>,
    store: Store,
    late_writes: Vec<(Duration, Fence, Close)>,
    /// All reports that may have arrived.
    reports: BTreeMap<u64, BTreeSet<Vec<(String, u64)>>>,
    /// The true number of requests by window.
    truth: BTreeMap<u64, u64>,
}

impl World {
    fn new() -> Self {
        Self {
            now: Duration::ZERO,
            counters: (0..3).map(|_| (1, Counter::new(WINDOW))).collect(),
            ledgers: Vec::new(),
            store: Store::default(),
            late_writes: Vec::new(),
            reports: BTreeMap::new(),
            truth: BTreeMap::new(),
        }
    }

    fn apply(&mut self, step: &Step) {
        let now = moment(self.now);
        match *step {
            Step::Pass(time) => self.pass(time),
            Step::Count(node, count) => {
                for _ in 0..count {
                    self.counters[node].1.record(&"w".into(), now.unix);
                }
                *self.truth.entry(window_at(now.unix, WINDOW)).or_default() += count;
            }
            Step::Send(node, is_answered) => self.send(node, is_answered),
            Step::Act(fate) => {
                for ledger in 0..self.ledgers.len() {
                    self.act(ledger, fate);
                }
            }
            Step::Elect(node) => {
                self.store.revision += 1;
                self.store.leader = Fence(self.store.revision);
                // The former leader may not know yet that it does not lead.
                self.ledgers.truncate(1);
                let ledger = Ledger::new(schedule(), self.store.leader, now);
                self.ledgers.insert(0, (node, ledger));
            }
            Step::Restart(node) => {
                let incarnation = self.counters[node].0 + 1;
                self.counters[node] = (incarnation, Counter::new(WINDOW));
                self.ledgers.retain(|(leader, _)| *leader != node);
            }
        }
    }

    fn pass(&mut self, time: u64) {
        self.now += MS * time as u32;
        let now = self.now;
        let (due, rest) = std::mem::take(&mut self.late_writes)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.late_writes = rest;
        for (_, leader, close) in due {
            self.store.write(leader, &close);
        }
        for (_, counter) in &mut self.counters {
            counter.observe(true, moment(now).unix);
        }
    }

    fn send(&mut self, node: usize, is_answered: bool) {
        let now = moment(self.now);
        let Some((leader, ledger)) = self.ledgers.first_mut() else {
            return;
        };
        let (incarnation, counter) = &mut self.counters[node];
        if *leader == node {
            ledger.receive(&(node, *incarnation), &counter.tallies(), now);
            return;
        }
        let message = counter.message(ledger.fence());
        let receipt = ledger.receive(&(node, *incarnation), &message.tallies, now);
        if is_answered {
            counter.record_receipt(&message, &receipt);
        }
    }

    fn act(&mut self, index: usize, fate: Fate) {
        let now = moment(self.now);
        let (_, ledger) = &mut self.ledgers[index];
        while let Some(action) = ledger.next_action(now) {
            match action {
                Action::Load => ledger.record_loaded(self.store.read()),
                Action::Close(close) => {
                    let fence = ledger.fence();
                    match fate {
                        Fate::Done => match self.store.write(fence, &close) {
                            Some(revision) => ledger.record_closed(&close, revision),
                            None => ledger.record_uncertain(now, 0.5),
                        },
                        Fate::Refused => ledger.record_store_failure(now, 0.5),
                        Fate::AnswerLost => {
                            self.store.write(fence, &close);
                            ledger.record_uncertain(now, 0.5);
                        }
                        Fate::Late(delay) => {
                            let at = self.now + MS * delay as u32;
                            self.late_writes.push((at, fence, close));
                            ledger.record_uncertain(now, 0.5);
                        }
                    }
                }
                Action::Report(tally) => {
                    let figure = tally
                        .counts
                        .iter()
                        .map(|(name, count)| (name.to_string(), *count));
                    if !matches!(fate, Fate::Refused) {
                        let figures = self.reports.entry(tally.window).or_default();
                        figures.insert(figure.collect());
                    }
                    let end = match fate {
                        Fate::Done => ReportEnd::Accepted,
                        _ => ReportEnd::Failed(None),
                    };
                    ledger.record_report(tally.window, end, now, 0.5);
                }
            }
        }
    }
}

fn step(is_lossy: bool) -> impl Strategy<Value = Step> {
    let node = 0..3_usize;
    let fate = match is_lossy {
        true => prop_oneof![
            3 => Just(Fate::Done),
            1 => Just(Fate::Refused),
            1 => Just(Fate::AnswerLost),
            2 => (1..20_000_u64).prop_map(Fate::Late),
        ]
        .boxed(),
        false => Just(Fate::Done).boxed(),
    };
    let answered = match is_lossy {
        true => any::<bool>().boxed(),
        false => Just(true).boxed(),
    };
    prop_oneof![
        5 => (1..1500_u64).prop_map(Step::Pass),
        u32::from(is_lossy) => (1..9000_u64).prop_map(Step::Pass),
        4 => (node.clone(), 1..20_u64).prop_map(|(node, count)| Step::Count(node, count)),
        5 => (node.clone(), answered).prop_map(|(node, answered)| Step::Send(node, answered)),
        4 => fate.prop_map(Step::Act),
        1 => node.clone().prop_map(Step::Elect),
        u32::from(is_lossy) => node.prop_map(Step::Restart),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(500))]

    // Guards against two reports of one window with different counts: over several leaders that do not know of
    // each other yet, lost answers, late writes and restarts of nodes.
    #[test]
    fn each_window_has_one_figure(steps in vec(step(true), 1..300)) {
        let mut world = World::new();
        world.apply(&Step::Elect(0));
        for step in &steps {
            world.apply(step);
        }
        for (window, figures) in &world.reports {
            prop_assert!(figures.len() == 1, "window {window}: {figures:?}");
            let (figure, truth) = (figures.first().unwrap(), world.truth.get(window));
            let count = figure.first().map_or(0, |(_, count)| *count);
            prop_assert!(count <= truth.copied().unwrap_or_default(), "window {window}: {figures:?}");
        }
    }

    // Guards against counts that are lost or counted twice, and against windows that are never reported, while leaders
    // change and nothing is lost.
    #[test]
    fn figure_is_the_true_count_without_losses(steps in vec(step(false), 1..200)) {
        let mut world = World::new();
        world.apply(&Step::Pass(1));
        world.apply(&Step::Elect(0));
        let mut last_election = Duration::ZERO;
        for step in &steps {
            // Leaders change more rarely than they need to collect the counts, and take over whole.
            if matches!(step, Step::Elect(_)) {
                if world.now < last_election + 6000 * MS {
                    continue;
                }
                last_election = world.now;
            }
            world.apply(step);
            if matches!(step, Step::Elect(_)) {
                world.ledgers.truncate(1);
            }
            for node in 0..3 {
                world.apply(&Step::Send(node, true));
            }
            world.apply(&Step::Act(Fate::Done));
        }
        let end = window_at(moment(world.now).unix, WINDOW);
        for _ in 0..12 {
            for node in 0..3 {
                world.apply(&Step::Send(node, true));
            }
            world.apply(&Step::Act(Fate::Done));
            world.apply(&Step::Pass(1000));
        }
        for window in FIRST..=end {
            let truth = world.truth.get(&window).copied().unwrap_or_default();
            let figures = world.reports.get(&window);
            let expected: Vec<_> = counts(truth).iter().map(|(name, count)| (name.to_string(), *count)).collect();
            prop_assert_eq!(figures, Some(&BTreeSet::from([expected])), "window {}", window);
            prop_assert!(window_end(window, WINDOW) <= moment(world.now).unix);
        }
    }
}
