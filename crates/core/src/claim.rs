//! Steps by which a request claims its idempotency record and settles it.
//!
//! Each answer of the key-value service may be lost, and a write without an
//! answer may take effect later. Every step is chosen so that at most one
//! request ever holds the right to send.

use crate::idempotency::{Decision, Record, Revision, State, decide};

/// Next step of a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Write our record if the key is at this revision.
    Put(Revision),
    /// Read the key.
    Get,
    /// The claim has ended.
    End(ClaimResult),
}

/// How a claim ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimResult {
    /// The record is ours at this revision: send.
    Won(Revision),
    /// Another record decides; never [`Decision::Send`] or [`Decision::Claim`].
    Lost(Decision),
    /// The service did not settle it: refuse as not run.
    Unavailable,
}

/// What the service said to a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteResult {
    /// It took effect and made this revision.
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
    mine: Record,
    expected: Revision,
    doubt: bool,
}

impl Claim {
    /// Begins a claim with a record in state [`State::Sending`].
    pub fn new(mine: Record) -> Self {
        Self { mine, expected: 0, doubt: false }
    }

    /// Returns the record that the claim writes.
    pub fn record(&self) -> &Record {
        &self.mine
    }

    /// Takes what the service said to a write.
    pub fn on_write(&mut self, wrote: WriteResult) -> Step {
        match wrote {
            WriteResult::Done(revision) => Step::End(ClaimResult::Won(revision)),
            WriteResult::Conflict => Step::Get,
            WriteResult::NotApplied => Step::End(ClaimResult::Unavailable),
            WriteResult::Unknown => {
                self.doubt = true;
                Step::Get
            }
        }
    }

    /// Takes the record that was read; `now` is in milliseconds since 1970.
    pub fn on_read(&mut self, found: Option<(Revision, &Record)>, now: u64) -> Step {
        let Some((revision, record)) = found else { return self.put(0) };
        match decide(&self.mine, record, now) {
            Decision::Send => Step::End(ClaimResult::Won(revision)),
            Decision::Claim => self.put(revision),
            decision => Step::End(ClaimResult::Lost(decision)),
        }
    }

    fn put(&mut self, revision: Revision) -> Step {
        self.expected = revision;
        Step::Put(revision)
    }

    /// Returns where a write without an answer may still take effect.
    pub fn unconfirmed_write(&self) -> Option<Revision> {
        self.doubt.then_some(self.expected)
    }
}

/// What is left to do for a record after a conflict.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Settlement {
    /// It is settled.
    Done,
    /// Write it at this revision.
    Write(Revision),
    /// The read was older than the conflict: read again.
    Reread,
}

/// Tells what is left to do for `want` after a conflict at revision `told`.
///
/// The first try is made at the revision of the last write, found or in
/// doubt: either it moves the key, so that a late write of ours cannot take
/// effect any more, or its conflict shows that the key has moved already.
/// What is left is our record, if it stands there.
pub fn after_conflict(
    want: &Record,
    told: Revision,
    found: Option<(Revision, &Record)>,
) -> Settlement {
    match found {
        Some((at, _)) if at < told => Settlement::Reread,
        None if told > 0 => Settlement::Reread,
        Some((at, record)) if record.token == want.token && record.state == State::Sending => {
            Settlement::Write(at)
        }
        _ => Settlement::Done,
    }
}
