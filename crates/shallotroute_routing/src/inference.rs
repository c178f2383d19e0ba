//! Extracts the fields that routing needs from an inference request's body.

use std::borrow::Cow;

use derive_more::Display;
use error_stack::{Report, ResultExt};
use serde::Deserialize;
use serde_json::value::RawValue;

/// The result of reading a body.
pub type Result<T> = std::result::Result<T, Report<Error>>;

/// The body has no readable `model` field.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display("the body is not a JSON object with a text field `model`")]
pub struct Error;

impl std::error::Error for Error {}

/// The fields of an inference request that routing needs. The body itself is forwarded unchanged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoutingFields {
    /// The name of the model or adapter.
    pub model: String,
    /// Whether the caller asks for a stream of events as the response.
    pub stream: bool,
    /// The hash of the start of the prompt, for prefix affinity; `None` without a prompt.
    pub prefix: Option<u64>,
}

/// The number of bytes of the prompt that decide the affinity. Two prompts that share them share at least
/// the first blocks of an engine's prefix cache.
const PREFIX_BYTES: usize = 1024;

#[derive(Deserialize)]
struct Fields<'a> {
    #[serde(borrow)]
    model: Cow<'a, str>,
    #[serde(default)]
    stream: Option<bool>,
    #[serde(borrow, default)]
    prompt: Option<&'a RawValue>,
    #[serde(borrow, default)]
    messages: Option<&'a RawValue>,
}

impl RoutingFields {
    /// Parses the fields without copying the rest of the body.
    ///
    /// # Errors
    ///
    /// Returns an error when the body is not JSON or has no text field `model`.
    pub fn parse(body: &[u8]) -> Result<Self> {
        let fields: Fields<'_> = serde_json::from_slice(body).change_context(Error)?;
        let prompt = fields.prompt.or(fields.messages).map(RawValue::get);
        Ok(Self {
            model: fields.model.into_owned(),
            stream: fields.stream.unwrap_or(false),
            prefix: prompt.map(|text| hash(&text.as_bytes()[..text.len().min(PREFIX_BYTES)])),
        })
    }
}

fn hash(bytes: &[u8]) -> u64 {
    let mut word = [0; 8];
    word.copy_from_slice(&blake3::hash(bytes).as_bytes()[..8]);
    u64::from_le_bytes(word)
}
