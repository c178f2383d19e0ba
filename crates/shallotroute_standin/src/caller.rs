//! A caller that sends requests through nodes and reads what it gets to the end.

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

use crate::reply;

/// A caller with its key.
#[derive(Clone, Debug)]
pub struct Caller {
    client: Client,
    key: String,
}

/// An inference request.
#[derive(Clone, Debug)]
pub struct Completion {
    /// The model.
    pub model: String,
    /// The prompt; the truth is looked up by it, so it is different for each request.
    pub prompt: String,
    /// The most tokens.
    pub max_tokens: u32,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Whether it is a chat request.
    pub chat: bool,
    /// The time limit that the request names.
    pub timeout: Duration,
}

/// What a caller got.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The result.
    pub result: Result<Content, Failure>,
    /// How long it took to the end of the answer.
    pub latency: Duration,
    /// How long it took to the first byte of the body.
    pub first_byte: Option<Duration>,
    /// The headers.
    pub headers: HeaderMap,
}

/// A whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Content {
    /// The status.
    pub status: StatusCode,
    /// The generated text, or the body of a plain service.
    pub text: String,
}

/// Why there is no whole answer.
#[derive(Clone, Debug, derive_more::Display, PartialEq)]
pub enum Failure {
    /// No connection was made.
    #[display("no connection")]
    Unreachable,
    /// The connection broke before or within the answer, or the answer took too long.
    #[display("answer lost")]
    NoResponse,
    /// The answer ended without its end marker and without an error.
    #[display("answer cut")]
    Truncated,
    /// The service answered with an error.
    #[display("status {_0}: {_1:?}")]
    ErrorStatus(StatusCode, Refusal),
    /// The stream ended with an error event.
    #[display("failed within the answer: {_0:?}")]
    StreamError(Refusal),
}

/// The error of an answer.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct Refusal {
    /// What went wrong.
    #[serde(default)]
    pub message: String,
    /// A fixed word for programs.
    #[serde(default)]
    pub code: String,
    /// What is known of the run.
    pub outcome: Option<Outcome>,
    /// After how many milliseconds a retry makes sense.
    pub retry_after_ms: Option<u64>,
}

#[derive(Deserialize)]
struct Envelope {
    error: Refusal,
}

/// How much longer than the named time limit a caller waits.
const GRACE: Duration = Duration::from_secs(3);

/// The longest answer, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

impl Reply {
    /// Tells whether the whole answer came with status 200.
    pub fn is_ok(&self) -> bool {
        matches!(&self.result, Ok(content) if content.status == StatusCode::OK)
    }

    /// Returns what the answer says of the run, if it failed.
    pub fn outcome(&self) -> Option<Outcome> {
        match &self.result {
            Err(Failure::ErrorStatus(_, refusal) | Failure::StreamError(refusal)) => {
                refusal.outcome
            }
            Err(Failure::Unreachable) => Some(Outcome::NotRun),
            Ok(_) | Err(Failure::NoResponse | Failure::Truncated) => None,
        }
    }

    /// Returns a header's text.
    pub fn header(&self, name: &str) -> Option<String> {
        reply::header(&self.headers, name)
    }
}

impl Caller {
    /// Makes a caller.
    pub fn new(client: Client, key: impl Into<String>) -> Self {
        Self {
            client,
            key: key.into(),
        }
    }

    /// Sends an inference request.
    pub async fn complete(&self, node: SocketAddr, completion: &Completion) -> Reply {
        let (path, value) = completion.to_json();
        let request = self
            .request(Method::POST, node, path)
            .header("x-request-timeout-ms", millis(completion.timeout))
            .body(body::full(value.to_string()));
        let limit = completion.timeout + GRACE;
        self.send(request, limit, Some(completion)).await
    }

    /// Sends a request to a plain service, with an `Idempotency-Key` if there is one.
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
            let exchange = self.exchange(request, completion, started, &mut reply);
            if let Ok(result) = tokio::time::timeout(limit, exchange).await {
                reply.result = result;
            }
        }
        reply.latency = started.elapsed();
        reply
    }

    async fn exchange(
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
        let incoming = response.into_body();
        let streamed = completion.is_some_and(|completion| completion.stream);
        if streamed && status == StatusCode::OK {
            let text = read_stream(incoming, started, &mut reply.first_byte).await?;
            return Ok(Content { status, text });
        }
        let bytes = body::read(incoming, MAX_ANSWER_BYTES)
            .await
            .map_err(|_| Failure::NoResponse)?;
        reply.first_byte = Some(started.elapsed());
        if !status.is_success() {
            return Err(Failure::ErrorStatus(status, refusal(&bytes)));
        }
        let text = match completion {
            Some(_) => whole_text(&bytes).ok_or(Failure::Truncated)?,
            None => String::from_utf8_lossy(&bytes).into_owned(),
        };
        Ok(Content { status, text })
    }
}

impl Completion {
    /// Makes a request that is neither streamed nor a chat.
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

    /// Makes it streamed.
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
    mut incoming: Incoming,
    started: Instant,
    first_byte: &mut Option<Duration>,
) -> Result<String, Failure> {
    let mut buffer = String::new();
    let mut text = String::new();
    while let Some(frame) = incoming.frame().await {
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
                return Err(Failure::StreamError(refusal(data.as_bytes())));
            }
            text.push_str(&chunk_text(&chunk["choices"][0]));
        }
    }
    Err(Failure::Truncated)
}

fn chunk_text(choice: &Value) -> String {
    let parts = [
        &choice["text"],
        &choice["delta"]["content"],
        &choice["message"]["content"],
    ];
    parts.into_iter().filter_map(Value::as_str).collect()
}

fn whole_text(bytes: &[u8]) -> Option<String> {
    let answer: Value = serde_json::from_slice(bytes).ok()?;
    Some(chunk_text(answer.get("choices")?.get(0)?))
}

fn refusal(bytes: &[u8]) -> Refusal {
    serde_json::from_slice::<Envelope>(bytes).map_or_else(
        |_| Refusal {
            message: String::from_utf8_lossy(bytes).into_owned(),
            ..Refusal::default()
        },
        |envelope| envelope.error,
    )
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
