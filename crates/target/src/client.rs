//! The HTTP agent for calls to targets and what its errors mean.

use std::io;
use std::time::Duration;

use ureq::Agent;

use crate::error::CallError;

/// Time to connect to a target.
const CONNECT: Duration = Duration::from_secs(2);

/// Buffer of a connection in each direction, in bytes.
const BUFFER: usize = 16 * 1024;

/// Builds an agent that keeps `idle` connections for each target.
///
/// It follows no redirects and repeats nothing by itself. With `idle` 0 every
/// call has a connection of its own, so that a call which must not be repeated
/// never meets a connection that the target has just closed.
pub fn agent(idle: usize) -> Agent {
    Agent::config_builder()
        .allow_non_standard_methods(true)
        .http_status_as_error(false)
        .max_idle_connections(idle * 64)
        .max_idle_connections_per_host(idle)
        .max_redirects(0)
        .proxy(None)
        .input_buffer_size(BUFFER)
        .output_buffer_size(BUFFER)
        .timeout_connect(Some(CONNECT))
        .build()
        .new_agent()
}

/// Tells how far a failed call may have got.
pub fn call_error(error: &ureq::Error) -> CallError {
    let text = error.to_string();
    let unsent = match error {
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound | ureq::Error::BadUri(_) => true,
        ureq::Error::Timeout(at) => matches!(at, ureq::Timeout::Connect | ureq::Timeout::Resolve),
        ureq::Error::Io(e) => e.kind() == io::ErrorKind::ConnectionRefused,
        _ => false,
    };
    if unsent { CallError::NotSent(text) } else { CallError::OutcomeUnknown(text) }
}
