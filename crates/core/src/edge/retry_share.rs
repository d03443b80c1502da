//! Which part of the fixed number of retries an instance may use.
//!
//! The number is divided by the count of instances. Instances that are cut off from each other or
//! that learn late who lives must not divide it by too few, so that a part is held like a lease:
//!
//! - An instance uses its part for [`REGISTRATION_TTL`] after the store last confirmed its
//!   registration. That is no longer than others count it.
//! - One that was not registered waits until nobody can still count without it. One that finds
//!   the entry of the process before it is counted already, and waits until what that process
//!   has sent counts no longer.
//! - The count is the highest of the last two terms ([`FleetSize`]), so that neither a cut nor an
//!   outage in which all entries expire lowers it before the parts have ended.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Time for which a registration is valid after it was last renewed.
pub const REGISTRATION_TTL: Duration = Duration::from_mins(2);
/// Time for which a count of instances holds: an instance whose entry expired has written it again
/// within [`REGISTRATION_TTL`], and another one may use a count that it saw before for as long.
const COUNT_HOLD: Duration = Duration::from_mins(4);

/// The highest count of instances of late.
#[derive(Clone, Debug, Default)]
pub struct FleetSize {
    /// Counts that were followed by lower ones only, and when they were seen last.
    counts: VecDeque<(Instant, usize)>,
}

impl FleetSize {
    /// Records the count of instances as the store has it.
    pub fn record(&mut self, count: usize, now: Instant) {
        while self.counts.back().is_some_and(|(_, last)| *last <= count) {
            self.counts.pop_back();
        }
        self.counts.push_back((now, count));
    }

    /// Returns the highest count; `None` if none was seen within [`REGISTRATION_TTL`].
    pub fn count(&mut self, now: Instant) -> Option<usize> {
        while self.counts.front().is_some_and(|(at, _)| now >= *at + COUNT_HOLD) {
            self.counts.pop_front();
        }
        let latest = self.counts.back().filter(|(at, _)| now < *at + REGISTRATION_TTL);
        latest.and(self.counts.front()).map(|(_, count)| *count)
    }
}

/// How an instance found its entry in the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Found {
    /// There was none.
    Missing,
    /// There was one of the process before it.
    Former,
    /// Its own one, which was renewed.
    Own,
}

/// Whether an instance may use its part.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryShare {
    /// Whether no instance ran before the fleet that this one starts with.
    first_start: bool,
    confirmed: Option<Instant>,
    usable_from: Option<Instant>,
}

impl RetryShare {
    /// Creates the state of a process that is not registered yet.
    pub fn new(first_start: bool) -> Self {
        Self { first_start, ..Self::default() }
    }

    /// Records that the store confirmed the registration in a call that began at `at`.
    ///
    /// `retention` is the time for which a retry counts after it was sent.
    pub fn confirm(&mut self, found: Found, retention: Duration, at: Instant) {
        let expired = self.confirmed.is_some_and(|last| at >= last + REGISTRATION_TTL);
        if self.confirmed.is_none() || expired {
            let wait = match found {
                _ if self.first_start && !expired => Duration::ZERO,
                Found::Former => retention,
                Found::Missing | Found::Own => REGISTRATION_TTL + retention,
            };
            self.usable_from = Some(at + wait);
        }
        self.confirmed = Some(at);
    }

    /// Returns the begin of the time in which the part may be used while the store confirms it.
    pub fn usable_from(&self) -> Option<Instant> {
        self.usable_from
    }

    /// Returns whether the part may be used.
    pub fn is_usable(&self, now: Instant) -> bool {
        let valid = self.confirmed.is_some_and(|at| now < at + REGISTRATION_TTL);
        valid && self.usable_from.is_some_and(|at| now >= at)
    }
}
