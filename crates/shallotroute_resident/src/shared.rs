//! State that all tasks of a node share.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, MutexGuard, PoisonError, atomic::AtomicUsize},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use http::HeaderMap;
use shallotroute_adapter::{backend::Head, caller};
use shallotroute_batch::record::Owner;
use shallotroute_fleet::{
    access::{self, Grant},
    admission::Policy,
    capacity::{Backlog, Board},
    freshness::Standing,
    limit::{Observation, Rate},
    link,
    route::{Route, Table},
    server::{Balancer, Outcome, Rank},
    source,
    workspace::Secret,
};
use shallotroute_http::memory::{Bounds, Memory};
use shallotroute_settings::site::{Duty, Overload, SiteSettings as Settings};
use shallotroute_types::{clock::Clock, name::Name, node::Incarnation, version::Version};
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;

use crate::{
    admission::Governors,
    checkpoint::Checkpoints,
    duty,
    freshness::Freshness,
    job::Registry,
    limit::Limits,
    link::Monitor,
    member::{Member, Members},
    metric::Metrics,
    peer::Peers,
    pool::Pool,
    resume::Streams,
    scaler::Records,
    store::Store,
    suspect::{self, Tracker},
    usage,
    view::View,
};

/// The timeout for connecting to a backend server; a packet to one takes a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// The target versions that trainers have set, by model.
pub(crate) type Targets = BTreeMap<Name, Version>;

/// The state of a node, shared by all of its tasks.
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    /// The identity of this process, under which it owns jobs.
    pub(crate) owner: Owner,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) metrics: Arc<Metrics>,
    /// The memory that requests, responses and batch jobs may hold.
    pub(crate) memory: Arc<Memory>,
    pub(crate) peers: Arc<Peers>,
    pub(crate) store: Store,
    pub(crate) pool: Arc<Pool>,
    /// The active configuration; `None` until the first one has been read from the store.
    pub(crate) active_table: watch::Sender<Option<ActiveTable>>,
    pub(crate) targets: watch::Sender<Targets>,
    /// The nodes whose hosts operators have asked to empty before their retirement.
    pub(crate) retirements: watch::Sender<BTreeSet<Name>>,
    pub(crate) members: watch::Sender<Members>,
    pub(crate) jobs: Registry,
    /// Checkpoints of jobs that other nodes own.
    pub(crate) held_checkpoints: Checkpoints,
    /// The streams whose callers may come back, here or at another node.
    pub(crate) streams: Streams,
    /// The limits that backend servers have named.
    pub(crate) limits: Limits,
    /// What this node sends to services that reject requests.
    pub(crate) governors: Arc<Governors>,
    /// Whether this node's links to the backend servers work.
    pub(crate) links: Monitor,
    /// The number of requests in progress that this node relays for others.
    pub(crate) relayed: AtomicUsize,
    /// The requests under which backend servers crashed.
    pub(crate) suspects: Tracker,
    /// The last orders that this node gave while it led, and the figures behind them.
    pub(crate) scaling: Records,
    /// The calls for the duties that the leader performs; `None` if the deployment has none.
    pub(crate) duties: Option<duty::Caller>,
    /// The usage that callers' requests make; `None` if the deployment does not report it.
    pub(crate) usage: Option<Arc<usage::Recorder>>,
    /// The copies of what all nodes follow in the store, which this node passes on to others.
    pub(crate) view: View,
    /// The proof that this node's copy of the operators' objects is complete.
    pub(crate) freshness: Freshness,
    /// Whether this node is to have an entry among the members.
    pub(crate) should_register: watch::Sender<bool>,
    /// Cancelled when the node starts to drain.
    pub(crate) drain: CancellationToken,
    /// The secret with which API keys are digested in this process.
    pub(crate) secret: Secret,
    balancer: Mutex<Balancer>,
    /// What the jobs of other nodes lack and have in flight. Locked before `balancer`.
    board: Mutex<Board>,
    /// The average number of open items of each model. Locked after `board`.
    backlog: Mutex<Backlog>,
    /// Whether the host list has been read at least once.
    pub(crate) has_host_list: watch::Sender<bool>,
}

/// Changes that other nodes are told of, by the task that tells them.
pub(crate) struct Inbox {
    /// Changes of limits, for [`crate::limit::run`].
    pub(crate) limits: mpsc::Receiver<Observation>,
    /// Changes of requests under which servers crashed, for [`suspect::run`].
    pub(crate) suspects: mpsc::Receiver<suspect::Change>,
}

/// A guard that counts a request as in flight at a backend server until it is dropped.
pub(crate) struct InFlight {
    shared: Arc<Shared>,
    server: Name,
    rank: Option<Rank>,
    outcome: Outcome,
}

/// The active configuration, by which requests are routed.
#[derive(Clone, Debug)]
pub(crate) struct ActiveTable {
    pub(crate) table: Arc<Table>,
    /// When the configuration became active at this node.
    pub(crate) since: Instant,
}

