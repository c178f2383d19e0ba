//! Stand-ins for the platform, the backend servers and the trainers, for tests and examples only.
//! Each listens on a loopback address, takes faults at run time, and keeps a record of what truly
//! happened. Start with [`engine::Engine`] and [`store::Store`].

pub mod admin;
pub mod caller;
pub mod configuration;
pub mod engine;
pub mod fleet;
pub mod host;
pub mod length;
pub mod process;
pub mod proxy;
mod reply;
pub mod scorer;
pub mod server;
pub mod service;
pub mod store;
pub mod text;
pub mod trainer;
pub mod truth;
pub mod weight;
