//! The adapter of scoring services.

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

/// All scoring services.
#[derive(Clone, Debug)]
pub struct Scorer {
    client: Client,
}

#[derive(Deserialize)]
struct Score {
    score: f64,
}

impl Scorer {
    /// Makes an adapter.
    pub fn new(client: Client) -> Self {
        Self { client }
    }

    async fn ask(&self, address: SocketAddr, request: &Request, timeout: Duration) -> Result<f64> {
        let call = Call {
            client: &self.client,
            operation: "score of a sample",
            address,
        };
        let content = serde_json::to_vec(request)
            .map_err(|error| call.error(Kind::Refused(error.to_string())))?;
        let head = call.request(Method::POST, "/score");
        let answer = call.exchange(head, content.into(), timeout).await?;
        match answer.status {
            StatusCode::OK => Ok(call.decode::<Score>(&answer)?.score),
            _ => Err(call.rejected(&answer)),
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
        Box::pin(async move { self.ask(address, &request, timeout).await })
    }
}
