//! Assigns a request to a class of work.

use crate::config::{Accept, Class, Config, Workspace};
use crate::error::{Failure, Kind};
use crate::labels::matches;

/// The properties of a request that classes match on.
#[derive(Clone, Copy, Debug)]
pub enum RequestedWork<'a> {
    /// A model's answer to a prompt.
    Model {
        /// Name of the model, without its adapter.
        name: &'a str,
        /// Estimated length of the prompt, in tokens.
        tokens: u64,
    },
    /// A call to the service of this name.
    Service(&'a str),
}

/// Returns the first class that accepts the request.
///
/// If the caller named a class in `requested`, only that class is considered.
///
/// # Errors
///
/// [`Kind::NoClass`] when no class accepts the request.
pub fn classify<'a>(
    config: &'a Config,
    workspace: &Workspace,
    requested: Option<&str>,
    work: RequestedWork<'_>,
) -> Result<&'a Class, Failure> {
    config
        .classes
        .iter()
        .filter(|c| requested.is_none_or(|name| c.name.as_ref() == name))
        .find(|c| accepts(&c.accept, workspace, work))
        .ok_or_else(|| Failure::new(Kind::NoClass, "no class of work accepts this request"))
}

fn accepts(accept: &Accept, workspace: &Workspace, work: RequestedWork<'_>) -> bool {
    let workspace_accepted =
        accept.workspaces.is_empty() || accept.workspaces.contains(&workspace.name);
    workspace_accepted && matches(&accept.labels, &workspace.labels) && accepts_work(accept, work)
}

fn accepts_work(accept: &Accept, work: RequestedWork<'_>) -> bool {
    match work {
        RequestedWork::Service(name) => accept.services.iter().any(|s| s == name),
        RequestedWork::Model { name, tokens } => {
            accept.services.is_empty()
                && (accept.models.is_empty() || accept.models.iter().any(|m| m.as_ref() == name))
                && accept.min_tokens.is_none_or(|min| tokens >= min)
                && accept.max_tokens.is_none_or(|max| tokens <= max)
        }
    }
}
