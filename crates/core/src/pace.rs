//! Back-off, jitter and rate limiting of calls to a shared service.

use std::time::{Duration, Instant};

/// Number of times that the wait is doubled at most; keeps the shift in range.
const MAX_DOUBLINGS: u32 = 16;

/// Exponential back-off between calls to a failing service.
#[derive(Clone, Debug)]
pub struct Backoff {
    min: Duration,
    max: Duration,
    failures: u32,
    until: Option<Instant>,
}

impl Backoff {
    /// Builds a back-off whose wait doubles from `min` up to `max`.
    pub fn new(min: Duration, max: Duration) -> Self {
        Self { min, max, failures: 0, until: None }
    }

    /// Returns whether the next call may be made.
    pub fn ready(&self, now: Instant) -> bool {
        self.until.is_none_or(|until| now >= until)
    }

    /// Returns whether the last call failed.
    pub fn failing(&self) -> bool {
        self.failures > 0
    }

    /// Records a failed call; `random`, from 0 to 1, adds jitter to the wait.
    pub fn failed(&mut self, now: Instant, random: f64) {
        let wait = self.min.saturating_mul(1 << self.failures.min(MAX_DOUBLINGS)).min(self.max);
        self.failures += 1;
        self.until = Some(now + jitter(wait, random));
    }

    /// Records a successful call.
    pub fn succeeded(&mut self) {
        self.failures = 0;
        self.until = None;
    }
}

/// Returns a time from 0.5 to 1.5 times `wait`, for `random` from 0 to 1.
pub fn jitter(wait: Duration, random: f64) -> Duration {
    wait.mul_f64(0.5 + random.clamp(0.0, 1.0))
}

/// Token bucket that limits calls to a rate and a burst.
#[derive(Clone, Debug)]
pub struct Bucket {
    rate_per_s: f64,
    burst: f64,
    tokens: f64,
    updated: Instant,
}

impl Bucket {
    /// Builds a full bucket of `burst` calls, refilled with `rate_per_s`.
    pub fn new(rate_per_s: f64, burst: f64, now: Instant) -> Self {
        Self { rate_per_s, burst, tokens: burst, updated: now }
    }

    /// Takes one call; returns whether the limit allows it.
    pub fn take(&mut self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.updated);
        self.updated = self.updated.max(now);
        self.tokens = (self.tokens + elapsed.as_secs_f64() * self.rate_per_s).min(self.burst);
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}
