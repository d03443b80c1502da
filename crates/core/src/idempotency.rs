//! Idempotency records: a non-idempotent request runs at most once.
//!
//! A record is created, if absent, in the key-value service before the first
//! byte is sent. It carries a random token, so that a lost answer is settled
//! by a read: our token means that the write took effect. Only the writer of
//! a record may say that it never sent; until then nobody else may send.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

/// Shortest time for which a record is kept; a repeat after it is a new request.
pub const RETENTION: Duration = Duration::from_hours(2);
/// Longest time that a protected request may take, well below [`RETENTION`].
///
/// A writer sends within this time of its first look at the record, so a
/// writer that was paused for longer finds its deadline passed.
pub const MAX_DURATION: Duration = Duration::from_hours(1);
/// Time for which new records share one lease.
pub const LEASE_WINDOW: Duration = Duration::from_mins(10);
/// Largest body of a stored answer, in bytes.
pub const MAX_STORED_BYTES: usize = 4 * 1024;

/// Revision of a record in the key-value service; 0 stands for absent.
pub type Revision = u64;

/// Record of one non-idempotent request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// Random token of the request that wrote the record.
    pub token: u64,
    /// Digest of method, path and body, so that another request is told apart.
    pub digest: u64,
    /// When the writer's deadline passes, in milliseconds since 1970.
    ///
    /// It only chooses between two refusals, so a skewed clock does no harm.
    #[serde(rename = "until")]
    pub deadline_ms: u64,
    /// How far the request has come.
    pub state: State,
}

/// How far a recorded request has come.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It may have been sent.
    Sending,
    /// Its writer gave up without sending; the next request may claim it.
    Unsent,
    /// It was sent and the call broke, so its outcome stays unknown.
    Broken,
    /// It ran and this is its answer.
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

/// What a record that stands in the service means for a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The record is ours: send.
    Send,
    /// The record may be claimed by a write at its revision.
    Claim,
    /// Answer with the first answer.
    Replay(StoredResponse),
    /// Refuse: it ran, and its answer with this HTTP status was not stored.
    Ran(u16),
    /// Refuse for now: another request may be sending it.
    Running,
    /// Refuse: it may have been sent and no outcome was written in time.
    OutcomeUnknown,
    /// Refuse: the identifier belongs to another request.
    Mismatch,
}

/// Decides by the record that was `found`; `now` is in milliseconds since 1970.
pub fn decide(mine: &Record, found: &Record, now: u64) -> Decision {
    if found.digest != mine.digest {
        return Decision::Mismatch;
    }
    match &found.state {
        State::Sending if found.token == mine.token => Decision::Send,
        State::Sending if now < found.deadline_ms => Decision::Running,
        State::Sending | State::Broken => Decision::OutcomeUnknown,
        State::Unsent => Decision::Claim,
        State::Done(outcome) => Decision::Replay(outcome.clone()),
        State::Ran(status) => Decision::Ran(*status),
    }
}

/// Returns the key of a record; the identifier must be plain text without `/`.
pub fn key(workspace: &str, service: &str, id: &str) -> String {
    let mut scope = Xxh3::new();
    // The length keeps `ab` + `c` apart from `a` + `bc`.
    scope.update(&(workspace.len() as u64).to_le_bytes());
    scope.update(workspace.as_bytes());
    scope.update(service.as_bytes());
    format!("once/{:032x}/{id}", scope.digest128())
}

/// Returns the digest of a request.
pub fn digest(method: &str, path: &str, body: &[u8]) -> u64 {
    xxh3_64(format!("{method} {path} {:016x}", xxh3_64(body)).as_bytes())
}