impl Shared {
    /// Creates the state of a node that has not read anything from the platform yet.
    ///
    /// Also returns the changes that other nodes are told of.
    pub(crate) fn new(settings: Settings, clock: Arc<dyn Clock>) -> (Arc<Self>, Inbox) {
        let metrics = Arc::new(Metrics::new());
        let peers = Arc::new(Peers::new());
        let started_ms = unix_milliseconds(clock.wall_time());
        let owner = Owner {
            node: settings.node.id.clone(),
            incarnation: Incarnation(started_ms),
            address: settings.listen.peers,
        };
        let zone = settings.node.zone.clone();
        let seed = xxhash_rust::xxh3::xxh3_64(owner.node.as_bytes());
        let balancer = Balancer::new(zone).with_seed(seed);
        let store = Store::new(settings.store, Arc::clone(&metrics), Arc::clone(&peers));
        let pool = Pool::new(CONNECT_TIMEOUT, metrics.connections.clone());
        let freshness = Freshness::new(settings.revocation);
        let (limits, limit_changes) = Limits::new();
        let (suspects, suspect_changes) = Tracker::new();
        let duties = duty::Caller::new(&settings, Arc::clone(&clock), Arc::clone(&metrics));
        let usage = usage_recorder(&settings, duties.as_ref(), &clock);
        let policy = admission_policy(settings.overload);
        let governors = Governors::new(policy, metrics.admissions.clone());
        let bounds = Bounds::new(settings.memory_mb, settings.descriptors);
        let shared = Arc::new(Self {
            memory: Memory::new(bounds),
            settings,
            owner,
            clock,
            metrics,
            peers,
            store,
            pool,
            active_table: watch::channel(None).0,
            targets: watch::channel(Targets::new()).0,
            retirements: watch::channel(BTreeSet::new()).0,
            members: watch::channel(Members::default()).0,
            jobs: Registry::default(),
            held_checkpoints: Checkpoints::default(),
            streams: Streams::new(),
            limits,
            governors,
            links: Monitor::new(),
            relayed: AtomicUsize::new(0),
            suspects,
            scaling: Records::default(),
            duties,
            usage,
            view: View::default(),
            freshness,
            should_register: watch::channel(false).0,
            drain: CancellationToken::new(),
            secret: Secret::new(rand::random()),
            balancer: Mutex::new(balancer),
            board: Mutex::default(),
            backlog: Mutex::default(),
            has_host_list: watch::channel(false).0,
        });
        let inbox = Inbox {
            limits: limit_changes,
            suspects: suspect_changes,
        };
        (shared, inbox)
    }

    /// Returns this node as a source of the store's changes.
    pub(crate) fn source_node(&self) -> source::Node {
        source::Node {
            id: self.owner.node.clone(),
            zone: self.settings.node.zone.clone(),
            capacity: self.capacity(),
        }
    }

    /// Returns the processor cores of the host, in thousandths.
    pub(crate) fn capacity(&self) -> u32 {
        (self.settings.cores * 1000.0) as u32
    }

    /// Returns the active configuration, or `None` before the first one has been read.
    pub(crate) fn table(&self) -> Option<Arc<Table>> {
        let active = self.active_table.borrow();
        active.as_ref().map(|active| Arc::clone(&active.table))
    }

    /// Decides whether the request of a caller is served. `route` is `None` for a call about a batch job.
    ///
    /// # Errors
    ///
    /// Returns why the request is not served.
    pub(crate) fn authorize(
        &self,
        table: &Table,
        route: Option<&Route>,
        headers: &HeaderMap,
    ) -> access::Result<Grant> {
        let key = caller::api_key(headers, &self.secret);
        access::decide(table, route, key, self.configuration_freshness()).into_result()
    }

    /// Decides again whether a request may be sent, by the active configuration. Returns the grant by which
    /// it is sent.
    ///
    /// # Errors
    ///
    /// Returns why the request may not be sent any more.
    pub(crate) fn recheck(&self, grant: &Grant) -> access::Result<Grant> {
        match self.table() {
            Some(table) => {
                access::recheck(&table, grant, self.configuration_freshness()).into_result()
            }
            None => Ok(grant.clone()),
        }
    }

    /// Returns whether the configuration is recent enough to tell which keys are valid.
    pub(crate) fn configuration_freshness(&self) -> access::Freshness {
        match self.freshness_standing() {
            Standing::Fresh | Standing::Leaving => access::Freshness::Fresh,
            Standing::Stale { retry_after } => access::Freshness::Stale { retry_after },
        }
    }

    /// Returns the node that runs the batch jobs submitted to a host and path. All jobs of a route run
    /// at one node, which knows the load that they make at the servers. Returns `None` if there is no
    /// such route or no node to run them.
    pub(crate) fn node_for_jobs(&self, host: &str, path: &str) -> Option<Member> {
        let table = self.table()?;
        let route = table.find(host, path)?;
        self.members.borrow().node_for(&route.name).cloned()
    }

