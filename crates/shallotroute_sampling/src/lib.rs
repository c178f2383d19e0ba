//! Trainers' steps: endpoints, attempts on engines, commands to engines. Start with [`Sampler`].

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

/// Serves trainers below `/v1/trainers/`.
pub struct Sampler {
    context: Context,
    clients: Clients,
    replicas: Replicas,
    peers: Peers,
    pools: Mutex<BTreeMap<Name, Handle>>,
    controllers: Mutex<BTreeMap<Name, controller::Handle>>,
    ledger: Arc<Ledger>,
    metrics: Metrics,
    submit_locks: [tokio::sync::Mutex<()>; SUBMIT_LOCKS],
}

/// Submissions that may be in progress at once, as far as their hashes differ.
const SUBMIT_LOCKS: usize = 64;

impl Sampler {
    /// Makes a sampler and registers its metrics.
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

    /// Returns the service that other nodes call.
    pub fn service(self: &Arc<Self>) -> Option<Arc<dyn Service>> {
        Some(Arc::new(Acceptor(Arc::clone(self))))
    }

    /// Runs the pools that this node owns until the node stops.
    pub async fn run(self: Arc<Self>) {
        let ledger = Arc::clone(&self.ledger);
        let ledger = tokio::spawn(async move { ledger.run().await });
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
        let _ = ledger.await;
    }

    /// Returns the state for the dump.
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

    /// Starts the pools that this node has come to own, stops those that it no longer owns, and
    /// tells the others of the revision in force.
    async fn reconcile_pools(self: Arc<Self>, snapshot: Option<&Snapshot>) {
        let mut wanted = self.owned_configurations(snapshot);
        let mut kept = Vec::new();
        let mut started = Vec::new();
        {
            let mut pools = self.lock_pools();
            pools.retain(|name, handle| match wanted.remove(name) {
                Some(configuration) => {
                    kept.push((handle.clone(), configuration));
                    true
                }
                None => {
                    spdlog::info!("pool {} is no longer owned by this node", name);
                    handle.stop();
                    false
                }
            });
            for (name, configuration) in wanted {
                spdlog::info!("pool {} is owned by this node", name);
                let trainers: Vec<Name> = configuration.trainers.keys().cloned().collect();
                let seed = rand::random();
                let handle = Handle::start(&self, configuration, seed);
                started.push((name.clone(), handle.clone(), trainers));
                pools.insert(name, handle);
            }
        }
        for (handle, configuration) in kept {
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

    /// Starts and stops this node's part in the leases of pools' engines.
    async fn reconcile_controllers(self: &Arc<Self>, snapshot: Option<&Snapshot>) {
        let view = self.context.members.borrow().clone();
        let local = &self.context.local.id;
        let mut wanted = pool_configurations(snapshot, |pool| {
            let ranked = view.ranked(&pool_key(pool), controller::LEASE_CANDIDATES);
            ranked.iter().any(|member| member.id == *local)
        });
        let mut kept = Vec::new();
        {
            let mut controllers = self.lock_controllers();
            controllers.retain(|name, handle| match wanted.remove(name) {
                Some(configuration) => {
                    kept.push((handle.clone(), configuration));
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
        for (handle, configuration) in kept {
            handle.update_configuration(configuration).await;
        }
    }

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

/// Returns the configurations of the pools of engines for which `wanted` holds.
fn pool_configurations(
    snapshot: Option<&Snapshot>,
    wanted: impl Fn(&str) -> bool,
) -> BTreeMap<Name, Configuration> {
    let Some(snapshot) = snapshot else {
        return BTreeMap::new();
    };
    let names = snapshot.set.pools.keys().filter(|name| wanted(name));
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
