//! Pacing of calls to a small shared service: back-off, jitter and a rate limit.

use std::time::{Duration, Instant};

/// Doubling steps of the back-off after which the span grows no more.
const STEPS: u32 = 16;

/// Waits between calls to a service that fails.
#[derive(Clone, Debug)]
pub struct Backoff {
    least: Duration,
    most: Duration,
    fails: u32,
    until: Option<Instant>,
}

impl Backoff {
    /// Builds a back-off whose wait doubles from `least` up to `most`.
    pub fn new(least: Duration, most: Duration) -> Self {
        Self { least, most, fails: 0, until: None }
    }

    /// Returns whether the next call may be made.
    pub fn ready(&self, now: Instant) -> bool {
        self.until.is_none_or(|until| now >= until)
    }

    /// Returns whether the last call failed.
    pub fn failing(&self) -> bool {
        self.fails > 0
    }

    /// Notes a failed call; `random`, 0 to 1, spreads the next one.
    pub fn failed(&mut self, now: Instant, random: f64) {
        let span = self.least.saturating_mul(1 << self.fails.min(STEPS)).min(self.most);
        self.fails += 1;
        self.until = Some(now + jitter(span, random));
    }

    /// Notes a call that was answered.
    pub fn succeeded(&mut self) {
        self.fails = 0;
        self.until = None;
    }
}

/// Returns a time between half and three halves of `span`, by `random`, 0 to 1.
pub fn jitter(span: Duration, random: f64) -> Duration {
    span.mul_f64(0.5 + random.clamp(0.0, 1.0))
}

/// A token bucket: so many calls a second, and a burst after a quiet time.
#[derive(Clone, Debug)]
pub struct Bucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    at: Instant,
}

impl Bucket {
    /// Builds a full bucket of `burst` calls that fills with `rate` calls a second.
    pub fn new(rate: f64, burst: f64, now: Instant) -> Self {
        Self { rate, burst, tokens: burst, at: now }
    }

    /// Takes one call out; returns whether there was one.
    pub fn take(&mut self, now: Instant) -> bool {
        let since = now.saturating_duration_since(self.at);
        self.at = self.at.max(now);
        self.tokens = (self.tokens + since.as_secs_f64() * self.rate).min(self.burst);
        let has = self.tokens >= 1.0;
        if has {
            self.tokens -= 1.0;
        }
        has
    }
}
