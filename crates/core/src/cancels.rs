//! Cancellations that engines have not confirmed yet.
//!
//! A cancellation is repeated until the engine confirms it, has restarted, or
//! has been unlisted for [`GONE_TIMEOUT`]. Each engine has its own back-off, so
//! that a slow engine does not delay the others.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Wait after the first failed call to an engine.
const MIN_BACKOFF: Duration = Duration::from_millis(500);
/// Longest wait between two calls to an engine.
const MAX_BACKOFF: Duration = Duration::from_secs(8);
/// Time after which the cancellations of an unlisted engine are dropped.
pub const GONE_TIMEOUT: Duration = Duration::from_mins(1);
/// Maximum number of identifiers in one call.
const MAX_BATCH: usize = 256;

#[derive(Clone, Debug)]
struct Queue {
    /// Identifiers, each with the boot number of the engine when it was added.
    ids: BTreeMap<String, u64>,
    next_call: Instant,
    backoff: Duration,
    last_listed: Instant,
}

/// All unconfirmed cancellations, by engine address.
#[derive(Clone, Debug, Default)]
pub struct PendingCancels {
    engines: BTreeMap<String, Queue>,
}

impl PendingCancels {
    /// Adds a cancellation of what an engine holds.
    ///
    /// `boot` is the boot number of the engine, 0 if unknown.
    pub fn add(&mut self, addr: &str, id: &str, boot: u64, now: Instant) {
        let new = || Queue {
            ids: BTreeMap::new(),
            next_call: now,
            backoff: Duration::ZERO,
            last_listed: now,
        };
        let queue = self.engines.entry(addr.to_owned()).or_insert_with(new);
        queue.ids.insert(id.to_owned(), boot);
    }

    /// Returns the calls that are due at `now`.
    pub fn due(&self, now: Instant) -> Vec<(String, Vec<String>)> {
        let ids = |q: &Queue| q.ids.keys().take(MAX_BATCH).cloned().collect();
        let due = self.engines.iter().filter(|(_, q)| q.next_call <= now);
        due.map(|(addr, queue)| (addr.clone(), ids(queue))).collect()
    }

    /// Removes the cancellations that the engine confirmed.
    pub fn confirmed(&mut self, addr: &str, ids: &[String], now: Instant) {
        if let Some(queue) = self.engines.get_mut(addr) {
            queue.ids.retain(|id, _| !ids.contains(id));
            queue.backoff = Duration::ZERO;
            queue.next_call = now;
        }
        self.remove_empty();
    }

    /// Records a failed call to the engine.
    pub fn failed(&mut self, addr: &str, now: Instant) {
        if let Some(queue) = self.engines.get_mut(addr) {
            queue.backoff = (queue.backoff * 2).clamp(MIN_BACKOFF, MAX_BACKOFF);
            queue.next_call = now + queue.backoff;
        }
    }

    /// Drops cancellations for engines that have restarted or are gone.
    ///
    /// `boot` returns the boot number of a listed engine, 0 if unknown.
    pub fn discard_obsolete(&mut self, now: Instant, boot: impl Fn(&str) -> Option<u64>) {
        for (addr, queue) in &mut self.engines {
            match boot(addr) {
                Some(latest) => {
                    queue.last_listed = now;
                    queue.ids.retain(|_, added| *added == 0 || latest <= *added);
                }
                None if now.duration_since(queue.last_listed) >= GONE_TIMEOUT => queue.ids.clear(),
                None => {}
            }
        }
        self.remove_empty();
    }

    /// Returns the number of unconfirmed cancellations.
    pub fn count(&self) -> usize {
        self.engines.values().map(|q| q.ids.len()).sum()
    }

    fn remove_empty(&mut self) {
        self.engines.retain(|_, q| !q.ids.is_empty());
    }
}
