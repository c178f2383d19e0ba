//! Serves trainers: samples their steps on model engines and loads the versions that they announce.
//!
//! Start with [`Sampler`]. The owner of a pool runs its scheduler. The holder of the pool's lease,
//! which may be another node, commands the pool's engines to load versions.

mod access;
mod controller;
mod endpoint;
mod failure;
mod ledger;
mod metric;
mod outbound;
mod owner;
mod peers;
mod pool;
mod replicas;
mod service;

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use futures::future::BoxFuture;
use http::{Request, Response};
use hyper::body::Incoming;
use prometheus_client::registry::Registry;
use shallotroute_config::snapshot::Snapshot;
use shallotroute_context::Context;
use shallotroute_http::{body::Body, server::Handler};
use shallotroute_peer::stream::Service;
use shallotroute_platform::{engine::Engine, scorer::Scorer, store::Store};
use shallotroute_rollout::{configuration::Configuration, scheduler::Event};
use shallotroute_types::name::Name;

use crate::{
    ledger::Ledger, metric::Metrics, owner::pool_key, peers::Peers, pool::Handle,
    replicas::Replicas, service::Acceptor,
};

/// The clients of the outside systems that sampling calls.
#[derive(Clone)]
pub struct Clients {
    /// The client of the model engines; each call names the engine's address.
    pub engine: Arc<dyn Engine>,
    /// The client of the scoring services; each call names the service's address.
    pub scorer: Arc<dyn Scorer>,
    /// The client of the key-value service.
    pub store: Arc<dyn Store>,
}

/// Serves the HTTP endpoints of trainers below `/v1/trainers/` and runs the pools that this node
/// owns.
pub struct Sampler {
    context: Context,
    clients: Clients,
    replicas: Replicas,
    peers: Peers,
    /// The pools that this node owns and runs.
    pools: Mutex<BTreeMap<Name, Handle>>,
    /// The pools for whose lease this node is a candidate.
    controllers: Mutex<BTreeMap<Name, controller::Handle>>,
    ledger: Arc<Ledger>,
    metrics: Metrics,
    /// Each serializes the submissions of the steps whose hash selects it.
    submit_locks: [tokio::sync::Mutex<()>; SUBMIT_LOCKS],
}

/// The number of locks that the steps share, and so the maximum number of concurrent submissions.
const SUBMIT_LOCKS: usize = 64;

impl Sampler {
    /// Creates a sampler without pools and registers its metrics; [`Sampler::run`] starts the
    /// pools.
    pub fn new(context: Context, clients: Clients, registry: &mut Registry) -> Arc<Self> {
        let ledger = Ledger::new(context.clone(), Arc::clone(&clients.store));
        Arc::new(Self {
            context,
            clients,
            ledger: Arc::new(ledger),
            metrics: Metrics::new(registry),
            replicas: Replicas::default(),
            peers: Peers::default(),
            pools: Mutex::default(),
            controllers: Mutex::default(),
            submit_locks: [const { tokio::sync::Mutex::const_new(()) }; SUBMIT_LOCKS],
        })
    }

    /// Returns the service that other nodes call, always `Some`.
    pub fn service(self: &Arc<Self>) -> Option<Arc<dyn Service>> {
        Some(Arc::new(Acceptor(Arc::clone(self))))
    }

    /// Runs the pools that this node owns until the node stops. Starts and stops pools and
    /// controllers when the configuration in force or the member list changes.
    pub async fn run(self: Arc<Self>) {
        let ledger = Arc::clone(&self.ledger);
        let ledger_task = tokio::spawn(async move { ledger.run().await });
        let mut configuration = self.context.configuration.clone();
        let mut members = self.context.members.clone();
        loop {
            let snapshot = configuration.borrow_and_update().clone();
            members.borrow_and_update();
            Arc::clone(&self).reconcile_pools(snapshot.as_deref()).await;
            self.reconcile_controllers(snapshot.as_deref()).await;
            tokio::select! {
                () = self.context.stop.cancelled() => break,
                changed = configuration.changed() => if changed.is_err() { break },
                changed = members.changed() => if changed.is_err() { break },
            }
        }
        for (_, handle) in std::mem::take(&mut *self.lock_pools()) {
            handle.stop();
        }
        let _ = ledger_task.await;
    }

