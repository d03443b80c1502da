//! Shapes of model requests and answers that callers' usual clients expect.

use mimosapass_core::error::{Failure, Kind};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// Which of the two model calls it is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Call {
    /// `POST /v1/chat/completions`.
    Chat,
    /// `POST /v1/completions`.
    Text,
}

impl Call {
    /// Returns the call at a path, if there is one.
    pub fn from_path(path: &str) -> Option<Self> {
        match path {
            "/v1/chat/completions" => Some(Self::Chat),
            "/v1/completions" => Some(Self::Text),
            _ => None,
        }
    }

    /// Returns the path of the call.
    pub fn path(self) -> &'static str {
        match self {
            Self::Chat => "/v1/chat/completions",
            Self::Text => "/v1/completions",
        }
    }
}

/// The fields of a model request that routing looks at.
#[derive(Debug, Deserialize)]
struct Wire<'a> {
    model: String,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    #[serde(borrow)]
    messages: Option<&'a RawValue>,
    #[serde(borrow)]
    prompt: Option<&'a RawValue>,
}

/// A model request as far as routing looks at it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ModelRequest {
    /// Model, without its adapter.
    pub model: String,
    /// Adapter, from `model:adapter`.
    pub adapter: Option<String>,
    /// Whether the answer is to be streamed.
    pub stream: bool,
    /// Most tokens to generate, where stated.
    pub max_tokens: Option<u32>,
    /// Length of the prompt, in bytes of JSON.
    pub prompt_bytes: usize,
}

/// Reads what routing needs; the prompt itself is not copied.
///
/// # Errors
///
/// [`Kind::BadRequest`] when the body is no request of that call.
pub fn parse(call: Call, body: &[u8]) -> Result<ModelRequest, Failure> {
    let bad = |text: String| Failure::new(Kind::BadRequest, text);
    let wire: Wire<'_> = serde_json::from_slice(body).map_err(|e| bad(e.to_string()))?;
    let (name, prompt) = match call {
        Call::Chat => ("messages", wire.messages),
        Call::Text => ("prompt", wire.prompt),
    };
    let prompt = prompt.ok_or_else(|| bad(format!("the field `{name}` is missing")))?;
    let (model, adapter) = match wire.model.split_once(':') {
        Some((model, adapter)) => (model.to_owned(), Some(adapter.to_owned())),
        None => (wire.model, None),
    };
    Ok(ModelRequest {
        model,
        adapter,
        stream: wire.stream,
        max_tokens: wire.max_completion_tokens.or(wire.max_tokens),
        prompt_bytes: prompt.get().len(),
    })
}

/// Identity of one answer, the same in all of its chunks.
#[derive(Clone, Debug)]
pub struct ResponseFormat {
    /// Call that is answered.
    pub call: Call,
    /// Identifier of the request.
    pub id: String,
    /// Model as the caller named it.
    pub model: String,
    /// Time of the answer, in seconds since 1970.
    pub created: u64,
}

/// Tokens that were used.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the answer.
    pub completion_tokens: u64,
    /// Both together.
    pub total_tokens: u64,
}

#[derive(Serialize)]
struct Answer<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: [Choice<'a>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Default, Serialize)]
struct Choice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<Message<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<Delta<'a>>,
    finish_reason: Option<&'a str>,
}

#[derive(Serialize)]
struct Message<'a> {
    role: &'static str,
    content: &'a str,
}

#[derive(Serialize)]
struct Delta<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<&'a str>,
}

impl ResponseFormat {
    /// Returns the event for a piece of text.
    pub fn event(&self, text: &str) -> Vec<u8> {
        let choice = match self.call {
            Call::Chat => {
                Choice { delta: Some(Delta { content: Some(text) }), ..Choice::default() }
            }
            Call::Text => Choice { text: Some(text), ..Choice::default() },
        };
        event(&self.answer(true, choice, None))
    }

    /// Returns the last events: why it ended, the usage and the end mark.
    pub fn final_events(&self, reason: &str, usage: Usage) -> Vec<u8> {
        let mut choice = Choice { finish_reason: Some(reason), ..Choice::default() };
        match self.call {
            Call::Chat => choice.delta = Some(Delta { content: None }),
            Call::Text => choice.text = Some(""),
        }
        let mut bytes = event(&self.answer(true, choice, Some(usage)));
        bytes.extend_from_slice(b"data: [DONE]\n\n");
        bytes
    }

    /// Returns the whole answer as one JSON body.
    pub fn body(&self, text: &str, reason: &str, usage: Usage) -> Vec<u8> {
        let mut choice = Choice { finish_reason: Some(reason), ..Choice::default() };
        match self.call {
            Call::Chat => choice.message = Some(Message { role: "assistant", content: text }),
            Call::Text => choice.text = Some(text),
        }
        serde_json::to_vec(&self.answer(false, choice, Some(usage))).unwrap_or_default()
    }

    fn answer<'a>(
        &'a self,
        streamed: bool,
        choice: Choice<'a>,
        usage: Option<Usage>,
    ) -> Answer<'a> {
        let object = match (self.call, streamed) {
            (Call::Chat, true) => "chat.completion.chunk",
            (Call::Chat, false) => "chat.completion",
            (Call::Text, _) => "text_completion",
        };
        Answer {
            id: &self.id,
            object,
            created: self.created,
            model: &self.model,
            choices: [choice],
            usage,
        }
    }
}

/// Returns the event that ends a stream which failed after it had begun.
pub fn error_event(failure: &Failure) -> Vec<u8> {
    frame(&crate::error_response::body(failure))
}

fn event(answer: &Answer<'_>) -> Vec<u8> {
    frame(&serde_json::to_vec(answer).unwrap_or_default())
}

fn frame(json: &[u8]) -> Vec<u8> {
    [b"data: ", json, b"\n\n"].concat()
}
