//! What several attempts at one request say together.

use crate::error::{Failure, Kind};

/// Failures of the attempts so far.
#[derive(Clone, Debug, Default)]
pub struct AttemptFailures {
    refused: Option<Failure>,
    ran: Option<Failure>,
}

impl AttemptFailures {
    /// Notes how an attempt failed.
    pub fn record(&mut self, failure: Failure) {
        if failure.kind.row().not_run {
            self.refused = Some(failure);
        } else {
            self.ran = Some(failure);
        }
    }

    /// Notes that no target was found; an earlier failure says more.
    pub fn record_no_target(&mut self, failure: Failure) {
        self.refused.get_or_insert(failure);
    }

    /// Returns whether a target may have run any part of the request.
    pub fn may_have_run(&self) -> bool {
        self.ran.is_some()
    }

    /// Returns the failure of the whole request.
    ///
    /// It promises that nothing ran only if no attempt may have run.
    pub fn into_failure(self) -> Failure {
        self.ran
            .or(self.refused)
            .unwrap_or_else(|| Failure::new(Kind::NoTarget, "no target is open"))
    }
}
