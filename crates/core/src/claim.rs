//! Steps by which a request claims its idempotency record and settles it.
//!
//! Each answer of the key-value service may be lost, and a write without an
//! answer may take effect later. Every step is chosen so that at most one
//! request ever holds the right to send.

use crate::once::{Record, Revision, State, Verdict, decide};

/// Next step of a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Write our record if the key is at this revision.
    Put(Revision),
    /// Read the key.
    Get,
    /// The claim has ended.
    End(End),
}

/// How a claim ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum End {
    /// The record is ours at this revision: send.
    Won(Revision),
    /// Another record decides; never [`Verdict::Send`] or [`Verdict::Claim`].
    Lost(Verdict),
    /// The service did not settle it: refuse as not run.
    Unavailable,
}

/// What the service said to a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Wrote {
    /// It took effect and made this revision.
    Done(Revision),
    /// The key was at another revision.
    Conflict,
    /// It did not take effect and never will.
    Not,
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
    pub fn mine(&self) -> &Record {
        &self.mine
    }

    /// Takes what the service said to a write.
    pub fn wrote(&mut self, wrote: Wrote) -> Step {
        match wrote {
            Wrote::Done(revision) => Step::End(End::Won(revision)),
            Wrote::Conflict => Step::Get,
            Wrote::Not => Step::End(End::Unavailable),
            Wrote::Unknown => {
                self.doubt = true;
                Step::Get
            }
        }
    }

    /// Takes the record that was read; `now` is in milliseconds since 1970.
    pub fn found(&mut self, found: Option<(Revision, &Record)>, now: u64) -> Step {
        let Some((revision, record)) = found else { return self.put(0) };
        match decide(&self.mine, record, now) {
            Verdict::Send => Step::End(End::Won(revision)),
            Verdict::Claim => self.put(revision),
            verdict => Step::End(End::Lost(verdict)),
        }
    }

    fn put(&mut self, revision: Revision) -> Step {
        self.expected = revision;
        Step::Put(revision)
    }

    /// Returns where a write without an answer may still take effect.
    pub fn doubt(&self) -> Option<Revision> {
        self.doubt.then_some(self.expected)
    }
}

/// What is left to do for a record after a conflict.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Left {
    /// It is settled.
    Nothing,
    /// Write it at this revision.
    Write(Revision),
    /// The read was older than the conflict: read again.
    Read,
}

/// Tells what is left to do for `want` after a conflict at revision `told`.
///
/// The first try is made at the revision of the last write, found or in
/// doubt: either it moves the key, so that a late write of ours cannot take
/// effect any more, or its conflict shows that the key has moved already.
/// What is left is our record, if it stands there.
pub fn settle(want: &Record, told: Revision, found: Option<(Revision, &Record)>) -> Left {
    match found {
        Some((at, _)) if at < told => Left::Read,
        None if told > 0 => Left::Read,
        Some((at, record)) if record.token == want.token && record.state == State::Sending => {
            Left::Write(at)
        }
        _ => Left::Nothing,
    }
}
