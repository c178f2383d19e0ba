//! Leases by compare-and-swap, fencing numbers and commands to engines, as pure state machines.
//! Start with [`lease::Lease`].

pub mod lease;
pub mod phase;
pub mod record;
