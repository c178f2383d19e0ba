//! What a pull returns to a trainer.

use serde::{Deserialize, Serialize};
use shallotroute_types::{
    name::Name, node::Id, provenance::Span, revision::Revision, version::Version,
};

/// The answer to a pull.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// Complete groups that the trainer does not have.
    pub groups: Vec<Group>,
    /// Whether the trainer has all groups of the step with this answer.
    pub complete: bool,
    /// How many groups are still to come after this answer.
    pub remaining: u32,
}

/// A complete group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Group {
    /// Index of the prompt within the step.
    pub group: u32,
    /// The samples by index.
    pub samples: Vec<Sample>,
}

/// A sample with its provenance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// Index within the group.
    pub index: u32,
    /// The text.
    pub text: String,
    /// How many tokens it has.
    pub tokens: u32,
    /// The versions that made the tokens, as the engine reported them.
    pub spans: Vec<Span>,
    /// The engine.
    pub backend_server: Name,
    /// How many attempts were started before one gave the sample, that one included.
    pub attempts: u32,
    /// The revision in force when the attempt was started.
    pub revision: Revision,
    /// The node that ran the attempt.
    pub node: Id,
    /// The pool that served it, as `pool/NAME`; samples take no route object.
    pub route: String,
    /// The score; none when the trainer has no scorer.
    pub score: Option<f64>,
}

impl Sample {
    /// Returns the oldest version among the spans.
    pub fn oldest_version(&self) -> Option<Version> {
        crate::staleness::oldest_version(&self.spans)
    }
}

/// Why a pull gets no groups.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The step is not known here; the trainer submits it again.
    UnknownStep,
    /// The trainer has opened a later pull.
    Superseded,
    /// The receipt names a group that the step does not have.
    BadReceipt,
    /// The pool has moved to another node, or the trainer was removed.
    Moved,
}
