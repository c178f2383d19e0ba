//! Simulated platform services, backend servers, callers and trainers for tests and examples.
//! The servers listen on loopback addresses, inject faults that a test sets at run time, and record
//! each request, so that a test can compare the records with the responses. Start with
//! [`engine::Engine`] and [`store::Store`].

pub mod admin;
pub mod caller;
pub mod cluster;
pub mod configuration;
pub mod engine;
pub mod host;
pub mod length;
mod message;
pub mod process;
pub mod proxy;
pub mod scorer;
pub mod server;
pub mod service;
pub mod store;
pub mod text;
pub mod trainer;
pub mod truth;
pub mod weight;
