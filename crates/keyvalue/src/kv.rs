//! Client of the key-value service: compare-and-swap, leases and watches.

use std::fmt;
use std::time::Duration;

use mimosapass_core::whole;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use ureq::http::Response;
use ureq::typestate::WithoutBody;
use ureq::{Agent, RequestBuilder};

use crate::http::{Address, CALL_TIMEOUT, agent};

/// Revision of a key; 0 means that the key is absent.
pub type Revision = u64;
/// Identifier of a lease.
pub type LeaseId = u64;

/// Maximum size of a value.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// Maximum size of a response without a value.
const MAX_REPLY_BYTES: u64 = 64 * 1024;

/// Value of a key and its revision.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Entry {
    /// Revision of the last write.
    #[serde(deserialize_with = "whole::number")]
    pub revision: Revision,
    /// The value.
    pub value: String,
}

/// Error of a call to the key-value service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KvError {
    /// The key is at this other revision; nothing was written.
    Conflict(Revision),
    /// The lease has expired or never existed.
    LeaseExpired,
    /// The call failed before the service could act on it.
    Unavailable(String),
    /// The response was lost; a write may have taken effect.
    OutcomeUnknown(String),
}

impl fmt::Display for KvError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict(at) => write!(f, "the key is at revision {at}"),
            Self::LeaseExpired => write!(f, "the lease has expired"),
            Self::Unavailable(text) => write!(f, "the key-value service is not available: {text}"),
            Self::OutcomeUnknown(text) => {
                write!(f, "the response of the key-value service was lost: {text}")
            }
        }
    }
}

impl std::error::Error for KvError {}

#[derive(Deserialize)]
struct RevisionBody {
    #[serde(deserialize_with = "whole::number")]
    revision: Revision,
}

#[derive(Deserialize)]
struct LeaseBody {
    #[serde(deserialize_with = "whole::number")]
    id: LeaseId,
}

/// Client of the key-value service.
#[derive(Clone, Debug)]
pub struct KvClient {
    agent: Agent,
    address: Address,
    timeout: Duration,
}

impl KvClient {
    /// Builds a client for the service at `addr`, `IP:port`.
    pub fn new(addr: &str) -> Self {
        Self { agent: agent(), address: Address::new(addr), timeout: CALL_TIMEOUT }
    }

    /// Returns a client whose calls time out after `timeout`.
    ///
    /// A timeout longer than the default one has no effect.
    #[must_use]
    pub fn with_timeout(&self, timeout: Duration) -> Self {
        // A timeout of zero would mean to wait forever.
        let timeout = timeout.clamp(Duration::from_millis(1), CALL_TIMEOUT);
        Self { timeout, ..self.clone() }
    }

    /// Reads a key; `None` when it is absent.
    ///
    /// # Errors
    ///
    /// Fails when the service does not respond in time.
    pub fn get(&self, key: &str) -> Result<Option<Entry>, KvError> {
        read_entry(self.agent.get(self.address.key(key)), self.timeout)
    }

