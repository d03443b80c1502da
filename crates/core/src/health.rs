//! Health of a target: ejection, readmission and slow start.

use std::time::{Duration, Instant};

/// Consecutive failures after which a target is ejected.
const FAILURES_TO_EJECT: u32 = 3;
/// Duration of the first ejection; each further one in a row lasts twice as long.
const MIN_EJECTION: Duration = Duration::from_secs(5);
/// Longest duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_mins(1);
/// Time over which a readmitted target ramps up to its full share.
const SLOW_START: Duration = Duration::from_secs(20);
/// Share of traffic that a target gets just after its readmission.
const MIN_TRAFFIC_SHARE: f64 = 0.1;
/// Largest share of a pool that may be ejected at once.
const MAX_EJECTED_SHARE: f64 = 1.0 / 3.0;
/// Share of the median rate of its peers below which a target counts as slow.
const SLOW_RATE_SHARE: f64 = 0.34;

/// Health of one target as one instance observes it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
}

impl Health {
    /// Returns whether the target is ejected at `now`.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|ejected_until| now < ejected_until)
    }

    /// Records a success.
    pub fn record_success(&mut self, now: Instant) {
        self.failures = 0;
        if self.ejected_until.is_some_and(|ejected_until| now > ejected_until + SLOW_START) {
            *self = Self::default();
        }
    }

    /// Records a failure; returns whether the target should be ejected now.
    pub fn record_failure(&mut self) -> bool {
        self.failures += 1;
        self.failures >= FAILURES_TO_EJECT
    }

    /// Ejects the target, for longer with each ejection in a row.
    pub fn eject(&mut self, now: Instant) {
        let time = MIN_EJECTION * 2_u32.pow(self.ejections.min(8));
        self.failures = 0;
        self.ejections += 1;
        self.ejected_until = Some(now + time.min(MAX_EJECTION));
    }

    /// Returns the share of its normal traffic that the target should get, 0.1 to 1.
    pub fn traffic_share(&self, now: Instant) -> f64 {
        let Some(ejected_until) = self.ejected_until else { return 1.0 };
        let ramp =
            now.saturating_duration_since(ejected_until).as_secs_f64() / SLOW_START.as_secs_f64();
        ramp.clamp(MIN_TRAFFIC_SHARE, 1.0)
    }
}

/// Returns how many targets of a pool of `size` may be ejected at once.
///
/// The only target of a pool is never ejected; of two or three, one may be.
pub fn max_ejected(size: usize) -> usize {
    let share = (size as f64 * MAX_EJECTED_SHARE) as usize;
    if size < 2 { 0 } else { share.max(1) }
}

/// Returns whether `rate` is slow compared with `peers`, which it sorts.
pub fn is_slow(rate: f64, peers: &mut [f64]) -> bool {
    if peers.len() < 2 {
        return false;
    }
    peers.sort_by(f64::total_cmp);
    rate < peers[peers.len() / 2] * SLOW_RATE_SHARE
}
