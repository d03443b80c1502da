//! Pauses that targets ask this instance for.
//!
//! A target that turns a request away may state for how long it wants nothing from this
//! instance. Answers the pattern of an overloaded target whose callers all come back at the
//! end of its pause: a few requests are sent first, and more with each step.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::ids::TargetId;

/// Longest pause; a target that asks for more is asked again after this time.
pub const MAX_PAUSE: Duration = Duration::from_mins(10);
/// Pause for a target that states one that cannot be read.
pub const DEFAULT_PAUSE: Duration = Duration::from_secs(1);
/// Requests in the first step after a pause; each further step allows twice as many.
const FIRST_STEP: u32 = 2;
/// Length of a step, enough for a target to turn away what it cannot serve.
const STEP: Duration = Duration::from_millis(500);
/// Steps after which there is no limit.
const STEPS: u32 = 3;

#[derive(Clone, Copy, Debug)]
struct Pause {
    until: Instant,
    /// Requests since its end.
    sent: u32,
}

impl Pause {
    /// Returns whether a request may be sent.
    fn admits(&self, now: Instant) -> bool {
        let Some(since) = now.checked_duration_since(self.until) else { return false };
        let step = (since.as_millis() / STEP.as_millis()).min(u128::from(STEPS)) as u32;
        step >= STEPS || self.sent < FIRST_STEP * ((2 << step) - 1)
    }
}

/// Pauses by target.
#[derive(Clone, Debug, Default)]
pub struct Pauses {
    by_target: HashMap<TargetId, Pause>,
}

impl Pauses {
    /// Begins or extends the pause of a target; returns its length if it ends later than the
    /// one known.
    pub fn begin(&mut self, id: &TargetId, pause: Duration, now: Instant) -> Option<Duration> {
        let pause = pause.min(MAX_PAUSE);
        let until = now + pause;
        if pause.is_zero() || self.by_target.get(id).is_some_and(|known| known.until >= until) {
            return None;
        }
        self.by_target.insert(TargetId::clone(id), Pause { until, sent: 0 });
        Some(pause)
    }

    /// Returns whether a request may be sent to a target.
    pub fn admits(&self, id: &str, now: Instant) -> bool {
        self.by_target.get(id).is_none_or(|pause| pause.admits(now))
    }

    /// Counts a request to a target; returns whether another one may be sent.
    pub fn record_request(&mut self, id: &str, now: Instant) -> bool {
        let Some(pause) = self.by_target.get_mut(id) else { return true };
        pause.sent = pause.sent.saturating_add(1);
        pause.admits(now)
    }

    /// Returns when the pause of a target ends, if it has not ended.
    pub fn end(&self, id: &str, now: Instant) -> Option<Instant> {
        self.by_target.get(id).map(|pause| pause.until).filter(|until| now < *until)
    }

    /// Returns the targets that get no request at `now`, in no order.
    pub fn closed(&self, now: Instant) -> impl Iterator<Item = &TargetId> {
        self.by_target.iter().filter(move |(_, pause)| !pause.admits(now)).map(|(id, _)| id)
    }

    /// Removes the pause of a target that is gone or has restarted.
    pub fn forget(&mut self, id: &str) {
        self.by_target.remove(id);
    }
}