    /// Waits until the key is past revision `after`; `None` after `wait`.
    ///
    /// # Errors
    ///
    /// Fails when the service does not respond in time.
    pub fn watch(
        &self,
        key: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Option<Entry>, KvError> {
        let request = self
            .agent
            .get(self.address.key(key))
            .query("after", after.to_string())
            .query("wait_ms", wait.as_millis().to_string());
        read_entry(request, wait + self.timeout)
    }

    /// Writes a key if it is at `revision`; revision 0 creates it.
    ///
    /// # Errors
    ///
    /// [`KvError::Conflict`] at another revision; [`KvError::OutcomeUnknown`] when
    /// the write may have taken effect.
    pub fn put(
        &self,
        key: &str,
        value: &str,
        revision: Revision,
        lease: Option<LeaseId>,
    ) -> Result<Revision, KvError> {
        let lease = lease.map(|id| ("lease", id.to_string()));
        let request = self
            .agent
            .put(self.address.key(key))
            .query("revision", revision.to_string())
            .query_pairs(lease);
        let request = request.config().timeout_global(Some(self.timeout)).build();
        let mut response = check_status(request.send(value).map_err(|e| classify(&e))?)?;
        let written: RevisionBody = read_reply(&mut response)?;
        Ok(written.revision)
    }

    /// Deletes a key if it is at `revision`.
    ///
    /// # Errors
    ///
    /// See [`KvClient::put`].
    pub fn delete(&self, key: &str, revision: Revision) -> Result<(), KvError> {
        let request =
            self.agent.delete(self.address.key(key)).query("revision", revision.to_string());
        let request = request.config().timeout_global(Some(self.timeout)).build();
        check_status(request.call().map_err(|e| classify(&e))?).map(drop)
    }

    /// Creates a lease that expires after `ttl` without renewal.
    ///
    /// # Errors
    ///
    /// Fails when the service does not respond in time.
    pub fn grant(&self, ttl: Duration) -> Result<LeaseId, KvError> {
        let ttl_ms = ttl.as_millis().to_string();
        let request = self.agent.post(self.address.leases()).query("ttl_ms", ttl_ms);
        let request = request.config().timeout_global(Some(self.timeout)).build();
        let mut response = check_status(request.send_empty().map_err(|e| classify(&e))?)?;
        let granted: LeaseBody = read_reply(&mut response)?;
        Ok(granted.id)
    }

    /// Renews a lease for its full TTL.
    ///
    /// # Errors
    ///
    /// [`KvError::LeaseExpired`] when it has expired.
    pub fn renew(&self, lease: LeaseId) -> Result<(), KvError> {
        let request = self.agent.put(self.address.lease(lease));
        let request = request.config().timeout_global(Some(self.timeout)).build();
        check_status(request.send_empty().map_err(|e| classify(&e))?).map(drop)
    }
}

/// Reads a key; `None` when it is absent or, in a watch, unchanged.
fn read_entry(
    request: RequestBuilder<WithoutBody>,
    timeout: Duration,
) -> Result<Option<Entry>, KvError> {
    let request = request.config().timeout_global(Some(timeout)).build();
    let response = request.call().map_err(|e| classify(&e))?;
    if matches!(response.status().as_u16(), 304 | 404) {
        return Ok(None);
    }
    let mut response = check_status(response)?;
    let body = response.body_mut().with_config().limit(4 * MAX_VALUE_BYTES as u64);
    body.read_json().map(Some).map_err(|e| classify(&e))
}

/// Converts the status of a response into a result.
fn check_status(mut response: Response<ureq::Body>) -> Result<Response<ureq::Body>, KvError> {
    let status = response.status().as_u16();
    match status {
        200 => Ok(response),
        409 => {
            let at: RevisionBody = read_reply(&mut response)?;
            Err(KvError::Conflict(at.revision))
        }
        410 => Err(KvError::LeaseExpired),
        429 | 503 => Err(KvError::Unavailable(format!("status {status}"))),
        _ => Err(KvError::OutcomeUnknown(format!("status {status}"))),
    }
}

/// Decodes a response without a value.
fn read_reply<T: DeserializeOwned>(response: &mut Response<ureq::Body>) -> Result<T, KvError> {
    let body = response.body_mut().with_config().limit(MAX_REPLY_BYTES);
    body.read_json().map_err(|e| classify(&e))
}

/// Classifies a failure by whether the service can have acted on the call.
fn classify(error: &ureq::Error) -> KvError {
    let text = error.to_string();
    let not_sent = match error {
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound => true,
        ureq::Error::Timeout(step) => {
            matches!(step, ureq::Timeout::Connect | ureq::Timeout::Resolve)
        }
        ureq::Error::Io(e) => e.kind() == std::io::ErrorKind::ConnectionRefused,
        _ => false,
    };
    if not_sent { KvError::Unavailable(text) } else { KvError::OutcomeUnknown(text) }
}
