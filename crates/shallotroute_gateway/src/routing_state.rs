//! The configuration in force in the form that requests use.
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

use crate::admission::Waiter;

/// One revision, indexed.
pub(crate) struct RoutingState {
    snapshot: Arc<Snapshot>,
    pub(crate) table: Table,
    pub(crate) pools: HashMap<Name, Arc<SharedPool>>,
    pub(crate) revision_header: HeaderValue,
}

/// A pool's state, shared by all requests. It outlives a revision as long as the pool stays.
pub(crate) struct SharedPool {
    pub(crate) backend: object::Backend,
    state: Mutex<State>,
}

/// What a pool's lock protects.
pub(crate) struct State {
    pub(crate) pool: Pool,
    pub(crate) queue: Queue<Waiter>,
    random: ChaCha8Rng,
    /// The host list that the pool has taken over.
    applied_hosts: Option<Arc<Vec<Host>>>,
}

impl SharedPool {
    /// Locks the state for a short while; no lock is held over an await.
    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Chooses a server with the host list as it is now, and counts the request as sent to it.
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
            let leaving: HashSet<&Name> = hosts
                .iter()
                .filter(|host| host.state == host::State::Leaving)
                .map(|host| &host.name)
                .collect();
            pool.apply_host_list(|name| leaving.contains(name));
            *applied_hosts = Some(Arc::clone(&hosts));
        }
        pool.choose(query, now, random)
    }
}

/// Holds the runtime of the newest revision that a request has seen.
#[derive(Default)]
pub(crate) struct Cache {
    current: RwLock<Option<Arc<RoutingState>>>,
}

impl Cache {
    /// Returns the runtime of the newest revision that a request has seen.
    pub(crate) fn current(&self) -> Option<Arc<RoutingState>> {
        let current = self.current.read().unwrap_or_else(PoisonError::into_inner);
        current.clone()
    }

    /// Returns the runtime of `snapshot`, made when it is not the current one. New pools get their
    /// random numbers from `random`.
    pub(crate) fn get_or_create(
        &self,
        snapshot: &Arc<Snapshot>,
        random: impl Fn() -> ChaCha8Rng,
    ) -> Arc<RoutingState> {
        let current = self.current.read().unwrap_or_else(PoisonError::into_inner);
        match &*current {
            // A revision in force is never replaced by a lower one.
            Some(routing_state) if routing_state.revision() >= snapshot.revision() => {
                return Arc::clone(routing_state);
            }
            Some(_) | None => drop(current),
        }
        let mut current = self.current.write().unwrap_or_else(PoisonError::into_inner);
        match &*current {
            // Another request may have got here first.
            Some(routing_state) if routing_state.revision() >= snapshot.revision() => {
                Arc::clone(routing_state)
            }
            Some(_) | None => {
                let routing_state =
                    Arc::new(RoutingState::new(snapshot, current.as_deref(), random));
                *current = Some(Arc::clone(&routing_state));
                spdlog::info!("requests use revision {}", routing_state.revision());
                routing_state
            }
        }
    }
}

impl RoutingState {
    pub(crate) fn revision(&self) -> Revision {
        self.snapshot.revision()
    }

    /// Returns the servers that refused requests as leaving.
    pub(crate) fn leaving_notices(&self, now: Instant) -> Vec<LeavingNotice> {
        let pools = self.pools.iter();
        let leaving = pools.flat_map(|(pool, shared_pool)| {
            let state = shared_pool.state();
            let leaving = state
                .pool
                .leaving_refusals(now)
                .map(|(server, age)| LeavingNotice {
                    pool: pool.clone(),
                    server: server.name.clone(),
                    address: server.address,
                    age,
                });
            leaving.collect::<Vec<_>>()
        });
        leaving.collect()
    }

    /// Takes note of a server that refused another node as leaving; tells whether this is news.
    pub(crate) fn record_leaving_notice(&self, leaving: &LeavingNotice, now: Instant) -> bool {
        let at = now.checked_sub(leaving.age).unwrap_or(now);
        let shared_pool = self.pools.get(&leaving.pool);
        let is_new = shared_pool.is_some_and(|shared_pool| {
            let pool = &mut shared_pool.state().pool;
            pool.record_peer_refusal(&leaving.server, leaving.address, at, now)
        });
        if is_new {
            spdlog::info!(
                "server {} of pool {} leaves, as it told another node {:?} ago",
                leaving.server,
                leaving.pool,
                leaving.age
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

/// Returns the versions that get no new work.
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
            // Servers that are new in this revision have not seen the host list.
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
