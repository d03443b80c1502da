//! Requests and responses of the `OpenAI` API.

use mimosapass_core::error::{Failure, Kind};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// Endpoint of the `OpenAI` API.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Call {
    /// `POST /v1/chat/completions`.
    Chat,
    /// `POST /v1/completions`.
    Text,
}

impl Call {
    /// Returns the call at `path`, if there is one.
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

/// The fields of a model request that routing needs, as received.
#[derive(Debug, Deserialize)]
struct RequestBody<'a> {
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

/// The parts of a model request that routing needs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ModelRequest {
    /// Model, without its adapter.
    pub model: String,
    /// Adapter, from `model:adapter`.
    pub adapter: Option<String>,
    /// Whether the response is to be streamed.
    pub stream: bool,
    /// Maximum number of tokens to generate, if stated.
    pub max_tokens: Option<u32>,
    /// Length of the prompt, in bytes of JSON.
    pub prompt_bytes: usize,
}

/// Parses what routing needs, without copying the prompt.
///
/// # Errors
///
/// [`Kind::BadRequest`] when the body is not a request of that call.
pub fn parse(call: Call, body: &[u8]) -> Result<ModelRequest, Failure> {
    let bad_request = |text: String| Failure::new(Kind::BadRequest, text);
    let request: RequestBody<'_> =
        serde_json::from_slice(body).map_err(|e| bad_request(e.to_string()))?;
    let (name, prompt) = match call {
        Call::Chat => ("messages", request.messages),
        Call::Text => ("prompt", request.prompt),
    };
    let prompt = prompt.ok_or_else(|| bad_request(format!("the field `{name}` is missing")))?;
    let (model, adapter) = match request.model.split_once(':') {
        Some((model, adapter)) => (model.to_owned(), Some(adapter.to_owned())),
        None => (request.model, None),
    };
    Ok(ModelRequest {
        model,
        adapter,
        stream: request.stream,
        max_tokens: request.max_completion_tokens.or(request.max_tokens),
        prompt_bytes: prompt.get().len(),
    })
}

/// Formats one response; its fields are the same in all chunks.
#[derive(Clone, Debug)]
pub struct ResponseFormat {
    /// Call that was requested.
    pub call: Call,
    /// Identifier of the request.
    pub id: String,
    /// Model as the caller named it.
    pub model: String,
    /// Time of the response, as a Unix time in seconds.
    pub created: u64,
}

/// Token counts of one request.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Generated tokens.
    pub completion_tokens: u64,
    /// Sum of both.
    pub total_tokens: u64,
}

#[derive(Serialize)]
struct Response<'a> {
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
    /// Returns the event for a chunk of text.
    pub fn event(&self, text: &str) -> Vec<u8> {
        let choice = match self.call {
            Call::Chat => {
                Choice { delta: Some(Delta { content: Some(text) }), ..Choice::default() }
            }
            Call::Text => Choice { text: Some(text), ..Choice::default() },
        };
        to_event(&self.response(true, choice, None))
    }

    /// Returns the last events: finish reason, usage and `[DONE]`.
    pub fn final_events(&self, reason: &str, usage: Usage) -> Vec<u8> {
        let mut choice = Choice { finish_reason: Some(reason), ..Choice::default() };
        match self.call {
            Call::Chat => choice.delta = Some(Delta { content: None }),
            Call::Text => choice.text = Some(""),
        }
        let mut bytes = to_event(&self.response(true, choice, Some(usage)));
        bytes.extend_from_slice(b"data: [DONE]\n\n");
        bytes
    }

    /// Returns the complete response as one JSON body.
    pub fn body(&self, text: &str, reason: &str, usage: Usage) -> Vec<u8> {
        let mut choice = Choice { finish_reason: Some(reason), ..Choice::default() };
        match self.call {
            Call::Chat => choice.message = Some(Message { role: "assistant", content: text }),
            Call::Text => choice.text = Some(text),
        }
        serde_json::to_vec(&self.response(false, choice, Some(usage))).unwrap_or_default()
    }

    fn response<'a>(
        &'a self,
        streamed: bool,
        choice: Choice<'a>,
        usage: Option<Usage>,
    ) -> Response<'a> {
        let object = match (self.call, streamed) {
            (Call::Chat, true) => "chat.completion.chunk",
            (Call::Chat, false) => "chat.completion",
            (Call::Text, _) => "text_completion",
        };
        Response {
            id: &self.id,
            object,
            created: self.created,
            model: &self.model,
            choices: [choice],
            usage,
        }
    }
}

/// Returns the event that ends a stream which failed after its start.
pub fn error_event(failure: &Failure) -> Vec<u8> {
    frame_event(&crate::error_response::body(failure))
}

fn to_event(response: &Response<'_>) -> Vec<u8> {
    frame_event(&serde_json::to_vec(response).unwrap_or_default())
}

fn frame_event(json: &[u8]) -> Vec<u8> {
    [b"data: ", json, b"\n\n"].concat()
}
