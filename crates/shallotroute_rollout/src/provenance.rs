//! Which weight versions produced which tokens of an attempt, from the engine's own reports.

use derive_more::Display;
use error_stack::Report;
use shallotroute_types::{provenance::Span, version::Version};

/// The result of recording an event.
pub type Result<T> = std::result::Result<T, Report<Error>>;

/// Why an attempt's answer can't be used.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// Tokens are missing or repeated.
    #[display("token {found} was reported where token {expected} follows")]
    Gap {
        /// The index that follows the recorded tokens.
        expected: u32,
        /// The reported index.
        found: u32,
    },
    /// The end marker counts other tokens than were reported.
    #[display("the end marker counts {expected} tokens, {found} were reported")]
    Truncated {
        /// The count of the end marker.
        expected: u32,
        /// The tokens reported.
        found: u32,
    },
    /// The answer has no token, so no version can be named for it.
    #[display("the answer has no tokens")]
    Empty,
}

impl std::error::Error for Error {}

/// Tokens that an engine reports, all made by one version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunk {
    /// Index of the first token.
    pub start: u32,
    /// How many tokens.
    pub count: u32,
    /// Their text.
    pub text: String,
    /// The version that made them.
    pub version: Version,
}

/// A whole answer of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Completion {
    /// The text.
    pub text: String,
    /// How many tokens it has.
    pub tokens: u32,
    /// The versions that made them; contiguous from token 0.
    pub spans: Vec<Span>,
}

/// Records the answer of one attempt.
#[derive(Clone, Debug)]
pub struct Recorder {
    identity: String,
    text: String,
    spans: Vec<Span>,
    tokens: u32,
}

impl Recorder {
    /// Makes a recorder for the attempt that the engine knows as `identity`.
    pub fn new(identity: impl Into<String>) -> Self {
        Self {
            identity: identity.into(),
            text: String::new(),
            spans: Vec::new(),
            tokens: 0,
        }
    }

    /// Returns the attempt's identity.
    pub fn identity(&self) -> &str {
        &self.identity
    }

    /// Returns how many tokens are recorded.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Returns the spans so far.
    pub fn spans(&self) -> &[Span] {
        &self.spans
    }

    /// Records a chunk that carries `identity`. A chunk of another attempt is dropped and `false`
    /// returned.
    ///
    /// # Errors
    ///
    /// The chunk does not follow the recorded tokens; the attempt is of no use then.
    pub fn push(&mut self, identity: &str, chunk: &Chunk) -> Result<bool> {
        if identity != self.identity {
            return Ok(false);
        }
        if chunk.start != self.tokens {
            return Err(Report::new(Error::Gap {
                expected: self.tokens,
                found: chunk.start,
            }));
        }
        let end = chunk.start.saturating_add(chunk.count);
        match self.spans.last_mut() {
            Some(last) if last.version == chunk.version => last.end = end,
            _ if chunk.count > 0 => self.spans.push(Span {
                start: chunk.start,
                end,
                version: chunk.version,
            }),
            _ => {}
        }
        self.tokens = end;
        self.text.push_str(&chunk.text);
        Ok(true)
    }

    /// Records the end marker that carries `identity` and returns the whole answer. The marker of
    /// another attempt is dropped and `None` returned.
    ///
    /// # Errors
    ///
    /// The answer is empty, or tokens that the marker counts were not reported.
    pub fn finish(&mut self, identity: &str, tokens: u32) -> Result<Option<Completion>> {
        if identity != self.identity {
            return Ok(None);
        }
        if tokens != self.tokens {
            return Err(Report::new(Error::Truncated {
                expected: tokens,
                found: self.tokens,
            }));
        }
        if tokens == 0 {
            return Err(Report::new(Error::Empty));
        }
        Ok(Some(Completion {
            text: std::mem::take(&mut self.text),
            tokens,
            spans: std::mem::take(&mut self.spans),
        }))
    }
}
