//! The answer to one model request, as its caller receives it.
//!
//! A streamed answer forwards each token at once. Any other answer is buffered
//! until it is complete, so that a truncated answer is never sent as a success.

use std::io;
use std::time::{SystemTime, UNIX_EPOCH};

use mimosapass_caller::error_response::REQUEST_ID;
use mimosapass_caller::exchange::{Exchange, Header};
use mimosapass_caller::openai::{Call, ModelRequest, ResponseFormat, Usage};

/// A partial or complete answer.
#[derive(Debug)]
pub struct Response {
    format: ResponseFormat,
    stream: bool,
    text: String,
}

impl Response {
    /// Builds an empty answer to request `id`.
    pub fn new(call: Call, id: &str, request: &ModelRequest) -> Self {
        let created = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
        let format =
            ResponseFormat { call, id: id.to_owned(), model: request.model.clone(), created };
        Self { format, stream: request.stream, text: String::new() }
    }

    /// Forwards or buffers one token.
    ///
    /// # Errors
    ///
    /// Fails when the caller disconnected or reads too slowly.
    pub fn push_token(&mut self, exchange: &mut Exchange<'_>, text: &str) -> io::Result<()> {
        if !self.stream {
            self.text.push_str(text);
            return Ok(());
        }
        self.begin(exchange)?;
        exchange.send(&self.format.event(text))
    }

    /// Completes the answer.
    ///
    /// # Errors
    ///
    /// Fails when the caller disconnected or reads too slowly.
    pub fn finish(
        &mut self,
        exchange: &mut Exchange<'_>,
        reason: &str,
        usage: Usage,
    ) -> io::Result<()> {
        if !self.stream {
            let headers = self.headers("application/json");
            let body = self.format.body(&self.text, reason, usage);
            return exchange.respond(200, &headers, &body);
        }
        self.begin(exchange)?;
        exchange.send(&self.format.final_events(reason, usage))?;
        exchange.finish();
        Ok(())
    }

    fn begin(&self, exchange: &mut Exchange<'_>) -> io::Result<()> {
        if !exchange.unanswered() {
            return Ok(());
        }
        exchange.begin(200, &self.headers("text/event-stream"))
    }

    fn headers(&self, content_type: &str) -> Vec<Header> {
        vec![("content-type", content_type.to_owned()), (REQUEST_ID, self.format.id.clone())]
    }
}
