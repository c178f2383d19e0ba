//! A replay of callers' streams during a release of the servers' software, with nodes and servers that
//! are killed. It counts the streams that hold events of two versions, and the take-ups that go on.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use shallotroute_fleet::{
    limit::Class,
    resume::{self, Answer, LOOKUPS, Node, Origin, Records, Source, Stream, WIDE_LOOKUPS},
    server::{Balancer, Requirements, Server},
    software::{Knowledge, Listing},
};
use shallotroute_types::{name::Name, node::Id};

/// The longest duration of a stream.
const TIMEOUT: Duration = Duration::from_secs(8);

/// The time for which records are kept, and for which a version has to be the only one.
const RETENTION: Duration = Duration::from_secs(10);

const STEP: Duration = Duration::from_millis(100);

const LENGTH: Duration = Duration::from_secs(100);

/// When the first server of the new version is listed. A server is replaced each time the same
/// interval has passed.
const RELEASE_AT: Duration = Duration::from_secs(25);

const REPLACEMENT_INTERVAL: Duration = Duration::from_secs(4);

const SERVERS: usize = 10;

/// When a third of the nodes is killed at once. A stream lives through one kill only.
const KILLS: [u64; 5] = [15, 30, 45, 60, 75];

/// How long a killed node is down, and for how long it stays listed.
const DOWN: Duration = Duration::from_secs(3);

/// The largest lag of a node's host list.
const MAX_LAG_MS: u64 = 1500;

/// Where streams go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Policy {
    /// At any server, as before software versions were known.
    AnyServer,
    /// At a server of the version that began the stream.
    SameSoftware,
}

/// What a replay has counted.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Counts {
    /// Streams with events of two versions.
    pub(crate) mixed: usize,
    pub(crate) streams: usize,
    /// Streams that callers took up while two servers of their version took requests.
    pub(crate) take_ups: usize,
    /// Those of them that went on.
    pub(crate) continued: usize,
    pub(crate) found_by_copy: usize,
    /// Copies of records that were sent after the time that a node needs to know the host list.
    pub(crate) copies_after_start: usize,
}

impl Counts {
    pub(crate) fn continued_share(&self) -> f64 {
        self.continued as f64 / self.take_ups.max(1) as f64
    }
}

struct Host {
    node: Node,
    is_up: bool,
    up_at: Instant,
    balancer: Balancer,
    records: Records,
    failed_until: BTreeMap<Id, Instant>,
    /// The lag of the host list.
    lag: Duration,
    /// The number of changes of the host list that the node has applied.
    applied: usize,
}

struct Running {
    id: Name,
    /// The node that passes it on; `None` after the node was killed, until the caller comes back.
    node: Option<usize>,
    server: Name,
    versions: BTreeSet<Name>,
    ends_at: Instant,
    come_back_at: Instant,
}

pub(crate) struct Release {
    policy: Policy,
    has_release: bool,
    random: u64,
    start: Instant,
    now: Instant,
    hosts: Vec<Host>,
    /// The servers that run.
    servers: BTreeMap<Name, Server>,
    /// The changes of the host list; `None` removes an entry.
    changes: Vec<(Instant, Name, Option<Server>)>,
    streams: Vec<Running>,
    counts: Counts,
}

impl Release {
    pub(crate) fn new(nodes: usize, seed: u64, policy: Policy) -> Self {
        let start = Instant::now();
        let mut release = Self {
            policy,
            has_release: true,
            random: seed,
            start,
            now: start,
            hosts: Vec::new(),
            servers: BTreeMap::new(),
            changes: Vec::new(),
            streams: Vec::new(),
            counts: Counts::default(),
        };
        for index in 0..SERVERS {
            release.list(index, "v1", false);
        }
        for index in 0..nodes {
            let lag = Duration::from_millis(release.below(MAX_LAG_MS));
            release.hosts.push(Host {
                node: Node {
                    id: format!("node-{index}").into(),
                    zone: format!("zone-{}", index % 3).into(),
                },
                is_up: true,
                up_at: start,
                balancer: Balancer::new("zone-0".into()).with_seed(index as u64 + 1),
                records: Records::default(),
                failed_until: BTreeMap::new(),
                lag,
                applied: 0,
            });
        }
        release
    }

