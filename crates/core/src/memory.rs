//! Which memory of engines is claimed, renewed, and lost.
//!
//! Whatever an engine holds for an instance expires by the engine's own clock
//! unless the instance renews it. An expired piece is freed only when its
//! holder is gone or has left it unrenewed for long, and the engine checks the
//! expiry once more when it frees: a renewal always wins.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::rendezvous::holder;

/// Time after the expiry for which a piece of a living holder is left alone.
pub const RENEWAL_GRACE: Duration = Duration::from_secs(30);

/// Returns whether a piece that expired `expired` ago may be freed.
pub fn reclaimable(expired: Duration, holder_alive: bool) -> bool {
    !expired.is_zero() && (!holder_alive || expired >= RENEWAL_GRACE)
}

/// Returns the instance that frees what is lost at an engine.
///
/// It is one of the engine's own zone; where none lives there, one of all
/// `members`, which are pairs of name and zone.
pub fn reclaimer<'a>(engine: &str, zone: &str, members: &[(&'a str, &str)]) -> Option<&'a str> {
    let near = members.iter().filter(|(_, z)| *z == zone).map(|(name, _)| *name);
    holder(engine, near).or_else(|| holder(engine, members.iter().map(|(name, _)| *name)))
}

/// The claims of one instance, by address of the engine and identifier.
#[derive(Clone, Debug, Default)]
pub struct Claims {
    engines: BTreeMap<String, BTreeMap<String, Instant>>,
}

impl Claims {
    /// Notes a claim that the engine at `addr` was told of at `now`.
    pub fn add(&mut self, addr: &str, id: &str, now: Instant) {
        self.engines.entry(addr.to_owned()).or_default().insert(id.to_owned(), now);
    }

    /// Forgets a claim, so that it is renewed no more.
    pub fn remove(&mut self, addr: &str, id: &str) {
        if let Some(ids) = self.engines.get_mut(addr) {
            ids.remove(id);
            if ids.is_empty() {
                self.engines.remove(addr);
            }
        }
    }

    /// Returns the claims to renew, by engine: those older than `period`.
    ///
    /// A short request ends before its claim is that old and costs no call.
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
