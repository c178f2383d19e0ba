//! Routes callers' requests to backend servers: ingress, admission, selection, dispatch and
//! response. Start with [`Gateway`].

mod admission;
mod attempt;
mod dispatch;
mod dump;
mod failure;
mod forward;
mod idempotency;
mod ingress;
mod leaving;
mod metrics;
mod peer;
mod poll;
mod quota;
mod records;
mod recovery;
mod request_log;
mod routing_state;
mod stream;

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use futures::future::BoxFuture;
use http::{HeaderValue, Request, Response};
use hyper::body::Incoming;
use prometheus_client::registry::Registry;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use shallotroute_context::{Context, Local};
use shallotroute_http::{body::Body, client::Client, server::Handler};
use shallotroute_peer::stream::Service;
use shallotroute_platform::engine::Engine;
use tokio::time::timeout_at;
use uuid::Uuid;

/// The time within which a backend server must accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The handler of callers' requests at one node.
pub struct Gateway {
    context: Context,
    client: Client,
    engine: Arc<dyn Engine>,
    random: Mutex<ChaCha8Rng>,
    routing_cache: Arc<routing_state::Cache>,
    quotas: quota::Quotas,
    leaving: leaving::Gossip,
    records: Arc<records::Records>,
    request_log: Arc<request_log::RequestLog>,
    node_header: HeaderValue,
}

impl Gateway {
    /// Creates a gateway and registers its metrics. Call [`Gateway::run`] for its background work.
    pub fn new(context: Context, engine: Arc<dyn Engine>, registry: &mut Registry) -> Arc<Self> {
        let mut seed = [0; 32];
        seed[..16].copy_from_slice(Uuid::now_v7().as_bytes());
        seed[16..].copy_from_slice(Uuid::now_v7().as_bytes());
        Self::with_random(context, engine, registry, ChaCha8Rng::from_seed(seed))
    }

    /// Creates a gateway with a random number generator, for reproducible runs. Nodes that are
    /// given equal generators still draw different numbers.
    pub fn with_random(
        context: Context,
        engine: Arc<dyn Engine>,
        registry: &mut Registry,
        random: ChaCha8Rng,
    ) -> Arc<Self> {
        let random = with_node_identity(random, &context.local);
        let node_header = HeaderValue::from_str(&context.local.id)
            .unwrap_or_else(|_| HeaderValue::from_static("unnamed"));
        let routing_cache = Arc::new(routing_state::Cache::default());
        let leaving = leaving::Gossip {
            context: context.clone(),
            routing_cache: Arc::clone(&routing_cache),
            peers: Arc::default(),
        };
        Arc::new(Self {
            client: Client::new(CONNECT_TIMEOUT),
            engine,
            random: Mutex::new(random),
            routing_cache,
            quotas: quota::Quotas::default(),
            leaving: leaving.clone(),
            records: records::Records::new(context.clone(), leaving.clone()),
            request_log: request_log::RequestLog::new(
                metrics::Metrics::new(registry),
                Arc::clone(&context.clock),
            ),
            node_header,
            context,
        })
    }

    /// Returns the service that other nodes call for records of non-idempotent requests, notices of
    /// leaving servers and shares of callers' limits; always `Some`.
    pub fn service(self: &Arc<Self>) -> Option<Arc<dyn Service>> {
        Some(Arc::new(self.records.local.clone()))
    }

    /// Polls engines, requests shares of callers' limits and recovers records until the node stops.
    pub async fn run(self: Arc<Self>) {
        let recovery = recovery::run(Arc::clone(&self.records));
        tokio::join!(poll::run(Arc::clone(&self)), quota::run(self), recovery);
    }

    /// Returns the gateway's state as JSON for the dump that operators read.
    pub fn dump(&self) -> serde_json::Value {
        dump::dump(self)
    }

    /// Returns the routing state of the configuration in force; `None` before there is one.
    fn routing_state(&self) -> Option<Arc<routing_state::RoutingState>> {
        let snapshot = self.context.configuration.borrow().clone()?;
        Some(self.routing_cache.get_or_create(&snapshot, || {
            let mut random = self.random.lock().unwrap_or_else(PoisonError::into_inner);
            ChaCha8Rng::from_rng(&mut *random)
        }))
    }

    /// Waits until all inputs of server selection have been read since the process started or was
    /// resumed, at most [`MAX_WAIT`](shallotroute_context::freshness::MAX_WAIT) from then, and applies
    /// the configuration in force. Returns `false` if the wait did not end by `until`.
    async fn ensure_fresh(&self, until: Instant) -> bool {
        let Context {
            freshness, clock, ..
        } = &self.context;
        if freshness.is_fresh(clock.now()) {
            return true;
        }
        let refreshed = timeout_at(until.into(), freshness.wait_until_fresh(&**clock)).await;
        self.routing_state();
        refreshed.is_ok()
    }

    /// Returns the id of a new request, a UUID of version 7.
    fn new_request_id(&self) -> Uuid {
        let mut random = [0; 10];
        self.random
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .fill_bytes(&mut random);
        let wall = self.context.clock.wall_time();
        let since_epoch = wall
            .duration_since(std::time::UNIX_EPOCH)
            .unwrap_or_default();
        let millis = u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX);
        uuid::Builder::from_unix_timestamp_millis(millis, &random).into_uuid()
    }
}

/// Derives a generator from the node's identity, so that nodes with the same seed draw different
/// request ids. Two requests with the same id would share a record, and both would run.
fn with_node_identity(mut random: ChaCha8Rng, local: &Local) -> ChaCha8Rng {
    let mut seed = [0; 32];
    random.fill_bytes(&mut seed);
    let mut hasher = blake3::Hasher::new();
    hasher.update(&seed);
    hasher.update(&local.incarnation.0.to_le_bytes());
    hasher.update(local.id.as_bytes());
    ChaCha8Rng::from_seed(*hasher.finalize().as_bytes())
}

impl Handler for Gateway {
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        _peer: SocketAddr,
    ) -> BoxFuture<'static, Response<Body>> {
        Box::pin(ingress::serve(self, request))
    }
}
