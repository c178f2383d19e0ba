//! Connections between nodes: heartbeats over UDP and typed calls over TCP.

pub mod client;
pub mod codec;
pub mod heartbeat;
mod metrics;
pub mod service;
pub mod stream;
