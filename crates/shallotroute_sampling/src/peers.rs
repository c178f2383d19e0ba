//! Connections to other nodes for trainers' steps.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use shallotroute_peer::{service::Kind, stream};
use tarpc::{client::RpcError, context};
use tokio::sync::Mutex;

use crate::{
    failure::{Failure, Result},
    service::RolloutsClient,
};

/// How long a call without a wait of its own may take.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The open connections by address.
#[derive(Default)]
pub(crate) struct Peers(Mutex<HashMap<SocketAddr, RolloutsClient>>);

impl Peers {
    /// Calls the node at `address`. A connection that proves closed is opened again once: all
    /// calls may be repeated.
    ///
    /// # Errors
    ///
    /// `Unavailable` when the node can't be reached, `Lost` when it does not answer in time.
    pub(crate) async fn call<T, F>(
        &self,
        address: SocketAddr,
        timeout: Duration,
        call: impl Fn(RolloutsClient, context::Context) -> F,
    ) -> Result<T>
    where
        F: Future<Output = std::result::Result<T, RpcError>>,
    {
        let mut last = None;
        for _ in 0..2 {
            let client = self.client(address).await?;
            let mut context = context::current();
            context.deadline = Instant::now() + timeout;
            match call(client, context).await {
                Ok(value) => return Ok(value),
                Err(error) => {
                    let late = matches!(error, RpcError::DeadlineExceeded);
                    last = Some(error.to_string());
                    self.0.lock().await.remove(&address);
                    if late {
                        break;
                    }
                }
            }
        }
        Err(Failure::Lost(last.unwrap_or_default()))
    }

    async fn client(&self, address: SocketAddr) -> Result<RolloutsClient> {
        if let Some(client) = self.0.lock().await.get(&address) {
            return Ok(client.clone());
        }
        // The lock is not held while connecting, so that a dead node does not delay calls to others.
        let stream = stream::open(address, Kind::Rollouts)
            .await
            .map_err(|error| Failure::Unavailable(error.to_string()))?;
        let transport = stream::frame(stream);
        let client = RolloutsClient::new(tarpc::client::Config::default(), transport).spawn();
        self.0.lock().await.insert(address, client.clone());
        Ok(client)
    }
}
