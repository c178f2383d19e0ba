//! A caller that sends requests through nodes and reads their responses to the end.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::Deserialize;
use serde_json::{Value, json};
use shallotroute_http::{body, client::Client};
use shallotroute_types::outcome::Outcome;

use crate::message;

/// A caller with an API key.
#[derive(Clone, Debug)]
pub struct Caller {
    client: Client,
    key: String,
}

/// A completion or chat completion request.
#[derive(Clone, Debug)]
pub struct Completion {
    /// The model's name.
    pub model: String,
    /// The prompt, unique to the request, since [`Truth`](crate::truth::Truth) finds a generation
    /// by it.
    pub prompt: String,
    /// The maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Whether the response is streamed.
    pub stream: bool,
    /// Whether the prompt is sent as a chat message.
    pub chat: bool,
    /// The timeout that the request asks for in `X-Request-Timeout-Ms`.
    pub timeout: Duration,
}

/// The result of a request as its caller observes it.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The response, or why there is no complete one.
    pub result: Result<Content, Failure>,
    /// The time from sending to the end of the response.
    pub latency: Duration,
    /// The time from sending to the first byte of the body, if there is one.
    pub first_byte: Option<Duration>,
    /// The response headers; empty when there is no response.
    pub headers: HeaderMap,
}

/// A complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Content {
    /// The status, which is a success.
    pub status: StatusCode,
    /// The generated text, or the response body of a plain service.
    pub text: String,
}

/// The reasons why a request has no complete response.
#[derive(Clone, Debug, derive_more::Display, PartialEq)]
pub enum Failure {
    /// The connection could not be opened.
    #[display("no connection")]
    Unreachable,
    /// The connection was lost before the end of the response, or the response timed out.
    #[display("answer lost")]
    NoResponse,
    /// The response ended without an end marker and without an error.
    #[display("answer cut")]
    Truncated,
    /// The response has an error status.
    #[display("status {_0}: {_1:?}")]
    ErrorStatus(StatusCode, Refusal),
    /// The stream ended with an error event.
    #[display("failed within the answer: {_0:?}")]
    StreamError(Refusal),
}

/// The error in a response body.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct Refusal {
    /// The description of the error.
    #[serde(default)]
    pub message: String,
    /// The error code for programs.
    #[serde(default)]
    pub code: String,
    /// Whether the request ran, as far as the service knows.
    pub outcome: Option<Outcome>,
    /// The delay after which the service suggests a retry, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

/// The JSON body of an error response.
#[derive(Deserialize)]
struct ErrorBody {
    error: Refusal,
}

/// The time that a caller waits beyond the timeout that its request asks for.
const TIMEOUT_GRACE: Duration = Duration::from_secs(3);

/// The size limit of a response body.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

impl Reply {
    /// Returns whether the response is complete and has status 200.
    pub fn is_ok(&self) -> bool {
        matches!(&self.result, Ok(content) if content.status == StatusCode::OK)
    }

    /// Returns whether a failed request ran, as far as the caller knows; none when the request
    /// succeeded or its response was lost.
    pub fn outcome(&self) -> Option<Outcome> {
        match &self.result {
            Err(Failure::ErrorStatus(_, refusal) | Failure::StreamError(refusal)) => {
                refusal.outcome
            }
            Err(Failure::Unreachable) => Some(Outcome::NotRun),
            Ok(_) | Err(Failure::NoResponse | Failure::Truncated) => None,
        }
    }

    /// Returns the value of a response header; none when it is absent or not ASCII.
    pub fn header(&self, name: &str) -> Option<String> {
        message::header(&self.headers, name)
    }
}

impl Caller {
    /// Creates a caller that authenticates with `key`.
    pub fn new(client: Client, key: impl Into<String>) -> Self {
        Self {
            client,
            key: key.into(),
        }
    }

    /// Sends a completion request to a node.
    pub async fn complete(&self, node: SocketAddr, completion: &Completion) -> Reply {
        let (path, value) = completion.to_json();
        let request = self
            .request(Method::POST, node, path)
            .header("x-request-timeout-ms", millis(completion.timeout))
            .body(body::full(value.to_string()));
        let limit = completion.timeout + TIMEOUT_GRACE;
        self.send(request, limit, Some(completion)).await
    }

    /// Sends a request for a plain service to a node, with an `Idempotency-Key` header if `key` is
    /// given.
    pub async fn call(
        &self,
        node: SocketAddr,
        method: Method,
        path: &str,
        key: Option<&str>,
        content: impl Into<Bytes>,
    ) -> Reply {
        let mut request = self.request(method, node, path);
        if let Some(key) = key {
            request = request.header("idempotency-key", key);
        }
        let request = request.body(body::full(content));
        self.send(request, Duration::from_secs(10), None).await
    }

