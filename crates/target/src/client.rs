//! The HTTP agent for calls to targets, and the conversion of its errors.

use std::io::{self, Read};
use std::time::Duration;

use mimosapass_http::strict::StrictConnector;
use serde::de::DeserializeOwned;
use ureq::http::Response;
use ureq::unversioned::resolver::DefaultResolver;
use ureq::unversioned::transport::{Connector as _, TcpConnector};
use ureq::{Agent, Body};

use crate::error::CallError;
use crate::reset::ResetConnector;

/// Time to connect to a target.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Buffer size of a connection, in each direction.
const BUFFER_BYTES: usize = 16 * 1024;

/// Maximum size of a JSON response. The longest are lists of allocations and cache events,
/// with some 100 bytes for each.
const MAX_JSON_BYTES: u64 = 4 * 1024 * 1024;

/// Maximum length of the text of an error response that is read and logged.
const MAX_ERROR_BYTES: u64 = 4 * 1024;

/// Builds an agent that keeps up to `idle` idle connections per target.
///
/// It follows no redirects and retries nothing. With `idle` 0 every call opens a
/// new connection, so that a call which must not be repeated never uses a
/// connection that the target has just closed.
pub fn agent(idle: usize) -> Agent {
    let config = Agent::config_builder()
        .allow_non_standard_methods(true)
        .http_status_as_error(false)
        .max_idle_connections(idle * 64)
        .max_idle_connections_per_host(idle)
        .max_redirects(0)
        .proxy(None)
        .input_buffer_size(BUFFER_BYTES)
        .output_buffer_size(BUFFER_BYTES)
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .build();
    let connector = TcpConnector::default().chain(ResetConnector).chain(StrictConnector);
    Agent::with_parts(config, connector, DefaultResolver::default())
}

/// Converts an error by how far the failed call may have got.
pub fn call_error(error: &ureq::Error) -> CallError {
    let text = error.to_string();
    let not_sent = match error {
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound | ureq::Error::BadUri(_) => true,
        ureq::Error::Timeout(at) => matches!(at, ureq::Timeout::Connect | ureq::Timeout::Resolve),
        ureq::Error::Io(e) => e.kind() == io::ErrorKind::ConnectionRefused,
        _ => false,
    };
    if not_sent { CallError::NotSent(text) } else { CallError::OutcomeUnknown(text) }
}

/// Decodes a JSON response.
pub(crate) fn read_json<T: DeserializeOwned>(
    response: &mut Response<Body>,
) -> Result<T, CallError> {
    let body = response.body_mut().with_config().limit(MAX_JSON_BYTES);
    body.read_json().map_err(|e| call_error(&e))
}

/// Reads the first [`MAX_ERROR_BYTES`] of an error response.
pub(crate) fn error_text(response: &mut Response<Body>) -> String {
    let mut text = Vec::new();
    let body = response.body_mut().as_reader();
    if let Err(e) = body.take(MAX_ERROR_BYTES).read_to_end(&mut text) {
        log::debug!("target: the text of an error response is incomplete: {e}.");
    }
    String::from_utf8_lossy(&text).into_owned()
}
