//! Combines the failures of several attempts at one request.

use crate::error::{Failure, Kind};

/// Failures of the attempts made so far.
#[derive(Clone, Debug, Default)]
pub struct AttemptFailures {
    not_run: Option<Failure>,
    may_have_run: Option<Failure>,
}

impl AttemptFailures {
    /// Records the failure of an attempt.
    pub fn record(&mut self, failure: Failure) {
        if failure.kind.row().not_run {
            self.not_run = Some(failure);
        } else {
            self.may_have_run = Some(failure);
        }
    }

    /// Records that no target was found, unless an attempt was refused before.
    ///
    /// The earlier refusal is kept, because it is more specific.
    pub fn record_no_target(&mut self, failure: Failure) {
        self.not_run.get_or_insert(failure);
    }

    /// Returns whether a target may have run any part of the request.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run.is_some()
    }

    /// Returns the failure of the whole request.
    ///
    /// It states that nothing ran only if no attempt may have run.
    pub fn into_failure(self) -> Failure {
        self.may_have_run
            .or(self.not_run)
            .unwrap_or_else(|| Failure::new(Kind::NoTarget, "no target is available"))
    }
}
