//! Records which weight version generated each token of an attempt, from the engine's own reports.

use derive_more::Display;
use error_stack::Report;
use shallotroute_types::{provenance::Span, version::Version};

/// The result of recording a stream event.
pub type Result<T> = std::result::Result<T, Report<Error>>;

/// The reason why the stream of an attempt can't be used.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// A chunk does not continue where the previous one ended: tokens are missing or repeated.
    #[display("token {found} was reported where token {expected} follows")]
    Gap {
        /// The index after the last recorded token.
        expected: u32,
        /// The index of the chunk's first token.
        found: u32,
    },
    /// The end marker counts more or fewer tokens than were reported.
    #[display("the end marker counts {expected} tokens, {found} were reported")]
    Truncated {
        /// The number of tokens according to the end marker.
        expected: u32,
        /// The number of tokens reported before it.
        found: u32,
    },
    /// The stream has no tokens, so that no version can be attributed to the sample.
    #[display("the answer has no tokens")]
    Empty,
}

impl std::error::Error for Error {}

/// A run of tokens that an engine generated with one weight version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunk {
    /// Index of the first token.
    pub start: u32,
    /// The number of tokens.
    pub count: u32,
    /// The text of the tokens.
    pub text: String,
    /// The weight version that generated the tokens.
    pub version: Version,
}

/// The complete output of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Completion {
    /// The generated text.
    pub text: String,
    /// The number of tokens, at least one.
    pub tokens: u32,
    /// The weight versions that generated the tokens, contiguous from token 0.
    pub spans: Vec<Span>,
}

/// Assembles the stream events of one attempt into a [`Completion`].
#[derive(Clone, Debug)]
pub struct Recorder {
    identity: String,
    text: String,
    spans: Vec<Span>,
    tokens: u32,
}

impl Recorder {
    /// Creates a recorder for the attempt that was sent to the engine as `identity`.
    pub fn new(identity: impl Into<String>) -> Self {
        Self {
            identity: identity.into(),
            text: String::new(),
            spans: Vec::new(),
            tokens: 0,
        }
    }

    /// Returns the identity that the attempt's events must carry.
    pub fn identity(&self) -> &str {
        &self.identity
    }

    /// Returns the number of recorded tokens.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Returns the spans of the recorded tokens.
    pub fn spans(&self) -> &[Span] {
        &self.spans
    }

    /// Records a chunk that carries `identity`. Returns `false` and drops the chunk when it belongs
    /// to another attempt.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Gap`] when the chunk does not follow the recorded tokens. The attempt can't
    /// be used after that.
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

    /// Records the end marker that carries `identity` and returns the completion. Returns `None`
    /// and drops the marker when it belongs to another attempt.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Truncated`] when the marker's count differs from the recorded tokens, and
    /// [`Error::Empty`] when there are none.
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
