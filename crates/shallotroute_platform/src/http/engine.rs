//! The HTTP adapter of model engines.

use std::{collections::VecDeque, net::SocketAddr, time::Duration};

use bytes::Bytes;
use error_stack::Report;
use futures::{
    StreamExt,
    future::BoxFuture,
    stream::{self, BoxStream},
};
use http::{Method, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use shallotroute_http::{body, client::Client};
use shallotroute_types::version::Version;

use super::{
    call::{Call, FullResponse},
    sse::Decoder,
};
use crate::{
    engine::{self, Event, Generate, Load, State},
    error::{Error, Kind, Result},
};

/// The data of the event that ends a whole stream.
const END_MARKER: &[u8] = b"[DONE]";

/// The timeout of reading an engine's state.
const STATE_TIMEOUT: Duration = Duration::from_secs(2);

/// The timeout of a response's head. Some engines send it only once the request gets a slot.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);

/// The maximum length of the body of a rejection, in bytes.
const MAX_REFUSAL_BYTES: usize = 64 << 10;

/// A client of all model engines. The address of an engine is given with each call.
#[derive(Clone, Debug)]
pub struct Engine {
    client: Client,
}

/// The body of a generation request.
#[derive(Serialize)]
struct Completion<'a> {
    model: &'a str,
    prompt: &'a str,
    max_tokens: u32,
    stream: bool,
}

/// The data of one event in a streamed response.
#[derive(Deserialize)]
struct Chunk {
    id: String,
    #[serde(default)]
    choices: Vec<Choice>,
    tokens: Option<Tokens>,
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    text: String,
    finish_reason: Option<String>,
}

#[derive(Deserialize)]
struct Tokens {
    start: u32,
    count: u32,
    version: Version,
}

#[derive(Deserialize)]
struct Usage {
    completion_tokens: u32,
    prompt_tokens_details: Option<PromptDetails>,
}

#[derive(Default, Deserialize)]
struct PromptDetails {
    #[serde(default)]
    cached_tokens: u32,
}

impl Engine {
    /// Creates an adapter that makes its calls with `client`.
    pub fn new(client: Client) -> Self {
        Self { client }
    }

    fn call(&self, operation: &'static str, address: SocketAddr) -> Call<'_> {
        Call {
            client: &self.client,
            operation,
            address,
        }
    }

    async fn start_generation(
        &self,
        address: SocketAddr,
        request: &Generate,
    ) -> Result<BoxStream<'static, Result<Event>>> {
        let call = self.call("generation", address);
        let completion = Completion {
            model: &request.model,
            prompt: &request.prompt,
            max_tokens: request.max_tokens,
            stream: true,
        };
        let content = serde_json::to_vec(&completion)
            .map_err(|error| call.error(Kind::Refused(error.to_string())))?;
        let builder = call
            .request(Method::POST, "/v1/completions")
            .header("x-request-id", &request.request_id)
            .header("x-priority", u16::from(request.priority));
        let response = call
            .send_request(builder, content.into(), HEAD_TIMEOUT)
            .await?;
        if response.status() == StatusCode::OK {
            return Ok(Reader::new(address, response.into_body()).into_stream());
        }
        let (head, content) = response.into_parts();
        let reading = body::read(content, MAX_REFUSAL_BYTES);
        let body = match tokio::time::timeout(HEAD_TIMEOUT, reading).await {
            Ok(Ok(body)) => body,
            Ok(Err(_)) | Err(_) => Bytes::new(),
        };
        Err(call.status_error(&FullResponse {
            status: head.status,
            headers: head.headers,
            body,
        }))
    }

    async fn read_state(&self, address: SocketAddr) -> Result<State> {
        let call = self.call("read of an engine's state", address);
        let request = call.request(Method::GET, "/state");
        let response = call.exchange(request, Bytes::new(), STATE_TIMEOUT).await?;
        match response.status {
            StatusCode::OK => call.decode(&response),
            _ => Err(call.status_error(&response)),
        }
    }

    async fn send_load(
        &self,
        address: SocketAddr,
        command: &Load,
        timeout: Duration,
    ) -> Result<()> {
        let call = self.call("load of a version", address);
        let content = serde_json::to_vec(command)
            .map_err(|error| call.error(Kind::Refused(error.to_string())))?;
        let request = call.request(Method::POST, "/commands/load");
        let response = call.exchange(request, content.into(), timeout).await?;
        match response.status {
            status if status.is_success() => Ok(()),
            StatusCode::CONFLICT => Err(call.error(Kind::Fenced)),
            _ => Err(call.status_error(&response)),
        }
    }
}

