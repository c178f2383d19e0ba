//! Whether an engine's response is whole and belongs to its request.

use std::borrow::Cow;

use derive_more::Display;
use serde::{Deserialize, de::IgnoredAny};

/// The result of a check.
pub type Result<T> = std::result::Result<T, Fault>;

/// What is wrong with a response.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Fault {
    /// It carries the identity of another attempt, or none.
    #[display("the response belongs to another request")]
    Foreign,
    /// Tokens are missing, repeated or out of order.
    #[display("token {found} came in place of token {expected}")]
    Gap {
        /// The index of the token that was due.
        expected: u64,
        /// The index that came.
        found: u64,
    },
    /// The response can't be read.
    #[display("the response is malformed")]
    Malformed,
    /// It ended without its end marker.
    #[display("the response ended without its end marker")]
    Unfinished,
    /// The engine reports an error in place of tokens.
    #[display("the engine reported an error")]
    Failed,
}

impl std::error::Error for Fault {}

/// What an engine says about the tokens of a whole response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    #[serde(default)]
    pub prompt_tokens: u64,
    /// Tokens of the response.
    #[serde(default)]
    pub completion_tokens: u64,
    /// Details of the prompt.
    #[serde(default)]
    pub prompt_tokens_details: Option<Details>,
}

/// What an engine says about the tokens of a prompt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct Details {
    /// Tokens that came from the prefix cache.
    #[serde(default)]
    pub cached_tokens: u64,
}

impl Usage {
    /// Returns how many prompt tokens came from the prefix cache, if the engine said so.
    pub fn cached(&self) -> Option<u64> {
        self.prompt_tokens_details.map(|it| it.cached_tokens)
    }
}

#[derive(Deserialize)]
struct Chunk<'a> {
    #[serde(borrow, default)]
    id: Cow<'a, str>,
    #[serde(default)]
    choices: Vec<Choice>,
    #[serde(default)]
    tokens: Option<Tokens>,
    #[serde(default)]
    usage: Option<Usage>,
    #[serde(default)]
    error: Option<IgnoredAny>,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    index: u32,
    #[serde(default)]
    finish_reason: Option<IgnoredAny>,
}

#[derive(Deserialize)]
struct Tokens {
    start: u64,
    count: u64,
}

#[derive(Clone, Debug)]
struct Track {
    index: u32,
    next: u64,
    finished: bool,
}

/// Checks the events of one stream in their order.
#[derive(Clone, Debug)]
pub struct Validator {
    identity: String,
    tracks: Vec<Track>,
    usage: Option<Usage>,
    done: bool,
}

impl Validator {
    /// Makes a validator of the stream of one attempt.
    pub fn new(identity: impl Into<String>) -> Self {
        Self {
            identity: identity.into(),
            tracks: Vec::new(),
            usage: None,
            done: false,
        }
    }

    /// Checks the next event, given with its field names and line ends.
    ///
    /// # Errors
    ///
    /// The event is foreign, out of order or malformed, or it comes after the end marker.
    pub fn event(&mut self, event: &[u8]) -> Result<()> {
        match data(event) {
            Some(data) => self.data(&data),
            // Comments and events without data keep connections open.
            None => Ok(()),
        }
    }

    /// Tells whether the end marker has come.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Returns what the engine said about the tokens.
    pub fn usage(&self) -> Option<&Usage> {
        self.usage.as_ref()
    }

    fn data(&mut self, data: &[u8]) -> Result<()> {
        if self.done {
            return Err(Fault::Malformed);
        }
        if data == b"[DONE]" {
            return self.end();
        }
        let chunk: Chunk<'_> = serde_json::from_slice(data).map_err(|_| Fault::Malformed)?;
        if chunk.error.is_some() {
            return Err(Fault::Failed);
        }
        if chunk.id != self.identity {
            return Err(Fault::Foreign);
        }
        if let Some(tokens) = &chunk.tokens {
            self.advance(chunk.choices.first().map_or(0, |it| it.index), tokens)?;
        }
        for choice in &chunk.choices {
            self.track(choice.index).finished |= choice.finish_reason.is_some();
        }
        self.usage = chunk.usage.or(self.usage);
        Ok(())
    }

    fn advance(&mut self, index: u32, tokens: &Tokens) -> Result<()> {
        let track = self.track(index);
        if tokens.start != track.next || track.finished {
            return Err(Fault::Gap {
                expected: track.next,
                found: tokens.start,
            });
        }
        track.next = tokens.start.saturating_add(tokens.count);
        Ok(())
    }

    fn track(&mut self, index: u32) -> &mut Track {
        let position = self.tracks.iter().position(|track| track.index == index);
        let position = position.unwrap_or_else(|| {
            self.tracks.push(Track {
                index,
                next: 0,
                finished: false,
            });
            self.tracks.len() - 1
        });
        &mut self.tracks[position]
    }

    fn end(&mut self) -> Result<()> {
        if self.tracks.is_empty() || self.tracks.iter().any(|track| !track.finished) {
            return Err(Fault::Unfinished);
        }
        let counted: u64 = self.tracks.iter().map(|track| track.next).sum();
        match self.usage {
            // Engines that do not number their tokens leave the count at 0.
            Some(usage) if counted > 0 && usage.completion_tokens != counted => Err(Fault::Gap {
                expected: usage.completion_tokens,
                found: counted,
            }),
            Some(_) | None => {
                self.done = true;
                Ok(())
            }
        }
    }
}

/// Checks a non-streaming response.
///
/// # Errors
///
/// The response is foreign or malformed, or a choice has no `finish_reason`.
pub fn whole(identity: &str, body: &[u8]) -> Result<Option<Usage>> {
    let chunk: Chunk<'_> = serde_json::from_slice(body).map_err(|_| Fault::Malformed)?;
    if chunk.error.is_some() {
        return Err(Fault::Failed);
    }
    if chunk.id != identity {
        return Err(Fault::Foreign);
    }
    let finished = |choice: &Choice| choice.finish_reason.is_some();
    match !chunk.choices.is_empty() && chunk.choices.iter().all(finished) {
        true => Ok(chunk.usage),
        false => Err(Fault::Unfinished),
    }
}

/// Returns the length of the first whole event in `bytes`, its blank line included. The search for
/// the end starts at `from`.
pub fn event_length(bytes: &[u8], from: usize) -> Option<usize> {
    let mut at = from;
    while let Some(offset) = bytes[at..].iter().position(|&byte| byte == b'\n') {
        let end = at + offset + 1;
        match bytes[end..] {
            [b'\n', ..] => return Some(end + 1),
            [b'\r', b'\n', ..] => return Some(end + 2),
            _ => at = end,
        }
    }
    None
}

/// Joins the data lines of an event.
fn data(event: &[u8]) -> Option<Cow<'_, [u8]>> {
    let mut joined: Option<Cow<'_, [u8]>> = None;
    for line in event.split(|&byte| byte == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let Some(value) = line.strip_prefix(b"data:") else {
            continue;
        };
        let value = value.strip_prefix(b" ").unwrap_or(value);
        joined = Some(match joined {
            None => Cow::Borrowed(value),
            Some(before) => {
                let mut text = before.into_owned();
                text.push(b'\n');
                text.extend_from_slice(value);
                Cow::Owned(text)
            }
        });
    }
    joined
}
