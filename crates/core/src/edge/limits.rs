//! Limits that targets state in their answers.
//!
//! A target in need states how many requests a second it takes from all instances together.

use std::collections::HashMap;
use std::time::Instant;

use crate::ids::TargetId;

/// The limit of one target.
#[derive(Clone, Copy, Debug)]
struct Limit {
    /// Requests a second.
    rate: f64,
    /// When it was learned.
    since: Instant,
}

/// Effect of what an answer states.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Statement {
    /// Nothing new.
    Known,
    /// The target has another limit from now on, in requests a second.
    Limited(f64),
    /// The target has no limit any more.
    Ended,
}

/// Limits by target.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    by_target: HashMap<TargetId, Limit>,
}

impl Limits {
    /// Applies what the answer to a request states that was sent at `sent_at`; no `rate` is no
    /// limit.
    ///
    /// An answer without a limit ends one only if its request was sent after the limit was
    /// learned, since answers may overtake each other.
    pub fn state(
        &mut self,
        id: &TargetId,
        rate: Option<f64>,
        sent_at: Instant,
        now: Instant,
    ) -> Statement {
        let known = self.by_target.get(id);
        match rate {
            Some(rate) if known.is_none_or(|limit| limit.rate.to_bits() != rate.to_bits()) => {
                self.by_target.insert(TargetId::clone(id), Limit { rate, since: now });
                Statement::Limited(rate)
            }
            None if known.is_some_and(|limit| sent_at > limit.since) => {
                self.by_target.remove(id);
                Statement::Ended
            }
            _ => Statement::Known,
        }
    }

    /// Returns the limit of a target, in requests a second.
    pub fn rate(&self, id: &str) -> Option<f64> {
        self.by_target.get(id).map(|limit| limit.rate)
    }

    /// Returns the number of targets with a limit.
    pub fn count(&self) -> usize {
        self.by_target.len()
    }

    /// Removes the limit of a target that is gone or has restarted.
    pub fn forget(&mut self, id: &str) {
        self.by_target.remove(id);
    }
}
