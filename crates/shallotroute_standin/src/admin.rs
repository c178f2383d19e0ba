//! A client of the administration API of nodes.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use derive_more::Display;
use error_stack::Report;
use http::{Method, Request, StatusCode, header};
use serde_json::{Value, json};
use shallotroute_http::{body, client::Client};

/// The result of a call to a node.
pub type Result<T> = std::result::Result<T, Report<Error>>;

/// The reasons why a call to a node fails.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// The node did not respond.
    #[display("{_0} gave no answer")]
    Call(SocketAddr),
    /// The node responded with an error status or invalid JSON: address, status and body.
    #[display("{_0} answered with status {_1}: {_2}")]
    Refused(SocketAddr, StatusCode, String),
    /// A condition was not met in time: the condition and the last observed state.
    #[display("waiting for {_0} took too long; last seen: {_1}")]
    Timeout(String, String),
}

impl std::error::Error for Error {}

/// An operator with an API key.
#[derive(Clone, Debug)]
pub struct Operator {
    client: Client,
    key: String,
}

/// The timeout of a call. A publication responds when its result is known, which takes less.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);

/// The interval at which a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The size limit of a response body.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

impl Operator {
    /// Creates an operator that authenticates with `key`.
    pub fn new(client: Client, key: impl Into<String>) -> Self {
        Self {
            client,
            key: key.into(),
        }
    }

    /// Publishes the objects of the YAML file `text` under a new publication identity. Returns the
    /// node's response, which says whether the objects were published.
    ///
    /// # Errors
    ///
    /// Fails when the node does not respond or rejects the call.
    pub async fn publish(&self, admin: SocketAddr, text: &str, reason: &str) -> Result<Value> {
        let publication = uuid::Uuid::now_v7().to_string();
        let submission = json!({
            "publication": publication,
            "reason": reason,
            "files": [{ "file": "objects.yaml", "text": text }],
        });
        let path = "/admin/v1/publications";
        let (status, text) = self
            .call(Method::POST, admin, path, Some(&submission))
            .await?;
        match serde_json::from_str::<Value>(&text) {
            // A rejected publication has a result too, under an error status.
            Ok(response) if response.get("result").is_some() => Ok(response),
            Ok(_) | Err(_) => parse_response(admin, status, text),
        }
    }

    /// Gets a path of the administration API.
    ///
    /// # Errors
    ///
    /// Fails when the node does not respond or rejects the call.
    pub async fn get(&self, admin: SocketAddr, path: &str) -> Result<Value> {
        let (status, text) = self.call(Method::GET, admin, path, None).await?;
        parse_response(admin, status, text)
    }

    /// Posts `value` to a path of the administration API.
    ///
    /// # Errors
    ///
    /// Fails when the node does not respond or rejects the call.
    pub async fn post(&self, admin: SocketAddr, path: &str, value: &Value) -> Result<Value> {
        let (status, text) = self.call(Method::POST, admin, path, Some(value)).await?;
        parse_response(admin, status, text)
    }

    /// Returns the metrics in the text format.
    ///
    /// # Errors
    ///
    /// Fails when the node does not respond.
    pub async fn metrics(&self, admin: SocketAddr) -> Result<String> {
        let (_, text) = self.call(Method::GET, admin, "/metrics", None).await?;
        Ok(text)
    }

    /// Returns whether the node reports that it is ready; false when it does not respond.
    pub async fn is_ready(&self, admin: SocketAddr) -> bool {
        matches!(
            self.call(Method::GET, admin, "/ready", None).await,
            Ok((StatusCode::OK, _))
        )
    }

    /// Waits until the node's administration API responds.
    ///
    /// # Errors
    ///
    /// Fails when `limit` has passed.
    pub async fn await_live(&self, admin: SocketAddr, limit: Duration) -> Result<()> {
        self.await_status(admin, "/live", limit).await
    }

    /// Waits until the node is ready.
    ///
    /// # Errors
    ///
    /// Fails when `limit` has passed.
    pub async fn await_ready(&self, admin: SocketAddr, limit: Duration) -> Result<()> {
        self.await_status(admin, "/ready", limit).await
    }

    /// Returns the revision in force at a node, or 0 before the first one.
    ///
    /// This reads the readiness response, since a status call reads the key-value service.
    ///
    /// # Errors
    ///
    /// Fails when the node does not respond or the response is not JSON.
    pub async fn in_force(&self, admin: SocketAddr) -> Result<u64> {
        let (status, text) = self.call(Method::GET, admin, "/ready", None).await?;
        let value: Value = serde_json::from_str(&text)
            .map_err(|_| Report::new(Error::Refused(admin, status, text)))?;
        Ok(value["in_force"].as_u64().unwrap_or_default())
    }

    /// Waits until `revision` or a later one is in force at a node.
    ///
    /// # Errors
    ///
    /// Fails when `limit` has passed.
    pub async fn await_in_force(
        &self,
        admin: SocketAddr,
        revision: u64,
        limit: Duration,
    ) -> Result<()> {
        let started = Instant::now();
        loop {
            let last = match self.in_force(admin).await {
                Ok(found) if found >= revision => return Ok(()),
                Ok(found) => format!("revision {found}"),
                Err(report) => report.to_string(),
            };
            if started.elapsed() > limit {
                let condition = format!("revision {revision} at {admin}");
                return Err(Report::new(Error::Timeout(condition, last)));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn await_status(&self, admin: SocketAddr, path: &str, limit: Duration) -> Result<()> {
        let started = Instant::now();
        loop {
            let last = match self.call(Method::GET, admin, path, None).await {
                Ok((StatusCode::OK, _)) => return Ok(()),
                Ok((status, text)) => format!("{status} {text}"),
                Err(report) => report.to_string(),
            };
            if started.elapsed() > limit {
                return Err(Report::new(Error::Timeout(format!("{admin}{path}"), last)));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn call(
        &self,
        method: Method,
        admin: SocketAddr,
        path: &str,
        value: Option<&Value>,
    ) -> Result<(StatusCode, String)> {
        let call_error = |detail: String| Report::new(Error::Call(admin)).attach(detail);
        let request_body = value.map_or_else(body::empty, |value| body::full(value.to_string()));
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{admin}{path}"))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.key))
            .header(header::CONTENT_TYPE, "application/json")
            .body(request_body)
            .map_err(|error| call_error(error.to_string()))?;
        let exchange = async {
            let response = self
                .client
                .send(request)
                .await
                .map_err(|report| call_error(report.to_string()))?;
            let status = response.status();
            let bytes = body::read(response.into_body(), MAX_RESPONSE_BYTES)
                .await
                .map_err(|error| call_error(error.to_string()))?;
            Ok((status, String::from_utf8_lossy(&bytes).into_owned()))
        };
        match tokio::time::timeout(CALL_TIMEOUT, exchange).await {
            Ok(result) => result,
            Err(_) => Err(call_error("no answer in time".to_owned())),
        }
    }
}

/// Returns the revision from the response to a publication; none when the objects were not
/// published.
pub fn published_revision(response: &Value) -> Option<u64> {
    match response["result"]["state"].as_str() {
        Some("published") => response["result"]["revision"].as_u64(),
        Some(_) | None => None,
    }
}

fn parse_response(admin: SocketAddr, status: StatusCode, text: String) -> Result<Value> {
    let rejected = |text| Report::new(Error::Refused(admin, status, text));
    match (status.is_success(), serde_json::from_str(&text)) {
        (true, Ok(value)) => Ok(value),
        (true, Err(_)) | (false, _) => Err(rejected(text)),
    }
}
