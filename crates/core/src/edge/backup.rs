//! When a silent run of a request is backed up by a run at another target.
//!
//! Answers targets that fall silent while their connections stay open: a dead target then looks
//! like a sound one that goes on after a second. Waiting for a dead one costs the caller its
//! answer, and so does ending the run at a sound one while the other targets are full, fail or
//! are silent too. The silent run is therefore kept beside the second one. The first of them
//! that sends the next event, or the whole answer, goes on, and the other one is cancelled.

use std::time::{Duration, Instant};

use crate::edge::route_table::{RetryPolicy, Route};
use crate::edge::wait::caller_timeout;

/// Share of the caller's timeout after which a silent stream is backed up. The rest lets
/// another target answer before the caller disconnects.
const STREAM_SILENCE: f64 = 0.7;
/// Silence after which a call without a stream is backed up, in latency goals of the route.
const CALL_SILENCE_GOALS: u32 = 2;

/// When a request is backed up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Backup {
    /// Longest silence of a target.
    silence: Duration,
    /// Most targets that may get the request.
    attempts: u32,
    /// End of the time after a denied backup.
    denied_until: Option<Instant>,
}

impl Backup {
    /// Returns when a request of the route is backed up; `None` if it may run only once.
    pub fn of(route: &Route) -> Option<Self> {
        let silence = if route.streaming {
            caller_timeout(route.latency_goal, route.max_gap).mul_f64(STREAM_SILENCE)
        } else {
            route.latency_goal * CALL_SILENCE_GOALS
        };
        let repeatable = route.retry_policy == RetryPolicy::Idempotent;
        let attempts = route.attempts;
        repeatable.then_some(Self { silence, attempts, denied_until: None })
    }

    /// Returns whether a target that sent something last at `heard` counts as silent.
    pub fn is_silent(&self, heard: Instant, now: Instant) -> bool {
        now >= heard + self.silence
    }

    /// Returns when the request is backed up; `None` if no other target may get it.
    ///
    /// `sends` counts the targets that got it, and the only one still running sent something
    /// last at `heard`.
    pub fn due(&self, heard: Instant, sends: u32) -> Option<Instant> {
        let at = self.denied_until.unwrap_or(heard).max(heard + self.silence);
        (sends < self.attempts).then_some(at)
    }

    /// Records that the limits on retries or the queue denied a backup.
    pub fn deny(&mut self, now: Instant) {
        self.denied_until = Some(now + self.silence);
    }
}
