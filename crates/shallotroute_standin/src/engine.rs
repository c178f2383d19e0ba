//! A simulated model engine with continuous batching, request priorities, a prefix cache and weight
//! swaps. Start with [`Engine`].

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
    record::{Arrival, Command, CommandResult, End, Generation},
};
use crate::{length::Distribution, server::Server};

/// The properties of an engine, which stay the same over restarts.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The engine's name, which is part of the text of each generated token.
    pub name: String,
    /// The maximum number of requests in progress.
    pub slots: u32,
    /// The maximum number of waiting requests; more are rejected as overload.
    pub queue: usize,
    /// The generated tokens a second of each request in progress.
    pub tokens_per_second: f64,
    /// The speed of processing prompt tokens that are not in the prefix cache, in tokens a second.
    pub prompt_tokens_per_second: f64,
    /// The number of tokens in one chunk of a streamed response.
    pub chunk_tokens: u32,
    /// The capacity of the prefix cache, in blocks of 16 prompt tokens.
    pub cache_blocks: usize,
    /// Whether the engine rejects commands with an old fencing number.
    pub fencing: bool,
    /// The duration of a swap after the weights were fetched.
    pub load_time: Duration,
    /// The maximum age of the state that the engine reports.
    pub report_lag: Duration,
    /// The version of each model that is loaded after each start.
    pub models: BTreeMap<Name, Version>,
    /// The address of the weight store; without one, a load without a source fetches nothing.
    pub weights: Option<SocketAddr>,
    /// The distribution of response lengths.
    pub length: Distribution,
}

impl Settings {
    /// Creates settings of a fast engine with version 0 of one model.
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

/// A model engine that is served over HTTP; dropping it stops the server.
#[derive(Debug)]
pub struct Engine {
    shared: Arc<Shared>,
    server: Server,
}

impl Engine {
    /// Starts an engine without faults.
    ///
    /// # Errors
    ///
    /// Fails when no address can be bound.
    pub async fn start(settings: Settings) -> io::Result<Self> {
        let shared = Shared::new(settings);
        let server = Server::start(shared.clone()).await?;
        Ok(Self { shared, server })
    }

    /// Returns the engine's name from its settings.
    pub fn name(&self) -> &str {
        &self.shared.settings.name
    }

    /// Returns the address at which the engine is served, which a restart keeps.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets the faults. The fault of a response is chosen when its request arrives; other faults
    /// apply to work in progress too.
    pub fn set_fault(&self, fault: Fault) {
        self.shared.lock().fault = fault;
    }

    /// Returns the faults that are set.
    pub fn fault(&self) -> Fault {
        self.shared.lock().fault
    }

    /// Closes the listener and all connections; requests and commands in progress are lost.
    pub fn crash(&self) {
        self.server.stop();
        self.shared.crash();
    }

    /// Serves again after a crash, as a new incarnation with the versions of the settings.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound again.
    pub async fn restart(&self) -> io::Result<()> {
        self.shared.reset();
        self.server.restart(self.shared.clone()).await
    }

    /// Returns the current state, without the lag of a report.
    pub fn state(&self) -> State {
        self.shared.state()
    }

    /// Returns every request that the engine accepted, in order.
    pub fn generations(&self) -> Vec<Generation> {
        self.shared.lock().generations.clone()
    }

    /// Returns every command that arrived, in order.
    pub fn commands(&self) -> Vec<Command> {
        self.shared.lock().commands.clone()
    }

    /// Returns every request that arrived, including rejected ones, in order.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.shared.lock().arrivals.clone()
    }

    /// Returns the time of the last arrival; none before the first request.
    pub fn last_arrival(&self) -> Option<Instant> {
        self.shared.lock().arrivals.last().map(|arrival| arrival.at)
    }
}
