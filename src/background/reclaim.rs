//! Frees what engines hold for attempts that ended badly.
//!
//! A cancel is repeated until the engine confirms it or has restarted. Should
//! this instance die before, the keeper of the engine frees it after its expiry.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::{Duration, Instant};

use mimosapass_core::cancels::PendingCancels;
use mimosapass_target::error::CallError;
use mimosapass_target::memory::{self, Cancel};

use crate::background::each;
use crate::node::Node;

/// Time between two rounds of cancels.
const ROUND: Duration = Duration::from_millis(500);

/// An attempt whose memory has to be freed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReclaimRequest {
    /// Address of the engine.
    pub addr: String,
    /// Identifier of the attempt.
    pub attempt: String,
}

/// Outcome of one call.
type Called = (String, Vec<String>, Result<(), CallError>);

/// Frees memory for as long as the process lives.
pub fn run(node: &Arc<Node>, wanted: &Receiver<ReclaimRequest>) {
    let mut pending = PendingCancels::default();
    loop {
        let first = match wanted.recv_timeout(ROUND) {
            Ok(freed) => Some(freed),
            Err(RecvTimeoutError::Timeout) => None,
            Err(RecvTimeoutError::Disconnected) => return,
        };
        let boots = boots(node);
        let now = Instant::now();
        for freed in first.into_iter().chain(wanted.try_iter()) {
            let boot = boots.get(&freed.addr).copied().unwrap_or(0);
            pending.add(&freed.addr, &freed.attempt, boot, now);
        }
        pending.discard_obsolete(now, |addr| boots.get(addr).copied());
        for (addr, ids, result) in call(node, &pending.due(now)) {
            match result {
                Ok(()) => pending.confirmed(&addr, &ids, Instant::now()),
                Err(e) => {
                    log::debug!("reclaim: {} at {addr} are not freed: {e}.", ids.len());
                    pending.failed(&addr, Instant::now());
                }
            }
        }
        node.metrics.unfreed_attempts.set(pending.count() as i64);
    }
}

/// Returns the boot numbers of all engines that are listed, by address.
fn boots(node: &Node) -> BTreeMap<String, u64> {
    let state = node.state();
    state.targets.all().map(|k| (k.listed.addr.clone(), k.report.boot)).collect()
}

fn call(node: &Node, due: &[(String, Vec<String>)]) -> Vec<Called> {
    let called = Mutex::new(Vec::new());
    each(due, |(addr, ids)| {
        let cancel = Cancel { ids: ids.clone(), expired: false };
        let result = memory::cancel(&node.pooled_agent, addr, &cancel);
        if let Ok(mut called) = called.lock() {
            called.push((addr.clone(), ids.clone(), result));
        }
    });
    called.into_inner().unwrap_or_default()
}
