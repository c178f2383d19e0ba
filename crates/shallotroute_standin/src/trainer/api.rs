//! The trainer's calls to the nodes.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};

use bytes::Bytes;
use derive_more::Display;
use http::{Method, Request, StatusCode, header};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use shallotroute_http::{body, client::Client};
use shallotroute_types::{name::Name, provenance::Span, version::Version};

use super::Settings;

/// How long a call may take beyond the wait that a pull asks for.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// One sample as a trainer receives it.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Sample {
    /// Its index in the group.
    pub index: u32,
    /// Its text.
    pub text: String,
    /// How many tokens it has.
    pub tokens: u32,
    /// Which version made which tokens.
    pub spans: Vec<Span>,
    /// The backend server that made it.
    #[serde(default)]
    pub backend_server: Option<Name>,
    /// How many attempts were made.
    #[serde(default)]
    pub attempts: Value,
    /// The revision in force.
    #[serde(default)]
    pub revision: Value,
    /// The node that ran it.
    #[serde(default)]
    pub node: Option<Name>,
    /// Its score.
    #[serde(default)]
    pub score: Option<f64>,
}

/// A whole group.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct Group {
    pub(super) group: u32,
    pub(super) samples: Vec<Sample>,
}

/// The answer to a pull.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct Answer {
    pub(super) groups: Vec<Group>,
    pub(super) complete: bool,
}

/// Why a call failed.
#[derive(Clone, Debug, Display)]
pub(super) enum Failure {
    #[display("the node does not know the step")]
    UnknownStep,
    #[display("status {_0}: {_1}")]
    Status(StatusCode, String),
    #[display("{_0}")]
    Call(String),
}

#[derive(Debug)]
pub(super) struct Api {
    client: Client,
    nodes: Vec<SocketAddr>,
    current: AtomicUsize,
    key: String,
    path: String,
    pull_timeout: Duration,
}

impl Api {
    pub(super) fn new(client: Client, settings: &Settings) -> Self {
        Self {
            client,
            nodes: settings.nodes.clone(),
            current: AtomicUsize::new(0),
            key: settings.key.clone(),
            path: format!("/v1/trainers/{}", settings.name),
            pull_timeout: settings.pull_wait + CALL_TIMEOUT,
        }
    }

    pub(super) async fn submit(&self, step: u64, specification: &Value) -> Result<(), Failure> {
        let path = format!("{}/steps/{step}", self.path);
        self.call(Method::PUT, &path, Some(specification), CALL_TIMEOUT)
            .await?;
        Ok(())
    }

    pub(super) async fn announce(&self, version: Version) -> Result<(), Failure> {
        let path = format!("{}/versions/{version}", self.path);
        self.call(Method::PUT, &path, None, CALL_TIMEOUT).await?;
        Ok(())
    }

    pub(super) async fn pull(&self, step: u64, pull: &Value) -> Result<Answer, Failure> {
        let path = format!("{}/steps/{step}/pull", self.path);
        let bytes = self
            .call(Method::POST, &path, Some(pull), self.pull_timeout)
            .await?;
        serde_json::from_slice(&bytes).map_err(|error| Failure::Call(error.to_string()))
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        value: Option<&Value>,
        timeout: Duration,
    ) -> Result<Bytes, Failure> {
        let current = self.current.load(Ordering::Relaxed);
        let address = self.nodes[current % self.nodes.len()];
        let exchange = self.exchange(method, address, path, value);
        let result = match tokio::time::timeout(timeout, exchange).await {
            Ok(result) => result,
            Err(_) => Err(Failure::Call(format!("{address} did not answer in time"))),
        };
        if matches!(result, Err(Failure::Call(_) | Failure::Status(..))) {
            self.current.store(current + 1, Ordering::Relaxed);
        }
        result
    }

    async fn exchange(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        value: Option<&Value>,
    ) -> Result<Bytes, Failure> {
        let content = value.map_or_else(body::empty, |value| body::full(value.to_string()));
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.key))
            .header(header::CONTENT_TYPE, "application/json")
            .body(content)
            .map_err(|error| Failure::Call(error.to_string()))?;
        let response = self
            .client
            .send(request)
            .await
            .map_err(|report| Failure::Call(report.to_string()))?;
        let status = response.status();
        let bytes = body::read(response.into_body(), Client::MAX_RESPONSE_BYTES)
            .await
            .map_err(|error| Failure::Call(error.to_string()))?;
        match status.is_success() {
            true => Ok(bytes),
            false => Err(failure(status, &bytes)),
        }
    }
}

fn failure(status: StatusCode, bytes: &Bytes) -> Failure {
    let text = String::from_utf8_lossy(bytes).into_owned();
    match text.contains("unknown_step") {
        true => Failure::UnknownStep,
        false => Failure::Status(status, text),
    }
}
