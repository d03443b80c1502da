//! Targets that do not help with the prompts of others.
//!
//! Answers the pattern of engines that leave while the store is away: nobody is told that they
//! leave, they still answer what they get, but each prompt that is read in parts fails if one of
//! them gets a part. The engine that got the whole request names the one at fault. That one gets
//! no long prompts and no parts for a while, at all instances, and longer each time.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::edge::fleet::TargetId;

/// First time for which a target gets no parts, enough for the reads of others that it helps.
const FIRST_PAUSE: Duration = Duration::from_secs(1);
/// Longest such time; one that helps again gets parts within it.
const LONGEST_PAUSE: Duration = Duration::from_secs(8);
/// Least difference of what a peer states that is taken over; the rest is its way here.
const TOLERANCE: Duration = Duration::from_millis(50);

#[derive(Clone, Copy, Debug)]
struct Record {
    until: Instant,
    pause: Duration,
}

/// Targets that refused to help.
#[derive(Clone, Debug, Default)]
pub struct Helpers {
    records: HashMap<TargetId, Record>,
}

impl Helpers {
    /// Records that a target refused to help; returns the pause that begins.
    pub fn refused(&mut self, id: &TargetId, now: Instant) -> Option<Duration> {
        let known = self.records.get(id);
        // Several prompts may meet one refusal at once.
        if known.is_some_and(|r| now < r.until) {
            return None;
        }
        let known = known.copied();
        self.records.retain(|_, r| now < r.until + LONGEST_PAUSE);
        let recent = known.filter(|r| now < r.until + LONGEST_PAUSE);
        let pause = recent.map_or(FIRST_PAUSE, |r| (r.pause * 2).min(LONGEST_PAUSE));
        self.records.insert(TargetId::clone(id), Record { until: now + pause, pause });
        Some(pause)
    }

    /// Applies what a peer states: a target gets no parts for `left`. Returns whether it is new.
    pub fn learn(&mut self, id: &TargetId, left: Duration, now: Instant) -> bool {
        let left = left.min(LONGEST_PAUSE);
        let known = self.records.get(id);
        if left.is_zero() || known.is_some_and(|r| now + left <= r.until + TOLERANCE) {
            return false;
        }
        let pause = known.map_or(FIRST_PAUSE, |r| r.pause).max(left.min(LONGEST_PAUSE));
        self.records.insert(TargetId::clone(id), Record { until: now + left, pause });
        true
    }

    /// Returns the targets that get no parts, in no order, each with the time that is left.
    pub fn paused(&self, now: Instant) -> impl Iterator<Item = (&TargetId, Duration)> {
        let left = move |r: &Record| r.until.saturating_duration_since(now);
        let all = self.records.iter().map(move |(id, r)| (id, left(r)));
        all.filter(|(_, left)| !left.is_zero())
    }

    /// Removes the record of a target that is gone or has restarted.
    pub fn forget(&mut self, id: &str) {
        self.records.remove(id);
    }
}
