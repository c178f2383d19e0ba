//! The interfaces to the platform and to backend servers, each with one HTTP adapter.
//! Start with [`store::Store`] and [`engine::Engine`].

pub mod engine;
pub mod error;
pub mod host;
pub mod http;
pub mod scorer;
pub mod store;
pub mod throttle;
