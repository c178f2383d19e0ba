//! The HTTP adapter of the key-value service.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use futures::future::BoxFuture;
use http::{Method, StatusCode};
use shallotroute_http::client::Client;

use super::call::{Call, FullResponse, VERSION_HEADER, percent_encode};
use crate::{
    error::{Kind, Result},
    store::{self, Entry},
};

/// A client of the key-value service at one address.
#[derive(Clone, Debug)]
pub struct Store {
    client: Client,
    address: SocketAddr,
    timeout: Duration,
}

impl Store {
    /// Creates an adapter whose calls take at most `timeout`; a watch may take its waiting time in
    /// addition.
    pub fn new(client: Client, address: SocketAddr, timeout: Duration) -> Self {
        Self {
            client,
            address,
            timeout,
        }
    }

    fn call(&self, operation: &'static str) -> Call<'_> {
        Call {
            client: &self.client,
            operation,
            address: self.address,
        }
    }

    async fn read(
        &self,
        operation: &'static str,
        path: String,
        timeout: Duration,
    ) -> Result<Option<Entry>> {
        let call = self.call(operation);
        let request = call.request(Method::GET, &path);
        let response = call.exchange(request, Bytes::new(), timeout).await?;
        match response.status {
            StatusCode::OK => Ok(Some(Entry {
                version: version(&call, &response)?,
                value: response.body,
            })),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(call.status_error(&response)),
        }
    }

    async fn write(&self, key: &str, expected: u64, value: Bytes) -> Result<u64> {
        let call = self.call("write of a key");
        let path = format!("/kv/{}?expected={expected}", percent_encode(key));
        let request = call.request(Method::PUT, &path);
        let response = call.exchange(request, value, self.timeout).await?;
        match response.status {
            StatusCode::OK => version(&call, &response),
            StatusCode::CONFLICT => {
                let found = version(&call, &response)?;
                Err(call.error(Kind::Conflict { found }))
            }
            _ => Err(call.status_error(&response)),
        }
    }

    async fn keys(&self, prefix: &str) -> Result<Vec<String>> {
        let call = self.call("list of keys");
        let request = call.request(
            Method::GET,
            &format!("/kv?prefix={}", percent_encode(prefix)),
        );
        let response = call.exchange(request, Bytes::new(), self.timeout).await?;
        match response.status {
            StatusCode::OK => call.decode(&response),
            _ => Err(call.status_error(&response)),
        }
    }
}

impl store::Store for Store {
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Entry>>> {
        let path = format!("/kv/{}", percent_encode(key));
        Box::pin(self.read("read of a key", path, self.timeout))
    }

    fn compare_and_swap<'a>(
        &'a self,
        key: &'a str,
        expected: u64,
        value: Bytes,
    ) -> BoxFuture<'a, Result<u64>> {
        Box::pin(self.write(key, expected, value))
    }

    fn watch<'a>(
        &'a self,
        key: &'a str,
        known: u64,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Option<Entry>>> {
        let path = format!(
            "/kv/{}?known={known}&wait_ms={}",
            percent_encode(key),
            wait.as_millis()
        );
        Box::pin(self.read("watch of a key", path, self.timeout + wait))
    }

    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Vec<String>>> {
        Box::pin(self.keys(prefix))
    }
}

/// Returns the version in the response's headers.
///
/// # Errors
///
/// Returns a `Malformed` error if the header is missing or not a number.
fn version(call: &Call<'_>, response: &FullResponse) -> Result<u64> {
    response
        .headers
        .get(VERSION_HEADER)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok())
        .ok_or_else(|| call.error(Kind::Malformed(format!("no {VERSION_HEADER} header"))))
}
