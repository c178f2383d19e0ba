//! The HTTP endpoint for operators, the balancer's readiness check and metrics.

use std::{net::SocketAddr, sync::Arc};

use futures::future::BoxFuture;
use http::{Request, Response, StatusCode, header};
use hyper::body::Incoming;
use prometheus_client::{encoding::text, registry::Registry};
use serde_json::json;
use shallotroute_context::Context;
use shallotroute_control::Control;
use shallotroute_http::{
    body::{self, Body},
    server::Handler,
};
use tokio_util::sync::CancellationToken;

const METRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Serves the paths that need no operator's key, and passes other requests to the administration
/// API of [`Control`].
pub(crate) struct Endpoint {
    pub(crate) context: Context,
    pub(crate) control: Arc<Control>,
    pub(crate) registry: Arc<Registry>,
    /// Cancelled when the node is leaving, which makes it unready.
    pub(crate) leaving: CancellationToken,
}

impl Handler for Endpoint {
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        peer: SocketAddr,
    ) -> BoxFuture<'static, Response<Body>> {
        match request.uri().path() {
            "/live" => {
                Box::pin(async { body::json_response(StatusCode::OK, &json!({"live": true})) })
            }
            "/ready" => Box::pin(async move { self.readiness() }),
            "/metrics" => Box::pin(async move { self.metrics() }),
            _ => Arc::clone(&self.control).handle(request, peer),
        }
    }
}

impl Endpoint {
    fn readiness(&self) -> Response<Body> {
        let leaving = self.leaving.is_cancelled();
        let fresh = self.context.freshness.is_fresh(self.context.clock.now());
        let ready = self.context.is_ready() && fresh && !leaving;
        let status = match ready {
            true => StatusCode::OK,
            false => StatusCode::SERVICE_UNAVAILABLE,
        };
        let in_force = self
            .context
            .configuration
            .borrow()
            .as_ref()
            .map(|snapshot| snapshot.revision());
        let confirmed = *self.context.confirmed.borrow();
        let value = json!({
            "ready": ready, "leaving": leaving, "in_force": in_force, "confirmed": confirmed,
            "fresh": fresh,
        });
        body::json_response(status, &value)
    }

    fn metrics(&self) -> Response<Body> {
        let mut content = String::new();
        match text::encode(&mut content, &self.registry) {
            Ok(()) => {
                let mut response = Response::new(body::full(content));
                let value = header::HeaderValue::from_static(METRICS_CONTENT_TYPE);
                response.headers_mut().insert(header::CONTENT_TYPE, value);
                response
            }
            Err(error) => body::json_response(
                StatusCode::INTERNAL_SERVER_ERROR,
                &json!({"error": error.to_string()}),
            ),
        }
    }
}
