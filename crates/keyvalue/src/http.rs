//! HTTP agent for calls to the platform, and addresses of calls to the key-value service.

use std::time::Duration;

use mimosapass_http::strict::StrictConnector;
use percent_encoding::{AsciiSet, CONTROLS, utf8_percent_encode};
use ureq::Agent;
use ureq::unversioned::resolver::DefaultResolver;
use ureq::unversioned::transport::{Connector as _, TcpConnector};

/// Timeout for connecting to the platform.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of one call, without the waiting time of a watch.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Builds an agent that returns every status and follows no redirects.
pub(crate) fn agent() -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .max_idle_connections_per_host(4)
        .max_redirects(0)
        .proxy(None)
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .build();
    let connector = TcpConnector::default().chain(StrictConnector);
    Agent::with_parts(config, connector, DefaultResolver::default())
}

/// Characters that cannot stand in a path. A slash can; it separates the parts of a key.
const NOT_IN_PATH: &AsciiSet = &CONTROLS
    .add(b' ')
    .add(b'"')
    .add(b'#')
    .add(b'%')
    .add(b'<')
    .add(b'>')
    .add(b'?')
    .add(b'[')
    .add(b'\\')
    .add(b']')
    .add(b'^')
    .add(b'`')
    .add(b'{')
    .add(b'|')
    .add(b'}');

/// Address of the key-value service; keys are encoded.
#[derive(Clone, Debug)]
pub(crate) struct Address {
    base: String,
}

impl Address {
    /// Creates the address of the service at `addr`, `IP:port`.
    pub(crate) fn new(addr: &str) -> Self {
        Self { base: format!("http://{addr}") }
    }

    /// Returns the address of a key.
    pub(crate) fn key(&self, key: &str) -> String {
        format!("{}/kv/{}", self.base, utf8_percent_encode(key, NOT_IN_PATH))
    }

    /// Returns the address of all leases.
    pub(crate) fn leases(&self) -> String {
        format!("{}/leases", self.base)
    }

    /// Returns the address of one lease.
    pub(crate) fn lease(&self, lease: u64) -> String {
        format!("{}/leases/{lease}", self.base)
    }
}
