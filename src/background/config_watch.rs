//! Keeps the newest configuration active.
//!
//! Two instances of each availability zone, by rendezvous hash, watch the head in
//! the key-value service. The others learn of changes from the heartbeats of
//! peers, and read the head occasionally as a fallback. A version never reverts.

use std::sync::Arc;
use std::time::{Duration, Instant};

use mimosapass_core::pace::jitter;
use mimosapass_core::roles::watchers;
use mimosapass_core::version::HeadComparison;
use mimosapass_keyvalue::kv::{Entry, Revision};
use mimosapass_operator::store::{self, StoreError, StoredHead};

use crate::node::{Node, PLATFORM_SOURCE};

/// Timeout of one watch; a read follows in case the watch missed a change.
const WATCH_TIMEOUT: Duration = Duration::from_secs(6);
const ROUND_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between reads of an instance that does not watch, before jitter.
const FALLBACK_INTERVAL: Duration = Duration::from_secs(30);

/// Follows the head as long as the process runs.
pub fn run(node: &Arc<Node>) {
    let ticks = node.timer.subscribe(ROUND_INTERVAL);
    let mut follower = Follower { node, seen: 0, next_read: Instant::now() };
    loop {
        if node.throttled_kv.ready() {
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
    next_read: Instant,
}

impl Follower<'_> {
    fn round(&mut self) {
        let result = if self.node.needs_head() || Instant::now() >= self.next_read {
            self.read()
        } else if self.is_watcher() {
            self.watch()
        } else {
            return;
        };
        let unreachable = matches!(result, Err(StoreError::Kv(_)));
        self.node.state().view.set_platform_unreachable(unreachable);
        if let Err(e) = result {
            log::warn!("config: cannot read the configuration head: {e}.");
        }
    }

    fn is_watcher(&self) -> bool {
        let state = self.node.state();
        let names = state.view.candidate_reachability(Instant::now());
        watchers(&names).contains(&self.node.name.as_ref())
    }

    fn read(&mut self) -> Result<(), StoreError> {
        self.next_read = Instant::now() + jitter(FALLBACK_INTERVAL, rand::random());
        let found =
            self.node.throttled_kv.call(|kv| kv.get(store::HEAD_KEY)).map_err(StoreError::Kv)?;
        self.apply(found.as_ref())
    }

    fn watch(&mut self) -> Result<(), StoreError> {
        let seen = self.seen;
        let found =
            self.node.throttled_kv.call(|kv| kv.watch(store::HEAD_KEY, seen, WATCH_TIMEOUT));
        match found.map_err(StoreError::Kv)? {
            Some(entry) => self.apply(Some(&entry)),
            None => self.read(),
        }
    }

    fn apply(&mut self, found: Option<&Entry>) -> Result<(), StoreError> {
        let stored = match found {
            Some(entry) => store::parse_head(&entry.value, entry.revision)?,
            None => StoredHead::default(),
        };
        let version = stored.record.version;
        let mut state = self.node.state();
        state.readiness.record_platform(version);
        let active = state.active_head.head();
        let comparison = state.active_head.compare(stored.record.head());
        drop(state);
        let fault = match comparison {
            HeadComparison::Newer => return self.fetch(&stored),
            HeadComparison::Same => None,
            HeadComparison::Older => Some(format!(
                "the key-value service reverted to version {version} while version {} is active",
                active.version
            )),
            HeadComparison::Conflict => {
                Some(format!("the key-value service has a different text for version {version}"))
            }
        };
        self.node.set_config_fault(PLATFORM_SOURCE, fault);
        self.seen = stored.revision;
        Ok(())
    }

    fn fetch(&mut self, stored: &StoredHead) -> Result<(), StoreError> {
        let document = store::read_document(&self.node.kv, &stored.record);
        self.node.throttled_kv.record_result(document.is_ok());
        self.node.install(stored.record.version, document?);
        self.node.set_config_fault(PLATFORM_SOURCE, None);
        self.seen = stored.revision;
        Ok(())
    }
}
