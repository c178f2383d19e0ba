//! Communication between nodes: heartbeats over UDP and RPC connections over TCP. The entry points
//! are [`heartbeat::Heartbeat`], [`stream::serve`] and [`client::Clients`].

pub mod client;
pub mod closable;
pub mod codec;
pub mod heartbeat;
mod metrics;
pub mod service;
pub mod stream;
