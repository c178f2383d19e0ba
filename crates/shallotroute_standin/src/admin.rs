//! An operator's calls to the administration API of a node.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use derive_more::Display;
use error_stack::Report;
use http::{Method, Request, StatusCode, header};
use serde_json::{Value, json};
use shallotroute_http::{body, client::Client};

/// The result of a call.
pub type Result<T> = std::result::Result<T, Report<Error>>;

/// Why a call failed.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// No answer came.
    #[display("{_0} gave no answer")]
    Call(SocketAddr),
    /// The node refused.
    #[display("{_0} answered with status {_1}: {_2}")]
    Refused(SocketAddr, StatusCode, String),
    /// The condition was not met in time.
    #[display("waiting for {_0} took too long; last seen: {_1}")]
    Timeout(String, String),
}

impl std::error::Error for Error {}

/// An operator.
#[derive(Clone, Debug)]
pub struct Operator {
    client: Client,
    key: String,
}

/// How long a call may take; a publication gives its result within this.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);

/// How often a condition is checked.
const POLL: Duration = Duration::from_millis(10);

/// The longest answer, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;

impl Operator {
    /// Makes an operator with a key.
    pub fn new(client: Client, key: impl Into<String>) -> Self {
        Self {
            client,
            key: key.into(),
        }
    }

    /// Publishes the objects of one file with a new identity and returns the node's answer.
    ///
    /// # Errors
    ///
    /// No answer came, or the node refused the call.
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
            // A publication that was not made has a result too, with the status of an error.
            Ok(answer) if answer.get("result").is_some() => Ok(answer),
            Ok(_) | Err(_) => accept(admin, status, text),
        }
    }

    /// Reads a path of the administration API.
    ///
    /// # Errors
    ///
    /// No answer came, or the node refused the call.
    pub async fn get(&self, admin: SocketAddr, path: &str) -> Result<Value> {
        let (status, text) = self.call(Method::GET, admin, path, None).await?;
        accept(admin, status, text)
    }

    /// Posts to a path of the administration API.
    ///
    /// # Errors
    ///
    /// No answer came, or the node refused the call.
    pub async fn post(&self, admin: SocketAddr, path: &str, value: &Value) -> Result<Value> {
        let (status, text) = self.call(Method::POST, admin, path, Some(value)).await?;
        accept(admin, status, text)
    }

    /// Reads the metrics as text.
    ///
    /// # Errors
    ///
    /// No answer came.
    pub async fn metrics(&self, admin: SocketAddr) -> Result<String> {
        let (_, text) = self.call(Method::GET, admin, "/metrics", None).await?;
        Ok(text)
    }

    /// Tells whether the node is ready.
    pub async fn is_ready(&self, admin: SocketAddr) -> bool {
        matches!(
            self.call(Method::GET, admin, "/ready", None).await,
            Ok((StatusCode::OK, _))
        )
    }

    /// Waits until the node answers requests for operators.
    ///
    /// # Errors
    ///
    /// It does not within `limit`.
    pub async fn await_live(&self, admin: SocketAddr, limit: Duration) -> Result<()> {
        self.await_status(admin, "/live", limit).await
    }

    /// Waits until the node is ready.
    ///
    /// # Errors
    ///
    /// It is not within `limit`.
    pub async fn await_ready(&self, admin: SocketAddr, limit: Duration) -> Result<()> {
        self.await_status(admin, "/ready", limit).await
    }

    /// Returns the revision in force at a node, 0 before there is one.
    ///
    /// The answer about readiness is read, because the status costs a read of the key-value service.
    ///
    /// # Errors
    ///
    /// No answer came.
    pub async fn in_force(&self, admin: SocketAddr) -> Result<u64> {
        let (status, text) = self.call(Method::GET, admin, "/ready", None).await?;
        let value: Value = serde_json::from_str(&text)
            .map_err(|_| Report::new(Error::Refused(admin, status, text)))?;
        Ok(value["in_force"].as_u64().unwrap_or_default())
    }

    /// Waits until a revision or a later one is in force at a node.
    ///
    /// # Errors
    ///
    /// It is not within `limit`.
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
                let what = format!("revision {revision} at {admin}");
                return Err(Report::new(Error::Timeout(what, last)));
            }
            tokio::time::sleep(POLL).await;
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
            tokio::time::sleep(POLL).await;
        }
    }

    async fn call(
        &self,
        method: Method,
        admin: SocketAddr,
        path: &str,
        value: Option<&Value>,
    ) -> Result<(StatusCode, String)> {
        let failed = |detail: String| Report::new(Error::Call(admin)).attach(detail);
        let content = value.map_or_else(body::empty, |value| body::full(value.to_string()));
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{admin}{path}"))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.key))
            .header(header::CONTENT_TYPE, "application/json")
            .body(content)
            .map_err(|error| failed(error.to_string()))?;
        let exchange = async {
            let response = self
                .client
                .send(request)
                .await
                .map_err(|report| failed(report.to_string()))?;
            let status = response.status();
            let bytes = body::read(response.into_body(), MAX_ANSWER_BYTES)
                .await
                .map_err(|error| failed(error.to_string()))?;
            Ok((status, String::from_utf8_lossy(&bytes).into_owned()))
        };
        match tokio::time::timeout(CALL_TIMEOUT, exchange).await {
            Ok(result) => result,
            Err(_) => Err(failed("no answer in time".to_owned())),
        }
    }
}

/// Returns the revision of an answer to a publication, if it was published.
pub fn published_revision(answer: &Value) -> Option<u64> {
    match answer["result"]["state"].as_str() {
        Some("published") => answer["result"]["revision"].as_u64(),
        Some(_) | None => None,
    }
}

fn accept(admin: SocketAddr, status: StatusCode, text: String) -> Result<Value> {
    let refused = |text| Report::new(Error::Refused(admin, status, text));
    match (status.is_success(), serde_json::from_str(&text)) {
        (true, Ok(value)) => Ok(value),
        (true, Err(_)) | (false, _) => Err(refused(text)),
    }
}
