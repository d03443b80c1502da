//! Claims on engine memory: renewal, and reclaiming of abandoned allocations.
//!
//! Memory that an engine holds for an instance expires by the engine's own
//! clock unless the instance renews it. An expired allocation is freed only if
//! its holder is gone or has not renewed it for a long time. The engine checks
//! the expiry again when it frees, so that a renewal always takes precedence.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::rendezvous::holder;

/// Time after the expiry for which an allocation of a live holder is kept.
pub const RENEWAL_GRACE: Duration = Duration::from_secs(30);

/// Returns whether an allocation that expired `expired` ago may be freed.
pub fn reclaimable(expired: Duration, holder_alive: bool) -> bool {
    !expired.is_zero() && (!holder_alive || expired >= RENEWAL_GRACE)
}

/// Returns the instance that frees the abandoned allocations of an engine.
///
/// It is an instance of the engine's zone or, if none is alive there, any of
/// the `members`, which are pairs of name and zone.
pub fn reclaimer<'a>(engine: &str, zone: &str, members: &[(&'a str, &str)]) -> Option<&'a str> {
    let local = members.iter().filter(|(_, z)| *z == zone).map(|(name, _)| *name);
    holder(engine, local).or_else(|| holder(engine, members.iter().map(|(name, _)| *name)))
}

/// The claims of one instance, by engine address and identifier.
#[derive(Clone, Debug, Default)]
pub struct Claims {
    engines: BTreeMap<String, BTreeMap<String, Instant>>,
}

impl Claims {
    /// Adds a claim that was sent to the engine at `addr` at `now`.
    pub fn add(&mut self, addr: &str, id: &str, now: Instant) {
        self.engines.entry(addr.to_owned()).or_default().insert(id.to_owned(), now);
    }

    /// Removes a claim, so that it is no longer renewed.
    pub fn remove(&mut self, addr: &str, id: &str) {
        if let Some(ids) = self.engines.get_mut(addr) {
            ids.remove(id);
            if ids.is_empty() {
                self.engines.remove(addr);
            }
        }
    }

    /// Returns the claims older than `period`, by engine; they have to be renewed.
    ///
    /// A short request ends before that and needs no renewal call.
    pub fn due(&self, now: Instant, period: Duration) -> Vec<(String, Vec<String>)> {
        let old = |since: &Instant| now.duration_since(*since) >= period;
        let mut due = Vec::new();
        for (addr, ids) in &self.engines {
            let ids: Vec<String> =
                ids.iter().filter(|(_, since)| old(since)).map(|(id, _)| id.clone()).collect();
            if !ids.is_empty() {
                due.push((addr.clone(), ids));
            }
        }
        due
    }

    /// Returns the number of claims.
    pub fn count(&self) -> usize {
        self.engines.values().map(BTreeMap::len).sum()
    }
}
