//! Leases, fencing numbers and commands to engines.
