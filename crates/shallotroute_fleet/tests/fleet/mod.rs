//! The selectors of a whole fleet in virtual time: which hosts call the store, and how old their views
//! are. There are no messages; a poll or a call has its outcome after the time that it takes.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    time::{Duration, Instant},
};

use shallotroute_fleet::source::{self, Choice, Failure, Node, Selector};

/// The number of prefixes, each of which a host watches by itself.
const PREFIXES: usize = 3;
const WATCH_TIMEOUT: Duration = Duration::from_secs(15);
/// The retry delay of the first prefix, and that of the others while the store serves no call.
const RETRY_DELAY: Duration = Duration::from_millis(250);
const OTHER_RETRY_DELAY: Duration = Duration::from_millis(750);
const POLL_MARGIN: Duration = Duration::from_millis(200);
const MAX_VIEW_AGE: Duration = Duration::from_millis(950);
const RENEWAL_INTERVAL: Duration = Duration::from_millis(450);
/// The time from a registration until the others know of it.
const PROPAGATION: Duration = Duration::from_millis(20);
/// How long a host without a current view holds a poll.
const STALE_WAIT: Duration = Duration::from_millis(150);
/// The interval at which a host that is no source checks that the store serves it.
const CHECK_INTERVAL: Duration = Duration::from_millis(700);

