//! Answers for failures, in the shape that model clients expect.

use std::io;
use std::time::Duration;

use mimosapass_core::error::Failure;
use serde::Serialize;

use crate::exchange::{Exchange, Header};

/// Header that promises that no target ran any part of the request.
pub const NOT_RUN: &str = "mimosapass-not-run";
/// Header that carries the request's identifier.
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

/// Answers with a failure; `id` is the request's identifier where it has one.
///
/// # Errors
///
/// Fails when the caller went away.
pub fn send(exchange: &mut Exchange<'_>, failure: &Failure, id: Option<&str>) -> io::Result<()> {
    let row = failure.kind.row();
    let mut headers: Vec<Header> = vec![("content-type", "application/json".to_owned())];
    if row.not_run {
        headers.push((NOT_RUN, "true".to_owned()));
    }
    if let Some(id) = id {
        headers.push((REQUEST_ID, id.to_owned()));
    }
    if let Some(after) = failure.retry_after() {
        headers.push(("retry-after", seconds(after).to_string()));
    }
    exchange.respond(row.status, &headers, &body(failure))
}

/// Rounds up to whole seconds, as the header wants them.
fn seconds(after: Duration) -> u64 {
    after.as_millis().div_ceil(1000) as u64
}
