//! Keeps the newest configuration in force.
//!
//! Two instances of each availability zone, by rendezvous order, wait on the
//! head in the key-value service; the others learn from heartbeats of peers
//! and read the head now and then as a safety net. A version never reverts.

use std::sync::Arc;
use std::time::{Duration, Instant};

use mimosapass_core::rendezvous::order;
use mimosapass_core::version::Heard;
use mimosapass_operator::store::{self, StoreError, Stored};
use mimosapass_platform::kv::Revision;

use crate::node::Node;

/// Instances of a zone that wait on the head.
const WATCHERS: usize = 2;
/// Time that one watch waits.
const WAIT: Duration = Duration::from_secs(10);
/// Time between rounds.
const ROUND: Duration = Duration::from_secs(1);
/// Rounds between two reads of an instance that does not watch.
const NET: u64 = 30;

/// Follows the head for as long as the process lives.
pub fn run(node: &Arc<Node>) {
    let ticks = node.timer.subscribe(ROUND);
    let mut seen: Revision = 0;
    let mut round = 0_u64;
    loop {
        let unconfigured = node.document().is_none();
        let result = if unconfigured || round % NET == 1 {
            look(node, &mut seen)
        } else if watches(node) {
            watch(node, &mut seen)
        } else {
            Ok(())
        };
        if let Err(e) = result {
            log::warn!("config: {e}.");
        }
        round += 1;
        if ticks.recv().is_err() {
            return;
        }
    }
}

fn watches(node: &Node) -> bool {
    let state = node.state();
    let names = state.view.candidates(Instant::now());
    order("watcher", &names).iter().take(WATCHERS).any(|n| *n == node.name.as_ref())
}

fn look(node: &Node, seen: &mut Revision) -> Result<(), StoreError> {
    take(node, &store::head(&node.kv)?, seen)
}

fn watch(node: &Node, seen: &mut Revision) -> Result<(), StoreError> {
    let found = node.kv.watch(store::HEAD, *seen, WAIT).map_err(StoreError::Kv)?;
    match found {
        Some(entry) => take(node, &store::parse_head(&entry.value, entry.revision)?, seen),
        None => Ok(()),
    }
}

fn take(node: &Node, stored: &Stored, seen: &mut Revision) -> Result<(), StoreError> {
    let heard = node.state().gate.hear(stored.record.head());
    if heard == Heard::Fetch {
        let document = store::text(&node.kv, &stored.record)?;
        node.install(stored.record.version, document);
    }
    *seen = stored.revision;
    Ok(())
}
