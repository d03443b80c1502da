//! Client of plain services: forwards any method, body and response.

use std::io::Read;
use std::time::Duration;

use bytes::Bytes;
use ureq::Agent;
use ureq::http::Request;

use crate::client::call_error;
use crate::engine::REFUSED;
use crate::error::CallError;

/// Maximum size of a service's response body.
const MAX_RESPONSE_BYTES: u64 = 64 * 1024 * 1024;

/// Size of the pieces in which it is read.
const BUFFER_BYTES: usize = 16 * 1024;

/// Headers that concern one connection and are never forwarded.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
];

/// One call to a service.
#[derive(Clone, Debug)]
pub struct Call {
    /// Address of the target, `IP:port`.
    pub addr: String,
    /// Method.
    pub method: String,
    /// Path and query as sent to the service, with a leading slash.
    pub path: String,
    /// Headers to forward; hop-by-hop headers are left out here.
    pub headers: Vec<(String, String)>,
    /// Remaining time of the request.
    pub remaining: Duration,
    /// Complete body.
    pub body: Bytes,
}

/// Complete response of a service.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers without hop-by-hop headers.
    pub headers: Vec<(String, String)>,
    /// Complete body.
    pub body: Bytes,
}

/// Returns whether a header may be forwarded; `name` is in lower case.
pub fn is_forwarded(name: &str) -> bool {
    !HOP_BY_HOP.contains(&name)
}

/// Calls a service once and reads its complete response.
///
/// `accepts` is told the size of each piece of the body, and returns whether it may be held.
///
/// # Errors
///
/// The error tells how far the call may have got.
pub fn call(
    agent: &Agent,
    call: &Call,
    accepts: impl FnMut(usize) -> bool,
) -> Result<Answer, CallError> {
    let mut builder = Request::builder()
        .method(call.method.as_str())
        .uri(format!("http://{}{}", call.addr, call.path));
    for (name, value) in call.headers.iter().filter(|(n, _)| is_forwarded(n)) {
        builder = builder.header(name, value);
    }
    let request = builder.body(&*call.body).map_err(|e| CallError::NotSent(e.to_string()))?;
    let request = agent.configure_request(request).timeout_global(Some(call.remaining)).build();
    let response = agent.run(request).map_err(|e| call_error(&e))?;
    read_response(response, accepts)
}

fn read_response(
    response: ureq::http::Response<ureq::Body>,
    accepts: impl FnMut(usize) -> bool,
) -> Result<Answer, CallError> {
    let status = response.status().as_u16();
    let refused = response.headers().get(REFUSED).map(|v| v == "leaving");
    let headers = response
        .headers()
        .iter()
        .filter(|(name, _)| is_forwarded(name.as_str()))
        .filter_map(|(n, v)| Some((n.as_str().to_owned(), v.to_str().ok()?.to_owned())))
        .collect();
    let limited = response.into_body().into_with_config().limit(MAX_RESPONSE_BYTES);
    let body = read_body(limited.reader(), accepts)?;
    match refused {
        Some(leaving) => {
            Err(CallError::Refused { leaving, text: String::from_utf8_lossy(&body).into_owned() })
        }
        None => Ok(Answer { status, headers, body: Bytes::from(body) }),
    }
}

/// Reads a body as long as its pieces are accepted.
fn read_body(
    mut reader: impl Read,
    mut accepts: impl FnMut(usize) -> bool,
) -> Result<Vec<u8>, CallError> {
    let (mut body, mut buffer) = (Vec::new(), [0; BUFFER_BYTES]);
    loop {
        match reader.read(&mut buffer) {
            Ok(0) => return Ok(body),
            Ok(read) if accepts(read) => body.extend_from_slice(&buffer[..read]),
            Ok(_) => {
                let text = "the responses of other calls hold too much memory";
                return Err(CallError::OutcomeUnknown(text.to_owned()));
            }
            Err(e) => return Err(CallError::OutcomeUnknown(e.to_string())),
        }
    }
}
