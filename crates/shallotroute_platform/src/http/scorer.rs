//! The HTTP adapter of scoring services.

use std::{net::SocketAddr, time::Duration};

use futures::future::BoxFuture;
use http::{Method, StatusCode};
use serde::Deserialize;
use shallotroute_http::client::Client;

use super::call::Call;
use crate::{
    error::{Kind, Result},
    scorer::{self, Request},
};

/// A client of all scoring services. The address of a service is given with each call.
#[derive(Clone, Debug)]
pub struct Scorer {
    client: Client,
}

/// The body of a successful response.
#[derive(Deserialize)]
struct Score {
    score: f64,
}

impl Scorer {
    /// Creates an adapter that makes its calls with `client`.
    pub fn new(client: Client) -> Self {
        Self { client }
    }

    async fn request_score(
        &self,
        address: SocketAddr,
        request: &Request,
        timeout: Duration,
    ) -> Result<f64> {
        let call = Call {
            client: &self.client,
            operation: "score of a sample",
            address,
        };
        let content = serde_json::to_vec(request)
            .map_err(|error| call.error(Kind::Refused(error.to_string())))?;
        let builder = call.request(Method::POST, "/score");
        let response = call.exchange(builder, content.into(), timeout).await?;
        match response.status {
            StatusCode::OK => Ok(call.decode::<Score>(&response)?.score),
            _ => Err(call.status_error(&response)),
        }
    }
}

impl scorer::Scorer for Scorer {
    fn score(
        &self,
        address: SocketAddr,
        request: Request,
        timeout: Duration,
    ) -> BoxFuture<'_, Result<f64>> {
        Box::pin(async move { self.request_score(address, &request, timeout).await })
    }
}
