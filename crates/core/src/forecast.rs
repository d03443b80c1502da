//! Whether a request can meet its deadline, and when to come back if not.

use std::time::Duration;

use crate::error::{Failure, Kind};

/// Shortest time to come back after a refusal for want of room.
const SOONEST: Duration = Duration::from_secs(1);
/// Longest time to come back after a refusal for want of room.
const LATEST: Duration = Duration::from_mins(5);
/// Part by which jitter lengthens a time to come back, at most.
const SPREAD: f64 = 0.5;

/// What is known of the wait of a new request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Forecast {
    /// Estimated time to first token on the best target, were it sent now.
    pub ttft: Duration,
    /// Cost that is granted before it, in prompt tokens.
    pub ahead_tokens: u64,
    /// Prefill speed of all targets that may serve it, in tokens a second; 0 if unknown.
    pub speed: u64,
}

impl Forecast {
    /// Returns the estimated time until its first token.
    pub fn wait(&self) -> Duration {
        let queue = self.ahead_tokens.saturating_mul(1000).checked_div(self.speed).unwrap_or(0);
        self.ttft.saturating_add(Duration::from_millis(queue))
    }

    /// Checks that the first token can come within the time that is left.
    ///
    /// `jitter` from 0 to 1 spreads the time to come back.
    ///
    /// # Errors
    ///
    /// [`Kind::TooLate`] with the time after which it could have been met.
    pub fn check_deadline(&self, left: Duration, jitter: f64) -> Result<(), Failure> {
        let wait = self.wait();
        if wait <= left {
            return Ok(());
        }
        let text = format!("the first token is {wait:.1?} away and {left:.1?} are left");
        Err(Failure::new(Kind::TooLate, text).after(retry_after(wait.saturating_sub(left), jitter)))
    }

    /// Returns the failure for a request that found no place in its queue.
    pub fn queue_full(&self, most: usize, jitter: f64) -> Failure {
        let text = format!("{most} requests wait and this workspace holds its share of them");
        Failure::new(Kind::QueueFull, text).after(retry_after(self.wait(), jitter))
    }

    /// Returns the failure for a request whose deadline passed in its queue.
    pub fn queue_timeout(&self, jitter: f64) -> Failure {
        let text = "the deadline passed in the queue";
        Failure::new(Kind::QueueTimeout, text).after(retry_after(self.wait(), jitter))
    }
}

/// Returns a bounded time to come back, spread so that callers do not come at once.
fn retry_after(time: Duration, jitter: f64) -> Duration {
    time.clamp(SOONEST, LATEST).mul_f64(1.0 + SPREAD * jitter.clamp(0.0, 1.0))
}