    fn request(&self, method: Method, node: SocketAddr, path: &str) -> http::request::Builder {
        Request::builder()
            .method(method)
            .uri(format!("http://{node}{path}"))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.key))
            .header(header::CONTENT_TYPE, "application/json")
    }

    async fn send(
        &self,
        request: http::Result<Request<body::Body>>,
        limit: Duration,
        completion: Option<&Completion>,
    ) -> Reply {
        let started = Instant::now();
        let mut reply = Reply {
            result: Err(Failure::NoResponse),
            latency: Duration::ZERO,
            first_byte: None,
            headers: HeaderMap::new(),
        };
        if let Ok(request) = request {
            let response = self.receive(request, completion, started, &mut reply);
            if let Ok(result) = tokio::time::timeout(limit, response).await {
                reply.result = result;
            }
        }
        reply.latency = started.elapsed();
        reply
    }

    async fn receive(
        &self,
        request: Request<body::Body>,
        completion: Option<&Completion>,
        started: Instant,
        reply: &mut Reply,
    ) -> Result<Content, Failure> {
        let response =
            self.client
                .send(request)
                .await
                .map_err(|report| match report.current_context() {
                    shallotroute_http::client::Error::Connect(_) => Failure::Unreachable,
                    _ => Failure::NoResponse,
                })?;
        let status = response.status();
        reply.headers = response.headers().clone();
        let body = response.into_body();
        let streamed = completion.is_some_and(|completion| completion.stream);
        if streamed && status == StatusCode::OK {
            let text = read_stream(body, started, &mut reply.first_byte).await?;
            return Ok(Content { status, text });
        }
        let bytes = body::read(body, MAX_RESPONSE_BYTES)
            .await
            .map_err(|_| Failure::NoResponse)?;
        reply.first_byte = Some(started.elapsed());
        if !status.is_success() {
            return Err(Failure::ErrorStatus(status, parse_refusal(&bytes)));
        }
        let text = match completion {
            Some(_) => completion_text(&bytes).ok_or(Failure::Truncated)?,
            None => String::from_utf8_lossy(&bytes).into_owned(),
        };
        Ok(Content { status, text })
    }
}

impl Completion {
    /// Creates a request for a completion that is not streamed, with default limits.
    pub fn new(model: &str, prompt: impl Into<String>) -> Self {
        Self {
            model: model.to_owned(),
            prompt: prompt.into(),
            max_tokens: 256,
            stream: false,
            chat: false,
            timeout: Duration::from_secs(5),
        }
    }

    /// Requests a streamed response.
    #[must_use]
    pub fn streamed(mut self) -> Self {
        self.stream = true;
        self
    }

    fn to_json(&self) -> (&'static str, Value) {
        let mut value = json!({
            "model": self.model,
            "max_tokens": self.max_tokens,
            "stream": self.stream,
        });
        if self.chat {
            value["messages"] = json!([{ "role": "user", "content": self.prompt }]);
            return ("/v1/chat/completions", value);
        }
        value["prompt"] = json!(self.prompt);
        ("/v1/completions", value)
    }
}

async fn read_stream(
    mut body: Incoming,
    started: Instant,
    first_byte: &mut Option<Duration>,
) -> Result<String, Failure> {
    let mut buffer = String::new();
    let mut text = String::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Failure::NoResponse)?;
        let Ok(bytes) = frame.into_data() else {
            continue;
        };
        first_byte.get_or_insert_with(|| started.elapsed());
        buffer.push_str(&String::from_utf8_lossy(&bytes));
        while let Some(end) = buffer.find('\n') {
            let line: String = buffer.drain(..=end).collect();
            let Some(data) = line.trim_end().strip_prefix("data: ") else {
                continue;
            };
            if data == "[DONE]" {
                return Ok(text);
            }
            let chunk: Value = serde_json::from_str(data).map_err(|_| Failure::Truncated)?;
            if chunk.get("error").is_some() {
                return Err(Failure::StreamError(parse_refusal(data.as_bytes())));
            }
            text.push_str(&choice_text(&chunk["choices"][0]));
        }
    }
    Err(Failure::Truncated)
}

fn choice_text(choice: &Value) -> String {
    let parts = [
        &choice["text"],
        &choice["delta"]["content"],
        &choice["message"]["content"],
    ];
    parts.into_iter().filter_map(Value::as_str).collect()
}

fn completion_text(bytes: &[u8]) -> Option<String> {
    let response: Value = serde_json::from_slice(bytes).ok()?;
    Some(choice_text(response.get("choices")?.get(0)?))
}

fn parse_refusal(bytes: &[u8]) -> Refusal {
    serde_json::from_slice::<ErrorBody>(bytes).map_or_else(
        |_| Refusal {
            message: String::from_utf8_lossy(bytes).into_owned(),
            ..Refusal::default()
        },
        |body| body.error,
    )
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
