//! The HTTP agent for calls to targets, and the conversion of its errors.

use std::io;
use std::time::Duration;

use ureq::Agent;

use crate::error::CallError;

/// Time to connect to a target.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Buffer size of a connection, in each direction.
const BUFFER_BYTES: usize = 16 * 1024;

/// Builds an agent that keeps up to `idle` idle connections per target.
///
/// It follows no redirects and retries nothing. With `idle` 0 every call opens a
/// new connection, so that a call which must not be repeated never uses a
/// connection that the target has just closed.
pub fn agent(idle: usize) -> Agent {
    Agent::config_builder()
        .allow_non_standard_methods(true)
        .http_status_as_error(false)
        .max_idle_connections(idle * 64)
        .max_idle_connections_per_host(idle)
        .max_redirects(0)
        .proxy(None)
        .input_buffer_size(BUFFER_BYTES)
        .output_buffer_size(BUFFER_BYTES)
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .build()
        .new_agent()
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
