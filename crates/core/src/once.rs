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
pub const KEEP: Duration = Duration::from_hours(2);
/// Longest time that a protected request may take, well below [`KEEP`].
///
/// A writer sends within this time of its first look at the record, so a
/// writer that was paused for longer finds its deadline passed.
pub const LONGEST: Duration = Duration::from_hours(1);
/// Time for which new records share one lease.
pub const SLOT: Duration = Duration::from_mins(10);
/// Largest body of a stored answer, in bytes.
pub const LARGEST: usize = 4 * 1024;

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
    pub until: u64,
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
    Done(Outcome),
    /// It ran and its answer, with this HTTP status, was not stored.
    Ran(u16),
}

/// Stored answer of a request that ran.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Outcome {
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
            Ok(text) if size <= LARGEST => {
                Self::Done(Outcome { status, headers: headers.to_vec(), body: text.to_owned() })
            }
            _ => Self::Ran(status),
        }
    }
}

/// What a record that stands in the service means for a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The record is ours: send.
    Send,
    /// The record may be claimed by a write at its revision.
    Claim,
    /// Answer with the first answer.
    Replay(Outcome),
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
pub fn decide(mine: &Record, found: &Record, now: u64) -> Verdict {
    if found.digest != mine.digest {
        return Verdict::Mismatch;
    }
    match &found.state {
        State::Sending if found.token == mine.token => Verdict::Send,
        State::Sending if now < found.until => Verdict::Running,
        State::Sending | State::Broken => Verdict::OutcomeUnknown,
        State::Unsent => Verdict::Claim,
        State::Done(outcome) => Verdict::Replay(outcome.clone()),
        State::Ran(status) => Verdict::Ran(*status),
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
