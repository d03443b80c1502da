//! Cancels that engines have not confirmed yet.
//!
//! A cancel is repeated until the engine confirms it, has restarted, or has
//! been gone for long. Each engine has its own back-off, so that one which is
//! slow holds up no other.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Wait after the first failed call to an engine.
const FIRST: Duration = Duration::from_millis(500);
/// Longest wait between two calls to an engine.
const LONGEST: Duration = Duration::from_secs(8);
/// Time after which an engine that is in no list is given up.
pub const GONE_TIMEOUT: Duration = Duration::from_mins(1);
/// Most identifiers in one call.
const BATCH: usize = 256;

#[derive(Clone, Debug)]
struct Queue {
    ids: BTreeMap<String, u64>,
    next: Instant,
    wait: Duration,
    listed: Instant,
}

/// All cancels not yet confirmed, by address of the engine.
#[derive(Clone, Debug, Default)]
pub struct PendingCancels {
    engines: BTreeMap<String, Queue>,
}

impl PendingCancels {
    /// Adds a cancel for what the engine holds since its boot number `boot`.
    pub fn add(&mut self, addr: &str, id: &str, boot: u64, now: Instant) {
        let fresh = || Queue { ids: BTreeMap::new(), next: now, wait: Duration::ZERO, listed: now };
        let queue = self.engines.entry(addr.to_owned()).or_insert_with(fresh);
        queue.ids.insert(id.to_owned(), boot);
    }

    /// Returns the calls that are due at `now`.
    pub fn due(&self, now: Instant) -> Vec<(String, Vec<String>)> {
        let ids = |q: &Queue| q.ids.keys().take(BATCH).cloned().collect();
        let due = self.engines.iter().filter(|(_, q)| q.next <= now);
        due.map(|(addr, queue)| (addr.clone(), ids(queue))).collect()
    }

    /// Notes that the engine confirmed cancels.
    pub fn confirmed(&mut self, addr: &str, ids: &[String], now: Instant) {
        if let Some(queue) = self.engines.get_mut(addr) {
            queue.ids.retain(|id, _| !ids.contains(id));
            queue.wait = Duration::ZERO;
            queue.next = now;
        }
        self.tidy();
    }

    /// Notes that a call to the engine failed.
    pub fn failed(&mut self, addr: &str, now: Instant) {
        if let Some(queue) = self.engines.get_mut(addr) {
            queue.wait = (queue.wait * 2).clamp(FIRST, LONGEST);
            queue.next = now + queue.wait;
        }
    }

    /// Drops what ended by itself; `boot` tells the boot number of an engine
    /// that is listed, 0 where it is unknown.
    pub fn discard_obsolete(&mut self, now: Instant, boot: impl Fn(&str) -> Option<u64>) {
        for (addr, queue) in &mut self.engines {
            match boot(addr) {
                Some(latest) => {
                    queue.listed = now;
                    queue.ids.retain(|_, since| *since == 0 || latest <= *since);
                }
                None if now.duration_since(queue.listed) >= GONE_TIMEOUT => queue.ids.clear(),
                None => {}
            }
        }
        self.tidy();
    }

    /// Returns the number of cancels that wait.
    pub fn count(&self) -> usize {
        self.engines.values().map(|q| q.ids.len()).sum()
    }

    fn tidy(&mut self) {
        self.engines.retain(|_, q| !q.ids.is_empty());
    }
}
