//! A pooled HTTP client.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use derive_more::Display;
use error_stack::{Report, ResultExt};
use http::{Method, Request, Response, StatusCode, Uri, header};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client as Legacy, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use serde::{Serialize, de::DeserializeOwned};

use crate::body::{self, Body};

/// The result of a call.
pub type Result<T> = std::result::Result<T, Report<Error>>;

/// Why a call failed, with the peer's address.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// No connection could be made, or it closed before the request; no byte was sent.
    #[display("connecting to {_0} failed")]
    Connect(String),
    /// The request was sent in part or whole and no answer came.
    #[display("sending the request to {_0} failed")]
    Send(String),
    /// No answer came in time.
    #[display("{_0} did not answer in time")]
    Timeout(String),
    /// The answer could not be read.
    #[display("reading the answer of {_0} failed")]
    InvalidResponse(String),
    /// The peer answered with this status.
    #[display("{_0} answered with status {_1}: {_2}")]
    Status(String, StatusCode, String),
}

impl std::error::Error for Error {}

/// A client that keeps connections open.
#[derive(Clone, Debug)]
pub struct Client {
    inner: Legacy<HttpConnector, Body>,
}

impl Client {
    /// The longest JSON answer that [`Client::json`] reads, in bytes.
    pub const MAX_RESPONSE_BYTES: usize = 64 << 20;

    /// Makes a client that gives up connecting after `connect_timeout`.
    pub fn new(connect_timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(connect_timeout));
        let inner = Legacy::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(Duration::from_secs(30))
            // A retry hidden in the library would make the outcome of an attempt unknowable.
            .retry_canceled_requests(false)
            .build(connector);
        Self { inner }
    }

    /// Sends a request and returns the head of the answer with its body still to be read.
    ///
    /// # Errors
    ///
    /// The connection failed before ([`Error::Connect`]) or after ([`Error::Send`]) bytes were sent.
    pub async fn send(&self, request: Request<Body>) -> Result<Response<Incoming>> {
        let peer = peer_of(request.uri());
        self.inner.request(request).await.map_err(|error| {
            let context = match error.is_connect() || was_not_sent(&error) {
                true => Error::Connect(peer),
                false => Error::Send(peer),
            };
            Report::new(error).change_context(context)
        })
    }

    /// Sends a JSON request and reads a JSON answer, all within `timeout`.
    ///
    /// # Errors
    ///
    /// The connection failed, the time is over, the status is not 2xx, or the answer is not the
    /// expected JSON.
    pub async fn json<T: Serialize, U: DeserializeOwned>(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        value: Option<&T>,
        timeout: Duration,
    ) -> Result<U> {
        let peer = address.to_string();
        let bytes = self.exchange(method, address, path, value, timeout).await?;
        serde_json::from_slice(&bytes).change_context(Error::InvalidResponse(peer))
    }

    async fn exchange<T: Serialize>(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        value: Option<&T>,
        timeout: Duration,
    ) -> Result<Bytes> {
        let peer = address.to_string();
        let content = match value {
            Some(value) => body::full(
                serde_json::to_vec(value).change_context_lazy(|| Error::Send(peer.clone()))?,
            ),
            None => body::empty(),
        };
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(header::CONTENT_TYPE, "application/json")
            .body(content)
            .change_context_lazy(|| Error::Send(peer.clone()))?;
        let call = async {
            let response = self.send(request).await?;
            let status = response.status();
            let bytes = body::read(response.into_body(), Self::MAX_RESPONSE_BYTES)
                .await
                .map_err(|error| {
                    Report::new(Error::InvalidResponse(peer.clone())).attach(error.to_string())
                })?;
            match status.is_success() {
                true => Ok(bytes),
                false => {
                    let text = String::from_utf8_lossy(&bytes).into_owned();
                    Err(Report::new(Error::Status(peer.clone(), status, text)))
                }
            }
        };
        match tokio::time::timeout(timeout, call).await {
            Ok(result) => result,
            Err(_) => Err(Report::new(Error::Timeout(peer.clone()))),
        }
    }
}

/// Tells whether a kept connection closed before the request was written. `hyper` calls a request
/// canceled only in this case.
fn was_not_sent(error: &(dyn std::error::Error + 'static)) -> bool {
    std::iter::successors(Some(error), |error| error.source()).any(|error| {
        error
            .downcast_ref::<hyper::Error>()
            .is_some_and(hyper::Error::is_canceled)
    })
}

fn peer_of(uri: &Uri) -> String {
    uri.authority()
        .map_or_else(|| "an unnamed peer".to_owned(), ToString::to_string)
}
