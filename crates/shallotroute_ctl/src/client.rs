//! A client of a node's administration API.

use std::{net::SocketAddr, time::Duration};

use derive_more::Display;
use error_stack::{Report, ResultExt};
use http::{Method, Request, StatusCode, header};
use serde::{Serialize, de::DeserializeOwned};
use shallotroute_config::api::ErrorResponse;
use shallotroute_http::{body, client};

use crate::Exit;

/// The result of a command or of one of its calls.
pub(crate) type Result<T> = std::result::Result<T, Report<Error>>;

/// The timeout of connecting to a node.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// The timeout of a call, which exceeds the node's timeout of a publication.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);

/// The reason why a command failed.
#[derive(Clone, Debug, Display)]
pub(crate) enum Error {
    /// The command line is incomplete or contradictory.
    #[display("{_0}")]
    Usage(String),
    /// A file or folder can't be read.
    #[display("reading {_0} failed")]
    File(String),
    /// The connection failed before any byte of the request was sent.
    #[display("connecting to {_0} failed; nothing was done")]
    Connect(SocketAddr),
    /// The request was sent, but no complete response arrived in time; the node may have handled
    /// the request.
    #[display("{_0} did not answer")]
    Lost(SocketAddr),
    /// The response does not have the expected JSON type.
    #[display("the answer of {_0} can't be understood")]
    UnreadableResponse(SocketAddr),
    /// The node responded with an error.
    #[display("{_0}")]
    Refused(String),
}

impl std::error::Error for Error {}

impl Error {
    /// Returns the exit of a command that failed with this error.
    pub(crate) fn exit(&self) -> Exit {
        match self {
            Self::Usage(_) => Exit::Usage,
            Self::File(_)
            | Self::Connect(_)
            | Self::Lost(_)
            | Self::UnreadableResponse(_)
            | Self::Refused(_) => Exit::Refused,
        }
    }
}

/// A client of the administration API of one node.
pub(crate) struct Node {
    /// The address of the administration listener.
    address: SocketAddr,
    /// The operator's key; without one the node refuses most calls.
    key: Option<String>,
    client: client::Client,
}

impl Node {
    pub(crate) fn new(address: SocketAddr, key: Option<String>) -> Self {
        Self {
            address,
            key,
            client: client::Client::new(CONNECT_TIMEOUT),
        }
    }

    /// Returns the client without the operator's key, for calls that need none.
    pub(crate) fn without_key(self) -> Self {
        Self { key: None, ..self }
    }

    /// Sends a GET request and decodes the response.
    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        self.call(Method::GET, path, Vec::new()).await
    }

    /// Sends a value in a POST request and decodes the response. The result of a publication is
    /// decoded for an error status as well.
    pub(crate) async fn post<T: Serialize, U: DeserializeOwned>(
        &self,
        path: &str,
        value: &T,
    ) -> Result<U> {
        let bytes =
            serde_json::to_vec(value).change_context(Error::UnreadableResponse(self.address))?;
        self.call(Method::POST, path, bytes).await
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        content: Vec<u8>,
    ) -> Result<T> {
        let exchange = self.send_request(method, path, content);
        let (status, bytes) = match tokio::time::timeout(RESPONSE_TIMEOUT, exchange).await {
            Ok(outcome) => outcome?,
            Err(_) => return Err(Report::new(Error::Lost(self.address))),
        };
        let error_response = serde_json::from_slice::<ErrorResponse>(&bytes);
        if let Ok(error_response) = error_response.as_ref()
            && !status.is_success()
        {
            return Err(Report::new(Error::Refused(
                error_response.error.message.clone(),
            )));
        }
        serde_json::from_slice(&bytes).change_context_lazy(|| match status.is_success() {
            true => Error::UnreadableResponse(self.address),
            false => Error::Refused(format!("{} answered with {status}", self.address)),
        })
    }

    async fn send_request(
        &self,
        method: Method,
        path: &str,
        content: Vec<u8>,
    ) -> Result<(StatusCode, bytes::Bytes)> {
        let address = self.address;
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(header::CONTENT_TYPE, "application/json");
        if let Some(key) = &self.key {
            request = request.header(header::AUTHORIZATION, format!("Bearer {key}"));
        }
        let invalid = || Error::Usage("the key or a path has characters that HTTP forbids".into());
        let request = request
            .body(body::full(content))
            .change_context_lazy(invalid)?;
        let response = self.client.send(request).await.map_err(|report| {
            let error = match report.current_context() {
                client::Error::Connect(_) => Error::Connect(address),
                client::Error::Send(_)
                | client::Error::Timeout(_)
                | client::Error::InvalidResponse(_)
                | client::Error::Status(..) => Error::Lost(address),
            };
            report.change_context(error)
        })?;
        let status = response.status();
        let bytes = body::read(response.into_body(), client::Client::MAX_RESPONSE_BYTES)
            .await
            .map_err(|error| Report::new(Error::Lost(address)).attach(error.to_string()))?;
        Ok((status, bytes))
    }
}
