//! Reserves a group of engines for one attempt.

use std::sync::Arc;
use std::time::Instant;

use mimosapass_caller::openai::ModelRequest;
use mimosapass_core::error::{Failure, Kind};
use mimosapass_core::group::{Plan, Share, candidates, fits_one_engine, required_tokens};
use mimosapass_core::ids::{ModelId, TargetId};
use mimosapass_core::route::{Cause, Choice, Reason};
use mimosapass_instance::message::GroupRequest;

use crate::background::groups;
use crate::background::memory::{ClaimGuard, holder_id};
use crate::node::Node;
use crate::request::admission::Admitted;
use crate::request::selection::wait_for_memory;

/// A group of engines whose memory is reserved until this value is dropped.
#[derive(Debug)]
pub struct ReservedGroup {
    /// Identifier of the attempt and of all its reservations.
    pub id: String,
    /// Engines and their shares; the first one generates.
    pub shares: Vec<Share>,
    node: Arc<Node>,
    _claims: Vec<ClaimGuard>,
}

impl ReservedGroup {
    fn new(node: &Arc<Node>, id: String, shares: Vec<Share>) -> Self {
        let claims = shares.iter().map(|s| ClaimGuard::new(node, &s.addr, &id)).collect();
        Self { id, shares, node: Arc::clone(node), _claims: claims }
    }

    /// Returns the engine that generates.
    pub fn choice(&self) -> Choice {
        let first = &self.shares[0];
        Choice {
            target: TargetId::clone(&first.target),
            addr: first.addr.as_str().into(),
            reason: Reason::without_estimate(Cause::Group(self.shares.len())),
        }
    }

    /// Returns the address and tokens of each member, as sent to the engine.
    pub fn members(&self) -> Vec<(String, u64)> {
        self.shares.iter().map(|s| (s.addr.clone(), s.tokens)).collect()
    }
}

impl Drop for ReservedGroup {
    fn drop(&mut self) {
        groups::release(&self.node, &self.id, &self.shares);
    }
}

/// Returns the tokens to reserve if no single engine can hold the prompt.
pub fn group_memory(
    node: &Node,
    admitted: &Admitted,
    prompt: &ModelRequest,
    tokens: u64,
) -> Option<u64> {
    let needed = required_tokens(tokens, prompt.max_tokens);
    let config = &admitted.document.config;
    let model = ModelId::from(prompt.model.as_str());
    let state = node.state();
    let now = Instant::now();
    let engines = candidates(&state.targets, config, &admitted.class, &model, &node.zone, now);
    (!engines.is_empty() && !fits_one_engine(&engines, needed)).then_some(needed)
}

/// Requests a group until it is granted or the deadline of the request passes.
///
/// # Errors
///
/// [`Kind::NeverFits`] when the zone can never hold the prompt,
/// [`Kind::QueueTimeout`] when the memory it needs did not become free in time,
/// and as [`wait_for_memory`].
pub fn acquire(
    node: &Arc<Node>,
    admitted: &Admitted,
    model: &str,
    needed: u64,
    caller_gone: impl Fn() -> bool,
) -> Result<ReservedGroup, Failure> {
    loop {
        let id = node.unique_id();
        let request = GroupRequest {
            id: id.clone(),
            holder: holder_id(&node.name, node.boot),
            class: admitted.class.name.to_string(),
            model: model.to_owned(),
            needed_tokens: needed,
            expiry_ms: node.settings.claims.expiry.as_millis() as u64,
        };
        match groups::request(node, &request, admitted.remaining()) {
            Plan::Group(shares) => return Ok(ReservedGroup::new(node, id, shares)),
            Plan::TooLarge { capacity } => {
                let text =
                    format!("the prompt needs {needed} tokens of memory, the zone has {capacity}");
                return Err(Failure::new(Kind::NeverFits, text));
            }
            Plan::Insufficient { .. } => wait_for_memory(node, admitted, needed, &caller_gone)?,
        }
    }
}
