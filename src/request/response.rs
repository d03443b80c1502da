//! The answer to one model request as its caller gets it.
//!
//! A streamed answer passes each token on at once; any other is kept until it
//! is whole, so that nothing of a truncated answer is ever sent as one.

use std::io;
use std::time::{SystemTime, UNIX_EPOCH};

use mimosapass_caller::error_response::REQUEST_ID;
use mimosapass_caller::exchange::{Exchange, Header};
use mimosapass_caller::openai::{Call, ModelRequest, ResponseFormat, Usage};

/// The answer so far.
#[derive(Debug)]
pub struct Reply {
    style: ResponseFormat,
    stream: bool,
    text: String,
}

impl Reply {
    /// Prepares the answer to request `id`.
    pub fn new(call: Call, id: &str, prompt: &ModelRequest) -> Self {
        let created = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
        let style =
            ResponseFormat { call, id: id.to_owned(), model: prompt.model.clone(), created };
        Self { style, stream: prompt.stream, text: String::new() }
    }

    /// Passes one token on.
    ///
    /// # Errors
    ///
    /// Fails when the caller went away or reads too slowly.
    pub fn token(&mut self, exchange: &mut Exchange<'_>, text: &str) -> io::Result<()> {
        if !self.stream {
            self.text.push_str(text);
            return Ok(());
        }
        self.begin(exchange)?;
        exchange.send(&self.style.event(text))
    }

    /// Ends the answer as whole.
    ///
    /// # Errors
    ///
    /// Fails when the caller went away or reads too slowly.
    pub fn end(
        &mut self,
        exchange: &mut Exchange<'_>,
        reason: &str,
        usage: Usage,
    ) -> io::Result<()> {
        if !self.stream {
            let headers = self.headers("application/json");
            let body = self.style.body(&self.text, reason, usage);
            return exchange.respond(200, &headers, &body);
        }
        self.begin(exchange)?;
        exchange.send(&self.style.final_events(reason, usage))?;
        exchange.finish();
        Ok(())
    }

    fn begin(&self, exchange: &mut Exchange<'_>) -> io::Result<()> {
        if !exchange.unanswered() {
            return Ok(());
        }
        exchange.begin(200, &self.headers("text/event-stream"))
    }

    fn headers(&self, content: &str) -> Vec<Header> {
        vec![("content-type", content.to_owned()), (REQUEST_ID, self.style.id.clone())]
    }
}
