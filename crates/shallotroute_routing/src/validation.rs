//! Validates that an engine's response is complete and belongs to its request.

use std::borrow::Cow;

use derive_more::Display;
use serde::{Deserialize, de::IgnoredAny};

/// The result of a validation.
pub type Result<T> = std::result::Result<T, Fault>;

/// The reason why a response is invalid.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Fault {
    /// The response carries the identity of another attempt, or none.
    #[display("the response belongs to another request")]
    Foreign,
    /// Tokens are missing, repeated or out of order.
    #[display("token {found} came in place of token {expected}")]
    Gap {
        /// The index of the expected token.
        expected: u64,
        /// The index of the token that came instead.
        found: u64,
    },
    /// The response can't be parsed.
    #[display("the response is malformed")]
    Malformed,
    /// The response ended without its end marker.
    #[display("the response ended without its end marker")]
    Incomplete,
    /// The engine reported an error in place of tokens.
    #[display("the engine reported an error")]
    EngineError,
}

impl std::error::Error for Fault {}

/// The token counts that an engine reports for a complete response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct Usage {
    /// The number of tokens of the prompt.
    #[serde(default)]
    pub prompt_tokens: u64,
    /// The number of generated tokens, over all choices.
    #[serde(default)]
    pub completion_tokens: u64,
    /// Details on the prompt's tokens, which not all engines report.
    #[serde(default)]
    pub prompt_tokens_details: Option<Details>,
}

/// The details that an engine reports on the tokens of a prompt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct Details {
    /// The number of tokens that came from the prefix cache.
    #[serde(default)]
    pub cached_tokens: u64,
}

impl Usage {
    /// Returns the number of prompt tokens that came from the prefix cache, if the engine reported it.
    pub fn cached_prompt_tokens(&self) -> Option<u64> {
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

/// The state of one choice in a stream.
#[derive(Clone, Debug)]
struct ChoiceState {
    index: u32,
    next_token: u64,
    is_finished: bool,
}

/// Validates the events of one stream in their order.
#[derive(Clone, Debug)]
pub struct Validator {
    identity: String,
    choice_states: Vec<ChoiceState>,
    usage: Option<Usage>,
    is_done: bool,
}

impl Validator {
    /// Creates a validator for the stream of the attempt with this identity.
    pub fn new(identity: impl Into<String>) -> Self {
        Self {
            identity: identity.into(),
            choice_states: Vec::new(),
            usage: None,
            is_done: false,
        }
    }

    /// Validates the next event, given with its field names and line ends.
    ///
    /// # Errors
    ///
    /// Returns the fault when the event is foreign, out of order or malformed, reports an error, or comes
    /// after the end marker.
    pub fn validate_event(&mut self, event: &[u8]) -> Result<()> {
        match event_data(event) {
            Some(data) => self.validate_data(&data),
            // Comments and events without data are keep-alives.
            None => Ok(()),
        }
    }

    /// Returns whether the end marker has come.
    pub fn is_done(&self) -> bool {
        self.is_done
    }

    /// Returns the token counts, if the engine has reported them.
    pub fn usage(&self) -> Option<&Usage> {
        self.usage.as_ref()
    }

    fn validate_data(&mut self, data: &[u8]) -> Result<()> {
        if self.is_done {
            return Err(Fault::Malformed);
        }
        if data == b"[DONE]" {
            return self.validate_end();
        }
        let chunk: Chunk<'_> = serde_json::from_slice(data).map_err(|_| Fault::Malformed)?;
        if chunk.error.is_some() {
            return Err(Fault::EngineError);
        }
        if chunk.id != self.identity {
            return Err(Fault::Foreign);
        }
        if let Some(tokens) = &chunk.tokens {
            self.advance(chunk.choices.first().map_or(0, |it| it.index), tokens)?;
        }
        for choice in &chunk.choices {
            self.state_of(choice.index).is_finished |= choice.finish_reason.is_some();
        }
        self.usage = chunk.usage.or(self.usage);
        Ok(())
    }

    fn advance(&mut self, index: u32, tokens: &Tokens) -> Result<()> {
        let state = self.state_of(index);
        if tokens.start != state.next_token || state.is_finished {
            return Err(Fault::Gap {
                expected: state.next_token,
                found: tokens.start,
            });
        }
        state.next_token = tokens.start.saturating_add(tokens.count);
        Ok(())
    }

    /// Returns the state of the choice with this index; a new choice is added.
    fn state_of(&mut self, index: u32) -> &mut ChoiceState {
        let position = self
            .choice_states
            .iter()
            .position(|state| state.index == index);
        let position = position.unwrap_or_else(|| {
            self.choice_states.push(ChoiceState {
                index,
                next_token: 0,
                is_finished: false,
            });
            self.choice_states.len() - 1
        });
        &mut self.choice_states[position]
    }

    fn validate_end(&mut self) -> Result<()> {
        if self.choice_states.is_empty()
            || self.choice_states.iter().any(|state| !state.is_finished)
        {
            return Err(Fault::Incomplete);
        }
        let counted: u64 = self
            .choice_states
            .iter()
            .map(|state| state.next_token)
            .sum();
        match self.usage {
            // Engines that do not number their tokens leave the count at 0.
            Some(usage) if counted > 0 && usage.completion_tokens != counted => Err(Fault::Gap {
                expected: usage.completion_tokens,
                found: counted,
            }),
            Some(_) | None => {
                self.is_done = true;
                Ok(())
            }
        }
    }
}

/// Validates the body of a non-streaming response and returns its token counts, if the engine reported
/// them.
///
/// # Errors
///
/// Returns the fault when the response is foreign or malformed, reports an error, or has a choice without
/// `finish_reason`.
pub fn validate_body(identity: &str, body: &[u8]) -> Result<Option<Usage>> {
    let chunk: Chunk<'_> = serde_json::from_slice(body).map_err(|_| Fault::Malformed)?;
    if chunk.error.is_some() {
        return Err(Fault::EngineError);
    }
    if chunk.id != identity {
        return Err(Fault::Foreign);
    }
    let is_finished = |choice: &Choice| choice.finish_reason.is_some();
    match !chunk.choices.is_empty() && chunk.choices.iter().all(is_finished) {
        true => Ok(chunk.usage),
        false => Err(Fault::Incomplete),
    }
}

/// Returns the length of the first complete event in `bytes`, its blank line included. The search for the
/// end starts at the offset `from`.
///
/// # Panics
///
/// Panics when `from` is beyond the end of `bytes`.
pub fn event_length(bytes: &[u8], from: usize) -> Option<usize> {
    let mut line_start = from;
    while let Some(offset) = bytes[line_start..].iter().position(|&byte| byte == b'\n') {
        let end = line_start + offset + 1;
        match bytes[end..] {
            [b'\n', ..] => return Some(end + 1),
            [b'\r', b'\n', ..] => return Some(end + 2),
            _ => line_start = end,
        }
    }
    None
}

/// Joins the data lines of a server-sent event; returns `None` when it has none.
fn event_data(event: &[u8]) -> Option<Cow<'_, [u8]>> {
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
