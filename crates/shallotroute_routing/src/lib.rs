//! Decisions on callers' requests: route, admission, selection, retry, identity.

pub mod admission;
pub mod affinity;
pub mod answer;
pub mod identity;
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
