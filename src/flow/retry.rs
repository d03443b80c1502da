//! The loop of attempts at one request, within the retry budget.

use std::time::Instant;

use mimosapass_core::attempts::AttemptFailures;
use mimosapass_core::error::{Failure, Kind};
use mimosapass_core::ids::TargetId;
use mimosapass_core::route::Choice;

use crate::explain::Explanation;
use crate::node::Node;

/// How one attempt ended.
#[derive(Debug)]
pub enum Ended<T> {
    /// The answer is whole.
    Whole(T),
    /// Another attempt may follow.
    Again(Failure),
    /// The request is over.
    Over(Failure),
}

/// Bounds on the attempts at one request.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Attempts, at most.
    pub most: usize,
    /// When the request must be answered.
    pub end: Instant,
    /// Whether an attempt may follow one that may have run.
    pub repeatable: bool,
    /// Whether a peer is asked for the choice, which makes it a hop of its own.
    pub peer: bool,
}

/// Makes attempts until one ends the request or a bound is met.
///
/// `pick` chooses a target beside those tried before; `attempt` makes one
/// attempt there.
///
/// # Errors
///
/// What all attempts together say; it promises that nothing ran only if none
/// of them may have run.
pub fn attempts<R, T>(
    node: &Node,
    run: &mut R,
    bounds: Bounds,
    explanation: &mut Explanation,
    pick: fn(&R, &[TargetId]) -> Result<Choice, Failure>,
    attempt: fn(&mut R, usize, &Choice, &mut Explanation) -> Ended<T>,
) -> Result<T, Failure> {
    let mut tried: Vec<TargetId> = Vec::new();
    let mut failures = AttemptFailures::default();
    for number in 0..bounds.most {
        if Instant::now() >= bounds.end {
            failures
                .record(Failure::new(Kind::QueueTimeout, "the deadline passed before it was sent"));
            break;
        }
        if node.aborting() {
            failures.record(Failure::new(Kind::Stopping, "the instance was made to end"));
            break;
        }
        if number > 0 && !node.state().retry_budget.try_spend() {
            explanation.steps.push("no retry: the budget is spent".to_owned());
            break;
        }
        let hop = if bounds.peer { "peer" } else { "choice" };
        explanation
            .trace
            .begin_hop(hop, if number == 0 { "first attempt" } else { "another attempt" });
        let choice = match pick(run, &tried) {
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
        let ended = attempt(run, number, &choice, explanation);
        match &ended {
            Ended::Whole(_) => explanation.trace.end_hop("ok"),
            Ended::Again(failure) | Ended::Over(failure) => {
                explanation.trace.end_hop(&failure.to_string());
            }
        }
        match ended {
            Ended::Whole(answer) => {
                node.state().retry_budget.record_success();
                return Ok(answer);
            }
            Ended::Again(failure) => {
                explanation.steps.push(failure.to_string());
                failures.record(failure);
            }
            Ended::Over(failure) => {
                failures.record(failure);
                break;
            }
        }
        if failures.may_have_run() && !bounds.repeatable {
            explanation.steps.push("no retry: it may have run".to_owned());
            break;
        }
    }
    Err(failures.into_failure().with_jitter(rand::random()))
}
