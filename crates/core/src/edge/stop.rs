//! What an instance that stops still passes on.
//!
//! Answers planned stops of single instances and of many at once: callers still come until the
//! load balancer has seen that the instance leaves, on connections that are open, and where most
//! instances of a zone leave. Requests wait in the queue, bodies come slowly, and failed runs are
//! sent once more. Long prompts of other instances slow the runs that share their engine. What
//! begins too late is cut when the process is killed, and its caller has no answer, or does not
//! know whether it ran. So nothing is sent to a target that may not end in time; its caller is
//! refused while it can go elsewhere.

use std::time::{Duration, Instant};

use crate::edge::requirements::Requirements;

/// Time in which callers are still sent here: a load balancer checks every second, and removes an
/// instance after two failed checks.
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

    /// Returns whether a request may be sent to a target, of which `left` is left until its time
    /// limit: its run has to end before requests are aborted.
    ///
    /// During the notice callers are still sent here, and have no better instance for sure. So the
    /// estimated time of its run counts then, with an answer of the expected length for what may
    /// be repeated, since others can go on with it, and with the longest one for what may run once.
    /// Later its time limit counts: no estimate knows the prompts that other instances send to the
    /// same engine, and that delay each event of its answer.
    pub fn allows(
        &self,
        requirements: &Requirements,
        repeatable: bool,
        left: Duration,
        now: Instant,
    ) -> bool {
        let tokens = if repeatable { requirements.answer } else { requirements.max_answer };
        let in_notice = now < self.begun + self.notice();
        let longest = if in_notice { run_time(requirements, tokens, left) } else { left };
        now + longest <= self.abort_at()
    }
}

/// Returns the time of a run with an answer of `tokens`, `left` at most: at an engine, prefill on
/// it alone and decoding on a full one. Of other targets only the time limit is known.
pub fn run_time(requirements: &Requirements, tokens: u64, left: Duration) -> Duration {
    let stated = requirements.max_answer > 0;
    let Some(engine) = requirements.engine.filter(|_| stated) else { return left };
    let decode = engine.decode_time(tokens, engine.slots as usize, engine.memory_tokens);
    (engine.prefill_time(requirements.prompt, 1) + decode).min(left)
}
