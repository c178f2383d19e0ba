//! HTTP adapters of the interfaces to the platform and to backend servers. The entry points are
//! [`Store`], [`Engine`], [`HostList`] and [`Scorer`].

mod call;
mod engine;
mod host;
mod scorer;
mod sse;
mod store;

pub use self::{engine::Engine, host::HostList, scorer::Scorer, store::Store};
