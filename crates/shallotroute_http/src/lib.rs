//! HTTP client and server helpers that all edges share. Start with [`client::Client`] and
//! [`server::serve`].

pub mod body;
pub mod client;
pub mod server;
