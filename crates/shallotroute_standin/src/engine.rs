//! The stand-in of a model engine with continuous batching, priorities, a prefix cache and swaps of
//! weights. Start with [`Engine`].

mod batch;
mod cache;
mod fault;
mod generation;
mod load;
mod record;
mod shared;
mod sse;
mod wire;

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use shallotroute_platform::engine::State;
use shallotroute_types::{name::Name, version::Version};

use self::shared::Shared;
pub use self::{
    fault::{Fault, Refusal, StreamFault, SwapFault},
    record::{Arrival, Command, End, Generation, Result as CommandResult},
};
use crate::{length::Distribution, server::Server};

/// The fixed properties of an engine.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The engine's name, which the text of its tokens contains.
    pub name: String,
    /// Requests in progress at once.
    pub slots: u32,
    /// Requests that may wait; more are refused as overload.
    pub queue: usize,
    /// Tokens a second of each request in progress.
    pub tokens_per_second: f64,
    /// Prompt tokens a second that are not in the prefix cache.
    pub prompt_tokens_per_second: f64,
    /// Tokens in one chunk of an answer.
    pub chunk_tokens: u32,
    /// Blocks of 16 prompt tokens that the prefix cache holds.
    pub cache_blocks: usize,
    /// Whether commands with an old fencing number are refused.
    pub fencing: bool,
    /// How long a swap takes once the weights are there.
    pub load_time: Duration,
    /// How old the reported state may be.
    pub report_lag: Duration,
    /// The versions that the engine has after each start.
    pub models: BTreeMap<Name, Version>,
    /// The weight store; without one weights need no fetch.
    pub weights: Option<SocketAddr>,
    /// The lengths of answers.
    pub length: Distribution,
}

impl Settings {
    /// Makes settings of a fast engine with one model.
    pub fn new(name: &str, model: &str, seed: u64) -> Self {
        Self {
            name: name.to_owned(),
            slots: 8,
            queue: 256,
            tokens_per_second: 2_000.0,
            prompt_tokens_per_second: 100_000.0,
            chunk_tokens: 8,
            cache_blocks: 4_096,
            fencing: true,
            load_time: Duration::from_millis(50),
            report_lag: Duration::from_millis(50),
            models: BTreeMap::from([(Name::from(model), Version(0))]),
            weights: None,
            length: Distribution {
                seed,
                median: 40.0,
                sigma: 0.8,
                min: 1,
                max: 2_000,
            },
        }
    }
}

/// A model engine.
#[derive(Debug)]
pub struct Engine {
    shared: Arc<Shared>,
    server: Server,
}

impl Engine {
    /// Starts an engine.
    ///
    /// # Errors
    ///
    /// No address can be bound.
    pub async fn start(settings: Settings) -> io::Result<Self> {
        let shared = Shared::new(settings);
        let server = Server::start(shared.clone()).await?;
        Ok(Self { shared, server })
    }

    /// Returns the name.
    pub fn name(&self) -> &str {
        &self.shared.settings.name
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets what goes wrong from now on.
    pub fn set_fault(&self, fault: Fault) {
        self.shared.lock().fault = fault;
    }

    /// Returns what goes wrong.
    pub fn fault(&self) -> Fault {
        self.shared.lock().fault
    }

    /// Closes the listener and all connections; what is in progress is lost.
    pub fn crash(&self) {
        self.server.stop();
        self.shared.crash();
    }

    /// Serves again with a new incarnation and the versions of the settings.
    ///
    /// # Errors
    ///
    /// The address can't be bound again.
    pub async fn restart(&self) -> io::Result<()> {
        self.shared.reset();
        self.server.restart(self.shared.clone()).await
    }

    /// Returns the true state, without the lag of a report.
    pub fn state(&self) -> State {
        self.shared.state()
    }

    /// Returns every generation that began.
    pub fn generations(&self) -> Vec<Generation> {
        self.shared.lock().generations.clone()
    }

    /// Returns every command that arrived.
    pub fn commands(&self) -> Vec<Command> {
        self.shared.lock().commands.clone()
    }

    /// Returns every request that arrived, refused ones included.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.shared.lock().arrivals.clone()
    }

    /// Returns when the last request arrived, if one did.
    pub fn last_arrival(&self) -> Option<Instant> {
        self.shared.lock().arrivals.last().map(|arrival| arrival.at)
    }
}
