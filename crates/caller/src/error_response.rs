//! Error responses, in the JSON format of the `OpenAI` API.

use std::io;
use std::time::Duration;

use mimosapass_core::error::Failure;
use serde::Serialize;

use crate::exchange::{Exchange, Header};

/// Header that states that no target ran any part of the request.
pub const NOT_RUN: &str = "mimosapass-not-run";
/// Header with the request's identifier.
pub const REQUEST_ID: &str = "mimosapass-request-id";

#[derive(Serialize)]
struct Body<'a> {
    error: Error<'a>,
}

#[derive(Serialize)]
struct Error<'a> {
    message: &'a str,
    #[serde(rename = "type")]
    kind: &'a str,
    code: &'a str,
    not_run: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

/// Returns the JSON body of a failure.
pub fn body(failure: &Failure) -> Vec<u8> {
    let row = failure.kind.row();
    let kind = if row.status < 500 { "invalid_request_error" } else { "server_error" };
    let error = Error {
        message: &failure.detail,
        kind,
        code: row.code,
        not_run: row.not_run,
        retry_after_ms: failure.retry_after().map(|d| d.as_millis() as u64),
    };
    serde_json::to_vec(&Body { error }).unwrap_or_default()
}

/// Responds with a failure; `id` is the request's identifier, if it has one.
///
/// # Errors
///
/// Fails when the caller closed the connection or reads too slowly.
pub fn send(exchange: &mut Exchange<'_>, failure: &Failure, id: Option<&str>) -> io::Result<()> {
    let row = failure.kind.row();
    let mut headers: Vec<Header> = vec![("content-type", "application/json".to_owned())];
    if row.not_run {
        headers.push((NOT_RUN, "true".to_owned()));
    }
    if let Some(id) = id {
        headers.push((REQUEST_ID, id.to_owned()));
    }
    if let Some(delay) = failure.retry_after() {
        headers.push(("retry-after", seconds(delay).to_string()));
    }
    exchange.respond(row.status, &headers, &body(failure))
}

/// Rounds up to whole seconds, the unit of the `retry-after` header.
fn seconds(delay: Duration) -> u64 {
    delay.as_millis().div_ceil(1000) as u64
}
