//! Indexes the configuration in force for routing, and holds the state of its pools.
#![expect(
    clippy::rc_buffer,
    reason = "the host list has the type of the context's channel"
)]

use std::{
    collections::{BTreeSet, HashMap, HashSet},
    sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock},
    time::Instant,
};

use http::HeaderValue;
use rand_chacha::ChaCha8Rng;
use shallotroute_config::{object, snapshot::Snapshot};
use shallotroute_platform::host::{self, Host};
use shallotroute_routing::{
    admission::Queue,
    pool::{Choice, Pool, Query},
    server::LeavingNotice,
    table::Table,
};
use shallotroute_types::{name::Name, revision::Revision, version::Version};
use tokio::sync::watch;

use crate::admission::SlotSender;

/// A revision of the configuration, indexed for routing.
pub(crate) struct RoutingState {
    snapshot: Arc<Snapshot>,
    pub(crate) table: Table,
    pub(crate) pools: HashMap<Name, Arc<SharedPool>>,
    pub(crate) revision_header: HeaderValue,
}

/// A pool's state, shared by all requests. Later revisions reuse it while they have the pool with
/// the same kind of backend servers.
pub(crate) struct SharedPool {
    pub(crate) backend: object::Backend,
    state: Mutex<State>,
}

/// The state that a pool's lock protects.
pub(crate) struct State {
    pub(crate) pool: Pool,
    pub(crate) queue: Queue<SlotSender>,
    random: ChaCha8Rng,
    /// The host list that was last applied to the pool.
    applied_hosts: Option<Arc<Vec<Host>>>,
}

impl SharedPool {
    /// Locks the state. The guard must not be held across an await.
    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Chooses a server by the current host list and counts the request as sent to it. Returns
    /// `None` when no server takes the request.
    pub(crate) fn choose(
        &self,
        query: &Query<'_>,
        hosts: &watch::Receiver<Arc<Vec<Host>>>,
        now: Instant,
    ) -> Option<Choice> {
        let mut state = self.state();
        let State {
            pool,
            random,
            applied_hosts,
            ..
        } = &mut *state;
        let hosts = hosts.borrow();
        if !applied_hosts
            .as_ref()
            .is_some_and(|it| Arc::ptr_eq(it, &hosts))
        {
            let leaving_hosts: HashSet<&Name> = hosts
                .iter()
                .filter(|host| host.state == host::State::Leaving)
                .map(|host| &host.name)
                .collect();
            pool.apply_host_list(|name| leaving_hosts.contains(name));
            *applied_hosts = Some(Arc::clone(&hosts));
        }
        pool.choose(query, now, random)
    }
}

/// Caches the routing state of the newest revision that was used.
#[derive(Default)]
pub(crate) struct Cache {
    current: RwLock<Option<Arc<RoutingState>>>,
}

impl Cache {
    /// Returns the routing state of the newest revision that was used; `None` before the first one.
    pub(crate) fn current(&self) -> Option<Arc<RoutingState>> {
        let current = self.current.read().unwrap_or_else(PoisonError::into_inner);
        current.clone()
    }

    /// Returns the routing state of `snapshot`, or the cached one when its revision is not lower.
    /// New pools get their random number generators from `random`.
    pub(crate) fn get_or_create(
        &self,
        snapshot: &Arc<Snapshot>,
        random: impl Fn() -> ChaCha8Rng,
    ) -> Arc<RoutingState> {
        let current = self.current.read().unwrap_or_else(PoisonError::into_inner);
        match &*current {
            // A lower revision never replaces the one in force.
            Some(routing_state) if routing_state.revision() >= snapshot.revision() => {
                return Arc::clone(routing_state);
            }
            Some(_) | None => drop(current),
        }
        let mut current = self.current.write().unwrap_or_else(PoisonError::into_inner);
        match &*current {
            // Another request may have created it between the two locks.
            Some(routing_state) if routing_state.revision() >= snapshot.revision() => {
                Arc::clone(routing_state)
            }
            Some(_) | None => {
                let routing_state =
                    Arc::new(RoutingState::new(snapshot, current.as_deref(), random));
                *current = Some(Arc::clone(&routing_state));
                spdlog::info!("routing requests by revision {}", routing_state.revision());
                routing_state
            }
        }
    }
}

impl RoutingState {
    pub(crate) fn revision(&self) -> Revision {
        self.snapshot.revision()
    }

    /// Returns notices of the servers that refused requests as leaving.
    pub(crate) fn leaving_notices(&self, now: Instant) -> Vec<LeavingNotice> {
        let pools = self.pools.iter();
        let notices = pools.flat_map(|(pool, shared_pool)| {
            let state = shared_pool.state();
            let notices = state
                .pool
                .leaving_refusals(now)
                .map(|(server, age)| LeavingNotice {
                    pool: pool.clone(),
                    server: server.name.clone(),
                    address: server.address,
                    age,
                });
            notices.collect::<Vec<_>>()
        });
        notices.collect()
    }

    /// Records another node's notice of a leaving server. Returns whether this node did not know
    /// yet that the server is leaving.
    pub(crate) fn record_leaving_notice(&self, notice: &LeavingNotice, now: Instant) -> bool {
        let at = now.checked_sub(notice.age).unwrap_or(now);
        let shared_pool = self.pools.get(&notice.pool);
        let is_new = shared_pool.is_some_and(|shared_pool| {
            let pool = &mut shared_pool.state().pool;
            pool.record_peer_refusal(&notice.server, notice.address, at, now)
        });
        if is_new {
            spdlog::info!(
                "server {} of pool {} is leaving; it refused another node {:?} ago",
                notice.server,
                notice.pool,
                notice.age
            );
        }
        is_new
    }

    fn new(
        snapshot: &Arc<Snapshot>,
        predecessor: Option<&Self>,
        random: impl Fn() -> ChaCha8Rng,
    ) -> Self {
        let withdrawn = withdrawn(snapshot);
        let pools = snapshot.set.pools.iter().map(|(name, object)| {
            let existing = predecessor.and_then(|routing_state| routing_state.pools.get(name));
            let shared_pool = reuse_or_create(object, existing, &random);
            shared_pool.state().pool.set_withdrawn(withdrawn.clone());
            (name.clone(), shared_pool)
        });
        Self {
            table: Table::new(&snapshot.set),
            pools: pools.collect(),
            revision_header: HeaderValue::from(snapshot.revision().0),
            snapshot: Arc::clone(snapshot),
        }
    }
}

/// Returns the model versions that get no new work.
fn withdrawn(snapshot: &Snapshot) -> BTreeSet<(Name, Version)> {
    let versions = snapshot.set.model_versions.values();
    versions
        .filter(|it| it.state == object::VersionState::Withdrawn)
        .map(|it| (it.model.clone(), it.version))
        .collect()
}

fn reuse_or_create(
    object: &object::Pool,
    existing: Option<&Arc<SharedPool>>,
    random: &impl Fn() -> ChaCha8Rng,
) -> Arc<SharedPool> {
    match existing {
        Some(shared_pool) if shared_pool.backend == object.backend => {
            let mut state = shared_pool.state();
            state.pool.update(object);
            // The host list has not been applied to the servers that are new in this revision.
            state.applied_hosts = None;
            Arc::clone(shared_pool)
        }
        Some(_) | None => Arc::new(SharedPool {
            backend: object.backend,
            state: Mutex::new(State {
                pool: Pool::new(object),
                queue: Queue::default(),
                random: random(),
                applied_hosts: None,
            }),
        }),
    }
}
