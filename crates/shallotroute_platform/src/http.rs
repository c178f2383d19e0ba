//! The HTTP adapters of the platform's interfaces. Start with [`Store`] and [`Engine`].

mod call;
mod engine;
mod host;
mod scorer;
mod sse;
mod store;

pub use self::{engine::Engine, host::HostList, scorer::Scorer, store::Store};
