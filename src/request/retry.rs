//! Attempts at one request, within its limits and the retry budget.

use std::time::Instant;

use mimosapass_core::attempts::AttemptFailures;
use mimosapass_core::error::{Failure, Kind};
use mimosapass_core::ids::TargetId;
use mimosapass_core::route::Choice;

use crate::explain::Explanation;
use crate::node::Node;

/// How one attempt ended.
#[derive(Debug)]
pub enum AttemptOutcome<T> {
    /// The answer is complete.
    Complete(T),
    /// Another attempt may follow.
    Retry(Failure),
    /// No further attempt is allowed.
    Final(Failure),
}

/// Limits on the attempts at one request.
#[derive(Clone, Copy, Debug)]
pub struct RetryLimits {
    /// Maximum number of attempts.
    pub max_attempts: usize,
    /// When the request must be answered.
    pub deadline: Instant,
    /// Whether to retry after an attempt that may have run.
    pub repeatable: bool,
    /// Whether a peer makes the choice, which is then traced as a hop to it.
    pub peer_hop: bool,
}

/// Makes attempts until one ends the request or a limit is reached.
///
/// `choose` selects a target, given those already tried; `attempt` makes one
/// attempt there.
///
/// # Errors
///
/// The combined failure of all attempts; it states that nothing ran only if no
/// attempt may have run.
pub fn run_attempts<R, T>(
    node: &Node,
    request: &mut R,
    limits: RetryLimits,
    explanation: &mut Explanation,
    choose: fn(&R, &[TargetId]) -> Result<Choice, Failure>,
    attempt: fn(&mut R, usize, &Choice, &mut Explanation) -> AttemptOutcome<T>,
) -> Result<T, Failure> {
    let mut tried: Vec<TargetId> = Vec::new();
    let mut failures = AttemptFailures::default();
    for number in 0..limits.max_attempts {
        if Instant::now() >= limits.deadline {
            failures.record(Failure::new(
                Kind::QueueTimeout,
                "the deadline passed before the request was sent",
            ));
            break;
        }
        if node.aborting() {
            failures.record(Failure::new(Kind::Stopping, "the instance is shutting down"));
            break;
        }
        if number > 0 && !node.state().retry_budget.try_spend() {
            explanation.steps.push("no retry: the retry budget is exhausted".to_owned());
            break;
        }
        let hop = if limits.peer_hop { "peer" } else { "choice" };
        explanation
            .trace
            .begin_hop(hop, if number == 0 { "first attempt" } else { "another attempt" });
        let choice = match choose(request, &tried) {
            Ok(choice) => {
                explanation.trace.end_hop("ok");
                choice
            }
            Err(failure) => {
                explanation.trace.end_hop(&failure.to_string());
                failures.record_no_target(failure);
                break;
            }
        };
        explanation.steps.push(format!("{}: {}", choice.target, choice.reason));
        explanation.target = choice.target.to_string();
        tried.push(TargetId::clone(&choice.target));
        explanation.trace.begin_hop("attempt", &format!("{}: {}", choice.target, choice.reason));
        let outcome = attempt(request, number, &choice, explanation);
        match &outcome {
            AttemptOutcome::Complete(_) => explanation.trace.end_hop("ok"),
            AttemptOutcome::Retry(failure) | AttemptOutcome::Final(failure) => {
                explanation.trace.end_hop(&failure.to_string());
            }
        }
        match outcome {
            AttemptOutcome::Complete(answer) => {
                node.state().retry_budget.record_success();
                return Ok(answer);
            }
            AttemptOutcome::Retry(failure) => {
                explanation.steps.push(failure.to_string());
                failures.record(failure);
            }
            AttemptOutcome::Final(failure) => {
                failures.record(failure);
                break;
            }
        }
        if failures.may_have_run() && !limits.repeatable {
            explanation
                .steps
                .push("no retry: the request may have run and is not idempotent".to_owned());
            break;
        }
    }
    Err(failures.into_failure().with_jitter(rand::random()))
}
