//! Health of a target: ejection, return, and slow start after it.

use std::time::{Duration, Instant};

/// Failures in a row after which a target is ejected.
const FAILS: u32 = 3;
/// Time of a first ejection; each further one in a row lasts twice as long.
const SHORTEST: Duration = Duration::from_secs(5);
/// Time of the longest ejection.
const LONGEST: Duration = Duration::from_mins(1);
/// Time over which a target that came back gets its full share again.
const RAMP: Duration = Duration::from_secs(20);
/// Share of its work that a target gets just after its return.
const LEAST_SHARE: f64 = 0.1;
/// Largest share of a pool that may be ejected at once.
const MOST_EJECTED: f64 = 1.0 / 3.0;
/// Share of its peers' median rate below which a target counts as slow.
const SLOW: f64 = 0.34;

/// Health of one target as one instance saw it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    fails: u32,
    times: u32,
    until: Option<Instant>,
}

impl Health {
    /// Returns whether the target is ejected at `now`.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Notes a success.
    pub fn record_success(&mut self, now: Instant) {
        self.fails = 0;
        if self.until.is_some_and(|until| now > until + RAMP) {
            *self = Self::default();
        }
    }

    /// Notes a failure; returns whether the target should be ejected now.
    pub fn record_failure(&mut self) -> bool {
        self.fails += 1;
        self.fails >= FAILS
    }

    /// Ejects the target for a time that grows from one ejection to the next.
    pub fn eject(&mut self, now: Instant) {
        let time = SHORTEST * 2_u32.pow(self.times.min(8));
        self.fails = 0;
        self.times += 1;
        self.until = Some(now + time.min(LONGEST));
    }

    /// Returns the share of its work that the target should get, 0.1 to 1.
    pub fn traffic_share(&self, now: Instant) -> f64 {
        let Some(until) = self.until else { return 1.0 };
        let back = now.saturating_duration_since(until).as_secs_f64() / RAMP.as_secs_f64();
        back.clamp(LEAST_SHARE, 1.0)
    }
}

/// Returns how many targets of a pool of `size` may be ejected at once.
///
/// The only target of a pool is never ejected; of two or three, one may be.
pub fn max_ejected(size: usize) -> usize {
    let share = (size as f64 * MOST_EJECTED) as usize;
    if size < 2 { 0 } else { share.max(1) }
}

/// Returns whether `rate` is slow against its `peers`, which it reorders.
pub fn is_slow(rate: f64, peers: &mut [f64]) -> bool {
    if peers.len() < 2 {
        return false;
    }
    peers.sort_by(f64::total_cmp);
    rate < peers[peers.len() / 2] * SLOW
}
