//! Keeps the newest configuration in force.
//!
//! Two instances of each availability zone, by rendezvous order, wait on the
//! head in the key-value service; the others learn from heartbeats of peers
//! and read the head now and then as a safety net. A version never reverts.

use std::sync::Arc;
use std::time::{Duration, Instant};

use mimosapass_core::pace::jitter;
use mimosapass_core::roles::watchers;
use mimosapass_core::version::HeadComparison;
use mimosapass_keyvalue::kv::{Entry, Revision};
use mimosapass_operator::store::{self, StoreError, StoredHead};

use crate::node::{Node, PLATFORM};

/// Time that one watch waits; a read follows in case it missed a change.
const WAIT: Duration = Duration::from_secs(6);
/// Time between rounds.
const ROUND: Duration = Duration::from_secs(1);
/// Time between two reads of an instance that does not watch, before jitter.
const NET: Duration = Duration::from_secs(30);

/// Follows the head for as long as the process lives.
pub fn run(node: &Arc<Node>) {
    let ticks = node.timer.subscribe(ROUND);
    let mut follower = Follower { node, seen: 0, net: Instant::now() };
    loop {
        if node.control.ready() {
            follower.round();
        }
        if ticks.recv().is_err() {
            return;
        }
    }
}

struct Follower<'a> {
    node: &'a Node,
    seen: Revision,
    net: Instant,
}

impl Follower<'_> {
    fn round(&mut self) {
        let result = if self.node.seeks() || Instant::now() >= self.net {
            self.look()
        } else if self.watches() {
            self.watch()
        } else {
            return;
        };
        let cut = matches!(result, Err(StoreError::Kv(_)));
        self.node.state().view.set_platform_unreachable(cut);
        if let Err(e) = result {
            log::warn!("config: the head was not read: {e}.");
        }
    }

    fn watches(&self) -> bool {
        let state = self.node.state();
        let names = state.view.candidate_reachability(Instant::now());
        watchers(&names).contains(&self.node.name.as_ref())
    }

    fn look(&mut self) -> Result<(), StoreError> {
        self.net = Instant::now() + jitter(NET, rand::random());
        let found = self.node.control.call(|kv| kv.get(store::HEAD_KEY)).map_err(StoreError::Kv)?;
        self.take(found.as_ref())
    }

    fn watch(&mut self) -> Result<(), StoreError> {
        let seen = self.seen;
        let found = self.node.control.call(|kv| kv.watch(store::HEAD_KEY, seen, WAIT));
        match found.map_err(StoreError::Kv)? {
            Some(entry) => self.take(Some(&entry)),
            None => self.look(),
        }
    }

    fn take(&mut self, found: Option<&Entry>) -> Result<(), StoreError> {
        let stored = match found {
            Some(entry) => store::parse_head(&entry.value, entry.revision)?,
            None => StoredHead::default(),
        };
        let version = stored.record.version;
        let mut state = self.node.state();
        state.join.record_platform(version);
        let mine = state.gate.head();
        let heard = state.gate.compare(stored.record.head());
        drop(state);
        let fault = match heard {
            HeadComparison::Newer => return self.fetch(&stored),
            HeadComparison::Same => None,
            HeadComparison::Older => Some(format!(
                "the key-value service went back to version {version} while {} is in force",
                mine.version
            )),
            HeadComparison::Conflict => {
                Some(format!("the key-value service has another text for version {version}"))
            }
        };
        self.node.tell_fault(PLATFORM, fault);
        self.seen = stored.revision;
        Ok(())
    }

    fn fetch(&mut self, stored: &StoredHead) -> Result<(), StoreError> {
        let read = store::read_document(&self.node.kv, &stored.record);
        self.node.control.record_result(read.is_ok());
        self.node.install(stored.record.version, read?);
        self.node.tell_fault(PLATFORM, None);
        self.seen = stored.revision;
        Ok(())
    }
}
