//! What the parts of a node on the platform share.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use shallotroute_batch::record::Owner;
use shallotroute_fleet::{
    route::Table,
    server::{Outcome, Roster},
};
use shallotroute_settings::site::Site as Settings;
use shallotroute_types::{clock::Clock, name::Name, node::Incarnation, version::Version};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::{
    follow::Sources, job::Registry, member::Members, metric::Metrics, peer::Peers, pool::Pool,
    spare::Spares, store::Store,
};

/// How long connecting to a backend server may take; a packet needs a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// The versions that trainers named, by model.
pub(crate) type Targets = BTreeMap<Name, Version>;

/// The shared parts of a node.
pub(crate) struct Site {
    pub(crate) settings: Settings,
    /// This process.
    pub(crate) owner: Owner,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) peers: Arc<Peers>,
    pub(crate) store: Store,
    pub(crate) pool: Arc<Pool>,
    /// The configuration in force.
    pub(crate) table: watch::Sender<Option<ActiveTable>>,
    pub(crate) targets: watch::Sender<Targets>,
    /// The nodes whose hosts an operator wants to empty.
    pub(crate) retirements: watch::Sender<BTreeSet<Name>>,
    pub(crate) members: watch::Sender<Members>,
    pub(crate) jobs: Registry,
    /// Results that other nodes could not write.
    pub(crate) spares: Spares,
    /// What other nodes get of the prefixes that this one follows.
    pub(crate) sources: Sources,
    /// Cancelled when the process has to stop.
    pub(crate) drain: CancellationToken,
    roster: Mutex<Roster>,
    /// Whether the host list was read.
    pub(crate) has_host_list: watch::Sender<bool>,
}

/// A request in progress at a backend server; counts there until it is dropped.
pub(crate) struct InFlight {
    site: Arc<Site>,
    server: Name,
    outcome: Outcome,
}

/// A configuration that requests use.
#[derive(Clone, Debug)]
pub(crate) struct ActiveTable {
    pub(crate) table: Arc<Table>,
    pub(crate) since: Instant,
}

impl Site {
    /// Makes the shared parts, without any knowledge of the platform.
    pub(crate) fn new(settings: Settings, clock: Arc<dyn Clock>) -> Arc<Self> {
        let metrics = Arc::new(Metrics::new());
        let peers = Arc::new(Peers::new());
        let started = milliseconds(clock.wall());
        let owner = Owner {
            node: settings.node.id.clone(),
            incarnation: Incarnation(started),
            address: settings.listen.peers,
        };
        let zone = settings.node.zone.clone();
        let store = Store::new(settings.store, Arc::clone(&metrics), Arc::clone(&peers));
        let pool = Pool::new(CONNECT_TIMEOUT, metrics.connections.clone());
        Arc::new(Self {
            settings,
            owner,
            clock,
            metrics,
            peers,
            store,
            pool,
            table: watch::channel(None).0,
            targets: watch::channel(Targets::new()).0,
            retirements: watch::channel(BTreeSet::new()).0,
            members: watch::channel(Members::default()).0,
            jobs: Registry::default(),
            spares: Spares::default(),
            sources: Sources::default(),
            drain: CancellationToken::new(),
            roster: Mutex::new(Roster::new(zone)),
            has_host_list: watch::channel(false).0,
        })
    }

    /// Returns the configuration in force.
    pub(crate) fn table(&self) -> Option<Arc<Table>> {
        let in_force = self.table.borrow();
        in_force.as_ref().map(|it| Arc::clone(&it.table))
    }

    /// Returns when the configuration came into force at this node.
    pub(crate) fn active_since(&self) -> Option<Instant> {
        self.table.borrow().as_ref().map(|it| it.since)
    }

    /// Returns the backend servers.
    pub(crate) fn roster(&self) -> MutexGuard<'_, Roster> {
        self.roster.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells whether the node can serve callers.
    pub(crate) fn is_ready(&self) -> bool {
        self.table.borrow().is_some() && *self.has_host_list.borrow() && !self.drain.is_cancelled()
    }

    /// Returns the monotonic time.
    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Returns the Unix time in milliseconds.
    pub(crate) fn unix_ms(&self) -> u64 {
        milliseconds(self.clock.wall())
    }

    /// Counts a request at a server until the result is dropped.
    pub(crate) fn start_request(self: &Arc<Self>, server: &Name) -> InFlight {
        self.roster().begin(server);
        InFlight {
            site: Arc::clone(self),
            server: server.clone(),
            outcome: Outcome::Dropped,
        }
    }
}

impl InFlight {
    /// Sets how the request has ended; without it the request counts as dropped.
    pub(crate) fn finish(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let now = self.site.now();
        self.site.roster().end(&self.server, self.outcome, now);
    }
}

fn milliseconds(time: SystemTime) -> u64 {
    let elapsed = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
