//! Frees engine memory of attempts that did not complete.
//!
//! A cancel is repeated until the engine confirms it or has restarted. If this
//! instance dies first, the engine's reclaimer frees the memory after it expires.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::{Duration, Instant};

use mimosapass_core::cancels::PendingCancels;
use mimosapass_target::error::CallError;
use mimosapass_target::memory::{self, Cancel};

use crate::background::for_each_parallel;
use crate::node::Node;

const ROUND_INTERVAL: Duration = Duration::from_millis(500);

/// An attempt whose engine memory has to be freed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReclaimRequest {
    /// Address of the engine.
    pub addr: String,
    /// Identifier of the attempt.
    pub attempt: String,
}

/// Result of one cancel call, with the address and the attempts.
type CancelResult = (String, Vec<String>, Result<(), CallError>);

/// Sends cancels as long as the process runs.
pub fn run(node: &Arc<Node>, inbox: &Receiver<ReclaimRequest>) {
    let mut pending = PendingCancels::default();
    loop {
        let first = match inbox.recv_timeout(ROUND_INTERVAL) {
            Ok(request) => Some(request),
            Err(RecvTimeoutError::Timeout) => None,
            Err(RecvTimeoutError::Disconnected) => return,
        };
        let boots = boots(node);
        let now = Instant::now();
        for request in first.into_iter().chain(inbox.try_iter()) {
            let boot = boots.get(&request.addr).copied().unwrap_or(0);
            pending.add(&request.addr, &request.attempt, boot, now);
        }
        pending.discard_obsolete(now, |addr| boots.get(addr).copied());
        for (addr, ids, result) in send_cancels(node, &pending.due(now)) {
            match result {
                Ok(()) => pending.confirmed(&addr, &ids, Instant::now()),
                Err(e) => {
                    log::debug!("reclaim: {} cancels at {addr} not confirmed: {e}.", ids.len());
                    pending.failed(&addr, Instant::now());
                }
            }
        }
        node.metrics.unfreed_attempts.set(pending.count() as i64);
    }
}

/// Returns the boot numbers of all listed engines by address.
fn boots(node: &Node) -> BTreeMap<String, u64> {
    let state = node.state();
    state.targets.all().map(|t| (t.listed.addr.clone(), t.report.boot)).collect()
}

fn send_cancels(node: &Node, due: &[(String, Vec<String>)]) -> Vec<CancelResult> {
    let results = Mutex::new(Vec::new());
    for_each_parallel(due, |(addr, ids)| {
        let cancel = Cancel { ids: ids.clone(), expired: false };
        let result = memory::cancel(&node.pooled_agent, addr, &cancel);
        if let Ok(mut results) = results.lock() {
            results.push((addr.clone(), ids.clone(), result));
        }
    });
    results.into_inner().unwrap_or_default()
}
