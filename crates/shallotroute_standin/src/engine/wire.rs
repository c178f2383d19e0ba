//! The JSON formats of requests and answers.

use serde::Deserialize;
use serde_json::{Value, json};
use shallotroute_types::{name::Name, provenance::Span, version::Version};

/// Which of the two formats a request has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Format {
    Completion,
    Chat,
}

/// The body of a request in either format.
#[derive(Debug, Deserialize)]
pub(super) struct Request {
    pub(super) model: Name,
    #[serde(default)]
    prompt: String,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default = "default_max_tokens")]
    pub(super) max_tokens: u32,
    #[serde(default)]
    pub(super) stream: bool,
}

#[derive(Debug, Deserialize)]
struct Message {
    #[serde(default)]
    content: String,
}

fn default_max_tokens() -> u32 {
    u32::MAX
}

impl Request {
    /// Returns the prompt, of a chat its messages one after the other.
    pub(super) fn prompt(&self) -> String {
        match self.messages.is_empty() {
            true => self.prompt.clone(),
            false => {
                let contents: Vec<&str> = self
                    .messages
                    .iter()
                    .map(|message| &*message.content)
                    .collect();
                contents.join("\n")
            }
        }
    }
}

/// A run of tokens that one version made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Piece {
    pub(super) start: u32,
    pub(super) count: u32,
    pub(super) version: Version,
    pub(super) text: String,
}

/// The counts at the end of an answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct Usage {
    pub(super) prompt: u32,
    pub(super) completion: u32,
    pub(super) cached: u32,
}

impl Usage {
    fn json(self) -> Value {
        json!({
            "prompt_tokens": self.prompt,
            "completion_tokens": self.completion,
            "total_tokens": self.prompt.saturating_add(self.completion),
            "prompt_tokens_details": { "cached_tokens": self.cached },
        })
    }
}

/// Who and what an answer is for.
#[derive(Clone, Debug)]
pub(super) struct Head {
    pub(super) format: Format,
    pub(super) id: String,
    pub(super) model: Name,
}

impl Head {
    /// Makes a chunk of a streamed answer.
    pub(super) fn chunk(&self, piece: &Piece, end: Option<Usage>) -> Value {
        let finish = end.map(|_| "stop");
        let (object, choice) = match self.format {
            Format::Completion => (
                "text_completion",
                json!({ "index": 0, "text": piece.text, "finish_reason": finish }),
            ),
            Format::Chat => (
                "chat.completion.chunk",
                json!({
                    "index": 0,
                    "delta": { "content": piece.text },
                    "finish_reason": finish,
                }),
            ),
        };
        let mut chunk = json!({
            "id": self.id,
            "object": object,
            "model": self.model,
            "choices": [choice],
            "tokens": {
                "start": piece.start,
                "count": piece.count,
                "version": piece.version,
            },
        });
        if let Some(usage) = end {
            chunk["usage"] = usage.json();
        }
        chunk
    }

    /// Makes a whole answer.
    pub(super) fn whole(&self, text: &str, spans: &[Span], usage: Usage) -> Value {
        let (object, choice) = match self.format {
            Format::Completion => (
                "text_completion",
                json!({ "index": 0, "text": text, "finish_reason": "stop" }),
            ),
            Format::Chat => (
                "chat.completion",
                json!({
                    "index": 0,
                    "message": { "role": "assistant", "content": text },
                    "finish_reason": "stop",
                }),
            ),
        };
        json!({
            "id": self.id,
            "object": object,
            "model": self.model,
            "choices": [choice],
            "usage": usage.json(),
            "spans": spans,
        })
    }
}
