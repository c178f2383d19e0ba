//! What goes wrong in an engine.

/// The faults of an engine; the default has none.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fault {
    /// Multiplies the time of each token.
    pub slowdown: f64,
    /// Refuses all new requests.
    pub refusal: Option<Refusal>,
    /// What goes wrong with some streamed answers.
    pub stream: Option<StreamFault>,
    /// Every n-th generation has the fault of streams; 0 lets none have it.
    pub stream_every: u64,
    /// What goes wrong with each swap.
    pub swap: Option<SwapFault>,
}

impl Default for Fault {
    fn default() -> Self {
        Self {
            slowdown: 1.0,
            refusal: None,
            stream: None,
            stream_every: 1,
            swap: None,
        }
    }
}

/// Why an engine refuses requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// It leaves.
    Leaving,
    /// It has too much to do.
    Overloaded,
}

impl Refusal {
    /// Returns the value of `X-Server-State`.
    pub const fn header(self) -> &'static str {
        match self {
            Self::Leaving => "leaving",
            Self::Overloaded => "overloaded",
        }
    }
}

/// What goes wrong with a streamed answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamFault {
    /// The connection closes after the first chunk.
    Cut,
    /// The stream ends after the first chunk as if it were whole, without the end marker.
    Truncated,
    /// A chunk of another request follows the first one.
    Foreign,
    /// The second and the third chunk change places.
    Reordered,
    /// The first chunk comes again before the last one.
    Repeated,
}

/// What goes wrong with a swap.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SwapFault {
    /// It fails halfway: the old version is gone and the new one is not there.
    Partial,
    /// It succeeds and its answer is lost.
    ResponseLost,
}
