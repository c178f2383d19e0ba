//! An HTTP client with a connection pool, whose errors tell whether the request was sent.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use derive_more::Display;
use error_stack::{Report, ResultExt};
use http::{Method, Request, Response, StatusCode, Uri, header};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client as HyperClient, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use serde::{Serialize, de::DeserializeOwned};

use crate::body::{self, Body};

/// The result of a call. The report carries the underlying error, if there is one.
pub type Result<T> = std::result::Result<T, Report<Error>>;

/// The reason why a call failed. The first field of each variant is the peer's address.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// No connection could be made, or a pooled one closed before the request was written. No byte
    /// was sent, so the request can be repeated safely.
    #[display("connecting to {_0} failed")]
    Connect(String),
    /// The connection failed after the request was sent in part or whole, so the peer may have
    /// acted on it. Also returned for a request that can't be built or serialized.
    #[display("sending the request to {_0} failed")]
    Send(String),
    /// The response was not complete within the timeout; the peer may have acted on the request.
    #[display("{_0} did not answer in time")]
    Timeout(String),
    /// The response's body was cut off, too long or not the expected JSON.
    #[display("reading the answer of {_0} failed")]
    InvalidResponse(String),
    /// The response has a status other than 2xx; the fields are the peer, the status and the body.
    #[display("{_0} answered with status {_1}: {_2}")]
    Status(String, StatusCode, String),
}

impl std::error::Error for Error {}

/// An HTTP client without TLS that reuses idle connections. Clones share the connection pool.
#[derive(Clone, Debug)]
pub struct Client {
    inner: HyperClient<HttpConnector, Body>,
}

impl Client {
    /// The maximum length of a response that [`Client::json`] reads, in bytes.
    pub const MAX_RESPONSE_BYTES: usize = 64 << 20;

    /// Creates a client whose connection attempts time out after `connect_timeout`.
    pub fn new(connect_timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(connect_timeout));
        let inner = HyperClient::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(Duration::from_secs(30))
            // With retries inside the library, a failure would no longer tell whether the request
            // was sent.
            .retry_canceled_requests(false)
            .build(connector);
        Self { inner }
    }

    /// Sends a request and returns the response as soon as its head has arrived; the caller reads
    /// the body. There is no timeout beyond that of connecting.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Connect`] if the connection failed before any byte was sent, and
    /// [`Error::Send`] if it failed later.
    pub async fn send(&self, request: Request<Body>) -> Result<Response<Incoming>> {
        let peer = peer_address(request.uri());
        self.inner.request(request).await.map_err(|error| {
            let context = match error.is_connect() || was_not_sent(&error) {
                true => Error::Connect(peer),
                false => Error::Send(peer),
            };
            Report::new(error).change_context(context)
        })
    }

    /// Sends a request, with `value` as a JSON body if given, and reads the JSON response.
    /// `timeout` covers the whole exchange.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails, the timeout passes, the status is not 2xx, or the
    /// response is not the expected JSON.
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
        let request_body = match value {
            Some(value) => body::full(
                serde_json::to_vec(value).change_context_lazy(|| Error::Send(peer.clone()))?,
            ),
            None => body::empty(),
        };
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(header::CONTENT_TYPE, "application/json")
            .body(request_body)
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

/// Returns whether a pooled connection closed before the request was written. `hyper` reports a
/// request as canceled only in this case.
fn was_not_sent(error: &(dyn std::error::Error + 'static)) -> bool {
    std::iter::successors(Some(error), |error| error.source()).any(|error| {
        error
            .downcast_ref::<hyper::Error>()
            .is_some_and(hyper::Error::is_canceled)
    })
}

fn peer_address(uri: &Uri) -> String {
    uri.authority()
        .map_or_else(|| "an unnamed peer".to_owned(), ToString::to_string)
}
