//! Calls to other nodes about trainers' steps.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use shallotroute_peer::{client::Clients, service::Kind, stream};
use tarpc::{client::RpcError, context};

use crate::{
    failure::{Failure, Result},
    service::RolloutsClient,
};

/// The timeout of a call that neither waits for groups nor writes replicas.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The open connections to other nodes, by address.
pub(crate) struct Peers(Clients<RolloutsClient>);

impl Default for Peers {
    fn default() -> Self {
        Self(Clients::new(Kind::Rollouts, |stream| {
            RolloutsClient::new(tarpc::client::Config::default(), stream::frame(stream)).spawn()
        }))
    }
}

impl Peers {
    /// Calls the node at `address`. Retries once on a new connection when the call fails for a
    /// reason other than its timeout; all calls can be repeated safely.
    ///
    /// # Errors
    ///
    /// `Unavailable` when the node can't be connected to, `Lost` when no response arrives.
    pub(crate) async fn call<T, F>(
        &self,
        address: SocketAddr,
        timeout: Duration,
        call: impl Fn(RolloutsClient, context::Context) -> F,
    ) -> Result<T>
    where
        F: Future<Output = std::result::Result<T, RpcError>>,
    {
        let mut last_error = None;
        for _ in 0..2 {
            let client = self
                .0
                .get(address)
                .await
                .map_err(|error| Failure::Unavailable(error.to_string()))?;
            let mut context = context::current();
            context.deadline = Instant::now() + timeout;
            match call(client, context).await {
                Ok(value) => return Ok(value),
                Err(error) => {
                    let timed_out = matches!(error, RpcError::DeadlineExceeded);
                    last_error = Some(error.to_string());
                    self.0.remove(address);
                    if timed_out {
                        break;
                    }
                }
            }
        }
        Err(Failure::Lost(last_error.unwrap_or_default()))
    }
}
