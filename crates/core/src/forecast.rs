//! Whether a request can meet its deadline, and when to retry if not.

use std::time::Duration;

use crate::error::{Failure, Kind};

/// Shortest time to wait before a retry.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Longest time to wait before a retry, without jitter.
const MAX_RETRY_AFTER: Duration = Duration::from_mins(5);
/// Largest share by which jitter lengthens the time before a retry.
const MAX_JITTER: f64 = 0.5;

/// Expected wait of a new request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Forecast {
    /// Estimated time to first token on the best target if it were sent now.
    pub ttft: Duration,
    /// Cost of the requests granted before it, in prompt tokens.
    pub ahead_tokens: u64,
    /// Total prefill speed of the targets that may serve it, in tokens per second; 0 if unknown.
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
    /// `jitter`, from 0 to 1, spreads the time before a retry.
    ///
    /// # Errors
    ///
    /// [`Kind::TooLate`] with the time after which a retry may succeed.
    pub fn check_deadline(&self, left: Duration, jitter: f64) -> Result<(), Failure> {
        let wait = self.wait();
        if wait <= left {
            return Ok(());
        }
        let text =
            format!("the first token is expected in {wait:.1?}, the deadline is in {left:.1?}");
        Err(Failure::new(Kind::TooLate, text).after(retry_after(wait.saturating_sub(left), jitter)))
    }

    /// Returns the failure for a request whose queue is full.
    pub fn queue_full(&self, max_waiting: usize, jitter: f64) -> Failure {
        let text = format!(
            "{max_waiting} requests are queued and this workspace already has its share of them"
        );
        Failure::new(Kind::QueueFull, text).after(retry_after(self.wait(), jitter))
    }

    /// Returns the failure for a request whose deadline passed in its queue.
    pub fn queue_timeout(&self, jitter: f64) -> Failure {
        let text = "the deadline passed while the request was queued";
        Failure::new(Kind::QueueTimeout, text).after(retry_after(self.wait(), jitter))
    }
}

/// Returns a bounded time before a retry, jittered so that callers do not retry at once.
fn retry_after(time: Duration, jitter: f64) -> Duration {
    time.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER).mul_f64(1.0 + MAX_JITTER * jitter.clamp(0.0, 1.0))
}
