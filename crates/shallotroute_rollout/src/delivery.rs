//! The response to a trainer's pull.

use serde::{Deserialize, Serialize};
use shallotroute_types::{
    name::Name, node::Id, provenance::Span, revision::Revision, version::Version,
};

/// A successful response to a pull.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Response {
    /// Complete groups that are not in the trainer's receipt. Empty when the pull timed out.
    pub groups: Vec<Group>,
    /// Whether the trainer has all groups of the step once it has received this response.
    pub complete: bool,
    /// How many groups of the step are still missing after this response.
    pub remaining: u32,
}

/// A group whose samples are all generated and scored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Group {
    /// Index of the prompt within the step.
    pub group: u32,
    /// The samples, ordered by index.
    pub samples: Vec<Sample>,
}

/// A sample with its provenance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// Index within the group.
    pub index: u32,
    /// The generated text.
    pub text: String,
    /// The number of generated tokens.
    pub tokens: u32,
    /// The weight versions that generated the tokens, as the engine reported them.
    pub spans: Vec<Span>,
    /// The engine that generated the sample.
    pub backend_server: Name,
    /// How many attempts were started for the sample, the successful one included.
    pub attempts: u32,
    /// The revision that was active when the successful attempt started.
    pub revision: Revision,
    /// The node that ran the attempt.
    pub node: Id,
    /// The pool as `pool/NAME`, since samples use no route object.
    pub route: String,
    /// The score, or `None` when the trainer has no scorer.
    pub score: Option<f64>,
}

impl Sample {
    /// Returns the oldest weight version among the spans, or `None` without spans.
    pub fn oldest_version(&self) -> Option<Version> {
        crate::staleness::oldest_version(&self.spans)
    }
}

/// The reason why a pull is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The scheduler does not have the step; the trainer has to submit it again.
    UnknownStep,
    /// The trainer has opened a later pull for the step.
    Superseded,
    /// The receipt contains a group that the step does not have.
    BadReceipt,
    /// The pool has moved to another node, or the trainer was removed from it.
    Moved,
}