    /// Returns the pools, controllers and ledger counts of this node for the dump. The state of a
    /// pool is about a second old at most.
    pub fn dump(&self) -> serde_json::Value {
        let pools: Vec<serde_json::Value> = self.lock_pools().values().map(Handle::dump).collect();
        let controllers = self.lock_controllers();
        let controllers: Vec<serde_json::Value> =
            controllers.values().map(controller::Handle::dump).collect();
        let (waiting, dropped) = self.ledger.counts();
        serde_json::json!({
            "pools": pools,
            "controllers": controllers,
            "ledger": { "waiting_groups": waiting, "dropped_groups": dropped },
        })
    }

    /// Starts the pools that this node now owns, stops those that it no longer owns, and passes the
    /// revision in force to the others.
    async fn reconcile_pools(self: Arc<Self>, snapshot: Option<&Snapshot>) {
        let mut wanted = self.owned_configurations(snapshot);
        let mut existing = Vec::new();
        let mut started = Vec::new();
        {
            let mut pools = self.lock_pools();
            pools.retain(|name, handle| match wanted.remove(name) {
                Some(configuration) => {
                    existing.push((handle.clone(), configuration));
                    true
                }
                None => {
                    spdlog::info!("no longer owner of pool {}", name);
                    handle.stop();
                    false
                }
            });
            for (name, configuration) in wanted {
                spdlog::info!("became owner of pool {}", name);
                let trainers: Vec<Name> = configuration.trainers.keys().cloned().collect();
                let seed = rand::random();
                let handle = Handle::start(&self, configuration, seed);
                started.push((name.clone(), handle.clone(), trainers));
                pools.insert(name, handle);
            }
        }
        for (handle, configuration) in existing {
            handle
                .send_event(Event::Configured(Arc::new(configuration)))
                .await;
        }
        for (pool, handle, trainers) in started {
            let sampler = Arc::clone(&self);
            tokio::spawn(async move {
                sampler
                    .recover_announcements(&pool, &handle, &trainers)
                    .await
            });
        }
    }

    /// Starts the controllers of the pools for whose lease this node is now a candidate, stops
    /// those for which it no longer is, and passes the revision in force to the others.
    async fn reconcile_controllers(self: &Arc<Self>, snapshot: Option<&Snapshot>) {
        let view = self.context.members.borrow().clone();
        let local_id = &self.context.local.id;
        let mut wanted = pool_configurations(snapshot, |pool| {
            let ranked = view.ranked(&pool_key(pool), controller::LEASE_CANDIDATES);
            ranked.iter().any(|member| member.id == *local_id)
        });
        let mut existing = Vec::new();
        {
            let mut controllers = self.lock_controllers();
            controllers.retain(|name, handle| match wanted.remove(name) {
                Some(configuration) => {
                    existing.push((handle.clone(), configuration));
                    true
                }
                None => {
                    handle.stop();
                    false
                }
            });
            for (name, configuration) in wanted {
                controllers.insert(name, controller::Handle::start(self, configuration));
            }
        }
        for (handle, configuration) in existing {
            handle.update_configuration(configuration).await;
        }
    }

    /// Returns the configurations of the pools that this node owns and that have trainers.
    fn owned_configurations(&self, snapshot: Option<&Snapshot>) -> BTreeMap<Name, Configuration> {
        let view = self.context.members.borrow().clone();
        let mut owned = pool_configurations(snapshot, |pool| view.is_owner(&pool_key(pool)));
        owned.retain(|_, configuration| !configuration.trainers.is_empty());
        owned
    }

    fn lock_controllers(&self) -> MutexGuard<'_, BTreeMap<Name, controller::Handle>> {
        self.controllers
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the handle of a pool that this node owns.
    fn pool(&self, pool: &str) -> Option<Handle> {
        self.lock_pools().get(pool).cloned()
    }

    fn pool_handles(&self) -> Vec<Handle> {
        self.lock_pools().values().cloned().collect()
    }

    fn lock_pools(&self) -> MutexGuard<'_, BTreeMap<Name, Handle>> {
        self.pools.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the configurations of the engine pools whose name satisfies `is_wanted`; none without a
/// snapshot.
fn pool_configurations(
    snapshot: Option<&Snapshot>,
    is_wanted: impl Fn(&str) -> bool,
) -> BTreeMap<Name, Configuration> {
    let Some(snapshot) = snapshot else {
        return BTreeMap::new();
    };
    let names = snapshot.set.pools.keys().filter(|name| is_wanted(name));
    names
        .filter_map(|name| {
            let configuration = Configuration::new(&snapshot.set, snapshot.revision(), name)?;
            Some((name.clone(), configuration))
        })
        .collect()
}

impl Handler for Sampler {
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        _peer: SocketAddr,
    ) -> BoxFuture<'static, Response<Body>> {
        Box::pin(async move { self.respond(request).await })
    }
}
