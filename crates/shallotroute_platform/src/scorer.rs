//! The interface to the services that score samples.

use std::{net::SocketAddr, time::Duration};

use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};
use shallotroute_types::sample::Identity;

use crate::error::Result;

/// A request to score one sample.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// The identity of the sample.
    pub sample: Identity,
    /// The prompt of the sample.
    pub prompt: String,
    /// The generated text.
    pub text: String,
}

/// A client of all scoring services, which are addressed per call.
pub trait Scorer: Send + Sync + 'static {
    /// Returns the score of a sample. Idempotent, so every failed call can be repeated.
    ///
    /// # Errors
    ///
    /// Returns an error if the service is unreachable, rejects the request, or does not respond
    /// within `timeout`.
    fn score(
        &self,
        address: SocketAddr,
        request: Request,
        timeout: Duration,
    ) -> BoxFuture<'_, Result<f64>>;
}
