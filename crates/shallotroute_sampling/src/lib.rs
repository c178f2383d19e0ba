//! Trainers' steps: endpoints, attempts on engines, commands to engines. Start with [`Sampler`].

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
use shallotroute_platform::{engine::Engine, scorer::Scorer, store::Store};

/// The outside systems that sampling uses.
#[derive(Clone)]
pub struct Edges {
    /// Model engines.
    pub engine: Arc<dyn Engine>,
    /// Scoring services.
    pub scorer: Arc<dyn Scorer>,
    /// The key-value service.
    pub store: Arc<dyn Store>,
}

/// Serves trainers below `/v1/trainers/`.
pub struct Sampler {
    context: Context,
}

impl Sampler {
    /// Makes a sampler and registers its metrics.
    pub fn new(context: Context, _edges: Edges, _registry: &mut Registry) -> Arc<Self> {
        Arc::new(Self { context })
    }

    /// Returns the service that other nodes call.
    pub fn service(self: &Arc<Self>) -> Option<Arc<dyn Service>> {
        None
    }

    /// Runs the pools that this node owns until the node stops.
    pub async fn run(self: Arc<Self>) {
        self.context.stop.cancelled().await;
    }

    /// Returns the state for the dump.
    pub fn dump(&self) -> serde_json::Value {
        serde_json::json!({})
    }
}

impl Handler for Sampler {
    fn handle(
        self: Arc<Self>,
        _request: Request<Incoming>,
        _peer: SocketAddr,
    ) -> BoxFuture<'static, Response<Body>> {
        Box::pin(async { body::json(StatusCode::SERVICE_UNAVAILABLE, &"no trainer") })
    }
}
