//! Heartbeats, suspicion and incarnations as pure state machines. Start with [`table::Table`].

pub mod codec;
pub mod datagram;
mod digest;
pub mod member;
pub mod pace;
pub mod phase;
pub mod table;
