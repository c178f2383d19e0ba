//! Schedules the steps of trainers on a pool of engines: places samples, enforces staleness bounds,
//! records provenance, delivers groups and swaps weights.
//!
//! The crate does no I/O: events go in and actions come out. Start with [`scheduler::Scheduler`],
//! which runs the steps of one pool, and [`swap::Controller`], which loads weights into its
//! engines.

pub mod configuration;
pub mod counters;
pub mod delivery;
pub mod engine;
pub mod ledger;
pub mod order;
pub mod provenance;
pub mod receipt;
pub mod scheduler;
pub mod staleness;
pub mod step;
pub mod swap;