    pub(crate) fn without_release(mut self) -> Self {
        self.has_release = false;
        self
    }

    pub(crate) fn run(mut self) -> Counts {
        while self.now < self.start + LENGTH {
            self.now += STEP;
            self.replace_servers();
            self.kill_nodes();
            for host in 0..self.hosts.len() {
                self.follow(host);
            }
            // A server fails for a moment: its streams break, at nodes that stay.
            if self.elapsed_ms().is_multiple_of(3000) {
                self.break_streams();
            }
            self.begin_stream();
            self.begin_stream();
            self.advance_streams();
        }
        self.counts.mixed += self
            .streams
            .iter()
            .filter(|it| it.versions.len() > 1)
            .count();
        self.counts
    }

    /// Returns a number below `limit` (SplitMix64).
    fn below(&mut self, limit: u64) -> u64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.random;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % limit
    }

    fn elapsed_ms(&self) -> u128 {
        (self.now - self.start).as_millis()
    }

    fn list(&mut self, index: usize, software: &str, is_draining: bool) {
        let id = Name::from(format!("{software}-{index}"));
        let server = Server {
            id: id.clone(),
            service: "quotes".into(),
            address: ([10, 0, 0, 1], 80).into(),
            zone: "zone-0".into(),
            slots: 64,
            is_draining,
            leaves_after: None,
            is_spot: false,
            born: 1,
            software: software.into(),
            models: BTreeMap::new(),
        };
        self.servers.insert(id.clone(), server.clone());
        self.changes.push((self.now, id, Some(server)));
    }

    /// Replaces one server after the other: the new one is listed, the old one drains for 5 s and is
    /// removed 2 s later, before it ends.
    fn replace_servers(&mut self) {
        if !self.has_release {
            return;
        }
        for index in 0..SERVERS {
            let at = self.start + RELEASE_AT + REPLACEMENT_INTERVAL * index as u32;
            let former = Name::from(format!("v1-{index}"));
            if self.now == at {
                self.list(index, "v2", false);
                self.list(index, "v1", true);
            } else if self.now == at + Duration::from_secs(5) {
                self.changes.push((self.now, former, None));
            } else if self.now == at + Duration::from_secs(7) {
                self.servers.remove(&former);
            }
        }
    }

    fn kill_nodes(&mut self) {
        let now = self.now;
        for host in &mut self.hosts {
            if !host.is_up && now >= host.up_at {
                host.is_up = true;
                host.balancer = Balancer::new("zone-0".into());
                host.records = Records::default();
                host.applied = 0;
            }
        }
        if !KILLS
            .iter()
            .any(|at| self.elapsed_ms() == u128::from(at * 1000))
        {
            return;
        }
        let mut left = self.hosts.len() / 3;
        while left > 0 {
            let index = self.below(self.hosts.len() as u64) as usize;
            if !self.hosts[index].is_up {
                continue;
            }
            self.hosts[index].is_up = false;
            self.hosts[index].up_at = now + DOWN;
            left -= 1;
            for stream in 0..self.streams.len() {
                if self.streams[stream].node == Some(index) {
                    let delay = self.below(2500);
                    self.streams[stream].node = None;
                    self.streams[stream].come_back_at = now + Duration::from_millis(delay);
                }
            }
        }
    }

    /// Applies what a node knows of the host list by now, and copies the records of streams that began
    /// before the service had a second version.
    fn follow(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        if !host.is_up {
            return;
        }
        let seen = self.now.checked_sub(host.lag);
        let mut is_changed = false;
        while let Some((at, id, server)) = self.changes.get(host.applied)
            && seen.is_some_and(|seen| *at <= seen)
        {
            match server {
                Some(server) => is_changed |= host.balancer.insert(server.clone()),
                None => host.balancer.remove(id, self.now),
            }
            host.applied += 1;
        }
        if host.applied > 0 {
            host.balancer.record_first_read(self.now);
        }
        if is_changed && self.known(index) == Knowledge::Several {
            self.copy(index);
        }
    }

    fn known(&mut self, index: usize) -> Knowledge {
        let now = self.now;
        self.hosts[index]
            .balancer
            .software("quotes", RETENTION, now)
            .known
    }

    /// Returns what the host list says, as it is now.
    fn listing(&mut self, index: usize) -> Listing {
        let lag = std::mem::take(&mut self.hosts[index].lag);
        self.follow(index);
        self.hosts[index].lag = lag;
        let now = self.now;
        self.hosts[index]
            .balancer
            .software("quotes", RETENTION, now)
    }

    /// Copies the records of a node that need it. Nodes that do not answer are passed over once.
    fn copy(&mut self, index: usize) {
        if self.policy == Policy::AnyServer {
            return;
        }
        let now = self.now;
        let nodes: Vec<Node> = self.hosts.iter().map(|host| host.node.clone()).collect();
        let streams = self.hosts[index].records.uncopied("quotes", now);
        if now > self.start + RETENTION + Duration::from_millis(MAX_LAG_MS)
            && self.has_started(index)
        {
            self.counts.copies_after_start += streams.len();
        }
        for _ in 0..2 {
            let own = nodes[index].id.clone();
            let failed_until = self.hosts[index].failed_until.clone();
            let has_failed = |id: &Id| failed_until.get(id).is_some_and(|until| now < *until);
            for (id, groups) in resume::assign(&streams, &nodes, &own, has_failed) {
                let holder = nodes.iter().position(|node| node.id == *id).unwrap_or(0);
                if self.hosts[holder].is_up {
                    let copied = groups.iter().flat_map(|group| &group.streams);
                    let ids: Vec<Name> = copied.map(|stream| stream.id.clone()).collect();
                    self.hosts[index].records.record_copied(ids.iter());
                    self.hosts[holder].records.insert_copies(groups, now);
                } else {
                    let until = now + Duration::from_secs(1);
                    self.hosts[index].failed_until.insert(id.clone(), until);
                }
            }
        }
    }

    /// Returns whether a node has known the host list for as long as a stream lasts.
    fn has_started(&self, index: usize) -> bool {
        let margin = Duration::from_millis(MAX_LAG_MS) + STEP;
        self.now > self.hosts[index].up_at + RETENTION + margin
    }

    fn choose(&self, index: usize, software: Option<&str>, avoid: &[Name]) -> Option<Server> {
        let requirements = Requirements {
            service: "quotes",
            model: None,
            software,
            avoid,
            cached_on: None,
            batch_rank: None,
            class: Class::Caller,
        };
        let chosen = self.hosts[index].balancer.choose(&requirements, self.now)?;
        // A server that has ended rejects the connection.
        self.servers.get(&chosen.id).cloned()
    }

    fn random_host(&mut self) -> usize {
        loop {
            let index = self.below(self.hosts.len() as u64) as usize;
            if self.hosts[index].is_up {
                return index;
            }
        }
    }

    fn begin_stream(&mut self) {
        let index = self.random_host();
        let Some(server) = self.choose(index, None, &[]) else {
            return;
        };
        let id = Name::from(format!("r{}", self.counts.streams));
        self.counts.streams += 1;
        self.hosts[index].balancer.record_start(&server.id);
        self.record(index, &id, &server);
        let duration = TIMEOUT / 4 + Duration::from_millis(self.below(6000));
        self.streams.push(Running {
            id,
            node: Some(index),
            server: server.id.clone(),
            versions: [server.software].into_iter().collect(),
            ends_at: self.now + duration,
            come_back_at: self.now,
        });
    }

    /// Records a stream before its first event at a node is passed on.
    fn record(&mut self, index: usize, id: &Name, server: &Server) {
        let stream = Stream {
            id: id.clone(),
            retention: RETENTION,
        };
        let origin = Origin {
            service: server.service.clone(),
            software: server.software.clone(),
        };
        let now = self.now;
        self.hosts[index].records.insert_own(stream, origin, now);
        if !matches!(self.known(index), Knowledge::Sole(_)) {
            self.copy(index);
        }
    }

    /// Breaks the streams of one server. Their nodes resume them at another one.
    fn break_streams(&mut self) {
        let position = self.below(self.servers.len() as u64) as usize;
        let Some(broken) = self.servers.keys().nth(position).cloned() else {
            return;
        };
        for index in 0..self.streams.len() {
            let Some(host) = self.streams[index].node else {
                continue;
            };
            if self.streams[index].server != broken {
                continue;
            }
            let software = self.servers[&broken].software.clone();
            let required = (self.policy == Policy::SameSoftware).then_some(&*software);
            match self.choose(host, required, std::slice::from_ref(&broken)) {
                Some(server) => self.go_on(index, host, &server),
                None => {
                    self.streams[index].node = None;
                    self.streams[index].come_back_at = self.now + Duration::from_millis(300);
                }
            }
        }
    }

    fn go_on(&mut self, index: usize, host: usize, server: &Server) {
        let stream = &mut self.streams[index];
        stream.node = Some(host);
        stream.server = server.id.clone();
        stream.versions.insert(server.software.clone());
    }

    fn advance_streams(&mut self) {
        for index in 0..self.streams.len() {
            if self.streams[index].node.is_none() && self.now >= self.streams[index].come_back_at {
                self.take_up(index);
            }
        }
        let now = self.now;
        let ended = self.streams.extract_if(.., |stream| stream.ends_at <= now);
        self.counts.mixed += ended.filter(|stream| stream.versions.len() > 1).count();
    }

    /// Lets a caller take its stream up at a random node. It comes once.
    fn take_up(&mut self, index: usize) {
        let host = self.random_host();
        let id = self.streams[index].id.clone();
        let began = self.streams[index].versions.first().cloned();
        let listed = self.hosts[host].balancer.servers();
        let counts = |server: &&Server| {
            Some(&server.software) == began.as_ref()
                && !server.is_draining
                && self.servers.contains_key(&server.id)
        };
        let is_counted = listed.filter(counts).count() >= 2;
        let origin = match self.policy {
            Policy::AnyServer => None,
            Policy::SameSoftware => match self.resolve(host, &id) {
                Some(origin) => Some(origin),
                None => {
                    self.counts.take_ups += usize::from(is_counted);
                    self.streams[index].ends_at = self.now;
                    return;
                }
            },
        };
        self.counts.take_ups += usize::from(is_counted);
        let required = origin.as_ref().map(|origin| &*origin.software);
        match self.choose(host, required, &[]) {
            Some(server) => {
                self.counts.continued += usize::from(is_counted);
                if self.policy == Policy::SameSoftware {
                    self.record(host, &id, &server);
                }
                self.go_on(index, host, &server);
            }
            None => self.streams[index].ends_at = self.now,
        }
    }

    fn resolve(&mut self, index: usize, id: &Name) -> Option<Origin> {
        let now = self.now;
        if let Some(origin) = self.hosts[index].records.get(id, now) {
            return Some(origin.clone());
        }
        let nodes: Vec<Node> = self.hosts.iter().map(|host| host.node.clone()).collect();
        let listing = self.listing(index);
        for count in [LOOKUPS, WIDE_LOOKUPS] {
            let mut answers = Vec::new();
            for node in resume::lookups(id, nodes.iter(), &nodes[index].id, count) {
                let asked = nodes.iter().position(|other| other == node).unwrap_or(0);
                if self.hosts[asked].is_up {
                    answers.push(Answer {
                        origin: self.hosts[asked].records.get(id, now).cloned(),
                        known: self.known(asked),
                    });
                }
            }
            if let Some((origin, source)) =
                resume::resolve(&"quotes".into(), Some(&listing), &answers)
            {
                self.counts.found_by_copy += usize::from(source == Source::Copy);
                return Some(origin);
            }
        }
        None
    }
}
