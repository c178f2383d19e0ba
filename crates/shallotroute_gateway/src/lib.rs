//! Requests of callers: entry, admission, selection, dispatch, answer. Start with [`Gateway`].

use std::{net::SocketAddr, sync::Arc};

use futures::future::BoxFuture;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use prometheus_client::registry::Registry;
use shallotroute_context::Context;
use shallotroute_http::{
    body::{self, Body},
    server::Handler,
};
use shallotroute_peer::stream::Service;
use shallotroute_platform::engine::Engine;

/// Serves callers.
pub struct Gateway {
    context: Context,
}

impl Gateway {
    /// Makes a gateway and registers its metrics.
    pub fn new(context: Context, _engine: Arc<dyn Engine>, _registry: &mut Registry) -> Arc<Self> {
        Arc::new(Self { context })
    }

    /// Returns the service that other nodes call for records of non-idempotent requests.
    pub fn service(self: &Arc<Self>) -> Option<Arc<dyn Service>> {
        None
    }

    /// Does the upkeep until the node stops.
    pub async fn run(self: Arc<Self>) {
        self.context.stop.cancelled().await;
    }

    /// Returns the state for the dump.
    pub fn dump(&self) -> serde_json::Value {
        serde_json::json!({})
    }
}

impl Handler for Gateway {
    fn handle(
        self: Arc<Self>,
        _request: Request<Incoming>,
        _peer: SocketAddr,
    ) -> BoxFuture<'static, Response<Body>> {
        Box::pin(async { body::json(StatusCode::SERVICE_UNAVAILABLE, &"no route") })
    }
}
