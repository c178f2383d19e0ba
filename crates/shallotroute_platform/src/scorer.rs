//! Services that score samples.

use std::{net::SocketAddr, time::Duration};

use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};
use shallotroute_types::sample::Identity;

use crate::error::Result;

/// A sample to score.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// The sample.
    pub sample: Identity,
    /// Its prompt.
    pub prompt: String,
    /// Its text.
    pub text: String,
}

/// The scoring services, by address.
pub trait Scorer: Send + Sync + 'static {
    /// Scores a sample; scoring twice does no harm.
    ///
    /// # Errors
    ///
    /// The service is unreachable, refused, or did not answer in time.
    fn score(
        &self,
        address: SocketAddr,
        request: Request,
        timeout: Duration,
    ) -> BoxFuture<'_, Result<f64>>;
}
