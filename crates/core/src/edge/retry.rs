//! How many sends beyond the first an instance may make.
//!
//! All instances together may repeat a share of the requests of a window, plus
//! a fixed number. Each instance takes its part of the fixed number by the
//! count of living instances, and its share of its own requests, so that no
//! agreement is needed. Answers bursts of failures, in which repeats would
//! otherwise multiply the load.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Part of the bound that is used; the rest covers requests that other
/// instances counted in another window.
const USED: f64 = 0.7;

/// RetryLimits on repeats, as the operator states them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// RetryBudget for each request.
    pub ratio: f64,
    /// RetryBudget of all instances in a window besides.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

/// RetryBudget of one service by one instance.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    requests: VecDeque<Instant>,
    repeats: VecDeque<Instant>,
}

impl RetryBudget {
    /// Notes a request of a caller.
    pub fn record_request(&mut self, now: Instant) {
        self.requests.push_back(now);
    }

    /// Takes one repeat; returns whether the bound allowed it.
    pub fn try_retry(&mut self, bounds: &RetryLimits, instances: usize, now: Instant) -> bool {
        for times in [&mut self.requests, &mut self.repeats] {
            while times.front().is_some_and(|at| now.duration_since(*at) > bounds.window) {
                times.pop_front();
            }
        }
        let own =
            bounds.slack / instances.max(1) as f64 + bounds.ratio * self.requests.len() as f64;
        let allowed = (self.repeats.len() as f64) < USED * own;
        if allowed {
            self.repeats.push_back(now);
        }
        allowed
    }
}
