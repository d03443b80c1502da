//! A group of engines for one attempt, given back whatever happens.

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
use crate::flow::admit::Admitted;
use crate::flow::pick::wait_for_memory;
use crate::node::Node;

/// A group whose memory is reserved until this value is dropped.
#[derive(Debug)]
pub struct Grant {
    /// Identifier of the attempt and of all its reservations.
    pub id: String,
    /// Engines and their shares; the first one generates.
    pub shares: Vec<Share>,
    node: Arc<Node>,
    _claims: Vec<ClaimGuard>,
}

impl Grant {
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

    /// Returns addresses and shares as the engine is told of them.
    pub fn wire(&self) -> Vec<(String, u64)> {
        self.shares.iter().map(|s| (s.addr.clone(), s.tokens)).collect()
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        groups::release(&self.node, &self.id, &self.shares);
    }
}

/// Returns the memory to reserve if no single engine can hold the prompt.
pub fn wanted(node: &Node, admitted: &Admitted, prompt: &ModelRequest, tokens: u64) -> Option<u64> {
    let need = required_tokens(tokens, prompt.max_tokens);
    let config = &admitted.document.config;
    let model = ModelId::from(prompt.model.as_str());
    let state = node.state();
    let now = Instant::now();
    let known = candidates(&state.targets, config, &admitted.class, &model, &node.zone, now);
    (!known.is_empty() && !fits_one_engine(&known, need)).then_some(need)
}

/// Asks for a group until it is granted, within the time of the request.
///
/// # Errors
///
/// [`Kind::NeverFits`] when the zone can never hold the prompt,
/// [`Kind::QueueTimeout`] when its memory did not become free in time.
pub fn grant(
    node: &Arc<Node>,
    admitted: &Admitted,
    model: &str,
    need: u64,
    gone: impl Fn() -> bool,
) -> Result<Grant, Failure> {
    loop {
        let id = node.unique_id();
        let ask = GroupRequest {
            id: id.clone(),
            holder: holder_id(&node.name, node.boot),
            class: admitted.class.name.to_string(),
            model: model.to_owned(),
            needed_tokens: need,
            expiry_ms: node.settings.claims.expiry.as_millis() as u64,
        };
        match groups::request(node, &ask, admitted.left()) {
            Plan::Group(shares) => return Ok(Grant::new(node, id, shares)),
            Plan::TooLarge { capacity } => {
                let text = format!("it needs {need} tokens of memory, the zone has {capacity}");
                return Err(Failure::new(Kind::NeverFits, text));
            }
            Plan::Insufficient { .. } => wait_for_memory(node, admitted, need, &gone)?,
        }
    }
}
