//! How many retries an instance may send.
//!
//! All instances together may retry a share of the requests of a window, plus a fixed
//! number. Each instance uses the fixed number divided by the count of live instances,
//! and the share of its own requests, so that no coordination is needed. Without a
//! bound, retries would multiply the load in bursts of failures.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Share of the limit that is used; the rest covers requests that other instances
/// count in a different window.
const USED_SHARE: f64 = 0.7;

/// Limits on retries, as configured by the operator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Retries per request.
    pub ratio: f64,
    /// Additional retries of all instances in a window.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

/// What an instance has used of the limits at one service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Requests of callers that count.
    pub requests: usize,
    /// Retries that count.
    pub retries: usize,
    /// Retries that this instance may send.
    pub limit: f64,
}

/// Recent requests and retries of one instance at one service.
#[derive(Clone, Debug, Default)]
pub struct RetryWindow {
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl RetryWindow {
    /// Records a request of a caller.
    pub fn record_request(&mut self, now: Instant) {
        self.requests.push_back(now);
    }

    /// Consumes one retry; returns whether the limits allow it.
    pub fn try_retry(&mut self, limits: &RetryLimits, instances: usize, now: Instant) -> bool {
        let usage = self.usage(limits, instances, now);
        let allowed = (usage.retries as f64) < usage.limit;
        if allowed {
            self.retries.push_back(now);
        }
        allowed
    }

    /// Returns what is used of the limits.
    pub fn usage(&mut self, limits: &RetryLimits, instances: usize, now: Instant) -> Usage {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|at| now.duration_since(*at) > limits.window) {
                times.pop_front();
            }
        }
        let (requests, retries) = (self.requests.len(), self.retries.len());
        let limit = limits.slack / instances.max(1) as f64 + limits.ratio * requests as f64;
        Usage { requests, retries, limit: USED_SHARE * limit }
    }

    /// Gives back the retry that was consumed at `at`: it was not sent.
    pub fn give_back(&mut self, at: Instant) {
        if let Some(index) = self.retries.iter().rposition(|retry| *retry == at) {
            self.retries.remove(index);
        }
    }
}
