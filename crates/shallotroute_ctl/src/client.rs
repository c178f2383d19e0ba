//! Calls of a node's administration HTTP.

use std::{net::SocketAddr, time::Duration};

use derive_more::Display;
use error_stack::{Report, ResultExt};
use http::{Method, Request, StatusCode, header};
use serde::{Serialize, de::DeserializeOwned};
use shallotroute_config::api::ErrorResponse;
use shallotroute_http::{body, client};

use crate::Exit;

/// The result of a call.
pub(crate) type Result<T> = std::result::Result<T, Report<Error>>;

/// How long connecting to a node may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// How long an answer may take; longer than the time limit of a publication at the node.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// Why a command failed.
#[derive(Clone, Debug, Display)]
pub(crate) enum Error {
    /// The command line lacks something.
    #[display("{_0}")]
    Usage(String),
    /// A file can't be read.
    #[display("reading {_0} failed")]
    File(String),
    /// No byte reached the node.
    #[display("connecting to {_0} failed; nothing was done")]
    Connect(SocketAddr),
    /// The node's answer was lost.
    #[display("{_0} did not answer")]
    Lost(SocketAddr),
    /// The node's answer can't be understood.
    #[display("the answer of {_0} can't be understood")]
    Answer(SocketAddr),
    /// The node refused.
    #[display("{_0}")]
    Refused(String),
}

impl std::error::Error for Error {}

impl Error {
    pub(crate) fn exit(&self) -> Exit {
        match self {
            Self::Usage(_) => Exit::Usage,
            Self::File(_)
            | Self::Connect(_)
            | Self::Lost(_)
            | Self::Answer(_)
            | Self::Refused(_) => Exit::Refused,
        }
    }
}

/// A node as an operator sees it.
pub(crate) struct Node {
    address: SocketAddr,
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

    /// Reads a value.
    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        self.call(Method::GET, path, Vec::new()).await
    }

    /// Sends a value and reads the answer, which a publication also has with a status of failure.
    pub(crate) async fn post<T: Serialize, U: DeserializeOwned>(
        &self,
        path: &str,
        value: &T,
    ) -> Result<U> {
        let bytes = serde_json::to_vec(value).change_context(Error::Answer(self.address))?;
        self.call(Method::POST, path, bytes).await
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        content: Vec<u8>,
    ) -> Result<T> {
        let exchange = self.exchange(method, path, content);
        let (status, bytes) = match tokio::time::timeout(ANSWER_TIMEOUT, exchange).await {
            Ok(answer) => answer?,
            Err(_) => return Err(Report::new(Error::Lost(self.address))),
        };
        let refusal = serde_json::from_slice::<ErrorResponse>(&bytes);
        if let Ok(refusal) = refusal.as_ref()
            && !status.is_success()
        {
            return Err(Report::new(Error::Refused(refusal.error.message.clone())));
        }
        serde_json::from_slice(&bytes).change_context_lazy(|| match status.is_success() {
            true => Error::Answer(self.address),
            false => Error::Refused(format!("{} answered with {status}", self.address)),
        })
    }

    async fn exchange(
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
