//! Temporary exclusion of targets that fail or do not answer.
//!
//! Handles targets that are unreachable, slow or fail part of their requests while
//! their health check passes. The outcomes of real requests decide, compared with
//! those of the other targets of the same service; the share of targets that may
//! be excluded at once is bounded, and a target is tried again after a pause that
//! doubles with each further failure.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::edge::fleet::TargetId;
use crate::ids::ZoneId;

/// First pause after a failed or broken connection. A restarting target needs
/// about a second until it answers again.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
/// Longest pause; a recovered target is used again within that time.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);
/// Weight of the newest outcome in the moving average of the failure rate.
const NEWEST_WEIGHT: f64 = 0.2;
/// Failure rate above that of its peers from which on a target is excluded.
const EXCESS_FAILURES: f64 = 0.3;
/// Outcomes before the failure rate of a target is considered.
const MIN_OUTCOMES: u32 = 4;

/// Result of an attempt at a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The answer was complete.
    Answered,
    /// The target failed, or its answer was broken or belonged to another request.
    Failed,
    /// The target could not be reached or stopped sending.
    Silent,
    /// The target refused the request without running it.
    Refused,
}

#[derive(Clone, Copy, Debug, Default)]
struct Record {
    failure_rate: f64,
    count: u32,
    until: Option<Instant>,
    pause: Duration,
}

/// Failure rates and pauses by target.
#[derive(Clone, Debug, Default)]
pub struct Outcomes {
    records: HashMap<TargetId, Record>,
}

impl Outcomes {
    /// Records an outcome; returns the pause if it excludes the target.
    ///
    /// `peers` is the mean failure rate of the other targets of the service.
    pub fn record(
        &mut self,
        id: &TargetId,
        outcome: Outcome,
        peers: f64,
        now: Instant,
    ) -> Option<Duration> {
        let record = self.records.entry(TargetId::clone(id)).or_default();
        let failed = match outcome {
            Outcome::Answered => 0.0,
            Outcome::Failed | Outcome::Silent => 1.0,
            Outcome::Refused => return None,
        };
        // One silence or failure of a target may meet many requests at once.
        let excluded = record.until.is_some_and(|until| now < until);
        if excluded && outcome == Outcome::Silent {
            return None;
        }
        record.failure_rate += NEWEST_WEIGHT * (failed - record.failure_rate);
        record.count += 1;
        let failing = record.count >= MIN_OUTCOMES && record.failure_rate > peers + EXCESS_FAILURES;
        if outcome == Outcome::Answered {
            record.pause = Duration::ZERO;
            record.until = record.until.filter(|_| failing);
            return None;
        }
        if excluded || outcome != Outcome::Silent && !failing {
            return None;
        }
        record.pause = (record.pause * 2).clamp(FIRST_PAUSE, LONGEST_PAUSE);
        record.until = Some(now + record.pause);
        Some(record.pause)
    }

    /// Records that a target can be connected to again.
    pub fn reconnected(&mut self, id: &str) {
        if let Some(record) = self.records.get_mut(id) {
            (record.until, record.pause) = (None, Duration::ZERO);
        }
    }

    /// Returns whether a target is excluded at `now`.
    pub fn is_avoided(&self, id: &str, now: Instant) -> bool {
        self.records.get(id).and_then(|r| r.until).is_some_and(|until| now < until)
    }

    /// Returns the targets that are excluded at `now`, in no order.
    pub fn avoided(&self, now: Instant) -> impl Iterator<Item = &TargetId> {
        let is_avoided = move |r: &Record| r.until.is_some_and(|until| now < until);
        self.records.iter().filter(move |(_, r)| is_avoided(r)).map(|(id, _)| id)
    }

    /// Returns the failure rate of a target, 0 to 1.
    pub fn failure_rate(&self, id: &str) -> f64 {
        self.records.get(id).map_or(0.0, |r| r.failure_rate)
    }

    /// Removes the record of a target that is gone or has restarted.
    pub fn forget(&mut self, id: &str) {
        self.records.remove(id);
    }
}

/// Time without datagrams from any peer of a zone after which the zone may be cut
/// off. Three regular datagrams are missed within it.
const ZONE_TIMEOUT: Duration = Duration::from_secs(1);

/// Availability zones that appear to be cut off from this instance.
///
/// When a zone is lost, each of its targets would otherwise repeatedly cost some
/// request a connection that hangs. A zone counts as cut off only if its peers and
/// one of its targets are silent: peers may be dead while targets run, and a single
/// target may be unreachable.
#[derive(Clone, Debug, Default)]
pub struct ZoneReachability {
    last_datagram: HashMap<ZoneId, Instant>,
    cut_off_at: HashMap<ZoneId, Instant>,
}

impl ZoneReachability {
    /// Records a datagram from a peer of the zone.
    pub fn record_peer_datagram(&mut self, zone: &ZoneId, now: Instant) {
        self.last_datagram.insert(ZoneId::clone(zone), now);
        self.cut_off_at.remove(zone);
    }

    /// Records that a target of the zone is silent; returns whether the zone is newly
    /// cut off.
    pub fn record_silent_target(&mut self, zone: &ZoneId, now: Instant) -> bool {
        let silent = |at: &Instant| now >= *at + ZONE_TIMEOUT;
        let cut = self.last_datagram.get(zone).is_some_and(silent);
        cut && self.cut_off_at.insert(ZoneId::clone(zone), now).is_none()
    }

    /// Returns whether the targets of the zone are excluded.
    ///
    /// The state ends after the longest pause, so that a request tries the zone again
    /// even if none of its peers returns.
    pub fn is_cut_off(&self, zone: &str, now: Instant) -> bool {
        self.cut_off_at.get(zone).is_some_and(|at| now < *at + LONGEST_PAUSE)
    }

    /// Returns the availability zones whose targets are excluded, in no order.
    pub fn cut_off(&self, now: Instant) -> impl Iterator<Item = &ZoneId> {
        self.cut_off_at.keys().filter(move |zone| self.is_cut_off(zone, now))
    }
}
