//! Leases by compare-and-swap, fencing numbers and commands to engines, as pure state machines.
//! Start with [`lease::Lease`] and [`command::Controller`].

pub mod command;
pub mod engine;
pub mod lease;
pub mod phase;
pub mod record;
