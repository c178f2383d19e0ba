//! What is known of an attempt at a request.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Whether an attempt ran at a backend server.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// No byte of the request can have reached a backend server that acts on it.
    #[display("not_run")]
    NotRun,
    /// The backend server ran the request.
    #[display("ran")]
    Ran,
    /// It can't be told.
    #[display("unknown")]
    Unknown,
}
