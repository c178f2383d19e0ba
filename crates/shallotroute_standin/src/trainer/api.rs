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

/// The timeout of a call, in addition to the wait that a pull asks for.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// A sample as a trainer receives it.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Sample {
    /// The index in the group.
    pub index: u32,
    /// The generated text.
    pub text: String,
    /// The number of generated tokens.
    pub tokens: u32,
    /// The version that generated each range of tokens.
    pub spans: Vec<Span>,
    /// The backend server that generated the sample.
    #[serde(default)]
    pub backend_server: Option<Name>,
    /// The attempts at the sample, as the node reports them.
    #[serde(default)]
    pub attempts: Value,
    /// The configuration revision, as the node reports it.
    #[serde(default)]
    pub revision: Value,
    /// The node that ran the sample.
    #[serde(default)]
    pub node: Option<Name>,
    /// The score; none when the trainer has no scorer.
    #[serde(default)]
    pub score: Option<f64>,
}

/// A group with all of its samples.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct Group {
    pub(super) group: u32,
    pub(super) samples: Vec<Sample>,
}

/// The response to a pull.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct PullResponse {
    pub(super) groups: Vec<Group>,
    pub(super) complete: bool,
}

/// The reasons why a call fails.
#[derive(Clone, Debug, Display)]
pub(super) enum Failure {
    /// The node does not know the step, which has to be submitted again.
    #[display("the node does not know the step")]
    UnknownStep,
    /// The node responded with another error: status and body.
    #[display("status {_0}: {_1}")]
    Status(StatusCode, String),
    /// The node did not respond in time, or with an invalid response.
    #[display("{_0}")]
    Call(String),
}

/// A client of the trainer API of several nodes.
#[derive(Debug)]
pub(super) struct Api {
    client: Client,
    nodes: Vec<SocketAddr>,
    /// The index of the node that calls go to, counted on beyond the end of `nodes`.
    current_node: AtomicUsize,
    key: String,
    path: String,
    pull_timeout: Duration,
}

impl Api {
    pub(super) fn new(client: Client, settings: &Settings) -> Self {
        Self {
            client,
            nodes: settings.nodes.clone(),
            current_node: AtomicUsize::new(0),
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

    pub(super) async fn pull(&self, step: u64, pull: &Value) -> Result<PullResponse, Failure> {
        let path = format!("{}/steps/{step}/pull", self.path);
        let bytes = self
            .call(Method::POST, &path, Some(pull), self.pull_timeout)
            .await?;
        serde_json::from_slice(&bytes).map_err(|error| Failure::Call(error.to_string()))
    }

    /// Calls the current node, and moves on to the next one when the call fails.
    async fn call(
        &self,
        method: Method,
        path: &str,
        value: Option<&Value>,
        timeout: Duration,
    ) -> Result<Bytes, Failure> {
        let current = self.current_node.load(Ordering::Relaxed);
        let address = self.nodes[current % self.nodes.len()];
        let response = self.send_request(method, address, path, value);
        let result = match tokio::time::timeout(timeout, response).await {
            Ok(result) => result,
            Err(_) => Err(Failure::Call(format!("{address} did not answer in time"))),
        };
        if matches!(result, Err(Failure::Call(_) | Failure::Status(..))) {
            self.current_node.store(current + 1, Ordering::Relaxed);
        }
        result
    }

    async fn send_request(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        value: Option<&Value>,
    ) -> Result<Bytes, Failure> {
        let request_body = value.map_or_else(body::empty, |value| body::full(value.to_string()));
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.key))
            .header(header::CONTENT_TYPE, "application/json")
            .body(request_body)
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
            false => Err(parse_failure(status, &bytes)),
        }
    }
}

fn parse_failure(status: StatusCode, bytes: &Bytes) -> Failure {
    let text = String::from_utf8_lossy(bytes).into_owned();
    match text.contains("unknown_step") {
        true => Failure::UnknownStep,
        false => Failure::Status(status, text),
    }
}
