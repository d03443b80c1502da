//! HTTP agent for calls to the platform.

use std::time::Duration;

use ureq::Agent;

/// Timeout for connecting to the platform.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of one call, without the waiting time of a watch.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Builds an agent that returns every status and follows no redirects.
pub(crate) fn agent() -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .max_idle_connections_per_host(4)
        .max_redirects(0)
        .proxy(None)
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .build()
        .new_agent()
}
