//! Choice of a target for an admitted request, and the books on it.

use std::sync::Arc;
use std::time::Instant;

use mimosapass_core::config::TargetKind;
use mimosapass_core::error::Failure;
use mimosapass_core::ids::TargetId;
use mimosapass_core::route::{Ask, Choice, choose};

use crate::flow::admit::Admitted;
use crate::node::Node;

/// Chooses an engine for a prompt of `tokens` tokens.
///
/// # Errors
///
/// Fails when no engine may serve it now.
pub fn engine(
    node: &Node,
    admitted: &Admitted,
    model: &str,
    tokens: u64,
    tried: &[TargetId],
) -> Result<Choice, Failure> {
    let config = &admitted.document.config;
    let pools: Vec<_> = config.pools_for(&admitted.class, model).collect();
    let ask = Ask { kind: TargetKind::Engine, pools: &pools, zone: &node.zone, tokens, tried };
    choose(&node.state().board, &ask, Instant::now())
}

/// Chooses a target of the service `name`.
///
/// # Errors
///
/// Fails when no target may serve it now.
pub fn service(
    node: &Node,
    admitted: &Admitted,
    name: &str,
    tried: &[TargetId],
) -> Result<Choice, Failure> {
    let config = &admitted.document.config;
    let pool = config.service(name).map(|s| &s.pool);
    let pools: Vec<_> = config.pools.iter().filter(|p| Some(&p.name) == pool).collect();
    let ask = Ask { kind: TargetKind::Service, pools: &pools, zone: &node.zone, tokens: 0, tried };
    choose(&node.state().board, &ask, Instant::now())
}

/// The books on one attempt; whatever happens, they are closed when dropped.
#[derive(Debug)]
pub struct Booked {
    node: Arc<Node>,
    target: TargetId,
    tokens: u64,
    first: bool,
    ok: bool,
}

impl Booked {
    /// Notes that a request of `tokens` prompt tokens goes to the target.
    pub fn new(node: &Arc<Node>, target: &TargetId, tokens: u64) -> Self {
        node.state().board.sent(target, tokens);
        let (node, target) = (Arc::clone(node), TargetId::clone(target));
        Self { node, target, tokens, first: false, ok: true }
    }

    /// Returns whether the first token has come.
    pub fn first_came(&self) -> bool {
        self.first
    }

    /// Notes that the first token came.
    pub fn first_token(&mut self) {
        if !self.first {
            self.first = true;
            self.node.state().board.first_token(&self.target, self.tokens);
        }
    }

    /// Notes that the target did not do its part.
    pub fn blame(&mut self) {
        self.ok = false;
    }

    /// Notes that the target said it takes no new work any more.
    pub fn leaving(&self) {
        self.node.state().board.refused(&self.target);
    }
}

impl Drop for Booked {
    fn drop(&mut self) {
        self.first_token();
        self.node.state().board.ended(&self.target, self.ok, Instant::now());
        let label = if self.ok { "ok" } else { "failed" };
        self.node.metrics.attempts.with_label_values(&[label]).inc();
    }
}
