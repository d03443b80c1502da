//! Frees what engines hold for attempts that ended badly.
//!
//! A cancel is repeated until the engine confirms it.

use std::sync::Arc;
use std::sync::mpsc::Receiver;
use std::time::Duration;

use mimosapass_target::engine;

use crate::node::Node;

/// Time between two rounds of cancels.
const ROUND: Duration = Duration::from_secs(1);

/// An attempt whose memory has to be freed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Freed {
    /// Address of the engine.
    pub addr: String,
    /// Identifier of the attempt.
    pub attempt: String,
}

/// Frees memory for as long as the process lives.
pub fn run(node: &Arc<Node>, wanted: &Receiver<Freed>) {
    let mut waiting: Vec<Freed> = Vec::new();
    loop {
        match wanted.recv_timeout(ROUND) {
            Ok(freed) => waiting.push(freed),
            Err(std::sync::mpsc::RecvTimeoutError::Timeout) => {}
            Err(std::sync::mpsc::RecvTimeoutError::Disconnected) => return,
        }
        waiting.extend(wanted.try_iter());
        waiting.retain(|f| !free(node, f));
        node.metrics.unfreed.set(waiting.len() as i64);
    }
}

fn free(node: &Node, freed: &Freed) -> bool {
    match engine::cancel(&node.pooled, &freed.addr, &freed.attempt) {
        Ok(()) => true,
        Err(e) => {
            log::debug!("reclaim: {} at {} is not freed: {e}.", freed.attempt, freed.addr);
            false
        }
    }
}
