//! Interfaces to the platform (key-value store, host list) and to backend servers (engines,
//! scorers), with an HTTP adapter for each. The entry points are [`store::Store`],
//! [`engine::Engine`], [`host::List`] and [`scorer::Scorer`]; the adapters are in [`http`].

pub mod engine;
pub mod error;
pub mod host;
pub mod http;
pub mod scorer;
pub mod store;
pub mod throttle;
