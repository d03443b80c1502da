//! Which class of work a request belongs to.

use crate::config::{Accept, Class, Config, Workspace};
use crate::error::{Failure, Kind};
use crate::labels::matches;

/// What a request asks for, as far as classes look at it.
#[derive(Clone, Copy, Debug)]
pub enum RequestedWork<'a> {
    /// A model's answer to a prompt of about so many tokens.
    Model {
        /// Name of the model, without its adapter.
        name: &'a str,
        /// Estimated length of the prompt, in tokens.
        tokens: u64,
    },
    /// A call to a plain service.
    Service(&'a str),
}

/// Returns the first class that accepts the request.
///
/// `asked` is the class that the caller named, if any; then only that class
/// is looked at.
///
/// # Errors
///
/// [`Kind::NoClass`] when no class accepts the request.
pub fn classify<'a>(
    config: &'a Config,
    space: &Workspace,
    asked: Option<&str>,
    work: RequestedWork<'_>,
) -> Result<&'a Class, Failure> {
    config
        .classes
        .iter()
        .filter(|c| asked.is_none_or(|name| c.name.as_ref() == name))
        .find(|c| accepts(&c.accept, space, work))
        .ok_or_else(|| Failure::new(Kind::NoClass, "no class of work accepts this request"))
}

fn accepts(accept: &Accept, space: &Workspace, work: RequestedWork<'_>) -> bool {
    let workspace = accept.workspaces.is_empty() || accept.workspaces.contains(&space.name);
    workspace && matches(&accept.labels, &space.labels) && accepts_work(accept, work)
}

fn accepts_work(accept: &Accept, work: RequestedWork<'_>) -> bool {
    match work {
        RequestedWork::Service(name) => accept.services.iter().any(|s| s == name),
        RequestedWork::Model { name, tokens } => {
            accept.services.is_empty()
                && (accept.models.is_empty() || accept.models.iter().any(|m| m.as_ref() == name))
                && accept.min_tokens.is_none_or(|least| tokens >= least)
                && accept.max_tokens.is_none_or(|most| tokens <= most)
        }
    }
}
