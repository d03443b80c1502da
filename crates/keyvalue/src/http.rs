//! The HTTP agent for calls to the platform.

use std::time::Duration;

use ureq::Agent;

/// Time to connect to the platform.
const CONNECT: Duration = Duration::from_millis(500);
/// Time for one call that does not wait.
pub(crate) const CALL: Duration = Duration::from_secs(1);

/// Builds an agent for the platform.
pub(crate) fn agent() -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .max_idle_connections_per_host(4)
        .max_redirects(0)
        .proxy(None)
        .timeout_connect(Some(CONNECT))
        .build()
        .new_agent()
}