#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Outage {
    /// The store turns all hosts away.
    All,
    /// The store turns every third host away.
    Third,
    /// The store turns away the hosts that were sources when the outage began.
    Sources,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Health {
    Running,
    Stopped,
    Frozen,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Mode {
    /// No view yet.
    Starting,
    Following,
    /// Watching the store; the next watch of all prefixes is due then.
    Watching(Instant),
}

struct Host {
    node: Node,
    selector: Selector,
    health: Health,
    mode: Mode,
    /// As of when the host's view was current.
    current_at: Option<Instant>,
    registered_at: Option<Instant>,
    /// When the host registers if a source is still missing.
    registers_at: Option<Instant>,
    /// When the host's watches of the other prefixes are retried at the earliest.
    next_other_retry: Option<Instant>,
    /// Whether the store turns the host away in [`Outage::Sources`].
    is_targeted: bool,
}

pub(crate) struct Fleet {
    hosts: Vec<Host>,
    now: Instant,
    /// The hosts by the time of their next step.
    steps: BinaryHeap<Reverse<(Instant, usize)>>,
    outage: Option<Outage>,
    calls: usize,
    random: u64,
}

impl Fleet {
    /// Hosts that all start within 0.3 s.
    pub(crate) fn new(zones: usize, hosts: usize) -> Self {
        let now = Instant::now();
        let mut fleet = Self {
            hosts: Vec::new(),
            now,
            steps: BinaryHeap::new(),
            outage: None,
            calls: 0,
            random: 0x9e37_79b9_7f4a_7c15,
        };
        for index in 0..hosts {
            let node = Node {
                id: format!("node-{index}").into(),
                zone: format!("zone-{}", index % zones).into(),
                capacity: if index < 3 * zones { 500 } else { 120 },
            };
            let selector = Selector::new(node.clone(), fleet.uniform());
            let start = now + Duration::from_millis(300).mul_f64(fleet.uniform());
            fleet.steps.push(Reverse((start, index)));
            fleet.hosts.push(Host {
                node,
                selector,
                health: Health::Running,
                mode: Mode::Starting,
                current_at: None,
                registered_at: None,
                registers_at: None,
                next_other_retry: None,
                is_targeted: false,
            });
        }
        fleet
    }

    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(Reverse((at, index))) = self.steps.peek().copied()
            && at <= end
        {
            self.steps.pop();
            self.now = at;
            if self.hosts[index].health == Health::Running {
                let next = self.step(index);
                self.steps.push(Reverse((next, index)));
            }
        }
        self.now = end;
    }

    pub(crate) fn calls(&self) -> usize {
        self.calls
    }

    pub(crate) fn registered_count(&self) -> usize {
        self.registered().len()
    }

    pub(crate) fn uninformed_count(&self) -> usize {
        let is_uninformed = |host: &&Host| host.current_at.is_none();
        self.hosts.iter().filter(is_uninformed).count()
    }

    /// The age of the oldest view of a running host.
    pub(crate) fn oldest_view(&self) -> Duration {
        self.oldest_view_of(|_| true)
    }

    /// The age of the oldest view of a running host that is no source.
    pub(crate) fn oldest_follower_view(&self) -> Duration {
        let registered = self.registered();
        self.oldest_view_of(|host| source::rank(&host.node, &registered).is_none())
    }

    fn oldest_view_of(&self, is_counted: impl Fn(&Host) -> bool) -> Duration {
        self.hosts
            .iter()
            .filter(|host| host.health == Health::Running && is_counted(host))
            .map(|host| match self.current_at(host) {
                Some(at) => self.now.saturating_duration_since(at),
                None => Duration::MAX,
            })
            .max()
            .unwrap_or_default()
    }

    pub(crate) fn set_outage(&mut self, outage: Option<Outage>) {
        self.outage = outage;
        let sources = self.first_sources(source::SOURCES_PER_ZONE);
        for (index, host) in self.hosts.iter_mut().enumerate() {
            host.is_targeted = sources.contains(&index);
        }
    }

    /// The age of the oldest view of a host that the store serves.
    pub(crate) fn oldest_served_view(&self) -> Duration {
        self.oldest_view_of(|host| !host.is_targeted)
    }

    /// Kills the first sources of each zone; their entries are gone.
    pub(crate) fn stop_sources(&mut self, count: usize) {
        for index in self.first_sources(count) {
            self.hosts[index].health = Health::Stopped;
            self.hosts[index].registered_at = None;
        }
    }

    /// Freezes the first sources of each zone, whose entries stay.
    pub(crate) fn freeze_sources(&mut self, count: usize) {
        for index in self.first_sources(count) {
            self.hosts[index].health = Health::Frozen;
        }
    }

    fn first_sources(&self, count: usize) -> Vec<usize> {
        let registered = self.registered();
        let is_first =
            |host: &Host| source::rank(&host.node, &registered).is_some_and(|rank| rank < count);
        (0..self.hosts.len())
            .filter(|index| is_first(&self.hosts[*index]))
            .collect()
    }

    fn registered(&self) -> Vec<Node> {
        self.hosts
            .iter()
            .filter(|host| {
                host.registered_at
                    .is_some_and(|at| at + PROPAGATION <= self.now)
            })
            .map(|host| host.node.clone())
            .collect()
    }

    fn uniform(&mut self) -> f64 {
        self.random = self
            .random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        (self.random >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn is_turned_away(&self, index: usize) -> bool {
        match self.outage {
            Some(Outage::All) => true,
            Some(Outage::Third) => index.is_multiple_of(3),
            Some(Outage::Sources) => self.hosts[index].is_targeted,
            None => false,
        }
    }

    fn current_at(&self, host: &Host) -> Option<Instant> {
        match host.mode {
            // Renewals of the lease show that the host still reaches the store.
            Mode::Watching(_) if host.current_at.is_some() => host
                .current_at
                .max(Some(self.now.checked_sub(RENEWAL_INTERVAL)?.min(self.now))),
            _ => host.current_at,
        }
    }

    /// Performs the next step of a host. Returns the time of the step after it.
    fn step(&mut self, index: usize) -> Instant {
        let registered = self.registered();
        self.register(index, &registered);
        let choice = self.hosts[index].selector.choose(&registered, self.now);
        match choice {
            Choice::Poll { source, wait } => self.poll(index, &source, wait),
            Choice::Watch { until } => {
                let next = self.watch(index, &registered);
                until
                    .map_or(next, |until| next.min(until))
                    .max(self.now + Duration::from_millis(1))
            }
            Choice::Try(until) => {
                self.check(index);
                until.max(self.now + Duration::from_millis(1))
            }
            Choice::Wait(until) => {
                if let Mode::Watching(_) = self.hosts[index].mode {
                    let checked_at = self.hosts[index].current_at;
                    if checked_at.is_none_or(|at| self.now >= at + CHECK_INTERVAL) {
                        self.check(index);
                    }
                }
                until.max(self.now + Duration::from_millis(1))
            }
        }
    }

    fn register(&mut self, index: usize, registered: &[Node]) {
        let host = &self.hosts[index];
        if host.current_at.is_none() || host.registered_at.is_some() {
            return;
        }
        if !source::should_register(&host.node, registered) {
            self.hosts[index].registers_at = None;
            return;
        }
        let uniform = self.uniform();
        let now = self.now;
        let host = &mut self.hosts[index];
        let delay = source::start_delay(&host.node, registered, uniform);
        if *host.registers_at.get_or_insert(now + delay) <= now {
            host.registered_at = Some(now);
            // A lease and an entry.
            self.calls += 2;
        }
    }

    /// Calls the store once, and watches it from then on if it answers.
    fn check(&mut self, index: usize) {
        self.calls += 1;
        if self.is_turned_away(index) {
            self.hosts[index].mode = Mode::Following;
            return;
        }
        if !matches!(self.hosts[index].mode, Mode::Watching(_)) {
            self.calls += PREFIXES;
        }
        self.hosts[index].mode = Mode::Watching(self.now + WATCH_TIMEOUT);
        self.hosts[index].current_at = Some(self.now);
    }

    fn poll(&mut self, index: usize, source: &str, wait: Duration) -> Instant {
        let found = self.hosts.iter().position(|host| *host.node.id == *source);
        let (failure, took) = match found.map(|found| &self.hosts[found]) {
            Some(host) if host.health == Health::Running => {
                let current_at = self
                    .current_at(host)
                    .filter(|at| self.now < *at + MAX_VIEW_AGE);
                match current_at {
                    Some(current_at) => {
                        let host = &mut self.hosts[index];
                        // The source's view is as old at the end of the wait as at its start.
                        host.current_at = host.current_at.max(Some(current_at + wait));
                        host.mode = Mode::Following;
                        host.selector.record_response(&source.into());
                        return self.now + wait + Duration::from_millis(1);
                    }
                    None => (Failure::Stale, wait.min(STALE_WAIT)),
                }
            }
            Some(host) if host.health == Health::Frozen => {
                (Failure::Unreachable, wait + POLL_MARGIN)
            }
            _ => (Failure::Unreachable, Duration::from_millis(1)),
        };
        let end = self.now + took;
        self.hosts[index]
            .selector
            .record_failure(&source.into(), failure, end);
        end + Duration::from_millis(1)
    }

    fn watch(&mut self, index: usize, registered: &[Node]) -> Instant {
        let is_turned_away = self.is_turned_away(index);
        let now = self.now;
        match self.hosts[index].mode {
            Mode::Starting => {
                if self.hosts[index].current_at.is_none() {
                    // A read of the members, before which hosts that start together wait.
                    let uniform = self.uniform();
                    let delay = source::start_delay(&self.hosts[index].node, registered, uniform);
                    self.hosts[index].mode = Mode::Following;
                    return now + delay;
                }
                now + RETRY_DELAY
            }
            Mode::Following if self.hosts[index].current_at.is_none() => {
                self.calls += 1;
                if !is_turned_away {
                    self.hosts[index].current_at = Some(now);
                }
                now + Duration::from_millis(8)
            }
            Mode::Watching(next) if next > now && !is_turned_away => {
                self.hosts[index].current_at = Some(now);
                next.min(now + RENEWAL_INTERVAL)
            }
            _ if is_turned_away => {
                let host = &mut self.hosts[index];
                host.mode = Mode::Following;
                self.calls += 1;
                if host.next_other_retry.is_none_or(|next| now >= next) {
                    host.next_other_retry = Some(now + OTHER_RETRY_DELAY);
                    self.calls += PREFIXES - 1;
                }
                now + RETRY_DELAY
            }
            _ => {
                self.calls += PREFIXES;
                let next = now + WATCH_TIMEOUT;
                self.hosts[index].mode = Mode::Watching(next);
                self.hosts[index].current_at = Some(now);
                now + RENEWAL_INTERVAL
            }
        }
    }
}
