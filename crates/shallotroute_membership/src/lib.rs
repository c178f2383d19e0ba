//! Failure detection by gossip: heartbeats, suspicion and incarnations, as state machines without I/O.
//!
//! Start with [`table::Table`].

pub mod codec;
pub mod datagram;
mod digest;
pub mod entry;
pub mod phase;
pub mod table;
pub mod timing;
