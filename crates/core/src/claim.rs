//! State machine that claims and finalizes an idempotency record.
//!
//! Each answer of the key-value service may be lost, and a write without an
//! answer may take effect later. Every step is chosen so that at most one
//! request is ever allowed to send.

use crate::idempotency::{Decision, Record, Revision, State, decide};

/// Next step of a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Write the claim's record if the key is at this revision.
    Put(Revision),
    /// Read the key.
    Get,
    /// The claim has ended.
    End(ClaimResult),
}

/// How a claim ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimResult {
    /// The claim's record is stored at this revision: send the request.
    Won(Revision),
    /// Another record is stored; never [`Decision::Send`] or [`Decision::Claim`].
    Lost(Decision),
    /// The service gave no conclusive answer: refuse as not run.
    Unavailable,
}

/// Result of a write to the key-value service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteResult {
    /// It took effect and created this revision.
    Done(Revision),
    /// The key was at another revision.
    Conflict,
    /// It did not take effect and never will.
    NotApplied,
    /// It may have taken effect, or may still do so.
    Unknown,
}

/// A claim on an idempotency record.
#[derive(Clone, Debug)]
pub struct Claim {
    record: Record,
    expected: Revision,
    unconfirmed: bool,
}

impl Claim {
    /// Begins a claim with a record in state [`State::Sending`].
    pub fn new(record: Record) -> Self {
        Self { record, expected: 0, unconfirmed: false }
    }

    /// Returns the record that the claim writes.
    pub fn record(&self) -> &Record {
        &self.record
    }

    /// Handles the result of a write and returns the next step.
    pub fn on_write(&mut self, result: WriteResult) -> Step {
        match result {
            WriteResult::Done(revision) => Step::End(ClaimResult::Won(revision)),
            WriteResult::Conflict => Step::Get,
            WriteResult::NotApplied => Step::End(ClaimResult::Unavailable),
            WriteResult::Unknown => {
                self.unconfirmed = true;
                Step::Get
            }
        }
    }

    /// Handles the record that was read and returns the next step.
    ///
    /// `now_ms` is in milliseconds since 1970.
    pub fn on_read(&mut self, found: Option<(Revision, &Record)>, now_ms: u64) -> Step {
        let Some((revision, stored)) = found else { return self.put(0) };
        match decide(&self.record, stored, now_ms) {
            Decision::Send => Step::End(ClaimResult::Won(revision)),
            Decision::Claim => self.put(revision),
            decision => Step::End(ClaimResult::Lost(decision)),
        }
    }

    fn put(&mut self, revision: Revision) -> Step {
        self.expected = revision;
        Step::Put(revision)
    }

    /// Returns the revision at which an unanswered write may still take effect.
    pub fn unconfirmed_write(&self) -> Option<Revision> {
        self.unconfirmed.then_some(self.expected)
    }
}

/// How to finalize a record after a write conflict.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Settlement {
    /// Nothing is left to write.
    Done,
    /// Write the record at this revision.
    Write(Revision),
    /// The value read was older than the conflict: read again.
    Reread,
}

/// Decides how to store `record` after a conflict at revision `conflict`.
///
/// The first write is made at the revision of the claim's last write, whether
/// that was confirmed or not. Either it changes the key's revision, so that a
/// delayed write of the claim can no longer take effect, or it conflicts, which
/// shows that the revision has changed already. The record is written again
/// only if the claim's own record is still stored.
pub fn after_conflict(
    record: &Record,
    conflict: Revision,
    found: Option<(Revision, &Record)>,
) -> Settlement {
    match found {
        Some((at, _)) if at < conflict => Settlement::Reread,
        None if conflict > 0 => Settlement::Reread,
        Some((at, stored)) if stored.token == record.token && stored.state == State::Sending => {
            Settlement::Write(at)
        }
        _ => Settlement::Done,
    }
}
