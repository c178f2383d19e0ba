//! The HTTP adapter of the host list.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use futures::future::BoxFuture;
use http::{Method, StatusCode};
use shallotroute_http::client::Client;

use super::call::Call;
use crate::{
    error::Result,
    host::{self, Host},
};

/// A client of the host list at one address.
#[derive(Clone, Debug)]
pub struct HostList {
    client: Client,
    address: SocketAddr,
    timeout: Duration,
}

impl HostList {
    /// Creates an adapter whose calls take at most `timeout`.
    pub fn new(client: Client, address: SocketAddr, timeout: Duration) -> Self {
        Self {
            client,
            address,
            timeout,
        }
    }

    async fn read(&self) -> Result<Vec<Host>> {
        let call = Call {
            client: &self.client,
            operation: "read of the host list",
            address: self.address,
        };
        let request = call.request(Method::GET, "/hosts");
        let response = call.exchange(request, Bytes::new(), self.timeout).await?;
        match response.status {
            StatusCode::OK => call.decode(&response),
            _ => Err(call.status_error(&response)),
        }
    }
}

impl host::List for HostList {
    fn hosts(&self) -> BoxFuture<'_, Result<Vec<Host>>> {
        Box::pin(self.read())
    }
}
