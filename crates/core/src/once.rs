//! Idempotency records: a non-idempotent request runs at most once.
//!
//! A record is created, if absent, in the key-value service before the first
//! byte is sent. It carries a random token, so that a lost answer is settled
//! by a read: our token means that the write took effect. Nobody takes a
//! record over.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Time for which a record is kept; a repeat after it is a new request.
pub const KEEP: Duration = Duration::from_hours(24);

/// Record of one non-idempotent request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// Random token of the attempt that wrote the record.
    pub token: u64,
    /// Digest of method, path and body, so that another request is told apart.
    pub digest: u64,
    /// Outcome, once known.
    pub outcome: Option<Outcome>,
}

/// Stored answer of a request that ran.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Outcome {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content: String,
    /// Body; a body over the limit is not stored and the outcome stays open.
    pub body: String,
}

/// What the key-value service said to the creation of a record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Created {
    /// The record is ours.
    Won,
    /// Another record stands there.
    Exists(Record),
    /// The service did not answer and a read did not settle it.
    Unknown,
}

/// What to do with a non-idempotent request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Send it.
    Send,
    /// Answer with the first answer.
    Replay(Outcome),
    /// Refuse: it was sent by another attempt and its outcome is not known.
    Sent,
    /// Refuse: the identifier belongs to another request.
    Mismatch,
    /// Refuse as not run: the record could not be written.
    Unavailable,
}

/// Decides by the answer of the key-value service; `mine` is what we wrote.
pub fn decide(mine: &Record, created: Created) -> Verdict {
    match created {
        Created::Won => Verdict::Send,
        Created::Unknown => Verdict::Unavailable,
        Created::Exists(found) if found.token == mine.token => Verdict::Send,
        Created::Exists(found) if found.digest != mine.digest => Verdict::Mismatch,
        Created::Exists(Record { outcome: Some(outcome), .. }) => Verdict::Replay(outcome),
        Created::Exists(_) => Verdict::Sent,
    }
}
