//! The targets that registered themselves, and which of them may get work.
//!
//! Reports of a target arrive late, out of order, and from writers that are
//! not the target. A report is taken only if it is newer than what is known:
//! a later start of the target, or a higher number of the same start. A
//! target that drains does not come back without a new start.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::edge::plan::ServiceId;
use crate::ids::ZoneId;

pub use crate::ids::TargetId;

/// Time for which a target that lapsed during an outage of the store is kept
/// after its return. Entries of living targets are back within about that time.
pub const LAPSE_GRACE: Duration = Duration::from_secs(2);

/// What a target says of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Identifier.
    pub id: TargetId,
    /// Service to which it belongs.
    pub service: ServiceId,
    /// Address.
    pub addr: SocketAddr,
    /// Availability zone.
    pub zone: ZoneId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes no new work.
    pub draining: bool,
    /// Start of the target, in Unix milliseconds; 0 where it is not stated.
    pub started_ms: u64,
    /// Number of the report since the start.
    pub seq: u64,
    /// How much longer it stays slow after its start.
    pub warmup: Duration,
}

impl Target {
    /// Returns what tells an older report from a newer one.
    fn age(&self) -> (u64, u64) {
        (self.started_ms, self.seq)
    }
}

/// What a change of the view means for requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// Nothing that matters to requests.
    Unchanged,
    /// The target is new, or has started again.
    Joined,
    /// The target takes no new work.
    Draining,
    /// The target is gone.
    Gone,
}

#[derive(Clone, Debug)]
struct Entry {
    target: Arc<Target>,
    /// When the entry disappeared during an outage; it is kept for a while.
    lapsed: Option<Instant>,
}

/// All targets that are known.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    entries: BTreeMap<TargetId, Entry>,
    /// Newest report of targets that are gone, so that a late one is not believed.
    buried: HashMap<TargetId, (u64, u64)>,
}

/// Gone targets that are remembered; the oldest reports arrive seconds late.
const BURIED: usize = 4096;

impl Fleet {
    /// Takes a report of a target.
    pub fn report(&mut self, mut target: Target) -> Change {
        if self.buried.get(&target.id).is_some_and(|age| *age >= target.age()) {
            return Change::Unchanged;
        }
        let id = TargetId::clone(&target.id);
        let known = self.entries.get(&id);
        if let Some(entry) = known {
            let old = &entry.target;
            if target.age() < old.age() {
                return Change::Unchanged;
            }
            if target.started_ms == old.started_ms {
                target.draining |= old.draining;
            }
        }
        let change = match known {
            Some(e)
                if e.target.draining == target.draining
                    && e.target.started_ms == target.started_ms =>
            {
                Change::Unchanged
            }
            _ if target.draining => Change::Draining,
            _ => Change::Joined,
        };
        self.buried.remove(&id);
        self.entries.insert(id, Entry { target: Arc::new(target), lapsed: None });
        change
    }

    /// Notes that the entry of a target is gone from the store.
    ///
    /// `outage` says that the store was away lately, so that the entry may have
    /// lapsed although its target lives.
    pub fn remove(&mut self, id: &str, outage: bool, now: Instant) -> Change {
        let Some(entry) = self.entries.get_mut(id) else { return Change::Unchanged };
        if outage && !entry.target.draining {
            entry.lapsed.get_or_insert(now);
            return Change::Unchanged;
        }
        self.bury(id);
        Change::Gone
    }

    /// Removes all targets that a whole listing does not name.
    ///
    /// Returns the targets that are gone.
    pub fn reconcile(&mut self, named: &[TargetId], outage: bool, now: Instant) -> Vec<TargetId> {
        let missing: Vec<TargetId> =
            self.entries.keys().filter(|id| !named.contains(id)).cloned().collect();
        missing.into_iter().filter(|id| self.remove(id, outage, now) == Change::Gone).collect()
    }

    /// Removes targets that lapsed in an outage and did not come back in time.
    ///
    /// Time counts from the store's return: while it is away, `away` holds and
    /// nothing is removed.
    pub fn expire(&mut self, away: bool, now: Instant) -> Vec<TargetId> {
        if away {
            for entry in self.entries.values_mut().filter(|e| e.lapsed.is_some()) {
                entry.lapsed = Some(now);
            }
            return Vec::new();
        }
        let late = |e: &Entry| e.lapsed.is_some_and(|at| now >= at + LAPSE_GRACE);
        let gone: Vec<TargetId> = self
            .entries
            .iter()
            .filter(|(_, e)| late(e))
            .map(|(id, _)| TargetId::clone(id))
            .collect();
        for id in &gone {
            self.bury(id);
        }
        gone
    }

    fn bury(&mut self, id: &str) {
        if let Some((id, entry)) = self.entries.remove_entry(id) {
            if self.buried.len() >= BURIED {
                self.buried.clear();
            }
            self.buried.insert(id, entry.target.age());
        }
    }

    /// Returns a target, also one that drains.
    pub fn get(&self, id: &str) -> Option<&Arc<Target>> {
        self.entries.get(id).map(|e| &e.target)
    }

    /// Returns the targets of a service that take new work.
    pub fn serving<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Arc<Target>> {
        self.entries
            .values()
            .map(|e| &e.target)
            .filter(move |t| !t.draining && &*t.service == service)
    }

    /// Returns all targets that are known.
    pub fn all(&self) -> impl Iterator<Item = &Arc<Target>> {
        self.entries.values().map(|e| &e.target)
    }
}
