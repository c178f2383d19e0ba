//! The JSON formats of completion requests and responses.

use serde::Deserialize;
use serde_json::{Value, json};
use shallotroute_types::{name::Name, provenance::Span, version::Version};

/// The format of a request and its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Format {
    Completion,
    Chat,
}

/// The request body of either format, of which `prompt` or `messages` is used.
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
    /// Returns the prompt; for a chat, the contents of its messages on separate lines.
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

/// Consecutive tokens of a response that one version generated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Delta {
    pub(super) start: u32,
    pub(super) count: u32,
    pub(super) version: Version,
    pub(super) text: String,
}

/// The token counts at the end of a response.
#[derive(Clone, Copy, Debug)]
pub(super) struct Usage {
    pub(super) prompt: u32,
    pub(super) completion: u32,
    pub(super) cached: u32,
}

impl Usage {
    fn to_json(self) -> Value {
        json!({
            "prompt_tokens": self.prompt,
            "completion_tokens": self.completion,
            "total_tokens": self.prompt.saturating_add(self.completion),
            "prompt_tokens_details": { "cached_tokens": self.cached },
        })
    }
}

/// The fields that all chunks of a response share.
#[derive(Clone, Debug)]
pub(super) struct Header {
    pub(super) format: Format,
    pub(super) id: String,
    pub(super) model: Name,
}

impl Header {
    /// Creates a chunk of a streamed response; `final_usage` is given for the last chunk.
    pub(super) fn chunk(&self, delta: &Delta, final_usage: Option<Usage>) -> Value {
        let finish_reason = final_usage.map(|_| "stop");
        let (object, choice) = match self.format {
            Format::Completion => (
                "text_completion",
                json!({ "index": 0, "text": delta.text, "finish_reason": finish_reason }),
            ),
            Format::Chat => (
                "chat.completion.chunk",
                json!({
                    "index": 0,
                    "delta": { "content": delta.text },
                    "finish_reason": finish_reason,
                }),
            ),
        };
        let mut chunk = json!({
            "id": self.id,
            "object": object,
            "model": self.model,
            "choices": [choice],
            "tokens": {
                "start": delta.start,
                "count": delta.count,
                "version": delta.version,
            },
        });
        if let Some(usage) = final_usage {
            chunk["usage"] = usage.to_json();
        }
        chunk
    }

    /// Creates a response that is not streamed.
    pub(super) fn full_response(&self, text: &str, spans: &[Span], usage: Usage) -> Value {
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
            "usage": usage.to_json(),
            "spans": spans,
        })
    }
}
