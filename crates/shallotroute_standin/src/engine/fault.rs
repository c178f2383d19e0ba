//! The faults that an engine injects.

/// The faults of an engine; the default has none.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fault {
    /// The factor by which processing and generating tokens takes longer.
    pub slowdown: f64,
    /// The reason with which all new requests are rejected.
    pub refusal: Option<Refusal>,
    /// The fault of some responses.
    pub stream: Option<StreamFault>,
    /// Every n-th generation has the fault in `stream`; 0 means none.
    pub stream_every: u64,
    /// The fault of each swap.
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

/// The reasons why an engine rejects a request without running it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The engine is leaving.
    Leaving,
    /// The queue of the engine is full.
    Overloaded,
}

impl Refusal {
    /// Returns the value of the header `X-Server-State`.
    pub const fn header(self) -> &'static str {
        match self {
            Self::Leaving => "leaving",
            Self::Overloaded => "overloaded",
        }
    }
}

/// A fault of a response; all but [`StreamFault::Cut`] apply only to streamed ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamFault {
    /// The connection closes after the first chunk, or without a response if it is not streamed.
    Cut,
    /// The stream ends after the first chunk without an error and without the end marker.
    Truncated,
    /// A chunk of another request follows the first one.
    Foreign,
    /// The second and the third chunk are swapped.
    Reordered,
    /// The first chunk is sent again before the last one.
    Repeated,
}

/// A fault of a swap.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SwapFault {
    /// The swap fails halfway: the old version is unloaded and the new one is not loaded.
    Partial,
    /// The swap succeeds, but the connection closes without a response.
    ResponseLost,
}
