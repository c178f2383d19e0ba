//! What routing reads of an inference request's body.

use std::borrow::Cow;

use derive_more::Display;
use error_stack::{Report, ResultExt};
use serde::Deserialize;
use serde_json::value::RawValue;

/// The result of reading a body.
pub type Result<T> = std::result::Result<T, Report<Error>>;

/// The body can't be read.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display("the body is not a JSON object with a text field `model`")]
pub struct Error;

impl std::error::Error for Error {}

/// The fields that routing needs; the body itself is forwarded unchanged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// The model or adapter.
    pub model: String,
    /// Whether the response is to be a stream of events.
    pub stream: bool,
    /// The hash of the start of the prompt, for prefix affinity.
    pub prefix: Option<u64>,
}

/// The bytes of the prompt that decide the affinity. Two prompts that share them share at least the
/// first blocks of an engine's prefix cache.
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

impl Head {
    /// Reads the fields without copying the rest.
    ///
    /// # Errors
    ///
    /// The body is not JSON or has no text field `model`.
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
