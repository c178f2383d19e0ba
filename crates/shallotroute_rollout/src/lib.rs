//! Decisions on trainers' steps: samples, staleness, provenance, delivery, swaps.
//! Start with [`scheduler::Scheduler`], which runs the steps of one pool.

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
