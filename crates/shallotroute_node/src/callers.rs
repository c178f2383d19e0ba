//! The HTTP endpoint for callers and trainers.

use std::{net::SocketAddr, sync::Arc};

use futures::future::BoxFuture;
use http::{Request, Response};
use hyper::body::Incoming;
use shallotroute_gateway::Gateway;
use shallotroute_http::{body::Body, server::Handler};
use shallotroute_sampling::Sampler;

const TRAINER_PATH_PREFIX: &str = "/v1/trainers/";

/// Passes requests of trainers to the sampler and all others to the gateway.
pub(crate) struct Endpoint {
    pub(crate) gateway: Arc<Gateway>,
    pub(crate) sampler: Arc<Sampler>,
}

impl Handler for Endpoint {
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        peer: SocketAddr,
    ) -> BoxFuture<'static, Response<Body>> {
        match request.uri().path().starts_with(TRAINER_PATH_PREFIX) {
            true => Arc::clone(&self.sampler).handle(request, peer),
            false => Arc::clone(&self.gateway).handle(request, peer),
        }
    }
}