    /// Returns when the configuration became active at this node.
    pub(crate) fn active_since(&self) -> Option<Instant> {
        self.active_table
            .borrow()
            .as_ref()
            .map(|active| active.since)
    }

    /// Locks and returns the balancer, which knows the backend servers and chooses among them.
    pub(crate) fn balancer(&self) -> MutexGuard<'_, Balancer> {
        self.balancer.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks and returns what the jobs of other nodes lack and have in flight.
    pub(crate) fn board(&self) -> MutexGuard<'_, Board> {
        self.board.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks and returns the average number of open items of each model.
    pub(crate) fn backlog(&self) -> MutexGuard<'_, Backlog> {
        self.backlog.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether requests with keys need a configuration that is provably fresh (strict revocation).
    pub(crate) fn requires_freshness(&self) -> bool {
        let active = self.active_table.borrow();
        let workspaces = active.as_ref().and_then(|active| active.table.workspaces());
        self.settings.revocation.is_some() && workspaces.is_some()
    }

    /// Returns whether this node may decide about keys; always if nothing requires a fresh configuration.
    pub(crate) fn freshness_standing(&self) -> Standing {
        match self.requires_freshness() {
            true => self.freshness.standing(self.boot_time()),
            false => Standing::Fresh,
        }
    }

    /// Returns whether the node can serve callers: it has a configuration and the host list, reaches servers
    /// in some way, need not reject requests with keys soon, and does not drain.
    pub(crate) fn is_ready(&self) -> bool {
        self.active_table.borrow().is_some()
            && *self.has_host_list.borrow()
            && self.links.state() != link::State::Isolated
            && self.freshness_standing() == Standing::Fresh
            && !self.drain.is_cancelled()
    }

    /// Records what the head of a server's response says about the server.
    pub(crate) fn record_head(&self, server: &Name, head: &Head) {
        if head.is_leaving {
            self.record_leaving(server);
        }
        let now = self.now();
        if let Some(delay) = head.retry_after.filter(|_| head.is_rejected) {
            self.balancer().record_advice(server, delay, now);
        }
        let observed = self.balancer().record_limit(server, head.limit, now);
        if let Some(observation) = observed {
            let rate = observation.rate.map(Rate::per_second);
            let event = match rate {
                Some(_) => "named",
                None => "ended",
            };
            Metrics::count(&self.metrics.limits, event);
            spdlog::info!("limit of a server", kv: {
                server = server.as_str(), event, per_second = rate.unwrap_or_default(),
            });
            self.limits.announce(observation);
        }
    }

    /// Records that a server has said that it is leaving.
    pub(crate) fn record_leaving(&self, server: &Name) {
        let now = self.now();
        if self.balancer().record_leaving(server, now) {
            spdlog::info!("server says that it is leaving", kv: { server = server.as_str() });
        }
    }

    /// Returns the monotonic time.
    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Returns the time since the boot of the host, including its suspensions.
    pub(crate) fn boot_time(&self) -> Duration {
        self.clock.boot_time()
    }

    /// Returns the Unix time in milliseconds.
    pub(crate) fn unix_ms(&self) -> u64 {
        unix_milliseconds(self.clock.wall_time())
    }

    /// Counts a request as in flight at a server until the returned guard is dropped. `rank` is that
    /// of its job; `None` for a caller's request.
    pub(crate) fn start_request(self: &Arc<Self>, server: &Name, rank: Option<Rank>) -> InFlight {
        let mut balancer = self.balancer();
        balancer.record_start(server);
        if let Some(rank) = rank {
            balancer.record_batch_start(server, rank);
        }
        InFlight {
            shared: Arc::clone(self),
            server: server.clone(),
            rank,
            outcome: Outcome::Neutral,
        }
    }
}

impl InFlight {
    /// Ends the request with an outcome. A guard that is dropped without one counts as
    /// [`Outcome::Neutral`].
    pub(crate) fn finish(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let now = self.shared.now();
        let mut balancer = self.shared.balancer();
        balancer.record_end(&self.server, self.outcome, now);
        if let Some(rank) = self.rank {
            balancer.record_batch_end(&self.server, rank);
        }
    }
}

/// Returns the recorder of usage, where the deployment has that duty.
fn usage_recorder(
    settings: &Settings,
    duties: Option<&duty::Caller>,
    clock: &Arc<dyn Clock>,
) -> Option<Arc<usage::Recorder>> {
    let is_performed = duties.is_some_and(|duties| duties.performs(Duty::Usage));
    let recorder = || usage::Recorder::new(settings, Arc::clone(clock));
    is_performed.then(recorder).flatten()
}

fn admission_policy(overload: Overload) -> Policy {
    match overload {
        Overload::FirstCome => Policy::FirstCome,
        Overload::ByCost => Policy::ByCost,
    }
}

fn unix_milliseconds(time: SystemTime) -> u64 {
    let elapsed = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
