//! The interface to model engines: generation, state and commands.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use futures::{future::BoxFuture, stream::BoxStream};
use serde::{Deserialize, Serialize};
use shallotroute_types::{fence::Fence, name::Name, version::Version};

use crate::error::Result;

/// A generation request that this system makes itself, such as for a trainer's sample. Callers'
/// requests are proxied and don't pass through this interface.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Generate {
    /// The identity of the attempt, chosen by this system; the engine repeats it in each event.
    pub request_id: String,
    /// The model or adapter that generates.
    pub model: Name,
    /// The text to continue.
    pub prompt: String,
    /// The maximum number of tokens to generate.
    pub max_tokens: u32,
    /// The engine serves lower numbers first.
    pub priority: u8,
}

/// An event of an engine's streamed response.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// Tokens that were generated with one version of the weights.
    Tokens {
        /// The identity of the attempt that the engine names; a faulty one may name another.
        request_id: String,
        /// The index of the first token in the response, from 0.
        start: u32,
        /// The number of tokens.
        count: u32,
        /// The text of the tokens.
        text: String,
        /// The version of the weights that generated the tokens.
        version: Version,
    },
    /// The end of a complete response.
    End {
        /// The identity of the attempt that the engine names.
        request_id: String,
        /// The number of tokens of the complete response.
        tokens: u32,
        /// The number of prompt tokens that came from the prefix cache.
        cached: u32,
    },
}

/// The state that an engine reports, which lags behind the actual one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Differs between starts of the engine, so that a restart is detected.
    pub incarnation: u64,
    /// The version of each completely loaded model.
    pub models: BTreeMap<Name, Version>,
    /// The model whose weights are being replaced, if any.
    pub swapping: Option<Name>,
    /// The number of requests in progress.
    pub running: u32,
    /// The number of queued requests.
    pub waiting: u32,
    /// The maximum number of requests in progress.
    pub slots: u32,
    /// Whether the engine is draining and takes no new work.
    pub leaving: bool,
    /// The highest fencing number that the engine has seen; 0 if it ignores them.
    pub fence: Fence,
}

/// A command to load a version of a model's weights. Streams in progress continue, and their later
/// tokens come from the new version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The fencing number of the sender's lease; the engine rejects a lower one than it has seen.
    pub fence: Fence,
    /// The model or adapter to load.
    pub model: Name,
    /// The version of its weights.
    pub version: Version,
    /// Another engine to copy the weights from; `None` loads them from the weight store.
    pub source: Option<SocketAddr>,
}

/// A client of all model engines, which are addressed per call.
pub trait Engine: Send + Sync + 'static {
    /// Starts a generation and returns its events. The last item is [`Event::End`], or an error if
    /// the response was cut off. Dropping the stream cancels the generation and frees its slot in
    /// the engine.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine is unreachable, rejects the request, or does not start to
    /// respond in time.
    fn generate(
        &self,
        address: SocketAddr,
        request: Generate,
    ) -> BoxFuture<'_, Result<BoxStream<'static, Result<Event>>>>;

    /// Reads the engine's state.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine is unreachable or does not respond in time.
    fn state(&self, address: SocketAddr) -> BoxFuture<'_, Result<State>>;

    /// Sends a command and waits up to `timeout` until the engine has executed it.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::Fenced`](crate::error::Kind::Fenced) if the engine has seen a higher fencing
    /// number, and [`Kind::Lost`](crate::error::Kind::Lost) if the command may have been executed.
    fn load(
        &self,
        address: SocketAddr,
        command: Load,
        timeout: Duration,
    ) -> BoxFuture<'_, Result<()>>;
}
