//! Client of the key-value service: compare-and-swap, leases and watches.

use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use ureq::Agent;
use ureq::http::Response;

use crate::http::{CALL, agent};

/// Revision of a key; 0 stands for a key that is absent.
pub type Revision = u64;
/// Identifier of a lease.
pub type LeaseId = u64;

/// Largest value of a key, in bytes.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// A value and its revision.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Entry {
    /// Revision of the last write.
    pub revision: Revision,
    /// Value.
    pub value: String,
}

/// Why a call to the key-value service gave no result.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KvError {
    /// The key has another revision; nothing was written.
    Conflict(Revision),
    /// The lease has lapsed or never was.
    LeaseExpired,
    /// The call failed before the service can have acted on it.
    Unavailable(String),
    /// The answer was lost; a write may have taken effect.
    OutcomeUnknown(String),
}

impl fmt::Display for KvError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict(at) => write!(f, "the key is at revision {at}"),
            Self::LeaseExpired => write!(f, "the lease has lapsed"),
            Self::Unavailable(text) => write!(f, "the key-value service is not available: {text}"),
            Self::OutcomeUnknown(text) => {
                write!(f, "the answer of the key-value service was lost: {text}")
            }
        }
    }
}

impl std::error::Error for KvError {}

#[derive(Deserialize)]
struct Written {
    revision: Revision,
}

#[derive(Deserialize)]
struct Granted {
    id: LeaseId,
}

/// Client of the key-value service.
#[derive(Clone, Debug)]
pub struct KvClient {
    agent: Agent,
    base: String,
    time: Duration,
}

impl KvClient {
    /// Builds a client for the service at `addr`, `IP:port`.
    pub fn new(addr: &str) -> Self {
        Self { agent: agent(), base: format!("http://{addr}"), time: CALL }
    }

    /// Returns a client whose calls each take at most `time`.
    ///
    /// A time longer than that of an ordinary call changes nothing.
    #[must_use]
    pub fn with_timeout(&self, time: Duration) -> Self {
        // A call with no time at all would wait for ever.
        let time = time.clamp(Duration::from_millis(1), CALL);
        Self { time, ..self.clone() }
    }

    /// Reads a key; `None` when it is absent.
    ///
    /// # Errors
    ///
    /// Fails when the service gives no answer in time.
    pub fn get(&self, key: &str) -> Result<Option<Entry>, KvError> {
        self.read(&format!("/kv/{key}"), self.time)
    }

    /// Waits until the key is past revision `after`; `None` when `wait` ran out.
    ///
    /// # Errors
    ///
    /// Fails when the service gives no answer in time.
    pub fn watch(
        &self,
        key: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Option<Entry>, KvError> {
        let path = format!("/kv/{key}?after={after}&wait_ms={}", wait.as_millis());
        self.read(&path, wait + self.time)
    }

    /// Writes a key if it is at `revision`; 0 creates it.
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
        let lease = lease.map(|id| format!("&lease={id}")).unwrap_or_default();
        let url = format!("{}/kv/{key}?revision={revision}{lease}", self.base);
        let request = self.agent.put(url).config().timeout_global(Some(self.time)).build();
        let mut response = checked(request.send(value).map_err(|e| failed(&e))?)?;
        let written: Written = response.body_mut().read_json().map_err(|e| failed(&e))?;
        Ok(written.revision)
    }

    /// Deletes a key if it is at `revision`.
    ///
    /// # Errors
    ///
    /// As [`KvClient::put`].
    pub fn delete(&self, key: &str, revision: Revision) -> Result<(), KvError> {
        let url = format!("{}/kv/{key}?revision={revision}", self.base);
        let request = self.agent.delete(url).config().timeout_global(Some(self.time)).build();
        checked(request.call().map_err(|e| failed(&e))?).map(drop)
    }

    /// Takes a lease that lapses after `ttl` without renewal.
    ///
    /// # Errors
    ///
    /// Fails when the service gives no answer in time.
    pub fn grant(&self, ttl: Duration) -> Result<LeaseId, KvError> {
        let url = format!("{}/leases?ttl_ms={}", self.base, ttl.as_millis());
        let request = self.agent.post(url).config().timeout_global(Some(self.time)).build();
        let mut response = checked(request.send_empty().map_err(|e| failed(&e))?)?;
        let granted: Granted = response.body_mut().read_json().map_err(|e| failed(&e))?;
        Ok(granted.id)
    }

    /// Renews a lease for its whole time.
    ///
    /// # Errors
    ///
    /// [`KvError::LeaseExpired`] when it has lapsed.
    pub fn renew(&self, lease: LeaseId) -> Result<(), KvError> {
        let url = format!("{}/leases/{lease}", self.base);
        let request = self.agent.put(url).config().timeout_global(Some(self.time)).build();
        checked(request.send_empty().map_err(|e| failed(&e))?).map(drop)
    }

    fn read(&self, path: &str, time: Duration) -> Result<Option<Entry>, KvError> {
        let url = format!("{}{path}", self.base);
        let request = self.agent.get(url).config().timeout_global(Some(time)).build();
        let response = request.call().map_err(|e| failed(&e))?;
        if matches!(response.status().as_u16(), 304 | 404) {
            return Ok(None);
        }
        let mut response = checked(response)?;
        let body = response.body_mut().with_config().limit(4 * MAX_VALUE_BYTES as u64);
        body.read_json().map(Some).map_err(|e| failed(&e))
    }
}

fn checked(mut response: Response<ureq::Body>) -> Result<Response<ureq::Body>, KvError> {
    let status = response.status().as_u16();
    match status {
        200 => Ok(response),
        409 => {
            let at: Written = response.body_mut().read_json().map_err(|e| failed(&e))?;
            Err(KvError::Conflict(at.revision))
        }
        410 => Err(KvError::LeaseExpired),
        429 | 503 => Err(KvError::Unavailable(format!("status {status}"))),
        _ => Err(KvError::OutcomeUnknown(format!("status {status}"))),
    }
}

fn failed(error: &ureq::Error) -> KvError {
    let text = error.to_string();
    let unsent = match error {
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound => true,
        ureq::Error::Timeout(at) => matches!(at, ureq::Timeout::Connect | ureq::Timeout::Resolve),
        ureq::Error::Io(e) => e.kind() == std::io::ErrorKind::ConnectionRefused,
        _ => false,
    };
    if unsent { KvError::Unavailable(text) } else { KvError::OutcomeUnknown(text) }
}
