//! Routing decisions on callers' requests: route lookup, limits, admission, server selection, retries and
//! idempotency.
//!
//! Nothing here does I/O: callers pass in the time, random numbers and messages.

pub mod admission;
pub mod affinity;
pub mod idempotency;
pub mod inference;
pub mod limit;
pub mod outcome;
pub mod pool;
pub mod quorum;
pub mod quota;
pub mod retry;
pub mod selection;
pub mod server;
pub mod table;
pub mod validation;
