//! State machines without I/O for leases by compare-and-swap, for fencing numbers, and for commands to
//! engines under a lease.
//!
//! Start with [`lease::Lease`] and [`command::Controller`].

pub mod command;
pub mod engine;
pub mod lease;
pub mod phase;
pub mod record;
