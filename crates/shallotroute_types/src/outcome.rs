//! Whether an attempt at a request was executed.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Whether a backend server executed an attempt, as far as the sender can know.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// No byte of the request can have reached a backend server that acts on it; a retry is safe.
    #[display("not_run")]
    NotRun,
    /// The backend server executed the request.
    #[display("ran")]
    Ran,
    /// The backend server may or may not have executed the request.
    #[display("unknown")]
    Unknown,
}
