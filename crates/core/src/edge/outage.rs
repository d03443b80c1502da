//! Whether an outage of the store affected all instances.
//!
//! Targets keep their entries while the store serves anyone, so only in a total outage may
//! an entry have expired although its target runs. Answers the pattern of one instance that
//! is cut off for long, while each of the others has a short failure of its own: a cut watch,
//! a lost connection. Failures count only if they lasted and ended at about the same time.

use std::time::{Duration, Instant};

/// Shortest outage. A failed call is repeated after half of this time, so that a shorter one
/// is a single failure.
pub const MIN_OUTAGE: Duration = Duration::from_millis(500);
/// Longest time between the moments at which two instances notice that the store is back: the
/// time limit of a call that hangs, and the interval of heartbeats.
pub const RETURN_SPREAD: Duration = Duration::from_millis(2_500);

/// When an instance was last without the store, as it reported.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Outage {
    since: Instant,
    /// `None` while the store is away.
    until: Option<Instant>,
}

impl Outage {
    /// Applies a report that the store is unreachable, or reachable.
    pub fn update(known: Option<Self>, unreachable: bool, now: Instant) -> Option<Self> {
        match known {
            Some(outage) if unreachable && outage.until.is_none() => Some(outage),
            _ if unreachable => Some(Self { since: now, until: None }),
            Some(outage) => Some(Self { until: outage.until.or(Some(now)), ..outage }),
            None => None,
        }
    }

    /// Returns whether this may be the outage that ended elsewhere at `end`.
    fn is_shared(&self, end: Instant) -> bool {
        let until = self.until.unwrap_or(end);
        let lasted = until.saturating_duration_since(self.since);
        lasted >= MIN_OUTAGE && until + RETURN_SPREAD >= end
    }
}

/// Returns whether the outage that ended at `end` affected all instances.
///
/// `peers` are the last outages of the instances that try to reach the store; some of them
/// may have restarted since. Without peers there is no evidence against it.
pub fn is_total(peers: impl Iterator<Item = Option<Outage>>, end: Instant) -> bool {
    let (mut tried, mut shared) = (0, 0);
    for outage in peers {
        tried += 1;
        shared += usize::from(outage.is_some_and(|o| o.is_shared(end)));
    }
    4 * shared >= 3 * tried
}
