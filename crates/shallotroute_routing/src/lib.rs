//! Decisions on callers' requests: route, admission, selection, retry, identity.

pub mod inference;
pub mod pool;
pub mod server;
pub mod table;
