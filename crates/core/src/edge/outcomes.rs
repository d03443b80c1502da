//! Targets that fail or stay silent are avoided for a while.
//!
//! Answers the load pattern in which a share of the targets is dark, slow or
//! fails part of its requests while its health check is good. Outcomes of real
//! requests decide, compared with the other targets of the same service; the
//! share of targets that may be avoided at once is bounded, and a target comes
//! back after a pause that doubles with each further failure.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::edge::fleet::TargetId;
use crate::ids::ZoneId;

/// First pause after a failure to connect or a broken connection. A restarting
/// target needs about a second until it answers again.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
/// Longest pause; a target that came back is noticed within that time.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);
/// Weight of the newest outcome in the running share of failures.
const NEWEST: f64 = 0.2;
/// Share of failures that makes a target grey, on top of its peers' share.
const GREY: f64 = 0.3;
/// Outcomes after which a share of failures means something.
const ENOUGH: u32 = 4;

/// How an attempt at a target ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// A whole answer.
    Answered,
    /// The target's own failure, a broken or a foreign answer.
    Failed,
    /// The target could not be reached or fell silent.
    Silent,
    /// The target refused without running the request.
    Refused,
}

#[derive(Clone, Copy, Debug, Default)]
struct Record {
    failures: f64,
    count: u32,
    until: Option<Instant>,
    pause: Duration,
}

/// Outcomes by target.
#[derive(Clone, Debug, Default)]
pub struct Outcomes {
    records: HashMap<TargetId, Record>,
}

impl Outcomes {
    /// Notes an outcome; returns the pause if the target is avoided from now on.
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
        record.failures += NEWEST * (failed - record.failures);
        record.count += 1;
        if outcome == Outcome::Answered {
            record.pause = Duration::ZERO;
            return None;
        }
        let grey = record.count >= ENOUGH && record.failures > peers + GREY;
        if outcome != Outcome::Silent && !grey {
            return None;
        }
        record.pause = (record.pause * 2).clamp(FIRST_PAUSE, LONGEST_PAUSE);
        record.until = Some(now + record.pause);
        Some(record.pause)
    }

    /// Returns whether a target is to be avoided now.
    pub fn is_avoided(&self, id: &str, now: Instant) -> bool {
        self.records.get(id).and_then(|r| r.until).is_some_and(|until| now < until)
    }

    /// Returns the share of failures of a target, 0 to 1.
    pub fn failure_rate(&self, id: &str) -> f64 {
        self.records.get(id).map_or(0.0, |r| r.failures)
    }

    /// Forgets a target that is gone or has started again.
    pub fn forget(&mut self, id: &str) {
        self.records.remove(id);
    }
}

/// Silence of all peers of a zone after which it may be cut off: three of their
/// regular datagrams are missed.
const ZONE_SILENT: Duration = Duration::from_secs(1);

/// Zones that seem to be cut off from this instance.
///
/// Answers the loss of a zone: without it each of the zone's targets would cost
/// some request a connection that hangs, again and again. Neither sign is enough
/// alone: peers may be dead while targets live, and one target may be dark.
#[derive(Clone, Debug, Default)]
pub struct ZoneReachability {
    heard: HashMap<ZoneId, Instant>,
    cut: HashMap<ZoneId, Instant>,
}

impl ZoneReachability {
    /// Notes that a peer of the zone was heard.
    pub fn peer_heard(&mut self, zone: &ZoneId, now: Instant) {
        self.heard.insert(ZoneId::clone(zone), now);
        self.cut.remove(zone);
    }

    /// Notes that a target of the zone is silent; returns whether the zone counts
    /// as cut off from now on and did not before.
    pub fn target_silent(&mut self, zone: &ZoneId, now: Instant) -> bool {
        let silent = |at: &Instant| now >= *at + ZONE_SILENT;
        let cut = self.heard.get(zone).is_some_and(silent);
        cut && self.cut.insert(ZoneId::clone(zone), now).is_none()
    }

    /// Returns whether the targets of the zone are to be avoided.
    ///
    /// One request after a while tries whether they can be reached again, for
    /// the case that all peers of the zone stay away.
    pub fn is_cut_off(&self, zone: &str, now: Instant) -> bool {
        self.cut.get(zone).is_some_and(|at| now < *at + LONGEST_PAUSE)
    }
}
