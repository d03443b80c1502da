//! What an instance that stops still passes on.
//!
//! Answers planned stops of single instances and of many at once: callers still come until the
//! load balancer has seen that the instance leaves, on connections that are open, and where most
//! instances of a zone leave. Requests wait in the queue, bodies come slowly, and failed runs are
//! sent once more. What begins too late is cut when the process is killed, and its caller has no
//! answer, or does not know whether it ran. So nothing is sent to a target that may not end in
//! time; its caller is refused while it can go elsewhere.

use std::time::{Duration, Instant};

use crate::edge::requirements::Requirements;

/// Time in which all that can end in time is served like before. A load balancer checks every
/// second, and removes an instance after two failed checks.
const NOTICE: Duration = Duration::from_millis(2_500);
/// Time before the limit at which what is left is answered with a failure.
const ABORT_MARGIN: Duration = Duration::from_millis(400);

/// A stop that has begun.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Stop {
    begun: Instant,
    limit: Duration,
}

impl Stop {
    /// Creates a stop of a process that is killed `limit` after `begun`.
    pub fn new(begun: Instant, limit: Duration) -> Self {
        Self { begun, limit }
    }

    /// Returns the time after which idle connections are closed.
    pub fn notice(&self) -> Duration {
        NOTICE.min(self.limit / 2)
    }

    /// Returns the time in which failures are sent to those whose requests are aborted.
    pub fn margin(&self) -> Duration {
        ABORT_MARGIN.min(self.limit / 4)
    }

    /// Returns when the requests that are left are aborted.
    pub fn abort_at(&self) -> Instant {
        self.begun + self.limit.saturating_sub(self.margin())
    }

    /// Returns whether a request that may run for `run` ends before requests are aborted.
    pub fn allows(&self, run: Duration, now: Instant) -> bool {
        now + run <= self.abort_at()
    }
}

/// Returns the longest time that a run of a request takes, of which `left` is left until its time
/// limit: at an engine, prefill on it alone and an answer of the largest length while it is full.
/// Of other targets only the time limit is known.
pub fn longest_run(requirements: &Requirements, left: Duration) -> Duration {
    let tokens = requirements.max_answer;
    let Some(engine) = requirements.engine.filter(|_| tokens > 0) else { return left };
    let prefill = engine.prefill_time(requirements.prompt, 1);
    let decode = engine.decode_time(tokens, engine.slots as usize, engine.memory_tokens);
    (prefill + decode).min(left)
}
