//! Configuration of the fleet: watch, dissemination, publication, administration API.
//! Start with [`Control`].

use std::{net::SocketAddr, sync::Arc};

use futures::future::BoxFuture;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use prometheus_client::registry::Registry;
use shallotroute_config::snapshot::Snapshot;
use shallotroute_context::Context;
use shallotroute_http::{
    body::{self, Body},
    server::Handler,
};
use shallotroute_peer::stream::Service;
use shallotroute_platform::{host, store::Store};
use shallotroute_types::{name::Name, revision::Revision};
use tokio::sync::watch;

/// What the control part writes for the other parts of the node.
pub struct Outputs {
    /// The configuration in force.
    pub configuration: watch::Sender<Option<Arc<Snapshot>>>,
    /// Whether it has been confirmed lately.
    pub confirmed: watch::Sender<bool>,
    /// The revision that the node holds, for heartbeats; in force or not yet.
    pub known: watch::Sender<Revision>,
    /// The host list as last read.
    pub hosts: watch::Sender<Arc<Vec<host::Host>>>,
}

/// An operator who may use the administration API.
#[derive(Clone, Debug)]
pub struct Operator {
    /// The operator's name, which records show.
    pub name: Name,
    /// BLAKE3 hash of the key, 64 lower-case hexadecimal digits.
    pub key_hash: String,
}

/// Returns the state of the whole node.
pub type Dump = Arc<dyn Fn() -> serde_json::Value + Send + Sync>;

/// Keeps the configuration and serves `/admin/v1/`.
pub struct Control {
    context: Context,
}

impl Control {
    /// Makes the control part and registers its metrics.
    pub fn new(
        context: Context,
        _outputs: Outputs,
        _store: Arc<dyn Store>,
        _hosts: Arc<dyn host::List>,
        _operators: Vec<Operator>,
        _dump: Dump,
        _registry: &mut Registry,
    ) -> Arc<Self> {
        Arc::new(Self { context })
    }

    /// Returns the service that other nodes call.
    pub fn service(self: &Arc<Self>) -> Option<Arc<dyn Service>> {
        None
    }

    /// Watches and disseminates until the node stops.
    pub async fn run(self: Arc<Self>) {
        self.context.stop.cancelled().await;
    }

    /// Returns the state for the dump.
    pub fn dump(&self) -> serde_json::Value {
        serde_json::json!({})
    }
}

impl Handler for Control {
    fn handle(
        self: Arc<Self>,
        _request: Request<Incoming>,
        _peer: SocketAddr,
    ) -> BoxFuture<'static, Response<Body>> {
        Box::pin(async { body::json(StatusCode::NOT_FOUND, &"not found") })
    }
}
