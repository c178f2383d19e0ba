//! HTTP client and server shared by the crates that speak HTTP. The entry points are
//! [`client::Client`] and [`server::serve`].

pub mod body;
pub mod budget;
pub mod client;
pub mod memory;
pub mod server;
