//! Model engines: generation, state and commands.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use futures::{future::BoxFuture, stream::BoxStream};
use serde::{Deserialize, Serialize};
use shallotroute_types::{fence::Fence, name::Name, version::Version};

use crate::error::Result;

/// One generation request of this system's own, as for a trainer's sample.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Generate {
    /// The system's identity of the attempt; the engine repeats it in each event.
    pub request_id: String,
    /// The model or adapter.
    pub model: Name,
    /// The prompt.
    pub prompt: String,
    /// The most tokens to generate.
    pub max_tokens: u32,
    /// A lower number is served first.
    pub priority: u8,
}

/// A part of an engine's answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// Tokens, all made by one version of the weights.
    Tokens {
        /// The identity of the attempt.
        request_id: String,
        /// Index of the first token.
        start: u32,
        /// How many tokens.
        count: u32,
        /// Their text.
        text: String,
        /// The version that made them.
        version: Version,
    },
    /// The end of a whole answer.
    End {
        /// The identity of the attempt.
        request_id: String,
        /// How many tokens the whole answer has.
        tokens: u32,
        /// How many prompt tokens came from the prefix cache.
        cached: u32,
    },
}

/// What an engine says of itself; it lags.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// A number that changes with each start of the engine.
    pub incarnation: u64,
    /// The version of each model that is loaded whole.
    pub models: BTreeMap<Name, Version>,
    /// A model whose weights are being replaced.
    pub swapping: Option<Name>,
    /// Requests in progress.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can be in progress at once.
    pub slots: u32,
    /// Whether the engine wants no new work.
    pub leaving: bool,
    /// The highest fencing number seen; 0 when the engine ignores them.
    pub fence: Fence,
}

/// A command to load a version; streams in progress go on and later tokens come from the new version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The fencing number of the sender's lease.
    pub fence: Fence,
    /// The model or adapter.
    pub model: Name,
    /// The version to load.
    pub version: Version,
    /// An engine that has the weights; without one they come from the weight store.
    pub source: Option<SocketAddr>,
}

/// The model engines, by address.
pub trait Engine: Send + Sync + 'static {
    /// Starts a generation. Dropping the stream cancels it and frees its place in the engine.
    ///
    /// # Errors
    ///
    /// The engine is unreachable or refused.
    fn generate(
        &self,
        address: SocketAddr,
        request: Generate,
    ) -> BoxFuture<'_, Result<BoxStream<'static, Result<Event>>>>;

    /// Reads the engine's state.
    ///
    /// # Errors
    ///
    /// The engine is unreachable or did not answer in time.
    fn state(&self, address: SocketAddr) -> BoxFuture<'_, Result<State>>;

    /// Gives a command and waits until it is done.
    ///
    /// # Errors
    ///
    /// `Fenced` when the engine has seen a higher fencing number; `Lost` when it may have been done.
    fn load(
        &self,
        address: SocketAddr,
        command: Load,
        timeout: Duration,
    ) -> BoxFuture<'_, Result<()>>;
}
