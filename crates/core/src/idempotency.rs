//! Idempotency records: a non-idempotent request runs at most once.
//!
//! A record is created, if absent, in the key-value service before the first
//! byte is sent. It contains a random token: if the answer to the write is
//! lost, reading back the same token shows that the write took effect. Only
//! the writer of a record may state that it did not send; until then no other
//! request with the identifier may send.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

/// Minimum time for which a record is kept.
///
/// A repeat after this time counts as a new request.
pub const RETENTION: Duration = Duration::from_hours(2);
/// Longest time that a protected request may take, well below [`RETENTION`].
///
/// A writer sends within this time of its first read of the record. If it was
/// paused for longer, its deadline has passed and it does not send.
pub const MAX_DURATION: Duration = Duration::from_hours(1);
/// Time for which new records share one lease.
pub const LEASE_WINDOW: Duration = Duration::from_mins(10);
/// Largest headers and body of an answer that is stored.
pub const MAX_STORED_BYTES: usize = 4 * 1024;

/// Revision of a record in the key-value service; 0 stands for absent.
pub type Revision = u64;

/// Record of one non-idempotent request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// Random token of the request that wrote the record.
    pub token: u64,
    /// Digest of method, path and body, to detect another request's identifier.
    pub digest: u64,
    /// Deadline of the writer, in milliseconds since 1970.
    ///
    /// It only selects one of two refusals, so clock skew is harmless.
    #[serde(rename = "until")]
    pub deadline_ms: u64,
    /// Progress of the request.
    pub state: State,
}

/// Progress of a recorded request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It may have been sent.
    Sending,
    /// It was not sent; the next request may claim the record.
    Unsent,
    /// It was sent and the call failed, so its outcome is unknown.
    Broken,
    /// It ran and returned this answer.
    Done(StoredResponse),
    /// It ran and its answer, with this HTTP status, was not stored.
    Ran(u16),
}

/// Stored answer of a request that ran.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers that the service set.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: String,
}

impl State {
    /// Returns the state after an answer; a large or binary one is not stored.
    pub fn answered(status: u16, headers: &[(String, String)], body: &[u8]) -> Self {
        let size = headers.iter().map(|(n, v)| n.len() + v.len()).sum::<usize>() + body.len();
        match std::str::from_utf8(body) {
            Ok(text) if size <= MAX_STORED_BYTES => Self::Done(StoredResponse {
                status,
                headers: headers.to_vec(),
                body: text.to_owned(),
            }),
            _ => Self::Ran(status),
        }
    }
}

/// What a request must do, given the stored record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Send the request: the record is its own.
    Send,
    /// Claim the record by a write at its revision.
    Claim,
    /// Return the stored answer.
    Replay(StoredResponse),
    /// Refuse: it ran, and its answer with this HTTP status was not stored.
    Ran(u16),
    /// Refuse for now: another request may be sending it.
    Running,
    /// Refuse: it may have been sent and no outcome was recorded in time.
    OutcomeUnknown,
    /// Refuse: the identifier belongs to another request.
    Mismatch,
}

/// Decides by the `stored` record what a request must do.
///
/// `now_ms` is in milliseconds since 1970.
pub fn decide(own: &Record, stored: &Record, now_ms: u64) -> Decision {
    if stored.digest != own.digest {
        return Decision::Mismatch;
    }
    match &stored.state {
        State::Sending if stored.token == own.token => Decision::Send,
        State::Sending if now_ms < stored.deadline_ms => Decision::Running,
        State::Sending | State::Broken => Decision::OutcomeUnknown,
        State::Unsent => Decision::Claim,
        State::Done(response) => Decision::Replay(response.clone()),
        State::Ran(status) => Decision::Ran(*status),
    }
}

/// Returns the key of a record; the identifier must be plain text without `/`.
pub fn key(workspace: &str, service: &str, id: &str) -> String {
    let mut scope = Xxh3::new();
    // The length distinguishes `ab` + `c` from `a` + `bc`.
    scope.update(&(workspace.len() as u64).to_le_bytes());
    scope.update(workspace.as_bytes());
    scope.update(service.as_bytes());
    format!("once/{:032x}/{id}", scope.digest128())
}

/// Returns the digest of a request.
pub fn digest(method: &str, path: &str, body: &[u8]) -> u64 {
    xxh3_64(format!("{method} {path} {:016x}", xxh3_64(body)).as_bytes())
}