impl engine::Engine for Engine {
    fn generate(
        &self,
        address: SocketAddr,
        request: Generate,
    ) -> BoxFuture<'_, Result<BoxStream<'static, Result<Event>>>> {
        Box::pin(async move { self.start_generation(address, &request).await })
    }

    fn state(&self, address: SocketAddr) -> BoxFuture<'_, Result<State>> {
        Box::pin(self.read_state(address))
    }

    fn load(
        &self,
        address: SocketAddr,
        command: Load,
        timeout: Duration,
    ) -> BoxFuture<'_, Result<()>> {
        Box::pin(async move { self.send_load(address, &command, timeout).await })
    }
}

/// Reads the events of one streamed response.
struct Reader {
    address: SocketAddr,
    body: Incoming,
    decoder: Decoder,
    /// Decoded events that have not been returned.
    pending: VecDeque<Event>,
    /// The end event, held back until the end marker confirms that the response is complete.
    end: Option<Event>,
    /// Whether the end marker or an error was received, so that nothing more is read.
    is_finished: bool,
}

impl Reader {
    fn new(address: SocketAddr, body: Incoming) -> Self {
        Self {
            address,
            body,
            decoder: Decoder::default(),
            pending: VecDeque::new(),
            end: None,
            is_finished: false,
        }
    }

    fn into_stream(self) -> BoxStream<'static, Result<Event>> {
        stream::unfold(self, |mut reader| async move {
            let event = reader.next_event().await?;
            Some((event, reader))
        })
        .boxed()
    }

    /// Returns the next event, or `None` after the last event or an error.
    async fn next_event(&mut self) -> Option<Result<Event>> {
        loop {
            if let Some(event) = self.pending.pop_front() {
                return Some(Ok(event));
            }
            if self.is_finished {
                return None;
            }
            if let Err(kind) = self.read_frame().await {
                self.is_finished = true;
                return Some(Err(self.error(kind)));
            }
        }
    }

    /// Reads one frame of the body and queues the events that it completes.
    ///
    /// # Errors
    ///
    /// Returns `Lost` if the body ends before the end marker, and `Malformed` for an invalid event.
    async fn read_frame(&mut self) -> std::result::Result<(), Kind> {
        let frame = match self.body.frame().await {
            Some(Ok(frame)) => frame,
            Some(Err(_)) | None => return Err(Kind::Lost),
        };
        let Ok(bytes) = frame.into_data() else {
            return Ok(());
        };
        self.decoder
            .push(&bytes)
            .map_err(|_| Kind::Malformed("an event is too long".to_owned()))?;
        while let Some(data) = self.decoder.next() {
            self.handle_data(&data)?;
        }
        Ok(())
    }

    /// Queues the events in one chunk's data or, at the end marker, the end event.
    fn handle_data(&mut self, data: &[u8]) -> std::result::Result<(), Kind> {
        if data == END_MARKER {
            let end = self.end.take();
            let end = end.ok_or_else(|| Kind::Malformed("no usage before the end".to_owned()))?;
            self.pending.push_back(end);
            self.is_finished = true;
            return Ok(());
        }
        let chunk: Chunk =
            serde_json::from_slice(data).map_err(|error| Kind::Malformed(error.to_string()))?;
        let has_finish_reason = chunk
            .choices
            .iter()
            .any(|choice| choice.finish_reason.is_some());
        if let Some(tokens) = chunk.tokens {
            self.pending.push_back(Event::Tokens {
                request_id: chunk.id.clone(),
                start: tokens.start,
                count: tokens.count,
                text: chunk
                    .choices
                    .into_iter()
                    .map(|choice| choice.text)
                    .collect(),
                version: tokens.version,
            });
        }
        if let (true, Some(usage)) = (has_finish_reason, chunk.usage) {
            self.end = Some(Event::End {
                request_id: chunk.id,
                tokens: usage.completion_tokens,
                cached: usage
                    .prompt_tokens_details
                    .unwrap_or_default()
                    .cached_tokens,
            });
        }
        Ok(())
    }

    fn error(&self, kind: Kind) -> Report<Error> {
        Report::new(Error::new(
            "answer of a generation",
            self.address.to_string(),
            kind,
        ))
    }
}
