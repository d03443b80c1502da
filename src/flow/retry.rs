//! The loop of attempts at one request, within the retry budget.

use mimosapass_core::error::{Failure, Kind};
use mimosapass_core::ids::TargetId;
use mimosapass_core::route::Choice;

use crate::node::Node;
use crate::story::Story;

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

/// Makes up to `most` attempts until one ends the request.
///
/// `pick` chooses a target beside those tried before; `attempt` makes one
/// attempt there.
///
/// # Errors
///
/// The failure of the last attempt, or that of the first choice.
pub fn attempts<R, T>(
    node: &Node,
    run: &mut R,
    most: usize,
    story: &mut Story,
    pick: fn(&R, &[TargetId]) -> Result<Choice, Failure>,
    attempt: fn(&mut R, usize, &Choice, &mut Story) -> Ended<T>,
) -> Result<T, Failure> {
    let mut tried: Vec<TargetId> = Vec::new();
    let mut last = Failure::new(Kind::NoTarget, "no target is open");
    for number in 0..most {
        if number > 0 && !node.state().budget.spend() {
            story.steps.push("no retry: the budget is spent".to_owned());
            break;
        }
        let choice = match pick(run, &tried) {
            Ok(choice) => choice,
            Err(failure) if number == 0 => return Err(failure),
            Err(_) => break,
        };
        story.steps.push(format!("{}: {}", choice.target, choice.reason));
        story.target = choice.target.to_string();
        tried.push(TargetId::clone(&choice.target));
        story.trace.hop("attempt", &format!("{}: {}", choice.target, choice.reason));
        let ended = attempt(run, number, &choice, story);
        match &ended {
            Ended::Whole(_) => story.trace.leave("ok"),
            Ended::Again(failure) | Ended::Over(failure) => {
                story.trace.leave(&failure.to_string());
            }
        }
        match ended {
            Ended::Whole(answer) => {
                node.state().budget.earn();
                return Ok(answer);
            }
            Ended::Again(failure) => {
                story.steps.push(failure.to_string());
                last = failure;
            }
            Ended::Over(failure) => return Err(failure),
        }
    }
    Err(last)
}
